//! The gate in front of one leaf, kept by the node that holds the leaf's lease.
//!
//! Because one node alone sends to a leaf, the gate knows its load exactly: slots are never
//! exceeded, a queued call can still be proved not run, and coldness is seen in the answers.

use std::collections::VecDeque;
use std::time::Duration;

use monsoondeal_core::{Priority, Refusal, Time};

/// Weight of the newest answer in the smoothed service time.
const SMOOTHING: f64 = 0.1;
/// A leaf is presumed cold after this many answers in a row that took
/// [`LeafLimiterSettings::cold_factor`] times the warm service time.
const COLD_STREAK: u32 = 3;

/// `LeafLimiterSettings` are the limits of one leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeafLimiterSettings {
    /// Calls that a warm leaf bears at a time.
    pub slots: u32,
    /// Calls that a cold leaf bears at a time.
    pub cold_slots: u32,
    /// Least time between two starts on a cold leaf.
    pub cold_gap: Duration,
    /// Good answers after which a cold leaf counts as warm.
    pub warm_after: u32,
    /// How many times slower than warm an answer must be to count towards coldness.
    pub cold_factor: f64,
    /// Longest queue in front of the leaf.
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

/// `Offer` is a call that asks to be started. `K` identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer<K> {
    /// Identity of the call.
    pub id: K,
    /// Order in the queue.
    pub priority: Priority,
    /// Point after which the answer is useless.
    pub deadline: Time,
    /// Whether the call duplicates one under way. A hedge never waits.
    pub hedge: bool,
}

/// `Decision` is the gate's reply to an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start it now.
    Start,
    /// It waits; a later step starts or refuses it.
    Queued,
    /// It has not run and will not run.
    Refused(Refusal),
}

/// `CallFeedback` is what an ended call says of the leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFeedback {
    /// Answered after the given service time.
    Answered(Duration),
    /// The leaf shed the call.
    Shed,
    /// Connection failure; the leaf may have restarted.
    ConnectionLost,
    /// No connection could be opened.
    Unreachable,
}

/// `CancelOutcome` tells what a cancellation found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The call was still queued, so it never ran.
    NotRun,
    /// The call is running or has ended.
    TooLate,
}

/// Heat of a leaf as inferred from its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heat {
    /// Bears `cold_slots`; `good` answers were seen since it turned cold.
    Cold { good: u32 },
    /// Bears all its slots.
    Warm,
}

/// `LeafLimiter` decides which calls to one leaf start, wait or are refused.
#[derive(Debug)]
pub struct LeafLimiter<K> {
    settings: LeafLimiterSettings,
    heat: Heat,
    /// Invariant: grows only while below the limit in force.
    running: u32,
    /// One queue a priority.
    queues: [VecDeque<Offer<K>>; 3],
    /// Earliest next start while cold.
    next_start: Time,
    /// Smoothed warm service time, in seconds; zero until the first answer.
    service: f64,
    slow_streak: u32,
    /// Calls that were taken out of the queue and are to be refused.
    evicted: Vec<(K, Refusal)>,
    /// Whether the last try to connect failed. Then nothing waits: a call does better elsewhere.
    down: bool,
    last_use: Time,
}

