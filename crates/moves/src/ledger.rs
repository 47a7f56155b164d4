//! The ledger of a move: a record in the store, shared by all nodes, that alone grants permits to call the
//! new version.
//!
//! A node calls the new version only with a permit, and a permit is granted only by a write to the ledger
//! that succeeds under the record's revision (compare-and-swap). So one number in one record bounds the
//! calls of all nodes together, whichever nodes are lost, restarted, partitioned or slow: a node that does
//! not reach the ledger gets no permits, and permits that are lost with a node stay counted.
//!
//! A move has three phases. In the canary phase the ledger grants a small fraction of the allowed calls. In
//! the load phase it grants more of them in a shorter time, to test the new version under load. The final
//! phase lies between completion, after which only the new version is called, and the deadline.
//!
//! # Invariants
//!
//! - Calls to the new version before completion never exceed `granted - returned`, which stays below a
//!   fraction of the exposure allowed for the calls posted so far.
//! - Bad answers never exceed `bad` plus the unsettled permits, which stay within [`BAD_LIMIT`]: a bad
//!   version never reaches its fiftieth bad answer.
//! - `elapsed` never exceeds the time since the order, since each node counts from when it first saw the
//!   order, on a monotonic clock. So no move is completed earlier than its exposure bound allows.

mod restore;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::evidence::{Evidence, RequestCounts, RouteEvidence};
use crate::histogram::LatencyHistogram;
use crate::order::OrderId;
use crate::verdict::{Detector, Fault, Verdict, VerdictSettings};
use restore::Floor;
pub use restore::{PostingHistory, RecordedPosting};

/// Fraction of the allowed calls that may be granted in the canary phase.
const CANARY_FRACTION: f64 = 0.2;
/// Fraction of the allowed calls that may be granted in total once the load phase has started.
const LOAD_FRACTION: f64 = 0.55;
/// Fraction of the allowed calls that is reserved for the final phase. The remainder covers repeats and calls
/// that were never posted.
const FINAL_FRACTION: f64 = 0.27;
/// Fraction of the move's duration after which the load phase starts.
const LOAD_PHASE_START: f64 = 0.8;
/// Length of the intervals by which calls to the new version are counted.
pub const LOAD_INTERVAL: Duration = Duration::from_millis(125);
/// Intervals in a window over which the load on the new version is measured.
const LOAD_WINDOW_INTERVALS: u64 = 2;
/// Fraction of all calls to be made that the new version must serve in a window for it to count as loaded.
const REQUIRED_LOAD_FRACTION: f64 = 0.6;
/// Fraction of the calls expected between the start of the load phase and the final phase that the new version
/// must have served in loaded windows, and the number of calls that is enough in any case.
const REQUIRED_CALLS_FRACTION: f64 = 0.4;
const REQUIRED_LOADED_CALLS: u64 = 8;
/// Longest final phase as a fraction of the move's duration, and the time that is allowed for it in any case.
const MAX_FINAL_PHASE_FRACTION: f64 = 0.06;
const MAX_FINAL_PHASE_FLOOR: Duration = Duration::from_millis(500);
/// Fraction of the longest final phase that is reserved for a rollback.
const ROLLBACK_RESERVE_FRACTION: f64 = 0.2;
/// Advance of the elapsed time that is recorded even if a posting contains nothing else of importance.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of bad answers and unsettled permits together.
pub const BAD_LIMIT: u64 = 40;
/// Ended calls to the new version that are enough for its completion.
const REQUIRED_TRIAL_CALLS: u64 = 10;
/// One ended call to the new version is required per this many calls to the service, up to
/// [`REQUIRED_TRIAL_CALLS`].
const CALLS_PER_TRIAL_CALL: u64 = 8;
/// The same two bounds for each route, by its calls to the old version.
const REQUIRED_ROUTE_TRIAL_CALLS: u64 = 4;
const ROUTE_CALLS_PER_TRIAL_CALL: u64 = 50;
/// Histogram buckets above the baseline response time beyond which an answer is slow: about 1.5 times the
/// baseline.
const SLOW_BUCKETS: u8 = 2;
/// Histogram buckets above the baseline beyond which an answer counts as bad by itself: twice the baseline.
const BAD_BUCKETS: u8 = 4;
/// Detector sum from which on a version is not completed, although it is not rolled back yet.
const COMPLETION_SUM_LIMIT: f64 = 3.5;

/// `MoveLimits` are the time and the exposure that a move may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveLimits {
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Share of a service's calls that a bad version may receive, over all nodes.
    pub share: f64,
    /// Calls that a bad version may receive beyond that share.
    pub slack: f64,
    /// Nodes that may call the service.
    pub nodes: usize,
}

impl MoveLimits {
    fn max_exposure(&self, calls: f64) -> f64 {
        self.share * calls + self.slack
    }

