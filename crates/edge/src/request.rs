//! State of a caller's request while it is served.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{CallId, LeafId, Time};
use smallvec::SmallVec;

use crate::action::{Answer, PassedAnswer, Reply, SegmentAnswer, Summary};
use crate::admission::LoadSignal;
use crate::config::{Gather, Name, Repeat, Route, Target};
use crate::merge::top_records;
use crate::plan::PlanId;
use crate::proof::{NeverRan, PossibleRuns};

/// Share of the objective that is reserved for sending the response.
const RESPONSE_RESERVE_SHARE: f64 = 0.05;
/// Time that is reserved for sending the response in addition to that share.
const RESPONSE_RESERVE: Duration = Duration::from_millis(5);
/// Time that a caller is assumed to have spent on opening a connection before its request could be read. The
/// objective includes this time.
const CONNECTION_SETUP_TIME: Duration = Duration::from_millis(6);
/// If leafs refused more calls than this share of a query's shards, the query is a sign of overload.
const REFUSED_SHARE: f64 = 0.15;
/// Quantile over the shards that measures the load. A few slow leafs stay above it and do not count; shards
/// that have lost some of their leafs do count.
const LOAD_QUANTILE: f64 = 0.75;
/// Multiple of the objective after which a request to a single leaf is given up: far beyond the time of a slow leaf.
const GIVE_UP_OBJECTIVES: u32 = 3;
/// Multiple of the objective that must be left to the caller then.
const RETRY_OBJECTIVES: u32 = 2;
/// `retry_after` while no leaf can be called.
pub(crate) const NO_LEAF_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `retry_after` while all leafs are busy.
pub(crate) const BUSY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Progress of a shard.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ShardState {
    /// Calls are under way, or the shard waits for a leaf.
    Open,
    /// A leaf served the shard.
    Done(Answer),
    /// A node served the segment, or some of its shards.
    Gathered(SegmentAnswer),
    /// The shard will not be served. Holds the failure that a leaf answered with, if any.
    Lost(Option<Answer>),
}

/// `Shard` is a service, or a segment of shards, that a request needs an answer from.
#[derive(Clone, Debug)]
pub(crate) struct Shard {
    pub(crate) service: Name,
    /// Number of shards that it stands for: more than 1 for a segment.
    pub(crate) weight: usize,
    pub(crate) state: ShardState,
    /// Leafs that are not called again.
    pub(crate) tried: SmallVec<[LeafId; 4]>,
    /// Calls under way.
    pub(crate) open_calls: SmallVec<[CallId; 2]>,
    /// Number of leafs on which the request ran or may have run.
    pub(crate) possible_runs: PossibleRuns,
    pub(crate) calls_sent: usize,
    /// Whether a call may have reached a leaf, so that any further call is a repeat.
    pub(crate) has_arrived: bool,
    /// Whether the shard waits for a leaf.
    pub(crate) is_waiting: bool,
    /// No call is sent before this time, since all leafs have refused.
    pub(crate) not_before: Time,
    /// When the latest call was sent.
    pub(crate) sent_at: Time,
    /// When the shard is checked next: to hedge a call, or to try again to get a leaf.
    pub(crate) check_at: Time,
    /// Time from the request to the answer.
    pub(crate) response: Option<Duration>,
    /// The latest failure that a leaf answered with.
    pub(crate) failure: Option<Answer>,
}

impl Shard {
    fn new(service: Name, weight: usize, now: Time) -> Self {
        Self {
            service,
            weight,
            state: ShardState::Open,
            tried: SmallVec::new(),
            open_calls: SmallVec::new(),
            possible_runs: PossibleRuns::default(),
            calls_sent: 0,
            has_arrived: false,
            is_waiting: false,
            not_before: now,
            sent_at: now,
            check_at: Time::MAX,
            response: None,
            failure: None,
        }
    }

    /// Returns the number of shards that have answered.
    fn answered(&self) -> usize {
        match &self.state {
            ShardState::Done(_) => 1,
            ShardState::Gathered(answer) => answer.signatures.len(),
            ShardState::Open | ShardState::Lost(_) => 0,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.state == ShardState::Open
    }
}

/// `PendingRequest` is a request under way and the state of its shards.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) route: Rc<Route>,
    /// Version of the configuration that the request began with.
    pub(crate) version: u64,
    pub(crate) received_at: Time,
    /// A complete response is awaited until this time; after it an incomplete one is sent.
    pub(crate) answer_by: Time,
    pub(crate) deadline: Time,
    pub(crate) shards: Vec<Shard>,
    pub(crate) hedges: usize,
    pub(crate) retries: usize,
    /// Number of calls that leafs refused.
    pub(crate) refused: usize,
    /// Unloaded response time that admission counts for the query.
    pub(crate) unloaded_time: Duration,
    /// Key under which the response times of its calls are tracked.
    pub(crate) tracker_key: Name,
    /// Plan of the query, if the calls go to nodes that serve segments of it.
    pub(crate) split: Option<PlanId>,
    /// Time reserved between the answers of segments and the reply.
    pub(crate) reply_reserve: Duration,
    /// Whether the request comes from another node, which asks for a segment of a query.
    pub(crate) from_peer: bool,
    /// When leafs that asked for a break return, of shards that were given up for it.
    pub(crate) retry_at: Time,
    /// Time of the timer that is set for the request.
    pub(crate) wake_at: Time,
}

