//! Timer queue of the engine.

use std::collections::BTreeSet;
use std::hash::Hash;

use monsoondeal_core::{DeterministicMap, Time};

/// `Timers` is a queue of timers, with at most one due time per key.
#[derive(Debug)]
pub(crate) struct Timers<K> {
    due: BTreeSet<(Time, K)>,
    /// Due time by key. Invariant: the same pairs as in `due`.
    keys: DeterministicMap<K, Time>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Self {
            due: BTreeSet::new(),
            keys: DeterministicMap::default(),
        }
    }
}

impl<K> Timers<K>
where
    K: Copy + Ord + Hash,
{
    /// Sets or replaces the due time of a key.
    pub(crate) fn set(&mut self, key: K, at: Time) {
        if let Some(old) = self.keys.insert(key, at) {
            self.due.remove(&(old, key));
        }
        self.due.insert((at, key));
    }

    /// Removes the timer of a key, if it is set.
    pub(crate) fn clear(&mut self, key: K) {
        if let Some(old) = self.keys.remove(&key) {
            self.due.remove(&(old, key));
        }
    }

    /// Removes and returns the key with the earliest due time, if that is not after `now`.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<K> {
        let &(at, key) = self.due.first()?;
        if at > now {
            return None;
        }
        self.clear(key);
        Some(key)
    }

    /// Returns the earliest due time.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }
}
