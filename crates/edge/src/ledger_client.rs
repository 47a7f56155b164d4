//! A node's side of a version move: permits, and what it posts to the ledger of the move.

use std::time::Duration;

use monsoondeal_core::Time;
use monsoondeal_moves::ledger::LOAD_INTERVAL;
use monsoondeal_moves::{LatencyHistogram, MoveLimits, Posting, PostingReply, Ruling, Totals};

use crate::config::Name;

/// Wait after a posting that could not be written; doubled with each further one.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest such wait.
const RETRY_LIMIT: Duration = Duration::from_secs(1);
/// Wait after a posting that got no permits.
const DENIED_WAIT: Duration = Duration::from_millis(500);
/// The same while the new version is tried under load.
const LOAD_WAIT: Duration = Duration::from_millis(200);
/// How long good answers may wait to be posted.
const TELL_TIME: Duration = Duration::from_millis(300);
/// Calls of this span are permitted at once while the new version is tried under load.
const LOAD_SPAN: Duration = Duration::from_millis(150);
/// Most permits of a node at a time.
const MOST_PERMITS: u64 = 16;
/// Part of the longest time between completion and deadline that is left when a node that calls nothing
/// asks for the end of the move. The others have asked by then.
const IDLE_FINISH: f64 = 0.8;
/// Longest spread of the nodes that ask for their first permits, and its part for each node.
const FIRST_SPREAD: Duration = Duration::from_millis(500);
const FIRST_STEP: Duration = Duration::from_millis(10);
/// Longest spread of the nodes that ask for the end, and its part for each node.
const FINISH_SPREAD: Duration = Duration::from_millis(250);
const FINISH_STEP: Duration = Duration::from_millis(5);
/// Wait before the end is asked for again.
const FINISH_WAIT: Duration = Duration::from_millis(100);

/// Least span over which a rate is taken.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Least time between two postings without a reason, and its part for each node: the ledger is to be written
/// a few times a second.
const CHECK_TIME: Duration = Duration::from_secs(1);
const CHECK_STEP: Duration = Duration::from_millis(250);
/// Time between two looks at the ledger of a node that has learnt of the order late.
const SYNC_TIME: Duration = Duration::from_secs(1);

/// How a call to a leaf ended, for the ledger.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallResult {
    /// Whether the call has reached a leaf.
    pub(crate) arrived: bool,
    /// Response time and whether it failed; `None` if the call tells nothing about the version.
    pub(crate) outcome: Option<(Duration, bool)>,
}

/// `Trial` is a node's side of a move that runs.
///
/// Invariant: calls sent to the new version never exceed the permits that the ledger granted.
#[derive(Debug)]
pub(crate) struct Trial {
    terms: MoveLimits,
    /// Not before the order was given.
    began: Time,
    /// When this node began to count.
    since: Time,
    poster: u64,
    /// Permits that are left.
    permits: u64,
    /// Permits whose calls are under way.
    open: u64,
    /// Calls that have reached the service since the order.
    pub(crate) calls: u64,
    /// Calls sent to the new version.
    pub(crate) trials: u64,
    /// Calls that were wanted and found no leaf.
    missed: u64,
    /// Permits that calls have earned since the last ones were asked for.
    earned: f64,
    /// Whether permits have been asked for.
    has_asked: bool,
    /// Whether the node has its place among those that earn permits in turn.
    has_turn: bool,
    /// Whether idle permits from before the new version is tried under load have been given back.
    has_returned: bool,
    /// Whether a call found no other leaf, and no permit.
    is_starved: bool,
    /// Whether a call waits for a permit.
    is_asked_for: bool,
    /// Routes whose response times from before the order have been told.
    routes: Vec<Name>,
    /// What the next posting tells.
    pending: Posting,
    /// Since when something is to be told.
    pending_since: Option<Time>,
    /// Whether the next posting tells of a failure of the new version.
    is_urgent: bool,
    /// The posting that is under way, or must be sent again.
    posting: Option<Posting>,
    is_under_way: bool,
    /// No posting before then.
    post_at: Time,
    /// When the ledger is asked for the time since the order, if this node has learnt of the order late: the
    /// ledger tells less than has passed, by the time since it was last written.
    sync_at: Option<Time>,
    /// When the node posts its calls and the time without any other reason.
    check_at: Time,
    retry_wait: Duration,
    /// When the end of the move is asked for, as time since the order.
    finish_at: Duration,
    /// Time beyond that, so that not all nodes ask at once.
    spread: Duration,
    /// What all nodes together had sent and seen by the last posting.
    pub(crate) totals: Totals,
}

