//! The ledger of a move: one record that all nodes share, and that alone permits calls to the new version.
//!
//! A node calls the new version only with a permit, and a permit is granted only by a write to the ledger
//! that succeeds under the record's revision. So the calls of all nodes together are bounded by one number
//! in one place, whatever nodes are lost, restarted, cut off or slow: a node that does not reach the ledger
//! has no permits, and permits that are lost with a node stay counted.
//!
//! # Invariants
//!
//! - Calls to the new version before it is completed never exceed `granted - returned`, which stays below a
//!   part of what is allowed of the calls posted until then.
//! - Bad answers never exceed `bad` plus the permits that are not settled, which stay below
//!   [`BAD_LIMIT`]: a bad version never gets to its fiftieth bad answer.
//! - `elapsed` never exceeds the time since the order, since each node counts from when it first saw it, on
//!   a clock that nobody sets. So the move is not completed earlier than its bound has room for.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::evidence::{Evidence, RequestCounts, RouteEvidence};
use crate::histogram::LatencyHistogram;
use crate::verdict::{Detector, Fault, Verdict, VerdictSettings};

/// Part of the allowed calls that is granted from the start on.
const CANARY_FRACTION: f64 = 0.2;
/// Part that is granted in all once the new version is tried under load.
const LOAD_FRACTION: f64 = 0.55;
/// Part that is left for the calls between completion and deadline. The rest is room for repeats and for
/// calls that nobody has posted.
const FINAL_FRACTION: f64 = 0.27;
/// Part of the move's time after which the new version is tried under load.
const LOAD_PHASE_START: f64 = 0.8;
/// Steps of time by which the load on the new version is taken, and how many of them make a span.
pub const LOAD_INTERVAL: Duration = Duration::from_millis(125);
const LOAD_WINDOW_INTERVALS: u64 = 2;
/// Part of the whole load that the new version must have borne before it is completed.
const REQUIRED_LOAD_FRACTION: f64 = 0.6;
/// Calls of the end of the move that must have come under such a load, as a part and at most.
const REQUIRED_CALLS_FRACTION: f64 = 0.4;
const REQUIRED_LOADED_CALLS: u64 = 8;
/// Longest part of the move's time between completion and deadline, and the time that it is at least.
const MAX_FINAL_PHASE_FRACTION: f64 = 0.06;
const MAX_FINAL_PHASE_FLOOR: Duration = Duration::from_millis(500);
/// Part of the longest time between completion and deadline that is left for a reversal.
const ROLLBACK_RESERVE_FRACTION: f64 = 0.2;
/// Time after which the ledger is written for the time alone.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);
/// Most bad answers, and permits not settled, at a time.
pub const BAD_LIMIT: u64 = 40;
/// Ends of calls to the new version without which it is not completed, where there are calls enough.
const REQUIRED_TRIAL_CALLS: u64 = 10;
/// Calls to the service of which one at least must have tried the new version.
const CALLS_PER_TRIAL_CALL: u64 = 8;
/// The same on each route.
const REQUIRED_ROUTE_TRIAL_CALLS: u64 = 4;
const ROUTE_CALLS_PER_TRIAL_CALL: u64 = 50;
/// Classes above the usual response time from which on an answer is slow: half as much again.
const SLOW_BUCKETS: u8 = 2;
/// Classes above it from which on an answer counts as bad by itself: twice as much.
const BAD_BUCKETS: u8 = 4;
/// Sum from which on a version is not completed though it is not taken back yet.
const COMPLETION_SUM_LIMIT: f64 = 3.5;

/// `MoveLimits` are what a move must keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveLimits {
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Share of a service's calls that a bad version may get of all nodes.
    pub share: f64,
    /// Calls that it may get beyond that.
    pub slack: f64,
    /// Nodes that may call the service.
    pub nodes: usize,
}

impl MoveLimits {
    fn max_exposure(&self, calls: f64) -> f64 {
        self.share * calls + self.slack
    }

