//! At most one run for each idempotency key.
//!
//! The table lives at one node for each group, the holder of the lease on the group's first leaf.
//! It remembers every key for longer than any retry can arrive. A node that takes the place over
//! without the table's content cannot tell a retry from a first attempt, so for that same span it
//! answers "unknown" to every key: a claim of "not run" would be false if the predecessor ran it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use monsoondeal_core::{Doubt, Refusal, Time};
use serde::{Deserialize, Serialize};

/// `OnceSettings` bound the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceSettings {
    /// How long a key is remembered: longer than the latest retry by a balancer or a caller.
    pub window: Duration,
    /// Most keys remembered. Further requests are not run, since forgetting a key early could run
    /// it twice; they end unknown, since another copy of the request may still be admitted later.
    pub capacity: usize,
}

impl Default for OnceSettings {
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
    Unknown(Doubt),
    NotRun(Refusal),
}

/// `Seen` is what the table says to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen<T> {
    /// The key is new: run it and report the end through [`Once::answer`] or its siblings.
    New,
    /// It was answered before; this is that answer.
    Answered(T),
    /// It may have run or be running.
    Unknown(Doubt),
    /// It has not run.
    NotRun(Refusal),
}

/// `Record` is one key on its way to another table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<T> {
    /// The key.
    pub key: Box<str>,
    /// Time since it was admitted.
    pub age: Duration,
    /// What became of it.
    pub seen: Seen<T>,
}

/// `Handover` is the content of a table on its way to the next node in its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover<T> {
    /// All keys remembered.
    pub records: Vec<Record<T>>,
    /// For how long the table did not yet know all keys of its own predecessor.
    pub blind: Duration,
}

/// `Once` admits each idempotency key at most once.
#[derive(Debug)]
pub struct Once<T> {
    settings: OnceSettings,
    /// Until when keys may be known to a predecessor whose table is lost.
    blind_until: Time,
    entries: HashMap<Box<str>, Entry<T>>,
    /// Keys by age. Invariant: holds each key of `entries` once.
    ages: VecDeque<(Time, Box<str>)>,
}

impl<T> Once<T>
where
    T: Clone,
{
    /// Creates a table that succeeds another one, whose content is lost.
    pub fn successor(settings: OnceSettings, now: Time) -> Self {
        let mut table = Self::first(settings);
        table.blind_until = now + settings.window;
        table
    }

    /// Creates a table for a place that no other node has held within the window.
    pub fn first(settings: OnceSettings) -> Self {
        Self {
            settings,
            blind_until: Time::default(),
            entries: HashMap::new(),
            ages: VecDeque::new(),
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
    pub fn admit(&mut self, key: &str, now: Time) -> Seen<T> {
        self.expire(now);
        match self.entries.get(key) {
            Some(Entry::Running) => return Seen::Unknown(Doubt::EarlierRun),
            Some(Entry::Unknown(doubt)) => return Seen::Unknown(*doubt),
            Some(Entry::Answered(answer)) => return Seen::Answered(answer.clone()),
            Some(Entry::NotRun(reason)) => return Seen::NotRun(*reason),
            None => {}
        }
        if now < self.blind_until {
            return Seen::Unknown(Doubt::EarlierRun);
        }
        if self.entries.len() >= self.settings.capacity {
            return Seen::Unknown(Doubt::TableFull);
        }
        self.entries.insert(key.into(), Entry::Running);
        self.ages.push_back((now, key.into()));
        Seen::New
    }

    /// Records the answer of an admitted key.
    pub fn answer(&mut self, key: &str, answer: T) {
        self.end(key, Entry::Answered(answer));
    }

    /// Records that an admitted key may have run.
    pub fn doubt(&mut self, key: &str, doubt: Doubt) {
        self.end(key, Entry::Unknown(doubt));
    }

    /// Records that an admitted key was proved not to have run.
    ///
    /// The refusal sticks for the window: a copy of the request that a balancer sent may arrive
    /// after the caller was told "not run".
    pub fn refuse(&mut self, key: &str, reason: Refusal) {
        self.end(key, Entry::NotRun(reason));
    }

    /// Takes all keys out, with their age, to hand them to the next node in this place. Runs under
    /// way count as unknown there.
    pub fn hand_over(&mut self, now: Time) -> Handover<T> {
        self.expire(now);
        let mut records = Vec::with_capacity(self.ages.len());
        for (since, key) in self.ages.drain(..) {
            let seen = match self.entries.remove(&key) {
                Some(Entry::Answered(answer)) => Seen::Answered(answer),
                Some(Entry::NotRun(reason)) => Seen::NotRun(reason),
                Some(Entry::Unknown(doubt)) => Seen::Unknown(doubt),
                Some(Entry::Running) | None => Seen::Unknown(Doubt::EarlierRun),
            };
            let age = now.since(since);
            records.push(Record { key, age, seen });
        }
        Handover {
            records,
            blind: self.blind_until.since(now),
        }
    }

    /// Takes over the keys of the node that held this place before.
    pub fn take_over(&mut self, handover: Handover<T>, now: Time) {
        self.blind_until = now + handover.blind;
        for record in handover.records {
            let entry = match record.seen {
                Seen::Answered(answer) => Entry::Answered(answer),
                Seen::NotRun(reason) => Entry::NotRun(reason),
                Seen::Unknown(doubt) => Entry::Unknown(doubt),
                Seen::New => Entry::Unknown(Doubt::EarlierRun),
            };
            self.entries.insert(record.key.clone(), entry);
            self.ages.push_back((now - record.age, record.key));
        }
        self.ages.make_contiguous().sort_by_key(|(since, _)| *since);
    }

    fn end(&mut self, key: &str, outcome: Entry<T>) {
        if let Some(entry) = self.entries.get_mut(key)
            && matches!(entry, Entry::Running)
        {
            *entry = outcome;
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some((_, key)) = self
            .ages
            .pop_front_if(|(since, _)| now.since(*since) > self.settings.window)
        {
            // A run that outlives the window stays, or a late retry would start a second one.
            if matches!(self.entries.get(&key), Some(Entry::Running)) {
                self.ages.push_back((now, key));
                continue;
            }
            self.entries.remove(&key);
        }
    }
}