impl Trial {
    /// Creates the side of a node. `is_busy` says whether it has called the service lately, `chance` is
    /// between 0 and 1.
    pub(crate) fn new(
        terms: MoveLimits,
        poster: u64,
        is_busy: bool,
        chance: f64,
        now: Time,
    ) -> Self {
        let nodes = u32::try_from(terms.nodes).unwrap_or(u32::MAX);
        let spread = FINISH_STEP.saturating_mul(nodes).min(FINISH_SPREAD);
        let first = FIRST_STEP.saturating_mul(nodes).min(FIRST_SPREAD);
        Self {
            terms,
            began: now,
            since: now,
            poster,
            permits: 0,
            open: 0,
            calls: 0,
            trials: 0,
            missed: 0,
            earned: f64::from(u8::from(is_busy)),
            has_asked: false,
            has_turn: false,
            has_returned: false,
            is_starved: false,
            is_asked_for: false,
            routes: Vec::new(),
            pending: Posting::default(),
            pending_since: None,
            is_urgent: false,
            posting: None,
            is_under_way: false,
            post_at: now + first.mul_f64(chance),
            sync_at: None,
            check_at: now + check_time(&terms),
            retry_wait: RETRY_FIRST,
            finish_at: terms.duration - terms.max_final_phase().mul_f64(IDLE_FINISH),
            spread: spread.mul_f64(chance),
            totals: Totals::default(),
        }
    }

    /// Returns the least time since the order.
    pub(crate) fn elapsed(&self, now: Time) -> Duration {
        now.since(self.began)
    }

    /// Takes in how long the order has been known elsewhere.
    pub(crate) fn note_elapsed(&mut self, elapsed: Duration, now: Time) {
        self.began = self.began.min(now - elapsed);
    }

    /// Replaces what the move must keep to.
    pub(crate) fn set_terms(&mut self, terms: MoveLimits) {
        self.terms = terms;
    }

    /// Returns what the move must keep to.
    pub(crate) fn terms(&self) -> &MoveLimits {
        &self.terms
    }

    /// Returns whether a call may go to the new version.
    pub(crate) fn has_permit(&self) -> bool {
        self.permits > 0
    }

    /// Notes that a call found no other leaf, and no permit.
    pub(crate) fn starve(&mut self) {
        self.is_starved = true;
    }

    /// Counts a call that was wanted and found no leaf.
    pub(crate) fn missed(&mut self) {
        self.missed += 1;
    }

    /// Returns whether a first call is to wait for a permit that may come in a moment: while the new version
    /// is tried under load it is to get as many calls as it can, also of nodes with few.
    pub(crate) fn awaits_permit(&mut self, now: Time) -> bool {
        let is_load = now >= self.load_time();
        if self.permits > 0 || !is_load || (now < self.post_at && !self.is_under_way) {
            return false;
        }
        self.is_asked_for = true;
        true
    }

    /// Notes a call that is sent. One to the new version uses a permit.
    pub(crate) fn sent(&mut self, is_new: bool, now: Time) {
        if !is_new {
            return;
        }
        debug_assert!(self.permits > 0, "a call to the new version has a permit");
        let step = self.elapsed(now).as_millis() / LOAD_INTERVAL.as_millis();
        *self.pending.interval_calls.entry(step as u64).or_default() += 1;
        self.trials += 1;
        self.permits = self.permits.saturating_sub(1);
        self.open += 1;
    }

    /// Takes in what the route's response times were before the order, unless it is known.
    pub(crate) fn note_before<F>(&mut self, route: &str, times: F)
    where
        F: FnOnce() -> LatencyHistogram,
    {
        if !self.routes.iter().any(|known| &**known == route) {
            self.routes.push(route.into());
            let samples = self.pending.samples.entry(route.to_owned()).or_default();
            samples.before = times();
        }
    }