    /// Returns the time since the order from which on the new version is tried under load.
    pub fn load_phase_start(&self) -> Duration {
        self.duration.mul_f64(LOAD_PHASE_START)
    }

    /// Returns the longest time between completion and deadline.
    pub fn max_final_phase(&self) -> Duration {
        let longest = self.duration.mul_f64(MAX_FINAL_PHASE_FRACTION);
        longest.max(MAX_FINAL_PHASE_FLOOR).min(self.duration)
    }

    /// Returns the time since the order at which the move is taken back if it is not completed, so that this
    /// is known by the deadline.
    pub fn rollback_time(&self) -> Duration {
        self.duration - self.max_final_phase().mul_f64(ROLLBACK_RESERVE_FRACTION)
    }

    /// Returns the permits that a call to the service earns while the new version is not tried under load.
    pub fn permits_per_call(&self) -> f64 {
        self.share * CANARY_FRACTION
    }
}

/// `OrderKey` tells orders of one service apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderKey {
    /// Grows with each order.
    pub id: u64,
    /// The new version.
    pub version: String,
}

/// `VersionSample` is what a node has seen of one version on one route since its last posting.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSample {
    /// Response times of all calls that ended.
    pub times: LatencyHistogram,
    /// Those that failed.
    pub failed: u64,
}

impl VersionSample {
    fn merge(&mut self, other: &Self) {
        self.times.merge(&other.times);
        self.failed += other.failed;
    }

    /// Returns the counts, where response times above the class `usual` are slow.
    fn counts(&self, baseline_bucket: u8) -> RequestCounts {
        let counts = RequestCounts {
            requests: self.times.count(),
            failed: self.failed,
            slow: self.times.count_above(baseline_bucket, SLOW_BUCKETS),
        };
        counts.clamped()
    }
}

/// `RouteSamples` are what a node has seen of both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSamples {
    /// The old version.
    pub old: VersionSample,
    /// The new version.
    pub new: VersionSample,
    /// Response times from before the order, which tell what is usual.
    pub before: LatencyHistogram,
}

/// `Posting` is what a node adds to the ledger. It counts once, however often it is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Posting {
    /// The process that posts.
    pub process: u64,
    /// Grows with each posting of the process.
    pub sequence: u64,
    /// Least time since the order.
    pub elapsed: Duration,
    /// Calls that have reached the service since the last posting.
    pub calls: u64,
    /// Calls of the process that are wanted, in calls a second; zero until it is known.
    pub rate: f64,
    /// Permits whose calls have ended.
    pub settled: u64,
    /// Permits that were not used, or whose calls never reached a leaf.
    pub returned: u64,
    /// Ends of calls, by route.
    pub samples: BTreeMap<String, RouteSamples>,
    /// Calls to the new version, by the [`LOAD_INTERVAL`] since the order in which they were sent.
    pub interval_calls: BTreeMap<u64, u64>,
    /// Permits wanted.
    pub wanted_permits: u64,
    /// Whether the move is to be completed if it may be.
    pub wants_completion: bool,
    /// Whether it was sent before and not answered. It may be in the ledger, which must not be looked up in old
    /// data then.
    pub is_retry: bool,
}

impl Posting {
    /// Returns whether it tells of permits or of the new version.
    fn concerns_new_version(&self) -> bool {
        let is_new = |samples: &RouteSamples| samples.new.times.count() > 0;
        self.settled > 0 || self.returned > 0 || self.samples.values().any(is_new)
    }
}

/// `Ruling` is how far a move has come. All but [`Ruling::Running`] are final.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ruling {
    /// Both versions are called.
    #[default]
    Running,
    /// Only the new version is called.
    Completed,
    /// Only the old version is called: the new one fails.
    Failing,
    /// Only the old version is called: the new one is slow.
    Slow,
    /// Only the old version is called: the time is over.
    TooLate,
}

/// Response times on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RouteTimes {
    /// Those of the old version.
    #[serde(rename = "usual")]
    baseline: LatencyHistogram,
    /// What the new version did before the usual ones were known.
    #[serde(rename = "unjudged")]
    unclassified: VersionSample,
}

