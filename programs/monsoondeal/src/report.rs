//! Reports whether a version of the tree is in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::time::{sleep, timeout};
use cyper::Client;
use futures_util::future::join_all;
use monsoondeal_config::Tree;
use monsoondeal_engine::roster_key;
use monsoondeal_member::Roster;
use monsoondeal_node::store::Store;
use serde::Serialize;

/// Maximum time for a node to answer.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait between two reports.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// `ForceStatus` tells whether a version is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ForceStatus {
    /// Every member of the cells that the services of the tree belong to has the version.
    Everywhere,
    /// Some member does not have the version yet.
    NotYet,
    /// No member is known to lack it, but some member did not answer, or some roster could not be read.
    NotKnown,
}

/// `Report` lists which members have a version of the tree.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    /// The version that the report is about.
    pub(crate) version: u64,
    /// Whether the version is in force, as follows from the lists below.
    pub(crate) force: ForceStatus,
    /// Members that have the version or a newer one.
    pub(crate) have: Vec<SocketAddr>,
    /// Members with an older version.
    pub(crate) older: Vec<SocketAddr>,
    /// Members that did not answer.
    pub(crate) silent: Vec<SocketAddr>,
    /// Cells whose roster could not be read.
    pub(crate) unread_cells: Vec<String>,
}

/// Asks every member of the cells that the services of the tree belong to for its version of the tree.
pub(crate) async fn collect_report(store: &Store, tree: &Tree, version: u64) -> Report {
    let mut cells: Vec<&str> = tree.services.values().map(|s| s.cell.as_str()).collect();
    cells.sort_unstable();
    cells.dedup();

    let mut report = Report {
        version,
        force: ForceStatus::Everywhere,
        have: Vec::new(),
        older: Vec::new(),
        silent: Vec::new(),
        unread_cells: Vec::new(),
    };
    for cell in cells {
        match read_roster(store, cell).await {
            Some(roster) => ask_members(&roster, &mut report).await,
            None => report.unread_cells.push(cell.to_owned()),
        }
    }
    report.force = if !report.older.is_empty() {
        ForceStatus::NotYet
    } else if !report.silent.is_empty() || !report.unread_cells.is_empty() {
        ForceStatus::NotKnown
    } else {
        ForceStatus::Everywhere
    };
    report
}

/// Repeats the report until the version is in force everywhere or `max_wait` has passed, and returns the
/// last one.
pub(crate) async fn wait_until_in_force(
    store: &Store,
    tree: &Tree,
    version: u64,
    max_wait: Duration,
) -> Report {
    let start = Instant::now();
    loop {
        let latest = collect_report(store, tree, version).await;
        if latest.force == ForceStatus::Everywhere || start.elapsed() >= max_wait {
            return latest;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads the state dump of a node.
pub(crate) async fn node_state(addr: SocketAddr) -> Option<serde_json::Value> {
    let reply = async {
        let request = Client::new().get(format!("http://{addr}/state")).ok()?;
        request.send().await.ok()?.json().await.ok()
    };
    timeout(NODE_TIMEOUT, reply).await.ok().flatten()
}

async fn read_roster(store: &Store, cell: &str) -> Option<Roster> {
    let object = store.read(&roster_key(cell)).await.ok()??;
    serde_json::from_slice(&object.value).ok()
}

async fn ask_members(roster: &Roster, report: &mut Report) {
    let replies = roster
        .members
        .iter()
        .map(|m| async { (m.admin, node_state(m.admin).await) });
    for (addr, state) in join_all(replies).await {
        let member_version = state.as_ref().and_then(|s| s["versions"]["tree"].as_u64());
        match member_version {
            Some(member_version) if member_version >= report.version => report.have.push(addr),
            Some(_) => report.older.push(addr),
            None => report.silent.push(addr),
        }
    }
}
