//! At most one run for each idempotency key.
//!
//! The table lives at one node for each group, the holder of the lease on the group's first leaf.
//! It remembers every key for longer than any retry can arrive. A node that takes the place over
//! without the table's content cannot tell a retry from a first attempt, so for that same span it
//! answers "unknown" to every key: a claim of "not run" would be false if the predecessor ran it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use monsoondeal_core::{Refusal, Time, UnknownReason};
use serde::{Deserialize, Serialize};

/// `IdempotencySettings` bound the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencySettings {
    /// How long a key is remembered: longer than the latest retry by a balancer or a caller.
    pub window: Duration,
    /// Most keys remembered. Further requests are not run, since forgetting a key early could run
    /// it twice; they end unknown, since another copy of the request may still be admitted later.
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

/// What became of the first request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Entry<T> {
    Running,
    Answered(T),
    Unknown(UnknownReason),
    NotRun(Refusal),
}

/// `KeyState` is what the table says to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState<T> {
    /// The key is new: run it and report the end through [`IdempotencyTable::record_answer`] or its siblings.
    New,
    /// It was answered before; this is that answer.
    Answered(T),
    /// It may have run or be running.
    Unknown(UnknownReason),
    /// It has not run.
    NotRun(Refusal),
}

/// `KeyRecord` is one key on its way to another table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord<T> {
    /// The key.
    pub key: Box<str>,
    /// Time since it was admitted.
    pub age: Duration,
    /// What became of it.
    #[serde(rename = "seen")]
    pub state: KeyState<T>,
}

/// `TableHandover` is the content of a table on its way to the next node in its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHandover<T> {
    /// All keys remembered.
    pub records: Vec<KeyRecord<T>>,
    /// For how long the table did not yet know all keys of its own predecessor.
    #[serde(rename = "blind")]
    pub uncertain_for: Duration,
}

/// `IdempotencyTable` admits each idempotency key at most once.
#[derive(Debug)]
pub struct IdempotencyTable<T> {
    settings: IdempotencySettings,
    /// Until when keys may be known to a predecessor whose table is lost.
    uncertain_until: Time,
    entries: HashMap<Box<str>, Entry<T>>,
    /// Keys by age. Invariant: holds each key of `entries` once.
    by_age: VecDeque<(Time, Box<str>)>,
}

impl<T> IdempotencyTable<T>
where
    T: Clone,
{
    /// Creates a table that succeeds another one, whose content is lost.
    pub fn with_lost_predecessor(settings: IdempotencySettings, now: Time) -> Self {
        let mut table = Self::new(settings);
        table.uncertain_until = now + settings.window;
        table
    }

    /// Creates a table for a place that no other node has held within the window.
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

    /// Admits a key or tells what became of it.
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

    /// Records the answer of an admitted key.
    pub fn record_answer(&mut self, key: &str, answer: T) {
        self.record_outcome(key, Entry::Answered(answer));
    }

    /// Records that an admitted key may have run.
    pub fn record_unknown(&mut self, key: &str, reason: UnknownReason) {
        self.record_outcome(key, Entry::Unknown(reason));
    }

    /// Records that an admitted key was proved not to have run.
    ///
    /// The refusal sticks for the window: a copy of the request that a balancer sent may arrive
    /// after the caller was told "not run".
    pub fn record_not_run(&mut self, key: &str, reason: Refusal) {
        self.record_outcome(key, Entry::NotRun(reason));
    }

    /// Takes all keys out, with their age, to hand them to the next node in this place. Runs under
    /// way count as unknown there.
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

    /// Takes over the keys of the node that held this place before.
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
            // A run that outlives the window stays, or a late retry would start a second one.
            if matches!(self.entries.get(&key), Some(Entry::Running)) {
                self.by_age.push_back((now, key));
                continue;
            }
            self.entries.remove(&key);
        }
    }
}
