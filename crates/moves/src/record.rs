//! The record of a move in the store.

use monsoondeal_core::{Snapshot, Time};
use serde::{Deserialize, Serialize};

use crate::coordinator::{CoordinatorState, RollbackReason};
use crate::plan::Plan;

/// `Progress` is the state of a recorded move. Times are milliseconds of Unix time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Progress {
    /// The new version gets the share of a step.
    Running {
        /// Index of the step.
        step: usize,
        /// When the step began.
        since: u64,
    },
    /// All traffic goes to the new version.
    Done,
    /// The move was rolled back: all traffic goes to the old version, for good.
    Reversed {
        /// Why the move was rolled back.
        reason: String,
    },
}

/// `MoveRecord` is a move of one service, stored as an object of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// The service.
    pub service: String,
    /// Snapshot of the new version.
    pub to: Snapshot,
    /// When the move began, in milliseconds of Unix time.
    pub start: u64,
    /// When the move must be completed or rolled back, in milliseconds of Unix time.
    #[serde(rename = "by")]
    pub deadline: u64,
    /// State of the move.
    pub progress: Progress,
}

/// `WallClock` converts between Unix time and the time of a process's own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WallClock {
    /// Unix time at the start of the process's clock, in milliseconds.
    pub origin_millis: i64,
}

impl WallClock {
    /// Returns the time on the process's clock; zero for any time before its start.
    pub fn time(self, unix_millis: u64) -> Time {
        let millis = i64::try_from(unix_millis)
            .unwrap_or(i64::MAX)
            .saturating_sub(self.origin_millis);
        Time::from_millis(u64::try_from(millis).unwrap_or(0))
    }

    /// Returns the Unix time in milliseconds.
    pub fn unix_millis(self, time: Time) -> u64 {
        let millis = i64::try_from(time.as_micros() / 1_000).unwrap_or(i64::MAX);
        u64::try_from(self.origin_millis.saturating_add(millis)).unwrap_or(0)
    }
}

impl MoveRecord {
    /// Returns whether the move is neither completed nor rolled back.
    pub fn is_running(&self) -> bool {
        matches!(self.progress, Progress::Running { .. })
    }

    /// Returns the plan on a process's clock.
    pub fn plan(&self, wall: WallClock) -> Plan {
        Plan {
            start: wall.time(self.start),
            deadline: wall.time(self.deadline),
        }
    }

    /// Returns the state from which a coordinator resumes the move.
    pub fn state(&self, wall: WallClock) -> CoordinatorState {
        match &self.progress {
            Progress::Running { step, since } => CoordinatorState::Running {
                step: *step,
                since: wall.time(*since),
            },
            Progress::Done => CoordinatorState::Done,
            Progress::Reversed { .. } => CoordinatorState::Reversed(RollbackReason::Operator),
        }
    }

    /// Returns the record with the state of a coordinator.
    pub fn with_state(&self, state: &CoordinatorState, wall: WallClock) -> Self {
        let progress = match state {
            CoordinatorState::Running { step, since } => Progress::Running {
                step: *step,
                since: wall.unix_millis(*since),
            },
            CoordinatorState::Done => Progress::Done,
            CoordinatorState::Reversed(reason) => Progress::Reversed {
                reason: reason.to_string(),
            },
        };
        Self {
            progress,
            ..self.clone()
        }
    }
}
