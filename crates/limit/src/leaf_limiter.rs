//! Limiter of the calls to one leaf, kept by the node that holds the leaf's lease.
//!
//! Since only one node sends calls to a leaf, its limiter knows the load of the leaf exactly: slots
//! are never exceeded, a queued call can still be proved not run, and slow answers show that the
//! leaf is cold.

use std::collections::VecDeque;
use std::time::Duration;

use monsoondeal_core::{Priority, Refusal, Time};

/// Weight of the newest answer in the smoothed service time.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;
/// A leaf is presumed cold after this many answers in a row that took more than
/// [`LeafLimiterSettings::cold_factor`] times the warm service time.
const COLD_AFTER_SLOW: u32 = 3;

/// `LeafLimiterSettings` are the limits of one leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeafLimiterSettings {
    /// Largest number of concurrent calls to a warm leaf.
    pub slots: u32,
    /// Largest number of concurrent calls to a cold leaf.
    pub cold_slots: u32,
    /// Least time between the starts of two calls to a cold leaf.
    pub cold_gap: Duration,
    /// Answers after which a cold leaf counts as warm.
    pub warm_after: u32,
    /// Multiple of the warm service time above which an answer counts as slow.
    pub cold_factor: f64,
    /// Largest number of queued calls.
    pub max_queued: usize,
    /// A leaf without calls for this long is presumed cold.
    pub idle_limit: Duration,
}

impl Default for LeafLimiterSettings {
    fn default() -> Self {
        Self {
            slots: 2,
            cold_slots: 1,
            cold_gap: Duration::from_millis(20),
            warm_after: 20,
            cold_factor: 8.0,
            max_queued: 256,
            idle_limit: Duration::from_secs(120),
        }
    }
}

/// `Offer` is a call offered to the limiter. `K` is the type of its identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer<K> {
    /// Identity of the call.
    pub id: K,
    /// Priority in the queue.
    pub priority: Priority,
    /// Time after which the answer is useless.
    pub deadline: Time,
    /// Whether the call duplicates one under way. A hedge is never queued.
    pub hedge: bool,
}

/// `Decision` is the limiter's decision on an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call is to be sent now.
    Start,
    /// The call is queued; [`LeafLimiter::poll`] starts or refuses it later.
    Queued,
    /// The call has not run and will not run.
    Refused(Refusal),
}

/// `CallFeedback` tells the limiter how a call to the leaf ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFeedback {
    /// Answered after the given service time.
    Answered(Duration),
    /// The leaf shed the call.
    Shed,
    /// The connection failed; the leaf may have restarted.
    ConnectionLost,
    /// No connection could be opened.
    Unreachable,
}

/// `CancelOutcome` is the result of [`LeafLimiter::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The call was still queued, so it never ran.
    NotRun,
    /// The call is running or has ended.
    TooLate,
}

/// State of a leaf's warm-up as inferred from its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WarmupState {
    /// Limited to `cold_slots`; `answers` were received since the leaf turned cold.
    Cold { answers: u32 },
    /// Limited to `slots`.
    Warm,
}

/// `LeafLimiter` decides which calls to one leaf start, wait or are refused.
#[derive(Debug)]
pub struct LeafLimiter<K> {
    settings: LeafLimiterSettings,
    warmup: WarmupState,
    /// Calls under way. Invariant: grows only while below the current limit.
    running: u32,
    /// Queued calls by priority, most important first.
    queues: [VecDeque<Offer<K>>; 3],
    /// Earliest start of the next call while the leaf is cold.
    next_start: Time,
    /// Smoothed warm service time, in seconds; zero until the leaf is first presumed warm.
    service_time: f64,
    /// Slow answers in a row.
    slow_streak: u32,
    /// Calls that were removed from the queue and are to be refused.
    evicted: Vec<(K, Refusal)>,
    /// Whether the last attempt to connect failed. Calls are then refused instead of queued, so that
    /// they can go to another replica.
    unreachable: bool,
    last_offer: Time,
}

