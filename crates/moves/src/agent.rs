//! The agent of a move at each node: it splits the traffic, counts outcomes and can stop the new version.

use std::time::Duration;

use monsoondeal_core::Time;
use serde::{Deserialize, Serialize};

use crate::evidence::{Evidence, Outcome};
use crate::verdict::{Detector, Verdict, VerdictSettings};

/// How long a granted share is valid. A node that is cut off from the coordinator falls back to the
/// old version.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Time between two reports while no request of the new version fails or is slow.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two reports.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(10);
/// Added to the threshold for the evidence of a single node, since each of many nodes could give a
/// false alarm.
const NODE_THRESHOLD_MARGIN: f64 = 4.0;

/// `Grant` is the share of its traffic that a node may send to the new version.
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
    /// When the report that the grant answers was sent.
    report_sent: Option<Time>,
    /// Set once the node's own evidence shows a fault, or the coordinator orders a stop; never cleared.
    is_stopped: bool,
    evidence: Evidence,
    /// Whether a request of the new version has failed or been slow since the last report.
    is_urgent: bool,
    last_report: Option<Time>,
    /// Fraction of a request that is due to the new version, which spreads its requests evenly.
    carry: f64,
}

impl MoveAgent {
    /// Creates the agent of a node that has no share yet.
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

    /// Applies a grant that answers a report sent at `report_sent`, unless a later one has been answered.
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

    /// Counts the end of a request. Returns whether the node has now stopped the new version.
    pub fn record(&mut self, route: &str, new: bool, outcome: Outcome) -> bool {
        self.evidence.record(route, new, outcome);
        if !new || self.is_stopped || !(outcome.failed || outcome.slow) {
            return false;
        }
        self.is_urgent = true;
        self.is_stopped = matches!(self.detector.evaluate(&self.evidence), Verdict::Bad { .. });
        self.is_stopped
    }

    /// Stops the new version by order of the coordinator. Like the node's own stop, this is permanent, so
    /// that the next coordinator cannot raise the share again.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Returns the counts of the node.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns whether the new version is stopped at this node.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Returns the counts if a report is due: after [`MIN_REPORT_INTERVAL`] if a request of the new version
    /// has failed or been slow, otherwise after [`REPORT_INTERVAL`].
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
