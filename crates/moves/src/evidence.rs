//! Request counts of both versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// `Outcome` is the result of one request, as far as it matters for a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether it failed.
    pub failed: bool,
    /// Whether it took longer than three of four requests of the old version on its route.
    pub slow: bool,
}

/// `RequestCounts` counts requests of one version on one route.
///
/// Invariant: `failed` and `slow` are at most `requests`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that have ended.
    pub requests: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that were slow.
    pub slow: u64,
}

impl RequestCounts {
    /// Counts a request.
    pub fn record(&mut self, outcome: Outcome) {
        self.requests += 1;
        self.failed += u64::from(outcome.failed);
        self.slow += u64::from(outcome.slow);
    }

    /// Returns the counts with the invariant restored.
    pub(crate) fn clamped(self) -> Self {
        let Self {
            requests,
            failed,
            slow,
        } = self;
        Self {
            requests,
            failed: failed.min(requests),
            slow: slow.min(requests),
        }
    }

    /// Adds other counts.
    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}

/// `RouteEvidence` counts both versions on one route over the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The old version.
    pub old: RequestCounts,
    /// The new version.
    pub new: RequestCounts,
}

/// `Evidence` holds the counts of one node, or of all nodes together, since the move began. Counts only
/// grow, so a later report replaces an earlier one of the same node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Counts by route.
    pub routes: BTreeMap<String, RouteEvidence>,
}

impl Evidence {
    /// Counts a request of the new or the old version.
    pub fn record(&mut self, route: &str, new: bool, outcome: Outcome) {
        let evidence = match self.routes.get_mut(route) {
            Some(evidence) => evidence,
            None => self.routes.entry(route.to_owned()).or_default(),
        };
        if new {
            evidence.new.record(outcome)
        } else {
            evidence.old.record(outcome)
        }
    }

    /// Adds the counts of another node.
    pub fn merge(&mut self, other: &Self) {
        for (route, theirs) in &other.routes {
            let ours = self.routes.entry(route.clone()).or_default();
            ours.old.merge(theirs.old);
            ours.new.merge(theirs.new);
        }
    }
}
