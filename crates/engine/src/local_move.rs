//! State of a version move at one node.

use std::time::Duration;

use monsoondeal_core::{DeterministicMap, Time};
use monsoondeal_moves::{
    MoveAgent, MoveCoordinator, MoveRecord, Progress, VerdictSettings, WallClock,
};
use monsoondeal_route::ResponseQuantile;

use crate::message::StoredMove;

/// Share of the old version's requests that count as slow; sets the threshold for both versions.
const SLOW_SHARE: f64 = 0.25;

/// Version move of one service: its record, and what this node has observed of it.
#[derive(Debug)]
pub(crate) struct LocalMove {
    pub(crate) revision: u64,
    pub(crate) record: MoveRecord,
    pub(crate) agent: MoveAgent,
    /// Response time of the old version above which an answer counts as slow, by request kind.
    slow_thresholds: DeterministicMap<String, ResponseQuantile>,
    /// State of the coordinator, if this node coordinates the move.
    pub(crate) coordinator: Option<MoveCoordinator>,
    /// When the write of the record in progress began.
    pub(crate) write_started: Option<Time>,
}

impl LocalMove {
    /// Creates the state of a move from its record.
    pub(crate) fn new(stored: StoredMove) -> Self {
        Self {
            revision: stored.revision,
            record: stored.record,
            agent: MoveAgent::new(VerdictSettings::default()),
            slow_thresholds: DeterministicMap::default(),
            coordinator: None,
            write_started: None,
        }
    }

    /// Returns the state of the coordinator, created from the record if this node has not coordinated
    /// the move before.
    pub(crate) fn coordinator(&mut self, wall: WallClock) -> &mut MoveCoordinator {
        let record = &self.record;
        self.coordinator.get_or_insert_with(|| {
            MoveCoordinator::new(
                record.plan(wall),
                VerdictSettings::default(),
                record.state(wall),
            )
        })
    }

    /// Returns whether the move is done: all requests go to the new version.
    pub(crate) fn is_done(&self) -> bool {
        self.record.progress == Progress::Done
    }

    /// Returns whether an answer is slow for its request kind. Answers of the old version update the
    /// threshold.
    pub(crate) fn is_slow(&mut self, kind: &str, new: bool, elapsed: Duration) -> bool {
        let slow_threshold = match self.slow_thresholds.get_mut(kind) {
            Some(slow_threshold) => slow_threshold,
            None => {
                let quantile = ResponseQuantile::above(SLOW_SHARE);
                self.slow_thresholds
                    .entry(kind.to_owned())
                    .or_insert(quantile)
            }
        };
        let slow = slow_threshold
            .value()
            .is_some_and(|slow_threshold| elapsed > slow_threshold);
        if !new {
            slow_threshold.record(elapsed);
        }
        slow
    }
}
