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
const TRICKLE_PART: f64 = 0.2;
/// Part that is granted in all once the new version is tried under load.
const LOAD_PART: f64 = 0.55;
/// Part that is left for the calls between completion and deadline. The rest is room for repeats and for
/// calls that nobody has posted.
const FINAL_PART: f64 = 0.27;
/// Part of the move's time after which the new version is tried under load.
const LOAD_BEGIN: f64 = 0.8;
/// Steps of time by which the load on the new version is taken, and how many of them make a span.
pub const LOAD_INTERVAL: Duration = Duration::from_millis(125);
const LOAD_STEPS: u64 = 2;
/// Part of the whole load that the new version must have borne before it is completed.
const BORNE_PART: f64 = 0.6;
/// Calls of the end of the move that must have come under such a load, as a part and at most.
const BORNE_CALLS_PART: f64 = 0.4;
const LEAST_BORNE: u64 = 8;
/// Longest part of the move's time between completion and deadline, and the time that it is at least.
const LONGEST_FINAL_PART: f64 = 0.06;
const LONGEST_FINAL: Duration = Duration::from_millis(500);
/// Part of the longest time between completion and deadline that is left for a reversal.
const GIVE_UP_PART: f64 = 0.2;
/// Time after which the ledger is written for the time alone.
const CHECKPOINT: Duration = Duration::from_millis(500);
/// Most bad answers, and permits not settled, at a time.
pub const BAD_LIMIT: u64 = 40;
/// Ends of calls to the new version without which it is not completed, where there are calls enough.
const LEAST_ENDS: u64 = 10;
/// Calls to the service of which one at least must have tried the new version.
const CALLS_PER_END: u64 = 8;
/// The same on each route.
const LEAST_ROUTE_ENDS: u64 = 4;
const ROUTE_CALLS_PER_END: u64 = 50;
/// Classes above the usual response time from which on an answer is slow: half as much again.
const SLOW_CLASSES: u8 = 2;
/// Classes above it from which on an answer counts as bad by itself: twice as much.
const BAD_CLASSES: u8 = 4;
/// Sum from which on a version is not completed though it is not taken back yet.
const DOUBT: f64 = 3.5;

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
    fn allowed(&self, calls: f64) -> f64 {
        self.share * calls + self.slack
    }

    /// Returns the time since the order from which on the new version is tried under load.
    pub fn load_phase_start(&self) -> Duration {
        self.duration.mul_f64(LOAD_BEGIN)
    }

    /// Returns the longest time between completion and deadline.
    pub fn max_final_phase(&self) -> Duration {
        let longest = self.duration.mul_f64(LONGEST_FINAL_PART);
        longest.max(LONGEST_FINAL).min(self.duration)
    }

    /// Returns the time since the order at which the move is taken back if it is not completed, so that this
    /// is known by the deadline.
    pub fn rollback_time(&self) -> Duration {
        self.duration - self.max_final_phase().mul_f64(GIVE_UP_PART)
    }

    /// Returns the permits that a call to the service earns while the new version is not tried under load.
    pub fn permits_per_call(&self) -> f64 {
        self.share * TRICKLE_PART
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
    fn tally(&self, usual: u8) -> RequestCounts {
        let tally = RequestCounts {
            requests: self.times.count(),
            failed: self.failed,
            slow: self.times.above(usual, SLOW_CLASSES),
        };
        tally.bounded()
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
    fn tells(&self) -> bool {
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
    usual: LatencyHistogram,
    /// What the new version did before the usual ones were known.
    unjudged: VersionSample,
}

/// What a process has posted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Poster {
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
    posters: BTreeMap<u64, Poster>,
    /// Calls to the new version, by the [`LOAD_INTERVAL`] since the order in which they were sent.
    borne: BTreeMap<u64, u64>,
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
            posters: BTreeMap::new(),
            borne: BTreeMap::new(),
        }
    }

    /// Returns the order that the ledger belongs to.
    pub fn key(&self) -> &OrderKey {
        &self.key
    }

    /// Takes in a posting and answers it. The answer holds once the ledger is written.
    pub fn post(&mut self, posting: &Posting, terms: &MoveLimits) -> PostingReply {
        let known = self.posters.get(&posting.process).copied();
        let known = known.unwrap_or_default();
        if posting.sequence <= known.sequence {
            return PostingReply {
                is_recorded: true,
                ..self.answer(known.permits, terms)
            };
        }
        if self.ruling != Ruling::Running {
            return self.answer(0, terms);
        }
        let before = self.clone();
        self.take(posting);
        self.rule(posting.wants_completion, terms);
        let permits = if self.ruling == Ruling::Running {
            self.grant(posting.wanted_permits, terms)
        } else {
            0
        };
        let is_old = self.elapsed > before.elapsed + CHECKPOINT.as_millis() as u64;
        let is_told = posting.tells() || is_old;
        if permits == 0 && self.ruling == Ruling::Running && !is_told {
            // Nothing that others must know: the node posts its calls with the next one.
            let answer = self.answer(0, terms);
            *self = before;
            return answer;
        }
        let poster = Poster {
            sequence: posting.sequence,
            permits,
            rate: posting.rate,
        };
        self.posters.insert(posting.process, poster);
        PostingReply {
            is_recorded: true,
            needs_write: true,
            ..self.answer(permits, terms)
        }
    }

    fn take(&mut self, posting: &Posting) {
        self.elapsed = self.elapsed.max(posting.elapsed.as_millis() as u64);
        self.calls += posting.calls;
        self.settled += posting.settled;
        for (step, calls) in &posting.interval_calls {
            *self.borne.entry(*step).or_default() += calls;
        }
        self.returned += posting.returned;
        for (route, samples) in &posting.samples {
            self.take_samples(route, samples);
        }
    }

    fn take_samples(&mut self, route: &str, samples: &RouteSamples) {
        let times = self.times.entry(route.to_owned()).or_default();
        times.usual.merge(&samples.before);
        times.usual.merge(&samples.old.times);
        times.usual.fade();
        times.unjudged.merge(&samples.new);
        let held = self.evidence.routes.entry(route.to_owned()).or_default();
        let Some(limit) = times.usual.usual() else {
            held.old.merge(samples.old.tally(u8::MAX));
            return;
        };
        let new = std::mem::take(&mut times.unjudged);
        self.bad += new.failed + new.times.above(limit, BAD_CLASSES);
        held.old.merge(samples.old.tally(limit));
        held.new.merge(new.tally(limit));
    }

    /// Ends the move if it is time.
    fn rule(&mut self, finish: bool, terms: &MoveLimits) {
        let elapsed = self.elapsed();
        self.ruling = match self.fault() {
            Some(Fault::Failing) => Ruling::Failing,
            Some(Fault::Slow) => Ruling::Slow,
            None if elapsed >= terms.rollback_time() => Ruling::TooLate,
            None if finish
                && elapsed >= self.earliest_completion(terms)
                && self.is_proved(terms) =>
            {
                Ruling::Completed
            }
            None => Ruling::Running,
        };
    }

    /// Looks at the evidence and returns the fault that it shows.
    fn fault(&mut self) -> Option<Fault> {
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
    fn is_proved(&self, terms: &MoveLimits) -> bool {
        let ends: u64 = self.evidence.routes.values().map(|r| r.new.requests).sum();
        let is_judged = |times: &RouteTimes| times.unjudged.times.count() == 0;
        let are_judged = self.times.values().all(is_judged);
        let are_tried = self.evidence.routes.values().all(|route| {
            let wanted = route.old.requests / ROUTE_CALLS_PER_END;
            route.new.requests >= wanted.min(LEAST_ROUTE_ENDS)
        });
        let wanted = self.calls.div_ceil(CALLS_PER_END).min(LEAST_ENDS);
        let is_doubtful = self.detector.highest().max(self.joint.highest()) >= DOUBT;
        ends >= wanted && are_judged && are_tried && self.has_borne(terms) && !is_doubtful
    }

    /// Returns whether the new version has borne most of the load at the end of the move.
    fn has_borne(&self, terms: &MoveLimits) -> bool {
        let demand = self.demand(terms);
        let load = BORNE_PART * demand * LOAD_INTERVAL.as_secs_f64() * LOAD_STEPS as f64;
        let begin = (terms.load_phase_start().as_millis() / LOAD_INTERVAL.as_millis()) as u64;
        let of = |step: u64| self.borne.get(&step).copied().unwrap_or(0);
        let is_loaded = |first: u64| {
            let calls: u64 = (first..first + LOAD_STEPS).map(of).sum();
            calls as f64 >= load
        };
        let spans_of = |step: u64| step.saturating_sub(LOAD_STEPS - 1)..=step;
        let steps = self.borne.range(begin..);
        let loaded = steps.filter(|(step, _)| spans_of(**step).any(is_loaded));
        let borne: u64 = loaded.map(|(_, calls)| calls).sum();
        let end = terms.duration - terms.max_final_phase();
        let span = end.saturating_sub(terms.load_phase_start());
        let wanted = (BORNE_CALLS_PART * demand * span.as_secs_f64()) as u64;
        borne >= wanted.min(LEAST_BORNE)
    }

    /// Returns the calls that all nodes together want, in calls a second. Nodes that have posted nothing may
    /// want as many as the others.
    fn demand(&self, terms: &MoveLimits) -> f64 {
        let posted = self.calls as f64 / self.elapsed().as_secs_f64().max(1e-3);
        let rates = self.posters.values().map(|poster| poster.rate);
        let known = rates.filter(|rate| *rate > 0.0);
        let (count, sum) = known.fold((0.0, 0.0), |(count, sum), rate| (count + 1.0, sum + rate));
        posted.max(terms.nodes as f64 * sum / f64::max(count, 1.0))
    }

    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.elapsed)
    }

    /// Returns the time since the order from which on the calls until the deadline fit into what is left
    /// for them.
    fn earliest_completion(&self, terms: &MoveLimits) -> Duration {
        let demand = self.demand(terms);
        if demand == 0.0 {
            return terms.duration - terms.max_final_phase();
        }
        let duration = terms.duration.as_secs_f64();
        let elapsed = self.elapsed().as_secs_f64().max(1e-3);
        let calls = self.calls as f64 * duration / elapsed;
        let left = (FINAL_PART * terms.allowed(calls) / demand).min(duration);
        terms.duration - Duration::from_secs_f64(left).min(terms.max_final_phase())
    }

    /// Grants permits, as many as the bounds allow.
    fn grant(&mut self, wanted: u64, terms: &MoveLimits) -> u64 {
        let elapsed = self.elapsed();
        let part = if elapsed >= terms.load_phase_start() {
            LOAD_PART
        } else {
            TRICKLE_PART
        };
        let most = (part * terms.allowed(self.calls as f64)) as u64;
        let used = self.granted - self.returned.min(self.granted);
        let open = used.saturating_sub(self.settled);
        let permits = wanted
            .min(most.saturating_sub(used))
            .min(BAD_LIMIT.saturating_sub(self.bad + open));
        self.granted += permits;
        permits
    }

    fn answer(&self, permits: u64, terms: &MoveLimits) -> PostingReply {
        PostingReply {
            permits,
            ruling: self.ruling,
            elapsed: self.elapsed(),
            earliest_completion: self.earliest_completion(terms),
            totals: Totals {
                calls: self.calls,
                net_permits: self.granted - self.returned.min(self.granted),
                settled: self.settled,
                bad: self.bad,
                processes: self.posters.len(),
                evidence: self.evidence.clone(),
            },
            is_recorded: false,
            needs_write: false,
        }
    }
}
