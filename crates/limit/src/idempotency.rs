//! Table of idempotency keys, which runs the request of each key at most once.
//!
//! One node at a time keeps the table of a key. The table remembers each key for longer than a retry
//! can take to arrive. A node that takes over without the content of its predecessor's table cannot
//! tell a retry from a first attempt, so it answers "unknown" to every key for the same duration:
//! "not run" would be false if the predecessor had run the request.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use monsoondeal_core::{Refusal, Time, UnknownReason};
use serde::{Deserialize, Serialize};

/// `IdempotencySettings` are the limits of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencySettings {
    /// How long a key is remembered: longer than a retry by a load balancer or a caller can be delayed.
    pub window: Duration,
    /// Largest number of keys remembered. Further requests are not run, since forgetting a key early
    /// could run its request twice. Their outcome is "unknown", since another copy of the request may
    /// still be admitted later.
    pub capacity: usize,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(30),
            capacity: 100_000,
        }
    }
}

/// Outcome of the first request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Entry<T> {
    Running,
    Answered(T),
    Unknown(UnknownReason),
    NotRun(Refusal),
}

/// `KeyState` is the state of a key when a request with it arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState<T> {
    /// The key is new: run the request and report its outcome through
    /// [`IdempotencyTable::record_answer`], [`IdempotencyTable::record_unknown`] or
    /// [`IdempotencyTable::record_not_run`].
    New,
    /// The first request was answered with this answer.
    Answered(T),
    /// The first request may have run or be running.
    Unknown(UnknownReason),
    /// The first request has not run.
    NotRun(Refusal),
}

/// `KeyRecord` is one key of a [`TableHandover`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord<T> {
    /// The key.
    pub key: Box<str>,
    /// Time since the key was admitted.
    pub age: Duration,
    /// State of the key.
    #[serde(rename = "seen")]
    pub state: KeyState<T>,
}

/// `TableHandover` is the content of a table as it is sent to the next node that keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHandover<T> {
    /// All keys remembered.
    pub records: Vec<KeyRecord<T>>,
    /// Remaining time for which the table may lack keys that its own predecessor admitted.
    #[serde(rename = "blind")]
    pub uncertain_for: Duration,
}

/// `IdempotencyTable` admits each idempotency key at most once.
#[derive(Debug)]
pub struct IdempotencyTable<T> {
    settings: IdempotencySettings,
    /// Until when a retry may arrive whose key was admitted by a predecessor with a lost table.
    uncertain_until: Time,
    entries: HashMap<Box<str>, Entry<T>>,
    /// Times of admission and keys, oldest first. Invariant: holds each key of `entries` once.
    by_age: VecDeque<(Time, Box<str>)>,
}

impl<T> IdempotencyTable<T>
where
    T: Clone,
{
    /// Creates a table that succeeds one whose content is lost.
    pub fn with_lost_predecessor(settings: IdempotencySettings, now: Time) -> Self {
        let mut table = Self::new(settings);
        table.uncertain_until = now + settings.window;
        table
    }

    /// Creates a table that no other node has kept within the window.
    pub fn new(settings: IdempotencySettings) -> Self {
        Self {
            settings,
            uncertain_until: Time::default(),
            entries: HashMap::new(),
            by_age: VecDeque::new(),
        }
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Admits a new key, or returns the state of a known one.
    pub fn admit(&mut self, key: &str, now: Time) -> KeyState<T> {
        self.evict_expired(now);
        match self.entries.get(key) {
            Some(Entry::Running) => return KeyState::Unknown(UnknownReason::EarlierRun),
            Some(Entry::Unknown(reason)) => return KeyState::Unknown(*reason),
            Some(Entry::Answered(answer)) => return KeyState::Answered(answer.clone()),
            Some(Entry::NotRun(reason)) => return KeyState::NotRun(*reason),
            None => {}
        }
        if now < self.uncertain_until {
            return KeyState::Unknown(UnknownReason::EarlierRun);
        }
        if self.entries.len() >= self.settings.capacity {
            return KeyState::Unknown(UnknownReason::TableFull);
        }
        self.entries.insert(key.into(), Entry::Running);
        self.by_age.push_back((now, key.into()));
        KeyState::New
    }

    /// Records the answer to the request of an admitted key.
    pub fn record_answer(&mut self, key: &str, answer: T) {
        self.record_outcome(key, Entry::Answered(answer));
    }

    /// Records that the request of an admitted key may have run.
    pub fn record_unknown(&mut self, key: &str, reason: UnknownReason) {
        self.record_outcome(key, Entry::Unknown(reason));
    }

    /// Records that the request of an admitted key was proved not to have run.
    ///
    /// The refusal is kept for the window, since a copy of the request sent by a load balancer may
    /// arrive after the caller has received "not run".
    pub fn record_not_run(&mut self, key: &str, reason: Refusal) {
        self.record_outcome(key, Entry::NotRun(reason));
    }

    /// Removes and returns all keys with their age, for the next node that keeps the table. Requests
    /// under way are handed over as unknown.
    pub fn hand_over(&mut self, now: Time) -> TableHandover<T> {
        self.evict_expired(now);
        let mut records = Vec::with_capacity(self.by_age.len());
        for (admitted_at, key) in self.by_age.drain(..) {
            let state = match self.entries.remove(&key) {
                Some(Entry::Answered(answer)) => KeyState::Answered(answer),
                Some(Entry::NotRun(reason)) => KeyState::NotRun(reason),
                Some(Entry::Unknown(reason)) => KeyState::Unknown(reason),
                Some(Entry::Running) | None => KeyState::Unknown(UnknownReason::EarlierRun),
            };
            let age = now.since(admitted_at);
            records.push(KeyRecord { key, age, state });
        }
        TableHandover {
            records,
            uncertain_for: self.uncertain_until.since(now),
        }
    }

    /// Adds the keys of the node that kept the table before. Its remaining time of uncertainty replaces
    /// the one that this table has begun with.
    pub fn take_over(&mut self, handover: TableHandover<T>, now: Time) {
        self.uncertain_until = now + handover.uncertain_for;
        for record in handover.records {
            let entry = match record.state {
                KeyState::Answered(answer) => Entry::Answered(answer),
                KeyState::NotRun(reason) => Entry::NotRun(reason),
                KeyState::Unknown(reason) => Entry::Unknown(reason),
                KeyState::New => Entry::Unknown(UnknownReason::EarlierRun),
            };
            self.entries.insert(record.key.clone(), entry);
            self.by_age.push_back((now - record.age, record.key));
        }
        self.by_age
            .make_contiguous()
            .sort_by_key(|(admitted_at, _)| *admitted_at);
    }

    fn record_outcome(&mut self, key: &str, outcome: Entry<T>) {
        if let Some(entry) = self.entries.get_mut(key)
            && matches!(entry, Entry::Running)
        {
            *entry = outcome;
        }
    }

    fn evict_expired(&mut self, now: Time) {
        while let Some((_, key)) = self
            .by_age
            .pop_front_if(|(admitted_at, _)| now.since(*admitted_at) > self.settings.window)
        {
            // A request that runs for longer than the window stays, or a late retry would run it again.
            if matches!(self.entries.get(&key), Some(Entry::Running)) {
                self.by_age.push_back((now, key));
                continue;
            }
            self.entries.remove(&key);
        }
    }
}
