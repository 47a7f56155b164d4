//! Writing a ledger again that the store has lost, or has restored from an older copy.
//!
//! Each process knows which of its postings were recorded, so the processes rebuild the ledger together, each at its
//! next posting. Until all have, permits that were granted since the copy are missing in the ledger. So the totals that
//! a process knows from before are a floor of what the ledger counts as granted.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{Ledger, OrderKey, Posting, ProcessState, Ruling, Totals};

/// `RecordedPosting` is a posting that a ledger has recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedPosting {
    /// The posting.
    pub posting: Posting,
    /// Permits that were granted to it.
    pub permits: u64,
}

/// `PostingHistory` is what a process has posted lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PostingHistory {
    /// Recorded postings, oldest first.
    pub postings: Vec<Rc<RecordedPosting>>,
    /// Totals of all processes as of the latest reply before the store was restored from an older copy; `None` once a
    /// posting has been recorded since.
    pub totals_before: Option<Totals>,
}

/// Lower bounds of what the ledger would count if it had lost nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Floor {
    pub(super) net_permits: u64,
    pub(super) settled: u64,
    pub(super) bad: u64,
}

impl Ledger {
    /// Gives the ledger the identity that its order has in the restored store.
    pub fn rename(&mut self, key: OrderKey) {
        self.key = key;
    }

    /// Writes postings of a process again that the ledger lacks. Returns their number.
    pub fn restore(&mut self, process: u64, history: &PostingHistory) -> usize {
        if self.ruling != Ruling::Running {
            return 0;
        }
        if let Some(totals) = &history.totals_before {
            self.raise_floor(totals);
        }
        let held = self.processes.get(&process).map_or(0, |p| p.sequence);
        let postings = history.postings.iter();
        let lost = postings.filter(|recorded| recorded.posting.sequence > held);
        let mut restored = 0;
        for recorded in lost {
            let posting = &recorded.posting;
            self.apply(posting);
            self.granted += recorded.permits;
            let state = ProcessState {
                sequence: posting.sequence,
                permits: recorded.permits,
                rate: posting.rate,
            };
            self.processes.insert(process, state);
            restored += 1;
        }
        restored
    }

    fn raise_floor(&mut self, totals: &Totals) {
        let floor = &mut self.floor;
        floor.net_permits = floor.net_permits.max(totals.net_permits);
        floor.settled = floor.settled.max(totals.settled);
        floor.bad = floor.bad.max(totals.bad);
    }
}