/// What a process has posted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ProcessState {
    sequence: u64,
    /// Permits granted to its latest posting.
    permits: u64,
    /// Calls that it wants, in calls a second; zero until it is known.
    rate: f64,
}

/// `Ledger` is the record of one move.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledger {
    key: OrderKey,
    ruling: Ruling,
    /// Least time since the order, in milliseconds.
    elapsed: u64,
    calls: u64,
    granted: u64,
    returned: u64,
    settled: u64,
    bad: u64,
    evidence: Evidence,
    /// The test of each route, and of all routes together.
    detector: Detector,
    joint: Detector,
    /// Response times, by route.
    times: BTreeMap<String, RouteTimes>,
    #[serde(rename = "posters")]
    processes: BTreeMap<u64, ProcessState>,
    /// Calls to the new version, by the [`LOAD_INTERVAL`] since the order in which they were sent.
    #[serde(rename = "borne")]
    interval_calls: BTreeMap<u64, u64>,
}

/// `Totals` are what all nodes together have sent and seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Calls to the service that were posted.
    pub calls: u64,
    /// Permits for calls to the new version, less those returned.
    pub net_permits: u64,
    /// Permits whose calls have ended.
    pub settled: u64,
    /// Bad answers of the new version.
    pub bad: u64,
    /// Processes that have posted.
    pub processes: usize,
    /// Ends of calls to both versions, by route.
    pub evidence: Evidence,
}

/// `PostingReply` is the answer to a posting.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PostingReply {
    /// Permits granted.
    pub permits: u64,
    /// How far the move has come.
    pub ruling: Ruling,
    /// Least time since the order.
    pub elapsed: Duration,
    /// Time since the order from which on the move may be completed.
    pub earliest_completion: Duration,
    /// What all nodes together have sent and seen.
    pub totals: Totals,
    /// Whether the posting is in the ledger. If not it tells nothing that others must know, and the node
    /// keeps it for its next one.
    pub is_recorded: bool,
    /// Whether the ledger was changed, and must be written for the answer to hold.
    pub needs_write: bool,
}

impl Ledger {
    /// Begins the ledger of an order.
    pub fn new(key: OrderKey) -> Self {
        Self {
            key,
            ruling: Ruling::Running,
            elapsed: 0,
            calls: 0,
            granted: 0,
            returned: 0,
            settled: 0,
            bad: 0,
            evidence: Evidence::default(),
            detector: Detector::new(VerdictSettings::default()),
            joint: Detector::new(VerdictSettings::default()),
            times: BTreeMap::new(),
            processes: BTreeMap::new(),
            interval_calls: BTreeMap::new(),
        }
    }

    /// Returns the order that the ledger belongs to.
    pub fn key(&self) -> &OrderKey {
        &self.key
    }

    /// Takes in a posting and answers it. The answer holds once the ledger is written.
    pub fn post(&mut self, posting: &Posting, limits: &MoveLimits) -> PostingReply {
        let recorded = self.processes.get(&posting.process).copied();
        let recorded = recorded.unwrap_or_default();
        if posting.sequence <= recorded.sequence {
            return PostingReply {
                is_recorded: true,
                ..self.reply(recorded.permits, limits)
            };
        }
        if self.ruling != Ruling::Running {
            return self.reply(0, limits);
        }
        let before = self.clone();
        self.apply(posting);
        self.update_ruling(posting.wants_completion, limits);
        let permits = if self.ruling == Ruling::Running {
            self.grant_permits(posting.wanted_permits, limits)
        } else {
            0
        };
        let is_checkpoint_due =
            self.elapsed > before.elapsed + CHECKPOINT_INTERVAL.as_millis() as u64;
        let must_record = posting.concerns_new_version() || is_checkpoint_due;
        if permits == 0 && self.ruling == Ruling::Running && !must_record {
            // Nothing that others must know: the node posts its calls with the next one.
            let reply = self.reply(0, limits);
            *self = before;
            return reply;
        }
        let process = ProcessState {
            sequence: posting.sequence,
            permits,
            rate: posting.rate,
        };
        self.processes.insert(posting.process, process);
        PostingReply {
            is_recorded: true,
            needs_write: true,
            ..self.reply(permits, limits)
        }
    }

