//! A version move as one node knows it.

use std::time::Duration;

use monsoondeal_core::{DeterministicMap, Time};
use monsoondeal_moves::{
    MoveAgent, MoveCoordinator, MoveRecord, Progress, VerdictSettings, WallClock,
};
use monsoondeal_route::ResponseQuantile;

use crate::message::StoredMove;

/// Share of the old version's requests that count as slow.
const SLOW_SHARE: f64 = 0.25;

/// A move of one service as this node knows it.
#[derive(Debug)]
pub(crate) struct Moving {
    pub(crate) revision: u64,
    pub(crate) record: MoveRecord,
    pub(crate) guard: MoveAgent,
    /// Usual response time of the old version by route.
    usual: DeterministicMap<String, ResponseQuantile>,
    /// Present at the node that conducts the move.
    pub(crate) conduct: Option<MoveCoordinator>,
    /// Since when a write of the record is under way.
    pub(crate) writing: Option<Time>,
}

impl Moving {
    /// Creates a move from its record.
    pub(crate) fn new(stored: StoredMove) -> Self {
        Self {
            revision: stored.revision,
            record: stored.record,
            guard: MoveAgent::new(VerdictSettings::default()),
            usual: DeterministicMap::default(),
            conduct: None,
            writing: None,
        }
    }

    /// Returns the conduct of the move, which goes on from the record.
    pub(crate) fn conduct(&mut self, wall: WallClock) -> &mut MoveCoordinator {
        let record = &self.record;
        self.conduct.get_or_insert_with(|| {
            MoveCoordinator::new(
                record.plan(wall),
                VerdictSettings::default(),
                record.state(wall),
            )
        })
    }

    /// Returns whether everything goes to the new version.
    pub(crate) fn is_done(&self) -> bool {
        self.record.progress == Progress::Done
    }

    /// Returns whether an answer is slow for its route, and learns from those of the old version.
    pub(crate) fn is_slow(&mut self, route: &str, new: bool, elapsed: Duration) -> bool {
        let usual = match self.usual.get_mut(route) {
            Some(usual) => usual,
            None => {
                let quantile = ResponseQuantile::above(SLOW_SHARE);
                self.usual.entry(route.to_owned()).or_insert(quantile)
            }
        };
        let slow = usual.value().is_some_and(|usual| elapsed > usual);
        if !new {
            usual.record(elapsed);
        }
        slow
    }
}
