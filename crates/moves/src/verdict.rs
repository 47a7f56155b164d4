//! A sequential test of the new version against the old one, evaluated after every report.
//!
//! For each route, each kind of fault and a few alternative rates it keeps a cumulative sum of
//! log-likelihood ratios that never falls below zero (CUSUM, Page 1954): how much more likely the
//! latest counts of the new version are under the alternative than under the worst tolerated rate.
//! A fault that begins late is detected as fast as one from the start, since good requests before it
//! do not count in the new version's favour. While there is no fault, a sum exceeds a threshold `h`
//! about once in `exp(h)` requests or less often (Lorden 1971).
//!
//! The tolerated rate follows the old version over the same time, so that a cause that affects both
//! versions does not roll a move back. Sums depend on counts alone, so the counts of many nodes can be
//! added up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::evidence::{Evidence, RequestCounts, RouteEvidence};

/// Failure rates that are tested against the tolerated one.
const FAILURE_RATES: [f64; 4] = [0.01, 0.03, 0.1, 0.4];
/// Shares of slow requests that are tested against the tolerated one.
const SLOW_SHARES: [f64; 3] = [0.5, 0.7, 0.9];
/// Share of the old version's requests that are slow by definition.
const BASELINE_SLOW_SHARE: f64 = 0.25;
/// Requests of the old version from which its long-term rates are taken.
const LONG_WINDOW: f64 = 2_000.0;
/// Requests of the old version from which its present rates are taken.
const SHORT_WINDOW: f64 = 100.0;

/// `Fault` is the kind of fault that a version has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails more often than tolerated.
    Failing,
    /// It is slower than tolerated.
    Slow,
}

/// `VerdictSettings` are the bounds of what is tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VerdictSettings {
    /// Sum from which on a version is judged bad.
    pub threshold: f64,
    /// Failures tolerated, as a multiple of those of the old version.
    pub failure_factor: f64,
    /// Failure rate that is tolerated whatever that of the old version is.
    pub failure_floor: f64,
    /// Share of slow requests tolerated, as a multiple of that of the old version, which is a quarter
    /// in the long run.
    pub slow_factor: f64,
    /// Fewest requests of the new version on a route before it is judged good.
    pub least_requests: u64,
}

impl Default for VerdictSettings {
    fn default() -> Self {
        Self {
            threshold: 12.0,
            failure_factor: 2.0,
            failure_floor: 0.002,
            slow_factor: 1.35,
            least_requests: 200,
        }
    }
}

/// `Verdict` is the result of the test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No route shows a fault, but some routes have had too few requests.
    Undecided,
    /// No route shows a fault, and every route has had enough requests.
    Good,
    /// A route shows a fault.
    Bad {
        /// The route.
        route: String,
        /// The fault that it shows.
        fault: Fault,
    },
}

/// Counts of the latest requests of the old version; earlier ones weigh less and less.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Window {
    requests: f64,
    failed: f64,
    slow: f64,
}

impl Window {
    fn add(&mut self, counts: RequestCounts, size: f64) {
        let requests = counts.requests as f64;
        if self.requests + requests > size {
            let kept = (1.0 - requests / size).clamp(0.0, 1.0);
            self.requests *= kept;
            self.failed *= kept;
            self.slow *= kept;
        }
        self.requests += requests;
        self.failed += counts.failed as f64;
        self.slow += counts.slow as f64;
    }

    fn failure_rate(&self) -> f64 {
        self.failed / self.requests.max(1.0)
    }

    /// Returns the failure rate less one failure, which may be chance.
    fn discounted_failure_rate(&self) -> f64 {
        (self.failed - 1.0).max(0.0) / self.requests.max(1.0)
    }

    fn slow_share(&self) -> f64 {
        self.slow / self.requests.max(1.0)
    }
}

/// State of the test on one route.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct RouteDetector {
    /// Counts at the last evaluation.
    seen: RouteEvidence,
    /// Long-term counts of the old version.
    long: Window,
    /// Present counts of the old version.
    short: Window,
    /// Sums for [`FAILURE_RATES`].
    failing: [f64; FAILURE_RATES.len()],
    /// Sums for [`SLOW_SHARES`].
    slow: [f64; SLOW_SHARES.len()],
}

