//! How long a node may act on what another one knew of the store, and whether a node knows enough for others.
//!
//! A change must be in force at each node within a bound, whichever nodes are lost or cut off from the store. A node
//! that follows a reader of the store finds out in steps, each of which takes a part of the bound:
//!
//! 1. the reader notices that the store does not answer, and drops its followers, or the follower notices that the
//!    reader is silent;
//! 2. the follower looks for another source;
//! 3. it asks the store itself, and reads it.

use std::time::Duration;

use monsoondeal_core::Time;

/// Part of the bound after which a reader without an answer of the store drops its followers.
const CONTACT_PART: f64 = 0.5;
/// Part of the bound after which a silent source counts as lost.
const SILENCE_PART: f64 = 0.4;
/// Longest such silence.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);
/// Part of the bound in which a node that has lost its source looks for another one.
const SEARCH_PART: f64 = 0.25;
/// Part of the bound after which a reader asks the store whether there are changes that it has missed.
const PROBE_PART: f64 = 1.0 / 3.0;
/// Longest time between two such questions.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Messages of a source in the time after which it counts as lost.
const HEARTBEATS: u32 = 3;
/// Bound that is assumed if none is known.
const DEFAULT_BOUND: Duration = Duration::from_secs(3);

/// `SourceTiming` divides the time until a change must be in force among the steps after the loss of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceTiming {
    /// Time from a change until it must be in force.
    bound: Duration,
}

impl Default for SourceTiming {
    fn default() -> Self {
        Self::new(DEFAULT_BOUND)
    }
}

impl SourceTiming {
    /// Creates the timing with which a change is in force within `bound`.
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns the time without an answer of the store after which a reader drops its followers.
    pub fn contact(self) -> Duration {
        self.bound.mul_f64(CONTACT_PART)
    }

    /// Returns the silence after which a source counts as lost.
    pub fn silence(self) -> Duration {
        self.bound.mul_f64(SILENCE_PART).min(MAX_SILENCE)
    }

    /// Returns the longest time between two messages to a follower.
    pub fn heartbeat(self) -> Duration {
        self.silence() / HEARTBEATS
    }

    /// Returns how long a node that has lost its source looks for another one.
    pub fn search(self) -> Duration {
        self.bound.mul_f64(SEARCH_PART)
    }

    /// Returns the time between two questions of a reader to the store. An answer that takes its time must come before
    /// [`contact`](Self::contact) has passed since the one before.
    pub fn probe_interval(self) -> Duration {
        self.bound.mul_f64(PROBE_PART).min(MAX_PROBE_INTERVAL)
    }

    /// Returns the time that is left, after all other steps, for a node to read the store itself.
    pub fn takeover(self) -> Duration {
        let loss = self.contact().max(self.silence());
        self.bound.saturating_sub(loss + self.search())
    }
}

/// `StoreContact` tells whether what a reader knows of the store is recent enough for its followers.
#[derive(Debug, Default)]
pub struct StoreContact {
    timing: SourceTiming,
    /// When the store last answered; `None` before that, and while it is out of reach.
    seen_at: Option<Time>,
    /// Whether the store was out of reach after the latest answer.
    is_lost: bool,
}

impl StoreContact {
    /// Creates the contact of a node that does not read the store yet.
    pub fn new(timing: SourceTiming) -> Self {
        Self {
            timing,
            seen_at: None,
            is_lost: false,
        }
    }

    /// Starts anew, as a node does that begins to read the store.
    pub fn reset(&mut self) {
        *self = Self::new(self.timing);
    }

    /// Records an answer of the store.
    pub fn answered(&mut self, now: Time) {
        self.seen_at = Some(now);
        self.is_lost = false;
    }

    /// Records that the store is out of reach.
    pub fn lost(&mut self) {
        self.seen_at = None;
        self.is_lost = true;
    }

    /// Returns whether the store has answered recently.
    pub fn is_recent(&self, now: Time) -> bool {
        self.ends_at().is_some_and(|end| now < end)
    }

    /// Returns whether followers may come: also before the first answer, for which they wait.
    pub fn accepts_followers(&self, now: Time) -> bool {
        self.is_recent(now) || (self.seen_at.is_none() && !self.is_lost)
    }

    /// Returns when what is known is no longer recent, unless the store answers before.
    pub fn ends_at(&self) -> Option<Time> {
        self.seen_at.map(|at| at + self.timing.contact())
    }
}