    /// Takes in the end of a call.
    pub(crate) fn note(&mut self, route: &str, is_new: bool, result: CallResult, now: Time) {
        if is_new && self.open > 0 {
            self.open -= 1;
            if result.arrived {
                self.pending.settled += 1;
            } else {
                self.pending.returned += 1;
            }
            self.pending_since.get_or_insert(now);
        }
        if result.arrived {
            // What never reached a leaf of the service must not widen the bound.
            self.calls += 1;
            self.pending.calls += 1;
            self.earned += self.terms.permits_per_call();
        }
        let Some((response, failed)) = result.outcome else {
            return;
        };
        let samples = match self.pending.samples.get_mut(route) {
            Some(samples) => samples,
            None => self.pending.samples.entry(route.to_owned()).or_default(),
        };
        let sample = if is_new {
            &mut samples.new
        } else {
            &mut samples.old
        };
        sample.times.record(response);
        sample.failed += u64::from(failed);
        self.is_urgent |= is_new && failed;
    }

    /// Returns a posting that is due.
    pub(crate) fn post(&mut self, now: Time) -> Option<Posting> {
        if self.is_under_way || now < self.post_at {
            return None;
        }
        self.return_idle(now);
        let finish = now >= self.finish_time();
        let again = self.posting.is_some();
        if !again {
            let wants = self.wants(now);
            let is_old = self.pending_since.is_some_and(|at| now >= at + TELL_TIME);
            let is_sync = self.sync_at.is_some_and(|at| now >= at);
            let is_check = self.pending.calls > 0 && now >= self.check_at;
            if !(wants || finish || self.is_urgent || is_old || is_sync || is_check) {
                return None;
            }
            let mut posting = std::mem::take(&mut self.pending);
            posting.process = self.poster;
            posting.sequence += 1;
            posting.wanted_permits = if wants { self.wanted(now) } else { 0 };
            self.pending.sequence = posting.sequence;
            self.pending_since = None;
            self.is_urgent = false;
            self.has_asked |= wants;
            self.posting = Some(posting);
        }
        let elapsed = self.elapsed(now);
        let rate = if now.since(self.since) >= RATE_SPAN {
            self.rate(now)
        } else {
            0.0
        };
        let posting = self.posting.as_mut()?;
        posting.elapsed = elapsed;
        posting.rate = rate;
        posting.wants_completion = finish;
        posting.is_retry = again;
        self.is_under_way = true;
        Some(posting.clone())
    }

    /// Gives permits back that a node with few calls holds when the new version is to be tried under load:
    /// the nodes that get calls are to have them.
    fn return_idle(&mut self, now: Time) {
        if self.has_returned || now < self.load_time() {
            return;
        }
        self.has_returned = true;
        if self.permits > 0 && !self.is_busy(now) {
            self.pending.returned += std::mem::take(&mut self.permits);
            self.pending_since.get_or_insert(now);
        }
    }

    /// Returns whether the node has so many calls that it asks for permits ahead of them.
    fn is_busy(&self, now: Time) -> bool {
        self.rate(now) * LOAD_SPAN.as_secs_f64() >= 1.0
    }

    /// Returns when the new version is to be tried under load.
    fn load_time(&self) -> Time {
        self.began + self.terms.load_phase_start()
    }

    /// Returns when the end of the move is asked for.
    fn finish_time(&self) -> Time {
        self.began + self.finish_at + self.spread
    }

    /// Returns whether permits are wanted.
    fn wants(&self, now: Time) -> bool {
        let is_first = !self.has_asked && (self.calls > 0 || self.earned >= 1.0);
        // A node with few calls asks when it has one, so that no permits lie idle.
        let is_load = now >= self.load_time() && self.is_busy(now);
        let is_wanted = self.is_starved || self.is_asked_for;
        self.permits == 0 && (is_first || is_load || self.earned >= 1.0 || is_wanted)
    }

    /// Returns the calls that are wanted, in calls a second.
    fn rate(&self, now: Time) -> f64 {
        let span = now.since(self.since).max(RATE_SPAN);
        (self.calls + self.missed) as f64 / span.as_secs_f64()
    }

    fn wanted(&self, now: Time) -> u64 {
        if now < self.load_time() && !self.is_starved {
            return (self.earned as u64).clamp(1, MOST_PERMITS);
        }
        let calls = (self.rate(now) * LOAD_SPAN.as_secs_f64()).ceil();
        (calls as u64).clamp(1, MOST_PERMITS)
    }