impl PendingRequest {
    pub(crate) fn new(
        route: Rc<Route>,
        version: u64,
        services: &[(Name, usize)],
        timeout: Duration,
        now: Time,
    ) -> Self {
        let reserve = route.objective.mul_f64(RESPONSE_RESERVE_SHARE) + RESPONSE_RESERVE;
        let answer_by = now + route.objective.saturating_sub(reserve);
        Self {
            version,
            received_at: now,
            answer_by,
            deadline: now + timeout.min(route.timeout),
            shards: services
                .iter()
                .map(|(service, weight)| Shard::new(service.clone(), *weight, now))
                .collect(),
            hedges: 0,
            retries: 0,
            refused: 0,
            unloaded_time: Duration::ZERO,
            tracker_key: route.name.clone(),
            split: None,
            reply_reserve: Duration::ZERO,
            from_peer: false,
            retry_at: now,
            wake_at: Time::MAX,
            route,
        }
    }

    /// Deducts the time that the caller took to open its connection from the time to answer.
    pub(crate) fn reserve_setup_time(&mut self) {
        self.answer_by = (self.answer_by - CONNECTION_SETUP_TIME).max(self.received_at);
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
    }

    /// Returns the calls under way.
    pub(crate) fn open_calls(&self) -> impl Iterator<Item = CallId> + '_ {
        let shards = self.shards.iter();
        shards.flat_map(|shard| shard.open_calls.iter().copied())
    }

    /// Returns how the answers of shards are merged; `None` for a request to a single leaf.
    pub(crate) fn gather(&self) -> Option<Gather> {
        match &self.route.target {
            Target::FanOut(_, gather) => Some(*gather),
            Target::Service(_) | Target::Split(_) => None,
        }
    }

    /// Returns the reply if it is due.
    pub(crate) fn reply(&self, now: Time) -> Option<Reply> {
        let reply = match self.gather() {
            Some(gather) => self.merged_reply(gather, now),
            None => self.single_reply(now),
        };
        reply
            .or_else(|| self.give_up_reply(now))
            .or_else(|| (now >= self.deadline).then_some(Reply::TimedOut))
    }

    /// Returns when a request to a single leaf is given up, if its caller has time left then to try again.
    ///
    /// Load pattern: a leaf falls silent with a call, and the request's attempts are used up. No other leaf may
    /// be called for it, but its caller may send it anew.
    fn give_up_at(&self) -> Option<Time> {
        if !self.is_idempotent() || self.gather().is_some() {
            return None;
        }
        let at = self.received_at + self.route.objective * GIVE_UP_OBJECTIVES;
        let left = self.deadline.since(at);
        (left >= self.route.objective * RETRY_OBJECTIVES).then_some(at)
    }

    fn give_up_reply(&self, now: Time) -> Option<Reply> {
        self.give_up_at().filter(|at| *at <= now)?;
        if self.never_ran().is_none() {
            return Some(Reply::TimedOut);
        }
        Some(self.failure_reply("no leaf was free in time", now))
    }

    /// Returns the first shard of a query: the key under which admission counts queries for the same
    /// shards.
    pub(crate) fn admission_key(&self) -> Option<&Name> {
        if self.from_peer {
            return None;
        }
        match &self.route.target {
            Target::FanOut(shards, _) => shards.first(),
            Target::Service(_) | Target::Split(_) => None,
        }
    }

    /// Returns the load signal of a query that ends.
    pub(crate) fn load_signal(&self, now: Time) -> LoadSignal {
        if self.refused as f64 > REFUSED_SHARE * self.shards.len() as f64 {
            return LoadSignal::Refusals;
        }
        self.quantile_response(now)
            .map_or(LoadSignal::None, LoadSignal::Quantile)
    }

    /// Returns the [`LOAD_QUANTILE`] of the shards' response times. A shard without an answer counts with
    /// the time that it has waited.
    fn quantile_response(&self, now: Time) -> Option<Duration> {
        let mut times: SmallVec<[Duration; 32]> = self
            .shards
            .iter()
            .filter(|shard| !matches!(shard.state, ShardState::Lost(_)))
            .map(|s| s.response.unwrap_or_else(|| now.since(self.received_at)))
            .collect();
        let last = times.len().checked_sub(1)?;
        let rank = (LOAD_QUANTILE * last as f64).round() as usize;
        let (_, quantile, _) = times.select_nth_unstable(rank);
        Some(*quantile)
    }

    /// Returns when the request must be checked next.
    pub(crate) fn next_check(&self, now: Time) -> Time {
        let mut next = self.deadline;
        if self.gather().is_some() && self.answer_by > now {
            next = next.min(self.answer_by);
        }
        if let Some(at) = self.give_up_at() {
            next = next.min(at);
        }
        let open = self.shards.iter().filter(|shard| shard.is_open());
        open.map(|shard| shard.check_at).fold(next, Time::min)
    }

    pub(crate) fn summary(&self, now: Time) -> Summary {
        Summary {
            route: Some(self.route.name.clone()),
            version: self.version,
            shards: self.shards.len(),
            calls: self.shards.iter().map(|shard| shard.calls_sent).sum(),
            hedges: self.hedges,
            retries: self.retries,
            elapsed: now.since(self.received_at),
        }
    }

    fn merged_reply(&self, gather: Gather, now: Time) -> Option<Reply> {
        let all: usize = self.shards.iter().map(|shard| shard.weight).sum();
        // The node that asked for a segment decides on the coverage of the whole query.
        let coverage = if self.from_peer {
            0.0
        } else {
            gather.min_coverage
        };
        let needed = min_shards(all, coverage);
        let done: usize = self.shards.iter().map(Shard::answered).sum();
        let closed = self.shards.iter().filter(|shard| !shard.is_open());
        let lost: usize = closed.map(|shard| shard.weight - shard.answered()).sum();
        if all - lost < needed {
            return Some(self.failure_reply("too few shards can be served", now));
        }
        let all_closed = done + lost == all;
        let is_due = now >= self.answer_by && all - done <= self.tolerated_gaps(gather, all);
        if done >= needed && (all_closed || is_due) {
            return Some(self.merge(gather, all - done));
        }
        None
    }

    /// Returns how many of the request's `all` shards an answer may lack when its time is up.
    ///
    /// Load pattern: leafs are cold, slow or out of reach, and a segment has few of its shards in time. If it lacks
    /// more than the whole query may, an answer dooms the query, so the segment is answered late rather than
    /// incomplete.
    fn tolerated_gaps(&self, gather: Gather, all: usize) -> usize {
        match &self.route.target {
            Target::FanOut(shards, _) if self.from_peer => {
                shards.len() - min_shards(shards.len(), gather.min_coverage)
            }
            _ => all - min_shards(all, gather.min_coverage),
        }
    }

    fn merge(&self, gather: Gather, missing: usize) -> Reply {
        let mut signatures: Vec<Bytes> = Vec::new();
        let mut bodies: Vec<&[u8]> = Vec::new();
        for shard in &self.shards {
            match &shard.state {
                ShardState::Done(answer) => {
                    signatures.push(answer.signature.clone());
                    bodies.push(&answer.body);
                }
                ShardState::Gathered(answer) => {
                    signatures.extend(answer.signatures.iter().cloned());
                    bodies.push(&answer.body);
                }
                ShardState::Open | ShardState::Lost(_) => {}
            }
        }
        let body = top_records(bodies, gather.top_k);
        Reply::Merged {
            signatures,
            missing,
            body,
        }
    }

    fn single_reply(&self, now: Time) -> Option<Reply> {
        match &self.shards.first()?.state {
            // No request to a single leaf is split into segments.
            ShardState::Open | ShardState::Gathered(_) => None,
            ShardState::Done(answer) | ShardState::Lost(Some(answer)) => {
                let passed = PassedAnswer::new(answer.clone());
                Some(passed.map_or_else(Reply::Withheld, Reply::Answer))
            }
            ShardState::Lost(None) => Some(self.failure_reply("no leaf served the request", now)),
        }
    }

    /// Returns the proof that no call of the request has run, unless one may have.
    fn never_ran(&self) -> Option<NeverRan> {
        NeverRan::of(self.shards.iter().map(|shard| &shard.possible_runs))
    }

    /// Returns the reply to a request that cannot be served. It states that the request has not run only if
    /// no call can have run.
    fn failure_reply(&self, reason: &'static str, now: Time) -> Reply {
        let Some(proof) = self.never_ran() else {
            return Reply::Failed(reason);
        };
        let was_called = self.shards.iter().any(|shard| shard.calls_sent > 0);
        let retry_after = if was_called {
            BUSY_RETRY_AFTER
        } else {
            NO_LEAF_RETRY_AFTER
        };
        Reply::Rejected {
            proof,
            reason,
            retry_after: retry_after.max(self.retry_at.since(now)),
        }
    }
}

/// Returns the smallest number of shards whose share of `all` is at least `coverage`.
pub(crate) fn min_shards(all: usize, coverage: f64) -> usize {
    let count = (coverage * all as f64 - 1e-9).ceil().max(1.0);
    (count as usize).min(all.max(1))
}