impl<K> LeafLimiter<K>
where
    K: Copy + Eq,
{
    /// Creates the limiter of a leaf that is presumed cold.
    pub fn new(settings: LeafLimiterSettings) -> Self {
        Self {
            settings,
            warmup: WarmupState::Cold { answers: 0 },
            running: 0,
            queues: Default::default(),
            next_start: Time::default(),
            service_time: 0.0,
            slow_streak: 0,
            evicted: Vec::new(),
            unreachable: false,
            last_offer: Time::default(),
        }
    }

    /// Returns the number of calls under way.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Returns whether the leaf is presumed cold.
    pub fn is_cold(&self) -> bool {
        matches!(self.warmup, WarmupState::Cold { .. })
    }

    /// Returns the warm service time, if the leaf is presumed warm.
    pub fn warm_service_time(&self) -> Option<Duration> {
        (!self.is_cold()).then(|| Duration::from_secs_f64(self.service_time))
    }

    /// Marks the leaf warm because the previous holder of its lease reported it so, with the service
    /// time measured there. Has no effect once this limiter has calls under way or received answers.
    pub fn presume_warm(&mut self, service_time: Duration) {
        if self.warmup == (WarmupState::Cold { answers: 0 }) && self.running == 0 {
            self.warmup = WarmupState::Warm;
            self.service_time = service_time.as_secs_f64();
        }
    }

    /// Replaces the limits; calls under way continue.
    pub fn set_settings(&mut self, settings: LeafLimiterSettings) {
        self.settings = settings;
    }

    /// Decides whether a new call is started, queued or refused.
    pub fn offer(&mut self, offer: Offer<K>, now: Time) -> Decision {
        if now >= offer.deadline {
            return Decision::Refused(Refusal::Expired);
        }
        if self.running == 0 && now > self.last_offer + self.settings.idle_limit {
            self.mark_cold(now);
        }
        self.last_offer = now;
        if self.can_start(now) && self.waiting() == 0 && !(offer.hedge && self.is_cold()) {
            self.start_call(now);
            return Decision::Start;
        }
        if offer.hedge {
            let reason = if self.is_cold() {
                Refusal::Cold
            } else {
                Refusal::Busy
            };
            return Decision::Refused(reason);
        }
        if self.unreachable {
            return Decision::Refused(Refusal::Unreachable);
        }
        // A call whose wait would outlast its deadline is refused at once, while the caller can still
        // try another replica.
        if now + self.expected_wait(offer.priority) >= offer.deadline {
            return Decision::Refused(self.overload_reason());
        }
        if self.waiting() >= self.settings.max_queued && !self.evict_below(offer.priority) {
            return Decision::Refused(self.overload_reason());
        }
        self.queues[offer.priority.index()].push_back(offer);
        Decision::Queued
    }

    /// Evicts the newest queued call of the lowest priority below `priority`. Returns whether there
    /// was one.
    fn evict_below(&mut self, priority: Priority) -> bool {
        let lower_priorities = &mut self.queues[priority.index() + 1..];
        let evicted = lower_priorities
            .iter_mut()
            .rev()
            .find_map(VecDeque::pop_back);
        self.evicted
            .extend(evicted.map(|offer| (offer.id, Refusal::Overload)));
        evicted.is_some()
    }

    /// Cancels a call if it is still queued.
    pub fn cancel(&mut self, id: K) -> CancelOutcome {
        for queue in &mut self.queues {
            if let Some(index) = queue.iter().position(|o| o.id == id) {
                queue.remove(index);
                return CancelOutcome::NotRun;
            }
        }
        CancelOutcome::TooLate
    }

    /// Records the end of a running call. [`LeafLimiter::poll`] then returns the calls that may start
    /// in its place.
    pub fn finish(&mut self, feedback: CallFeedback, now: Time) {
        debug_assert!(self.running > 0);
        self.running = self.running.saturating_sub(1);
        match feedback {
            CallFeedback::Answered(service_time) => self.record_service_time(service_time),
            CallFeedback::Shed | CallFeedback::ConnectionLost => self.mark_cold(now),
            CallFeedback::Unreachable => {
                self.mark_cold(now);
                let waiting = self.queues.iter_mut().flat_map(|q| q.drain(..));
                self.evicted
                    .extend(waiting.map(|offer| (offer.id, Refusal::Unreachable)));
            }
        }
        self.unreachable = feedback == CallFeedback::Unreachable;
    }

    /// Marks the leaf cold, as after a lost connection.
    pub fn mark_cold(&mut self, now: Time) {
        self.warmup = WarmupState::Cold { answers: 0 };
        self.slow_streak = 0;
        self.next_start = now + self.settings.cold_gap;
    }

    /// Returns the next queued call that is due to start or to be refused.
    pub fn poll(&mut self, now: Time) -> Option<(K, Decision)> {
        if let Some((id, reason)) = self.evicted.pop() {
            return Some((id, Decision::Refused(reason)));
        }
        for i in 0..self.queues.len() {
            if let Some(offer) = self.queues[i].pop_front_if(|o| now >= o.deadline) {
                return Some((offer.id, Decision::Refused(Refusal::Expired)));
            }
        }
        if !self.can_start(now) {
            return None;
        }
        let offer = self.queues.iter_mut().find_map(VecDeque::pop_front)?;
        self.start_call(now);
        Some((offer.id, Decision::Start))
    }

    /// Removes and returns all queued calls, as when the lease is lost.
    pub fn drain(&mut self) -> Vec<K> {
        self.queues
            .iter_mut()
            .flat_map(|q| q.drain(..))
            .map(|offer| offer.id)
            .collect()
    }

    /// Returns when [`LeafLimiter::poll`] is to be called next if there is no other input.
    pub fn next_wake(&self) -> Option<Time> {
        let expiry = self
            .queues
            .iter()
            .filter_map(|q| q.front())
            .map(|o| o.deadline)
            .min()?;
        if self.is_cold() && self.running < self.concurrency_limit() {
            return Some(expiry.min(self.next_start));
        }
        Some(expiry)
    }

    /// Returns the current limit on concurrent calls.
    fn concurrency_limit(&self) -> u32 {
        match self.warmup {
            WarmupState::Cold { .. } => self.settings.cold_slots,
            WarmupState::Warm => self.settings.slots,
        }
    }

    fn can_start(&self, now: Time) -> bool {
        self.running < self.concurrency_limit() && (!self.is_cold() || now >= self.next_start)
    }

    fn start_call(&mut self, now: Time) {
        self.running += 1;
        if self.is_cold() {
            self.next_start = now + self.settings.cold_gap;
        }
    }

    fn overload_reason(&self) -> Refusal {
        if self.is_cold() {
            Refusal::Cold
        } else {
            Refusal::Overload
        }
    }

    /// Estimates the wait of a new call behind the queued calls of its own and higher priorities.
    fn expected_wait(&self, priority: Priority) -> Duration {
        let waiting: usize = self.queues[..=priority.index()]
            .iter()
            .map(VecDeque::len)
            .sum();
        let starts = waiting as f64 + 1.0;
        let warm_interval = self.service_time / f64::from(self.settings.slots.max(1));
        let WarmupState::Cold { answers } = self.warmup else {
            return Duration::from_secs_f64(starts * warm_interval);
        };
        // Calls start at the slow rate of a cold leaf until it is warm, then at the warm rate.
        let gap = self.settings.cold_gap.as_secs_f64();
        let cold_interval = gap.max(self.service_time / f64::from(self.settings.cold_slots.max(1)));
        let cold_starts = starts.min(f64::from(self.settings.warm_after.saturating_sub(answers)));
        Duration::from_secs_f64(
            cold_starts * cold_interval + (starts - cold_starts) * warm_interval,
        )
    }

    fn record_service_time(&mut self, service_time: Duration) {
        let seconds = service_time.as_secs_f64();
        match &mut self.warmup {
            WarmupState::Cold { answers } => {
                *answers += 1;
                if *answers >= self.settings.warm_after {
                    self.warmup = WarmupState::Warm;
                    self.service_time = seconds;
                }
            }
            WarmupState::Warm if seconds > self.service_time * self.settings.cold_factor => {
                self.slow_streak += 1;
                if self.slow_streak >= COLD_AFTER_SLOW {
                    self.slow_streak = 0;
                    self.warmup = WarmupState::Cold { answers: 0 };
                }
            }
            WarmupState::Warm => {
                self.slow_streak = 0;
                self.service_time += SERVICE_TIME_SMOOTHING * (seconds - self.service_time);
            }
        }
    }
}