    /// Returns the time from the order to the start of the load phase.
    pub fn load_phase_start(&self) -> Duration {
        self.duration.mul_f64(LOAD_PHASE_START)
    }

    /// Returns the longest time between completion and deadline.
    pub fn max_final_phase(&self) -> Duration {
        let longest = self.duration.mul_f64(MAX_FINAL_PHASE_FRACTION);
        longest.max(MAX_FINAL_PHASE_FLOOR).min(self.duration)
    }

    /// Returns the time since the order at which a move that is not completed is rolled back, so that all
    /// nodes know of the rollback by the deadline.
    pub fn rollback_time(&self) -> Duration {
        self.duration - self.max_final_phase().mul_f64(ROLLBACK_RESERVE_FRACTION)
    }

    /// Returns the permits that each call to the service allows for in the canary phase.
    pub fn permits_per_call(&self) -> f64 {
        self.share * CANARY_FRACTION
    }
}

/// `OrderKey` identifies an order among those of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderKey {
    /// Identity of the order.
    #[serde(flatten)]
    pub id: OrderId,
    /// The new version.
    pub version: String,
}

impl OrderKey {
    /// Returns whether both keys are of the same order, as far as that is known.
    pub fn is_same(&self, other: &Self) -> bool {
        self.version == other.version && self.id.is_same(other.id)
    }
}

/// `VersionSample` is what a node has observed of one version on one route since its last posting.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSample {
    /// Response times of all ended calls.
    pub times: LatencyHistogram,
    /// Ended calls that failed.
    pub failed: u64,
}

impl VersionSample {
    fn merge(&mut self, other: &Self) {
        self.times.merge(&other.times);
        self.failed += other.failed;
    }

    /// Returns the counts, where response times more than [`SLOW_BUCKETS`] above `baseline_bucket` are slow.
    fn counts(&self, baseline_bucket: u8) -> RequestCounts {
        let counts = RequestCounts {
            requests: self.times.count(),
            failed: self.failed,
            slow: self.times.count_above(baseline_bucket, SLOW_BUCKETS),
        };
        counts.clamped()
    }
}

/// `RouteSamples` are what a node has observed of both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSamples {
    /// The old version.
    pub old: VersionSample,
    /// The new version.
    pub new: VersionSample,
    /// Response times from before the order, which count towards the baseline.
    pub before: LatencyHistogram,
}

/// `Posting` is a node's update of the ledger. It is applied once, however often it is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Posting {
    /// Identity of the process that posts.
    pub process: u64,
    /// Number of the posting, which increases with each posting of the process.
    pub sequence: u64,
    /// Lower bound of the time since the order.
    pub elapsed: Duration,
    /// Calls that have reached the service since the last posting.
    pub calls: u64,
    /// Calls to the service that the process has to make, per second; zero until known.
    pub rate: f64,
    /// Permits whose calls have ended.
    pub settled: u64,
    /// Permits that were not used, or whose calls did not reach a leaf.
    pub returned: u64,
    /// Ended calls, by route.
    pub samples: BTreeMap<String, RouteSamples>,
    /// Calls to the new version, by number of the [`LOAD_INTERVAL`] since the order in which they were sent.
    pub interval_calls: BTreeMap<u64, u64>,
    /// Permits that the process asks for.
    pub wanted_permits: u64,
    /// Whether the move is to be completed if its conditions are met.
    pub wants_completion: bool,
    /// Whether the posting was sent before and not answered. The ledger may contain it already, so it must not
    /// be applied to a stale copy.
    pub is_retry: bool,
}

impl Posting {
    /// Returns whether the posting changes permits or reports calls to the new version.
    fn concerns_new_version(&self) -> bool {
        let is_new = |samples: &RouteSamples| samples.new.times.count() > 0;
        self.settled > 0 || self.returned > 0 || self.samples.values().any(is_new)
    }
}

/// `Ruling` is the ledger's decision on a move. All but [`Ruling::Running`] are final.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ruling {
    /// Both versions are called.
    #[default]
    Running,
    /// Only the new version is called.
    Completed,
    /// Only the old version is called: the new one fails too often.
    Failing,
    /// Only the old version is called: the new one is too slow.
    Slow,
    /// Only the old version is called: the move was not completed in time.
    TooLate,
}

/// Response times on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RouteTimes {
    /// Response times of the old version.
    #[serde(rename = "usual")]
    baseline: LatencyHistogram,
    /// Calls to the new version that ended before the baseline was known. They are not counted until then.
    #[serde(rename = "unjudged")]
    unclassified: VersionSample,
}

/// State of one process that posts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ProcessState {
    /// Number of its latest recorded posting.
    sequence: u64,
    /// Permits granted to that posting.
    permits: u64,
    /// Calls to the service that it has to make, per second; zero until known.
    rate: f64,
}

