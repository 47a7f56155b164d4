//! The settings file of a node.

use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::Findings;

use crate::reader::{Reader, Source, read_object};

/// `NodeSettings` are the settings of one node process, read once at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Cell that the node belongs to.
    pub cell: String,
    /// Failure domain that the node runs in.
    pub domain: String,
    /// Name of the VM in the platform's list of VMs; empty if the node has none.
    pub vm: String,
    /// Address at which callers connect. Port 0 takes a free port.
    pub callers: SocketAddr,
    /// Address at which other nodes connect, and which is announced to them.
    pub peers: SocketAddr,
    /// Address at which operators and metric collectors connect.
    pub admin: SocketAddr,
    /// Base address of the platform's object API.
    pub store: String,
    /// Peers from which the configuration is fetched at start; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Longest wait for running requests at a planned stop.
    pub drain_timeout: Duration,
    /// Maximum number of requests of callers under way.
    pub inflight: usize,
    /// Time between two heartbeats to a peer.
    pub heartbeat_interval: Duration,
    /// How long a leaf lease is valid after its confirmation.
    pub lease_duration: Duration,
}

impl Default for NodeSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            cell: "main".to_owned(),
            domain: "default".to_owned(),
            vm: String::new(),
            callers: any,
            peers: any,
            admin: any,
            store: String::new(),
            seeds: Vec::new(),
            drain_timeout: Duration::from_secs(10),
            inflight: 2_000,
            heartbeat_interval: Duration::from_millis(500),
            lease_duration: Duration::from_millis(2_000),
        }
    }
}

impl NodeSettings {
    /// Reads settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// All findings, each with its source location.
    pub fn parse(source: Source<'_>) -> Result<Self, Findings> {
        read_object(source, Self::read)
    }

    fn read(reader: &mut Reader<'_>) -> Self {
        let base = Self::default();
        let cell = reader.name("cell");
        let domain = reader.name("domain");
        let vm = reader.name("vm");
        let store = read_store(reader);
        let (callers, peers, admin) = reader
            .object("listen", read_listen)
            .unwrap_or((None, None, None));
        let seeds = reader.addrs("seeds");
        let drain_timeout = reader.millis("drain_ms", 0, 600_000);
        let inflight = reader.integer("inflight", 1, 1_000_000);
        let heartbeat_interval = reader.millis("heartbeat_ms", 10, 10_000);
        let lease_duration = reader.millis("hold_ms", 40, 60_000);
        let settings = Self {
            cell: reader.require("cell", cell).unwrap_or(base.cell),
            domain: reader.require("domain", domain).unwrap_or(base.domain),
            callers: callers.unwrap_or(base.callers),
            peers: peers.unwrap_or(base.peers),
            admin: admin.unwrap_or(base.admin),
            vm: vm.unwrap_or(base.vm),
            store: reader.require("store", store).unwrap_or(base.store),
            seeds: seeds.unwrap_or(base.seeds),
            drain_timeout: drain_timeout.unwrap_or(base.drain_timeout),
            inflight: inflight.map_or(base.inflight, |n| n as usize),
            heartbeat_interval: heartbeat_interval.unwrap_or(base.heartbeat_interval),
            lease_duration: lease_duration.unwrap_or(base.lease_duration),
        };
        reader.require("listen", callers.or(peers).or(admin));
        if settings.lease_duration < settings.heartbeat_interval * 3 {
            reader.report(
                "hold_ms",
                "'hold_ms' must be at least 3 times 'heartbeat_ms'",
            );
        }
        settings
    }
}

type ListenAddrs = (Option<SocketAddr>, Option<SocketAddr>, Option<SocketAddr>);

fn read_listen(reader: &mut Reader<'_>) -> ListenAddrs {
    let callers = reader.addr("callers");
    let peers = reader.addr("peers");
    let admin = reader.addr("admin");
    let callers = reader.require("callers", callers);
    let peers = reader.require("peers", peers);
    let admin = reader.require("admin", admin);
    (callers, peers, admin)
}

fn read_store(reader: &mut Reader<'_>) -> Option<String> {
    let store = reader.string("store")?;
    let host = store
        .strip_prefix("http://")
        .and_then(|rest| rest.parse::<SocketAddr>().ok());
    if host.is_none() {
        reader.report(
            "store",
            "'store' must be an address as in http://10.0.0.1:9000",
        );
        return None;
    }
    Some(store)
}