impl<K> LeafLimiter<K>
where
    K: Copy + Eq,
{
    /// Creates the gate of a leaf that is presumed cold.
    pub fn new(settings: LeafLimiterSettings) -> Self {
        Self {
            settings,
            heat: Heat::Cold { good: 0 },
            running: 0,
            queues: Default::default(),
            next_start: Time::default(),
            service: 0.0,
            slow_streak: 0,
            evicted: Vec::new(),
            down: false,
            last_use: Time::default(),
        }
    }

    /// Returns the number of calls under way.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of calls waiting.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Returns whether the leaf is presumed cold.
    pub fn is_cold(&self) -> bool {
        matches!(self.heat, Heat::Cold { .. })
    }

    /// Returns the warm service time, if the leaf is presumed warm.
    pub fn warm_service_time(&self) -> Option<Duration> {
        (!self.is_cold()).then(|| Duration::from_secs_f64(self.service))
    }

    /// Takes over what the former holder of the leaf knew: that it was warm a moment ago. Answers
    /// seen here go before.
    pub fn presume_warm(&mut self, service: Duration) {
        if self.heat == (Heat::Cold { good: 0 }) && self.running == 0 {
            self.heat = Heat::Warm;
            self.service = service.as_secs_f64();
        }
    }

    /// Replaces the limits; calls under way go on.
    pub fn set_settings(&mut self, settings: LeafLimiterSettings) {
        self.settings = settings;
    }

    /// Decides on a new call.
    pub fn offer(&mut self, offer: Offer<K>, now: Time) -> Decision {
        if now >= offer.deadline {
            return Decision::Refused(Refusal::Expired);
        }
        if self.running == 0 && now > self.last_use + self.settings.idle_limit {
            self.mark_cold(now);
        }
        self.last_use = now;
        if self.has_room(now) && self.waiting() == 0 && !(offer.hedge && self.is_cold()) {
            self.begin(now);
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
        if self.down {
            return Decision::Refused(Refusal::Unreachable);
        }
        // A wait that cannot end in time is refused at once, while the caller can still go elsewhere.
        if now + self.expected_wait(offer.priority) >= offer.deadline {
            return Decision::Refused(self.overload());
        }
        if self.waiting() >= self.settings.max_queued && !self.evict_below(offer.priority) {
            return Decision::Refused(self.overload());
        }
        self.queues[offer.priority.index()].push_back(offer);
        Decision::Queued
    }

    /// Refuses the newest waiting call of the least priority below `priority`, if there is one.
    fn evict_below(&mut self, priority: Priority) -> bool {
        let lower = &mut self.queues[priority.index() + 1..];
        let evicted = lower.iter_mut().rev().find_map(VecDeque::pop_back);
        self.evicted
            .extend(evicted.map(|offer| (offer.id, Refusal::Overload)));
        evicted.is_some()
    }

    /// Takes back a queued call.
    pub fn cancel(&mut self, id: K) -> CancelOutcome {
        for queue in &mut self.queues {
            if let Some(at) = queue.iter().position(|o| o.id == id) {
                queue.remove(at);
                return CancelOutcome::NotRun;
            }
        }
        CancelOutcome::TooLate
    }

    /// Notes the end of a running call. [`LeafLimiter::poll`] then yields the calls that it makes room for.
    pub fn finish(&mut self, verdict: CallFeedback, now: Time) {
        debug_assert!(self.running > 0);
        self.running = self.running.saturating_sub(1);
        match verdict {
            CallFeedback::Answered(service) => self.learn(service),
            CallFeedback::Shed | CallFeedback::ConnectionLost => self.mark_cold(now),
            CallFeedback::Unreachable => {
                self.mark_cold(now);
                let waiting = self.queues.iter_mut().flat_map(|q| q.drain(..));
                self.evicted
                    .extend(waiting.map(|offer| (offer.id, Refusal::Unreachable)));
            }
        }
        self.down = verdict == CallFeedback::Unreachable;
    }

    /// Marks the leaf cold, as after a lost connection.
    pub fn mark_cold(&mut self, now: Time) {
        self.heat = Heat::Cold { good: 0 };
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
        if !self.has_room(now) {
            return None;
        }
        let offer = self.queues.iter_mut().find_map(VecDeque::pop_front)?;
        self.begin(now);
        Some((offer.id, Decision::Start))
    }

    /// Takes out everything that waits, as when the lease is lost.
    pub fn drain(&mut self) -> Vec<K> {
        self.queues
            .iter_mut()
            .flat_map(|q| q.drain(..))
            .map(|offer| offer.id)
            .collect()
    }

    /// Returns when [`LeafLimiter::poll`] should be called again without a further input.
    pub fn next_wake(&self) -> Option<Time> {
        let expiry = self
            .queues
            .iter()
            .filter_map(|q| q.front())
            .map(|o| o.deadline)
            .min()?;
        if self.is_cold() && self.running < self.limit() {
            return Some(expiry.min(self.next_start));
        }
        Some(expiry)
    }

    /// Returns the number of calls that the leaf bears now.
    fn limit(&self) -> u32 {
        match self.heat {
            Heat::Cold { .. } => self.settings.cold_slots,
            Heat::Warm => self.settings.slots,
        }
    }

    fn has_room(&self, now: Time) -> bool {
        self.running < self.limit() && (!self.is_cold() || now >= self.next_start)
    }

    fn begin(&mut self, now: Time) {
        self.running += 1;
        if self.is_cold() {
            self.next_start = now + self.settings.cold_gap;
        }
    }

    fn overload(&self) -> Refusal {
        if self.is_cold() {
            Refusal::Cold
        } else {
            Refusal::Overload
        }
    }

    /// Estimates the wait of a new call behind those of its own and higher priorities.
    fn expected_wait(&self, priority: Priority) -> Duration {
        let waiting: usize = self.queues[..=priority.index()]
            .iter()
            .map(VecDeque::len)
            .sum();
        let turns = waiting as f64 + 1.0;
        let warm_step = self.service / f64::from(self.settings.slots.max(1));
        let Heat::Cold { good } = self.heat else {
            return Duration::from_secs_f64(turns * warm_step);
        };
        // The queue moves slowly until the leaf is warm, then fast.
        let gap = self.settings.cold_gap.as_secs_f64();
        let cold_step = gap.max(self.service / f64::from(self.settings.cold_slots.max(1)));
        let cold_turns = turns.min(f64::from(self.settings.warm_after.saturating_sub(good)));
        Duration::from_secs_f64(cold_turns * cold_step + (turns - cold_turns) * warm_step)
    }

    fn learn(&mut self, service: Duration) {
        let seconds = service.as_secs_f64();
        match &mut self.heat {
            Heat::Cold { good } => {
                *good += 1;
                if *good >= self.settings.warm_after {
                    self.heat = Heat::Warm;
                    self.service = seconds;
                }
            }
            Heat::Warm if seconds > self.service * self.settings.cold_factor => {
                self.slow_streak += 1;
                if self.slow_streak >= COLD_STREAK {
                    self.slow_streak = 0;
                    self.heat = Heat::Cold { good: 0 };
                }
            }
            Heat::Warm => {
                self.slow_streak = 0;
                self.service += SMOOTHING * (seconds - self.service);
            }
        }
    }
}
