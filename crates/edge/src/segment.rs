//! Segments of a query, served by nodes that each hold the connections to some of the shards.
//!
//! Load pattern: there are more nodes than a leaf accepts connections, or queries have so many shards that
//! one node takes too long to send all calls. The shards of a query are cut into segments. A few nodes
//! serve each segment, the same ones for all nodes that ask, chosen by rendezvous hashing over the listed
//! nodes.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::Name;
use crate::directory::LeafEntry;
use crate::plan::PlanId;

/// Shards per segment for each core of the nodes that serve it.
const SHARDS_PER_CORE: f64 = 48.0;
/// Minimum number of shards per segment: smaller segments cost the node that asks more calls than they
/// save.
const MIN_SHARDS: usize = 12;
/// Maximum number of shards per segment.
const MAX_SHARDS: usize = 24;
/// Number of nodes that serve one segment.
const SEGMENT_NODES: usize = 6;
/// Exponent of a node's processor share in its weight. The time to serve a segment falls with the share, so
/// small nodes should serve segments only where there are few larger ones.
const CORES_EXPONENT: i32 = 3;
/// Processor time for sending a call and reading its answer.
pub(crate) const CALL_CPU_TIME: Duration = Duration::from_micros(150);
/// Time reserved for the round trip to a node that serves a segment.
pub(crate) const SEGMENT_ROUND_TRIP: Duration = Duration::from_millis(6);
/// Minimum processor share that a node is assumed to have, in cores.
pub(crate) const MIN_CORES: f64 = 0.05;
/// Time that segments must save a query to be worth their messages.
const MIN_SEGMENT_GAIN: Duration = Duration::from_millis(25);
/// Prefix of the names of segments, which are used in place of service names. No service's name begins with
/// it.
const PREFIX: char = '\u{1}';

/// `Peer` is a node that may serve segments.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Peer {
    /// Name of its VM.
    pub name: Name,
    /// Failure domain of its VM.
    pub domain: Name,
    /// Address at which it accepts calls of other nodes.
    pub addr: SocketAddr,
    /// Address at which it accepts nodes that follow its updates.
    pub updates: SocketAddr,
    /// Processor share of its VM, in cores. Above zero.
    pub cores: f64,
}

/// `SegmentCall` asks a node for one segment of a query. It belongs to a plan and to no path: the node that is asked
/// runs that plan or nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentCall {
    /// Plan of the query.
    pub plan: PlanId,
    /// Version of the configuration of the node that asks, for the log.
    pub version: u64,
    /// Index of the segment, from 0.
    pub index: usize,
    /// Number of segments of the query.
    pub count: usize,
    /// Time until the answer is due, complete or not.
    pub timeout: Duration,
}

impl SegmentCall {
    /// Returns the range of the plan's shards that the segment covers, or `None` if a plan with this number of shards
    /// has no such segment.
    pub fn range(&self, shards: usize) -> Option<Range<usize>> {
        let exists = self.count <= shards && self.index < self.count;
        exists.then(|| segment_range(self.index, self.count, shards))
    }
}

/// Returns the maximum number of shards per segment.
///
/// A query takes the time for the calls of one segment at the node that serves it, plus the time for the
/// segments at the node that asks, which may be a small one. Larger serving nodes therefore get fewer,
/// larger segments.
pub(crate) fn segment_size(peers: &[Peer]) -> usize {
    let mut cores: Vec<f64> = peers.iter().map(|peer| peer.cores).collect();
    cores.sort_by(|a, b| b.total_cmp(a));
    let smallest = cores.get(SEGMENT_NODES - 1).or(cores.last());
    let shards = smallest.map_or(0.0, |cores| cores * SHARDS_PER_CORE);
    (shards as usize).clamp(MIN_SHARDS, MAX_SHARDS)
}

/// Returns whether a query over `shards` shards is answered so much sooner in segments of `size` shards that their
/// messages are worth it.
///
/// Load pattern: few small nodes and queries with many shards. One node takes longer to send and read all calls than
/// the leafs take to answer them. All nodes that know the same nodes decide alike.
pub(crate) fn saves_time(shards: usize, size: usize, peers: &[Peer]) -> bool {
    let mut cores: Vec<f64> = peers.iter().map(|peer| peer.cores).collect();
    cores.sort_by(f64::total_cmp);
    let Some(&asking) = cores.get(cores.len() / 4) else {
        return false;
    };
    let serving = cores[cores.len().saturating_sub(SEGMENT_NODES)];
    let segments = shards.div_ceil(size);
    let rounds = segments.div_ceil(peers.len());
    let work = |calls: usize, cores: f64| {
        CALL_CPU_TIME
            .mul_f64(calls as f64)
            .div_f64(cores.clamp(MIN_CORES, 1.0))
    };
    let direct = work(shards, asking);
    let split = work(segments, asking) + work(size * rounds, serving) + SEGMENT_ROUND_TRIP;
    direct > split + MIN_SEGMENT_GAIN
}

/// Returns the range of a segment's shards. Sizes of segments differ by one shard at most.
pub(crate) fn segment_range(index: usize, count: usize, shards: usize) -> Range<usize> {
    index * shards / count..(index + 1) * shards / count
}

/// Returns a digest of a query's shards, the same in all nodes.
pub(crate) fn shards_digest(shards: &[Name]) -> u64 {
    let mut hasher = DefaultHasher::new();
    shards.hash(&mut hasher);
    hasher.finish()
}

/// Returns the name that stands for a segment.
pub(crate) fn segment_name(digest: u64, index: usize) -> Name {
    Name::from(format!("{PREFIX}{digest:x}/{index}"))
}

/// Returns whether a name stands for a segment.
pub(crate) fn is_segment(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// Returns entries of the nodes that serve a segment, chosen by weighted rendezvous hashing.
///
/// Load pattern: nodes of unequal size. A segment of twelve calls keeps an eighth of a core busy four times
/// as long as half a core, and a query waits for its slowest segment.
pub(crate) fn serving_nodes(segment: &Name, peers: &[Peer]) -> Vec<LeafEntry> {
    let mut ranked: Vec<(f64, &Peer)> = peers
        .iter()
        .map(|peer| (rank(segment, peer), peer))
        .collect();
    ranked.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    ranked.truncate(SEGMENT_NODES);
    let entries = ranked.into_iter().map(|(_, peer)| LeafEntry {
        name: Name::from(format!("{}{segment}", peer.name)),
        born: 0,
        service: segment.clone(),
        addr: peer.addr,
        // Closed failure domains apply to leafs, not to nodes.
        domain: segment.clone(),
        version: Name::from(""),
        slots: MAX_SHARDS,
        draining: false,
        warmup: Duration::ZERO,
    });
    entries.collect()
}

/// Returns the rank of a node for a segment; the nodes with the lowest ranks serve it. A node with twice
/// the weight of another ranks before it twice as often as after it.
fn rank(segment: &Name, peer: &Peer) -> f64 {
    let mut hasher = DefaultHasher::new();
    (segment, &peer.name).hash(&mut hasher);
    // In (0, 1].
    let draw = (hasher.finish() as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    -draw.ln() / peer.cores.powi(CORES_EXPONENT)
}

/// Returns how many nodes may call one leaf of a shard that is served in segments.
pub(crate) fn callers_per_leaf() -> usize {
    SEGMENT_NODES
}
