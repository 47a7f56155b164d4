//! Log lines about requests, limited in rate, and about version moves.

use std::time::{Duration, Instant};

use monsoondeal_edge::{
    LeafEntry, MoveDecision, MovePost, MoveReport, NoticeTaken, Reply, RequestEvent, Summary,
};
use monsoondeal_moves::{Evidence, PostingReply, RequestCounts};

/// Maximum number of lines about requests within [`WINDOW`].
const MAX_LINES: u32 = 400;
/// Period of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// `RequestLog` writes a line for each event of a request, up to a rate; lines beyond it are counted.
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

    /// Logs how a request was answered, and how long ago the configuration was confirmed to be the newest
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

    /// Logs an event of a request under way.
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
            RequestEvent::CallerLeft { calls, waited } => {
                let micros = waited.as_micros() as u64;
                log::info!(id, calls, micros; "caller left");
            }
            RequestEvent::UnknownPlan {
                plan,
                asked_version,
                version,
            } => {
                log::info!(
                    id, plan:% = plan, asked_config = asked_version, config = version;
                    "segment of an unknown plan rejected"
                );
            }
            RequestEvent::Lost { service, cause } => {
                log::info!(id, service:% = service, cause; "shard lost");
            }
        }
    }

    /// Logs that a call was to be taken back, and whether it runs on since some of it may have been written.
    pub(crate) fn withheld(&mut self, id: &str, leaf: &LeafEntry, runs_on: bool) {
        if !self.admit() {
            return;
        }
        log::info!(id, service:% = leaf.service, leaf:% = leaf.name, runs_on; "call taken back");
    }

    /// Logs that a call reached another leaf at the address of the intended one.
    pub(crate) fn misdirected(&mut self, id: &str, intended: &LeafEntry) {
        if !self.admit() {
            return;
        }
        log::info!(
            id, service:% = intended.service, leaf:% = intended.name, addr:% = intended.addr;
            "call misdirected"
        );
    }

    /// Logs why the connection of a call was closed: an answer on it could not be attributed to its call, or the next
    /// one could not have been.
    pub(crate) fn connection_closed(&mut self, id: &str, leaf: &LeafEntry, cause: &'static str) {
        if !self.admit() {
            return;
        }
        log::info!(
            id, service:% = leaf.service, leaf:% = leaf.name, addr:% = leaf.addr, cause;
            "connection to a leaf closed"
        );
    }

    /// Logs that the identity check found another leaf at the address of the intended one, so that the call
    /// was not sent.
    pub(crate) fn displaced(&mut self, id: &str, intended: &LeafEntry) {
        if !self.admit() {
            return;
        }
        log::info!(
            id, service:% = intended.service, leaf:% = intended.name, addr:% = intended.addr;
            "another leaf has the address"
        );
    }

    /// Logs what a leaf said about itself, and how long it gets no calls; -1 if it gets none until it starts again.
    pub(crate) fn notice(&mut self, taken: &NoticeTaken) {
        if !self.admit() {
            return;
        }
        let said = &taken.notice;
        log::info!(
            leaf:% = taken.leaf, born = taken.born, leaving = said.leaving,
            asked_ms = millis(said.pause), no_calls_ms = millis(taken.no_calls_for);
            "leaf wants no calls"
        );
    }

    /// Logs that a leaf gets a single call during a break that is too long to be meant.
    pub(crate) fn probe(&mut self, leaf: &str) {
        if self.admit() {
            log::info!(leaf; "leaf called once during its break");
        }
    }
}

/// Returns a duration in milliseconds, or -1 for none.
pub(crate) fn millis(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |duration| {
        i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
    })
}

/// Returns the outcome of a reply for logs and metrics, and its detail.
pub(crate) fn outcome(reply: &Reply) -> (&'static str, String) {
    match reply {
        Reply::Merged { missing: 0, .. } => ("complete", String::new()),
        Reply::Merged { missing, .. } => ("partial", format!("{missing} shards left out")),
        Reply::Answer(passed) if passed.answer().is_success() => ("answered", String::new()),
        Reply::Answer(passed) => ("leaf_failed", format!("status {}", passed.answer().status)),
        Reply::Rejected { reason, .. } => ("rejected", (*reason).to_owned()),
        Reply::Failed(reason) => ("failed", (*reason).to_owned()),
        Reply::Withheld(status) => (
            "failed",
            format!("a leaf failed it with status {status}, which is not passed on"),
        ),
        Reply::TimedOut => ("timed_out", String::new()),
        Reply::NoRoute => ("no_route", String::new()),
    }
}

/// Logs a decision to change a version move's state, with the evidence for it.
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

/// Logs the progress of a running version move at this node.
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

/// Logs a posting of this node to the ledger of a version move, and the ledger's reply.
pub(crate) fn move_posted(post: &MovePost, reply: Option<&PostingReply>) {
    let posting = &post.posting;
    let Some(reply) = reply else {
        log::warn!(
            service:% = post.service, version:% = post.version, sequence = posting.sequence;
            "posting to a version move not answered"
        );
        return;
    };
    log::info!(
        service:% = post.service, version:% = post.version, sequence = posting.sequence,
        calls = posting.calls, wanted = posting.wanted_permits, permits = reply.permits,
        taken = reply.is_recorded, ruling:? = reply.ruling,
        elapsed_ms = millis(Some(reply.elapsed)),
        all_calls = reply.totals.calls, all_permits = reply.totals.net_permits,
        all_settled = reply.totals.settled, bad = reply.totals.bad,
        nodes = reply.totals.processes,
        evidence = evidence(&reply.totals.evidence).as_str();
        "version move posted"
    );
}

/// Formats the counts of each route as requests/failed/slow, for the new version and the old one.
fn evidence(evidence: &Evidence) -> String {
    let show =
        |counts: RequestCounts| format!("{}/{}/{}", counts.requests, counts.failed, counts.slow);
    let routes = evidence
        .routes
        .iter()
        .map(|(route, seen)| format!("{route} new {} old {}", show(seen.new), show(seen.old)));
    routes.collect::<Vec<_>>().join(", ")
}