    /// Takes in the answer to the posting under way; `None` if it may not have been written. `chance` is
    /// between 0 and 1. Returns the ruling if it is final.
    pub(crate) fn posted(
        &mut self,
        answer: Option<&PostingReply>,
        chance: f64,
        now: Time,
    ) -> Option<Ruling> {
        self.is_under_way = false;
        let spread = |wait: Duration| now + wait.mul_f64(0.7 + 0.6 * chance);
        let Some(answer) = answer else {
            self.post_at = spread(self.retry_wait);
            self.retry_wait = (self.retry_wait * 2).min(RETRY_LIMIT);
            return None;
        };
        self.retry_wait = RETRY_FIRST;
        self.check_at = now + check_time(&self.terms).mul_f64(0.7 + 0.6 * chance);
        let is_late = answer.elapsed > now.since(self.since) + SYNC_TIME;
        if is_late || self.sync_at.is_some() {
            self.sync_at = Some(now + SYNC_TIME);
        }
        self.note_elapsed(answer.elapsed, now);
        self.totals = answer.totals.clone();
        let posting = self.posting.take().unwrap_or_default();
        if !answer.is_recorded {
            self.keep(&posting);
        }
        if answer.ruling != Ruling::Running {
            return Some(answer.ruling);
        }
        if self.calls > 0 {
            self.finish_at = answer.earliest_completion;
        }
        self.permits += answer.permits;
        if posting.wanted_permits > 0 {
            // The nodes' next turns come at different times, as if one node had all calls.
            self.earned = if self.has_turn { 0.0 } else { chance };
            self.has_turn = true;
            self.is_starved = false;
            self.is_asked_for = false;
        }
        if posting.wanted_permits > 0 && answer.permits == 0 {
            let is_load = now >= self.load_time();
            self.post_at = spread(if is_load { LOAD_WAIT } else { DENIED_WAIT });
        }
        if posting.wants_completion {
            self.post_at = self.post_at.max(now + FINISH_WAIT);
        }
        None
    }

    /// Keeps a posting that was not taken for the next one. It tells of no end of a call to the new version.
    fn keep(&mut self, posting: &Posting) {
        self.pending.sequence = posting.sequence - 1;
        self.pending.calls += posting.calls;
        for (route, samples) in &posting.samples {
            let kept = self.pending.samples.entry(route.clone()).or_default();
            kept.old.times.merge(&samples.old.times);
            kept.old.failed += samples.old.failed;
            kept.before.merge(&samples.before);
        }
        for (step, calls) in &posting.interval_calls {
            *self.pending.interval_calls.entry(*step).or_default() += calls;
        }
    }

    /// Returns when a posting falls due, as far as time decides it.
    pub(crate) fn next_post(&self) -> Option<Time> {
        if self.is_under_way {
            return None;
        }
        let told = self.pending_since.map(|at| at + TELL_TIME);
        let finish = self.finish_time();
        let is_wanted = self.is_starved || self.is_asked_for;
        let is_due = self.posting.is_some() || (is_wanted && self.permits == 0);
        let due = if is_due {
            self.post_at
        } else {
            let load = (!self.has_returned && self.permits > 0).then(|| self.load_time());
            let check = (self.pending.calls > 0).then_some(self.check_at);
            [Some(finish), told, self.sync_at, load, check]
                .into_iter()
                .flatten()
                .min()
                .unwrap_or(finish)
        };
        Some(due.max(self.post_at))
    }
}

/// Returns the time between two postings of a node that has nothing else to post.
fn check_time(terms: &MoveLimits) -> Duration {
    let nodes = u32::try_from(terms.nodes).unwrap_or(u32::MAX);
    CHECK_STEP.saturating_mul(nodes).max(CHECK_TIME)
}

/// `MovePost` is a posting to the ledger of a service's move.
#[derive(Clone, Debug, PartialEq)]
pub struct MovePost {
    /// The service.
    pub service: Name,
    /// Number of the order.
    pub id: u64,
    /// The new version.
    pub version: Name,
    /// What the move must keep to.
    pub terms: MoveLimits,
    /// The posting.
    pub posting: Posting,
}
