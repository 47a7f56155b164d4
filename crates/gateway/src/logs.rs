//! Log lines about requests, bounded in number.

use std::time::{Duration, Instant};

use monsoondeal_edge::{
    LeafEntry, MoveDecision, MovePost, MoveReport, Reply, RequestEvent, Summary,
};
use monsoondeal_moves::{Evidence, PostingReply, RequestCounts};

/// Most lines about requests in one duration.
const MAX_LINES: u32 = 400;
/// The duration.
const WINDOW: Duration = Duration::from_secs(1);

/// `RequestLog` writes a line for each decision on a request, up to a rate; what is left out is counted.
#[derive(Debug)]
pub(crate) struct RequestLog {
    window_start: Instant,
    written: u32,
    dropped: u32,
}

impl Default for RequestLog {
    fn default() -> Self {
        Self {
            window_start: Instant::now(),
            written: 0,
            dropped: 0,
        }
    }
}

impl RequestLog {
    fn admit(&mut self) -> bool {
        if self.window_start.elapsed() >= WINDOW {
            if self.dropped > 0 {
                log::warn!(lines = self.dropped; "lines about requests were left out");
            }
            *self = Self::default();
        }
        if self.written >= MAX_LINES {
            self.dropped += 1;
            return false;
        }
        self.written += 1;
        true
    }

    /// Writes how a request was answered, and how long ago the configuration was known to be the newest
    /// one.
    pub(crate) fn reply(
        &mut self,
        id: &str,
        reply: &Reply,
        summary: &Summary,
        config_age: Option<Duration>,
    ) {
        if !self.admit() {
            return;
        }
        let route = summary.route.as_deref().unwrap_or("");
        let (outcome, detail) = outcome(reply);
        let detail = detail.as_str();
        log::info!(
            id, route, outcome, detail,
            config = summary.version,
            config_age_ms = millis(config_age),
            shards = summary.shards,
            calls = summary.calls,
            hedges = summary.hedges,
            retries = summary.retries,
            micros = summary.elapsed.as_micros() as u64;
            "request answered"
        );
    }

    /// Writes a decision on a request under way.
    pub(crate) fn event(&mut self, id: &str, event: &RequestEvent) {
        if !self.admit() {
            return;
        }
        match event {
            RequestEvent::Hedged {
                service,
                leaf,
                after,
            } => {
                let micros = after.as_micros() as u64;
                log::info!(id, service:% = service, leaf:% = leaf, micros; "call hedged");
            }
            RequestEvent::Retried {
                service,
                cause,
                is_repeat,
            } => {
                log::info!(id, service:% = service, cause, repeat = is_repeat; "call retried");
            }
            RequestEvent::Lost { service, cause } => {
                log::info!(id, service:% = service, cause; "shard lost");
            }
        }
    }

    /// Writes that another leaf answered at the address of the one that a call was meant for.
    pub(crate) fn misdirected(&mut self, id: &str, intended: &LeafEntry) {
        if !self.admit() {
            return;
        }
        log::info!(
            id, service:% = intended.service, leaf:% = intended.name, addr:% = intended.addr;
            "call misdirected"
        );
    }

    /// Writes that another leaf was found at the address of the one that a call was meant for, before the
    /// call was sent.
    pub(crate) fn displaced(&mut self, id: &str, intended: &LeafEntry) {
        if !self.admit() {
            return;
        }
        log::info!(
            id, service:% = intended.service, leaf:% = intended.name, addr:% = intended.addr;
            "another leaf has the address"
        );
    }
}

/// Returns a span in milliseconds, or -1 for none.
pub(crate) fn millis(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |duration| {
        i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
    })
}

/// Returns the outcome of a reply, and its detail.
pub(crate) fn outcome(reply: &Reply) -> (&'static str, String) {
    match reply {
        Reply::Merged { missing: 0, .. } => ("complete", String::new()),
        Reply::Merged { missing, .. } => ("partial", format!("{missing} shards left out")),
        Reply::Answer(answer) if answer.is_success() => ("answered", String::new()),
        Reply::Answer(answer) => ("leaf_failed", format!("status {}", answer.status)),
        Reply::Rejected { reason, .. } => ("rejected", (*reason).to_owned()),
        Reply::Failed(reason) => ("failed", (*reason).to_owned()),
        Reply::TimedOut => ("timed_out", String::new()),
        Reply::NoRoute => ("no_route", String::new()),
    }
}

/// Writes that a change of a version move's state is asked for, and on what evidence.
pub(crate) fn move_decided(decision: &MoveDecision) {
    let count = &decision.count;
    let totals = &count.totals;
    log::info!(
        service:% = decision.service, version:% = decision.version,
        state:? = decision.state, cause:? = decision.cause,
        calls = count.calls, trials = count.trials,
        all_calls = totals.calls, all_permits = totals.net_permits, all_settled = totals.settled,
        bad = totals.bad, nodes = totals.processes,
        evidence = evidence(&totals.evidence).as_str();
        "version move decided"
    );
}

/// Writes how far a running version move has come at this node.
pub(crate) fn move_counted(report: &MoveReport) {
    let count = &report.count;
    log::info!(
        service:% = report.service, version:% = report.version,
        elapsed_ms = millis(Some(report.elapsed)),
        calls = count.calls, trials = count.trials,
        all_calls = count.totals.calls, all_permits = count.totals.net_permits;
        "version move counted"
    );
}

/// Writes what a node has posted to the ledger of a version move, and what the ledger says.
pub(crate) fn move_posted(post: &MovePost, answer: Option<&PostingReply>) {
    let posting = &post.posting;
    let Some(answer) = answer else {
        log::warn!(
            service:% = post.service, version:% = post.version, sequence = posting.sequence;
            "posting to a version move not answered"
        );
        return;
    };
    log::info!(
        service:% = post.service, version:% = post.version, sequence = posting.sequence,
        calls = posting.calls, wanted = posting.wanted_permits, permits = answer.permits,
        taken = answer.is_recorded, ruling:? = answer.ruling,
        elapsed_ms = millis(Some(answer.elapsed)),
        all_calls = answer.totals.calls, all_permits = answer.totals.net_permits,
        all_settled = answer.totals.settled, bad = answer.totals.bad,
        nodes = answer.totals.processes,
        evidence = evidence(&answer.totals.evidence).as_str();
        "version move posted"
    );
}

/// Returns the counts by route: requests, failed and slow ones of the new version and of the old one.
fn evidence(evidence: &Evidence) -> String {
    let show =
        |counts: RequestCounts| format!("{}/{}/{}", counts.requests, counts.failed, counts.slow);
    let routes = evidence
        .routes
        .iter()
        .map(|(route, seen)| format!("{route} new {} old {}", show(seen.new), show(seen.old)));
    routes.collect::<Vec<_>>().join(", ")
}