/// `Ledger` is the shared record of one move.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledger {
    key: OrderKey,
    ruling: Ruling,
    /// Lower bound of the time since the order, in milliseconds.
    elapsed: u64,
    calls: u64,
    /// Permits granted, including those returned.
    granted: u64,
    returned: u64,
    settled: u64,
    bad: u64,
    /// What was counted before the store was restored from an older copy.
    #[serde(default)]
    floor: Floor,
    evidence: Evidence,
    /// Detects a fault on a single route.
    detector: Detector,
    /// Detects a fault over all routes together.
    joint: Detector,
    /// Response times, by route.
    times: BTreeMap<String, RouteTimes>,
    #[serde(rename = "posters")]
    processes: BTreeMap<u64, ProcessState>,
    /// Calls to the new version, by number of the [`LOAD_INTERVAL`] since the order in which they were sent.
    #[serde(rename = "borne")]
    interval_calls: BTreeMap<u64, u64>,
}

/// `Totals` sum up the postings of all nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Calls to the service that were posted.
    pub calls: u64,
    /// Permits granted for calls to the new version, less those returned.
    pub net_permits: u64,
    /// Permits whose calls have ended.
    pub settled: u64,
    /// Bad answers of the new version.
    pub bad: u64,
    /// Processes that have posted.
    pub processes: usize,
    /// Ended calls to both versions, by route.
    pub evidence: Evidence,
}

/// `PostingReply` is the ledger's reply to a posting.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PostingReply {
    /// Permits granted.
    pub permits: u64,
    /// Decision on the move.
    pub ruling: Ruling,
    /// Lower bound of the time since the order.
    pub elapsed: Duration,
    /// Time since the order from which on the move may be completed.
    pub earliest_completion: Duration,
    /// Sums over all nodes.
    pub totals: Totals,
    /// Whether the posting is in the ledger. If not, other nodes need nothing of its content, and the process
    /// must include it in its next posting.
    pub is_recorded: bool,
    /// Whether the ledger was changed, so that the reply is valid only after the ledger has been written.
    pub needs_write: bool,
}

impl Ledger {
    /// Creates the ledger of an order.
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
            floor: Floor::default(),
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

    /// Applies a posting and returns the reply, which is valid once the ledger has been written.
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
            // Other nodes need nothing of the posting: the process includes it in its next one.
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

    /// Decides on the move by the evidence and the elapsed time.
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

    /// Passes the evidence to the detectors and returns the fault that it shows, if any.
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

    /// Returns whether enough calls have tested the new version, and none of the detectors suspects a fault.
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

    /// Returns whether the new version has served enough calls in loaded windows since the load phase began.
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

    /// Returns the calls to the service that all nodes together have to make, per second. Nodes that have not
    /// posted are assumed to make as many as the others.
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

    /// Returns the time since the order from which on all calls until the deadline fit into the exposure that
    /// is reserved for the final phase.
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

    /// Grants as many of the wanted permits as the bounds allow.
    fn grant_permits(&mut self, wanted_permits: u64, limits: &MoveLimits) -> u64 {
        let elapsed = self.elapsed();
        let fraction = if elapsed >= limits.load_phase_start() {
            LOAD_FRACTION
        } else {
            CANARY_FRACTION
        };
        let max_permits = (fraction * limits.max_exposure(self.calls as f64)) as u64;
        let net_permits = self.net_permits();
        let unsettled = net_permits.saturating_sub(self.settled());
        let permits = wanted_permits
            .min(max_permits.saturating_sub(net_permits))
            .min(BAD_LIMIT.saturating_sub(self.bad() + unsettled));
        self.granted += permits;
        permits
    }

    /// Returns the permits granted, less those returned.
    fn net_permits(&self) -> u64 {
        let net = self.granted - self.returned.min(self.granted);
        net.max(self.floor.net_permits)
    }

    /// Returns the number of permits whose calls have ended.
    fn settled(&self) -> u64 {
        self.settled.max(self.floor.settled)
    }

    /// Returns the number of bad answers of the new version.
    fn bad(&self) -> u64 {
        self.bad.max(self.floor.bad)
    }

    fn reply(&self, permits: u64, limits: &MoveLimits) -> PostingReply {
        PostingReply {
            permits,
            ruling: self.ruling,
            elapsed: self.elapsed(),
            earliest_completion: self.earliest_completion(limits),
            totals: Totals {
                calls: self.calls,
                net_permits: self.net_permits(),
                settled: self.settled(),
                bad: self.bad(),
                processes: self.processes.len(),
                evidence: self.evidence.clone(),
            },
            is_recorded: false,
            needs_write: false,
        }
    }
}