    fn apply(&mut self, posting: &Posting) {
        self.elapsed = self.elapsed.max(posting.elapsed.as_millis() as u64);
        self.calls += posting.calls;
        self.settled += posting.settled;
        for (interval, calls) in &posting.interval_calls {
            *self.interval_calls.entry(*interval).or_default() += calls;
        }
        self.returned += posting.returned;
        for (route, samples) in &posting.samples {
            self.apply_samples(route, samples);
        }
    }

    fn apply_samples(&mut self, route: &str, samples: &RouteSamples) {
        let times = self.times.entry(route.to_owned()).or_default();
        times.baseline.merge(&samples.before);
        times.baseline.merge(&samples.old.times);
        times.baseline.decay();
        times.unclassified.merge(&samples.new);
        let counts = self.evidence.routes.entry(route.to_owned()).or_default();
        let Some(bucket) = times.baseline.baseline_bucket() else {
            counts.old.merge(samples.old.counts(u8::MAX));
            return;
        };
        let new = std::mem::take(&mut times.unclassified);
        self.bad += new.failed + new.times.count_above(bucket, BAD_BUCKETS);
        counts.old.merge(samples.old.counts(bucket));
        counts.new.merge(new.counts(bucket));
    }

    /// Ends the move if it is time.
    fn update_ruling(&mut self, wants_completion: bool, limits: &MoveLimits) {
        let elapsed = self.elapsed();
        self.ruling = match self.detect_fault() {
            Some(Fault::Failing) => Ruling::Failing,
            Some(Fault::Slow) => Ruling::Slow,
            None if elapsed >= limits.rollback_time() => Ruling::TooLate,
            None if wants_completion
                && elapsed >= self.earliest_completion(limits)
                && self.is_proven(limits) =>
            {
                Ruling::Completed
            }
            None => Ruling::Running,
        };
    }

    /// Looks at the evidence and returns the fault that it shows.
    fn detect_fault(&mut self) -> Option<Fault> {
        let mut all = RouteEvidence::default();
        for route in self.evidence.routes.values() {
            all.old.merge(route.old);
            all.new.merge(route.new);
        }
        let all = Evidence {
            routes: BTreeMap::from([(String::new(), all)]),
        };
        let verdicts = [
            self.detector.evaluate(&self.evidence),
            self.joint.evaluate(&all),
        ];
        verdicts.into_iter().find_map(|verdict| match verdict {
            Verdict::Bad { fault, .. } => Some(fault),
            Verdict::Undecided | Verdict::Good => None,
        })
    }

    /// Returns whether the new version has been tried enough, and nothing speaks against it.
    fn is_proven(&self, limits: &MoveLimits) -> bool {
        let trial_calls: u64 = self.evidence.routes.values().map(|r| r.new.requests).sum();
        let is_classified = |times: &RouteTimes| times.unclassified.times.count() == 0;
        let are_classified = self.times.values().all(is_classified);
        let are_routes_tried = self.evidence.routes.values().all(|route| {
            let required = route.old.requests / ROUTE_CALLS_PER_TRIAL_CALL;
            route.new.requests >= required.min(REQUIRED_ROUTE_TRIAL_CALLS)
        });
        let required = self
            .calls
            .div_ceil(CALLS_PER_TRIAL_CALL)
            .min(REQUIRED_TRIAL_CALLS);
        let is_doubtful = self.detector.max_sum().max(self.joint.max_sum()) >= COMPLETION_SUM_LIMIT;
        trial_calls >= required
            && are_classified
            && are_routes_tried
            && self.has_sustained_load(limits)
            && !is_doubtful
    }

