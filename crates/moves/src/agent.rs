//! The side of a move at each node: its share, its counts and its own stop.

use std::time::Duration;

use monsoondeal_core::Time;
use serde::{Deserialize, Serialize};

use crate::evidence::{Evidence, Outcome};
use crate::verdict::{Detector, Verdict, VerdictSettings};

/// How long a granted share may be used. A node that is cut off from the conductor falls back to
/// the old version.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Time between two reports while nothing fails.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two reports.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(10);
/// What the threshold of one node alone lies above that of all together: there are many nodes that
/// could give a false alarm.
const NODE_THRESHOLD_MARGIN: f64 = 4.0;

/// `Grant` is the share that a node may send to the new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The share.
    pub share: f64,
}

/// `MoveAgent` splits the traffic of one node and stops the new version on the node's own evidence.
#[derive(Clone, Debug)]
pub struct MoveAgent {
    detector: Detector,
    grant: Grant,
    /// When the grant was asked for.
    report_sent: Option<Time>,
    /// Set once the node's own evidence shows a fault, or the conductor says so; never cleared.
    is_stopped: bool,
    evidence: Evidence,
    /// Requests since the last report that should not wait for the next.
    is_urgent: bool,
    last_report: Option<Time>,
    /// Fraction of a request that is due to the new version; spreads them evenly.
    carry: f64,
}

impl MoveAgent {
    /// Creates the side of a node that has no share yet.
    pub fn new(settings: VerdictSettings) -> Self {
        let threshold = settings.threshold + NODE_THRESHOLD_MARGIN;
        let node_settings = VerdictSettings {
            threshold,
            ..settings
        };
        Self {
            detector: Detector::new(node_settings),
            grant: Grant::default(),
            report_sent: None,
            is_stopped: false,
            evidence: Evidence::default(),
            is_urgent: false,
            last_report: None,
            carry: 0.0,
        }
    }

    /// Takes in a grant that answers a report sent at `asked`.
    pub fn on_grant(&mut self, grant: Grant, report_sent: Time) {
        if self.report_sent.is_none_or(|known| report_sent >= known) {
            self.grant = grant;
            self.report_sent = Some(report_sent);
        }
    }

    /// Returns whether the next request goes to the new version.
    pub fn pick_new(&mut self, now: Time) -> bool {
        let is_fresh = self.report_sent.is_some_and(|at| now < at + GRANT_DURATION);
        if self.is_stopped || !is_fresh {
            return false;
        }
        self.carry += self.grant.share;
        if self.carry < 1.0 {
            return false;
        }
        self.carry -= 1.0;
        true
    }

    /// Notes the end of a request. Returns whether the node has just stopped the new version.
    pub fn record(&mut self, route: &str, new: bool, outcome: Outcome) -> bool {
        self.evidence.record(route, new, outcome);
        if !new || self.is_stopped || !(outcome.failed || outcome.slow) {
            return false;
        }
        self.is_urgent = true;
        self.is_stopped = matches!(self.detector.evaluate(&self.evidence), Verdict::Bad { .. });
        self.is_stopped
    }

    /// Stops the new version on the conductor's word. Like the node's own stop, it is never taken back,
    /// so that the next conductor cannot raise the share again.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Returns what the node has counted.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns whether the new version is stopped at this node.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Returns the counts if they should be reported now: at once after a fault of the new version,
    /// else now and then.
    pub fn due_report(&mut self, now: Time) -> Option<&Evidence> {
        let interval = if self.is_urgent {
            MIN_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        if self.last_report.is_some_and(|at| now < at + interval) {
            return None;
        }
        self.is_urgent = false;
        self.last_report = Some(now);
        Some(&self.evidence)
    }
}