/// `Detector` runs the test on counts that grow, for all routes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Detector {
    settings: VerdictSettings,
    routes: BTreeMap<String, RouteDetector>,
}

impl Detector {
    /// Creates a detector without any counts.
    pub fn new(settings: VerdictSettings) -> Self {
        Self {
            settings,
            routes: BTreeMap::new(),
        }
    }

    /// Returns the highest sum, the strength of the evidence against the new version.
    pub fn max_sum(&self) -> f64 {
        let routes = self.routes.values();
        let all = routes.flat_map(|route| route.failing.iter().chain(&route.slow));
        all.copied().fold(0.0, f64::max)
    }

    /// Evaluates the counts, which include all earlier ones, and returns the verdict.
    pub fn evaluate(&mut self, evidence: &Evidence) -> Verdict {
        let mut has_enough = !evidence.routes.is_empty();
        for (route, counts) in &evidence.routes {
            let detector = match self.routes.get_mut(route) {
                Some(detector) => detector,
                None => self.routes.entry(route.clone()).or_default(),
            };
            if let Some(fault) = detector.evaluate(counts, &self.settings) {
                return Verdict::Bad {
                    route: route.clone(),
                    fault,
                };
            }
            has_enough &= counts.new.requests >= self.settings.least_requests;
        }
        if has_enough {
            Verdict::Good
        } else {
            Verdict::Undecided
        }
    }
}

impl RouteDetector {
    fn evaluate(&mut self, counts: &RouteEvidence, settings: &VerdictSettings) -> Option<Fault> {
        let old = counts_since(counts.old, self.seen.old);
        let new = counts_since(counts.new, self.seen.new);
        self.seen = *counts;
        self.long.add(old, LONG_WINDOW);
        self.short.add(old, SHORT_WINDOW);
        if new.requests == 0 || self.long.requests == 0.0 {
            return None;
        }

        let rate = self
            .long
            .failure_rate()
            .max(self.short.discounted_failure_rate());
        let tolerated = (rate * settings.failure_factor).max(settings.failure_floor);
        update_sums(
            &mut self.failing,
            &FAILURE_RATES,
            new.requests,
            new.failed,
            tolerated,
        );
        let share = self
            .long
            .slow_share()
            .max(self.short.slow_share())
            .max(BASELINE_SLOW_SHARE);
        let tolerated = share * settings.slow_factor;
        update_sums(
            &mut self.slow,
            &SLOW_SHARES,
            new.requests,
            new.slow,
            tolerated,
        );

        let is_over = |sums: &[f64]| sums.iter().any(|sum| *sum >= settings.threshold);
        if is_over(&self.failing) {
            return Some(Fault::Failing);
        }
        is_over(&self.slow).then_some(Fault::Slow)
    }
}

/// Adds to each sum the log-likelihood ratio of its rate against the tolerated one.
fn update_sums(sums: &mut [f64], rates: &[f64], requests: u64, bad: u64, tolerated: f64) {
    let (bad, good) = (bad as f64, (requests - bad) as f64);
    for (sum, rate) in sums.iter_mut().zip(rates) {
        // A rate that is tolerated now is evidence neither against the new version nor for it.
        if *rate <= tolerated {
            continue;
        }
        let ratio = bad * (rate / tolerated).ln() + good * ((1.0 - rate) / (1.0 - tolerated)).ln();
        *sum = (*sum + ratio).max(0.0);
    }
}

/// Returns the increase of the counts since `seen`. Counts that fell, as after the loss of a node's
/// report, have none.
fn counts_since(counts: RequestCounts, seen: RequestCounts) -> RequestCounts {
    RequestCounts {
        requests: counts.requests.saturating_sub(seen.requests),
        failed: counts.failed.saturating_sub(seen.failed),
        slow: counts.slow.saturating_sub(seen.slow),
    }
    .clamped()
}