    /// Returns whether the new version has borne most of the load at the end of the move.
    fn has_sustained_load(&self, limits: &MoveLimits) -> bool {
        let demand = self.demand(limits);
        let load = REQUIRED_LOAD_FRACTION
            * demand
            * LOAD_INTERVAL.as_secs_f64()
            * LOAD_WINDOW_INTERVALS as f64;
        let first_interval =
            (limits.load_phase_start().as_millis() / LOAD_INTERVAL.as_millis()) as u64;
        let calls_at = |interval: u64| self.interval_calls.get(&interval).copied().unwrap_or(0);
        let is_loaded = |first: u64| {
            let calls: u64 = (first..first + LOAD_WINDOW_INTERVALS).map(calls_at).sum();
            calls as f64 >= load
        };
        let windows_of =
            |interval: u64| interval.saturating_sub(LOAD_WINDOW_INTERVALS - 1)..=interval;
        let intervals = self.interval_calls.range(first_interval..);
        let loaded = intervals.filter(|(interval, _)| windows_of(**interval).any(is_loaded));
        let loaded_calls: u64 = loaded.map(|(_, calls)| calls).sum();
        let end = limits.duration - limits.max_final_phase();
        let span = end.saturating_sub(limits.load_phase_start());
        let required = (REQUIRED_CALLS_FRACTION * demand * span.as_secs_f64()) as u64;
        loaded_calls >= required.min(REQUIRED_LOADED_CALLS)
    }

    /// Returns the calls that all nodes together want, in calls a second. Nodes that have posted nothing may
    /// want as many as the others.
    fn demand(&self, limits: &MoveLimits) -> f64 {
        let posted = self.calls as f64 / self.elapsed().as_secs_f64().max(1e-3);
        let rates = self.processes.values().map(|process| process.rate);
        let known = rates.filter(|rate| *rate > 0.0);
        let (count, sum) = known.fold((0.0, 0.0), |(count, sum), rate| (count + 1.0, sum + rate));
        posted.max(limits.nodes as f64 * sum / f64::max(count, 1.0))
    }

    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.elapsed)
    }

    /// Returns the time since the order from which on the calls until the deadline fit into what is left
    /// for them.
    fn earliest_completion(&self, limits: &MoveLimits) -> Duration {
        let demand = self.demand(limits);
        if demand == 0.0 {
            return limits.duration - limits.max_final_phase();
        }
        let duration = limits.duration.as_secs_f64();
        let elapsed = self.elapsed().as_secs_f64().max(1e-3);
        let calls = self.calls as f64 * duration / elapsed;
        let left = (FINAL_FRACTION * limits.max_exposure(calls) / demand).min(duration);
        limits.duration - Duration::from_secs_f64(left).min(limits.max_final_phase())
    }

    /// Grants permits, as many as the bounds allow.
    fn grant_permits(&mut self, wanted_permits: u64, limits: &MoveLimits) -> u64 {
        let elapsed = self.elapsed();
        let fraction = if elapsed >= limits.load_phase_start() {
            LOAD_FRACTION
        } else {
            CANARY_FRACTION
        };
        let max_permits = (fraction * limits.max_exposure(self.calls as f64)) as u64;
        let net_permits = self.granted - self.returned.min(self.granted);
        let unsettled = net_permits.saturating_sub(self.settled);
        let permits = wanted_permits
            .min(max_permits.saturating_sub(net_permits))
            .min(BAD_LIMIT.saturating_sub(self.bad + unsettled));
        self.granted += permits;
        permits
    }

    fn reply(&self, permits: u64, limits: &MoveLimits) -> PostingReply {
        PostingReply {
            permits,
            ruling: self.ruling,
            elapsed: self.elapsed(),
            earliest_completion: self.earliest_completion(limits),
            totals: Totals {
                calls: self.calls,
                net_permits: self.granted - self.returned.min(self.granted),
                settled: self.settled,
                bad: self.bad,
                processes: self.processes.len(),
                evidence: self.evidence.clone(),
            },
            is_recorded: false,
            needs_write: false,
        }
    }
}
