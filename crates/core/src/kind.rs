//! Request kinds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// `Priority` orders requests under overload; a smaller value is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served as long as any request is.
    First,
    /// Served unless first-priority requests need the capacity.
    #[default]
    Normal,
    /// May be delayed, and is shed first.
    Bulk,
}

impl Priority {
    /// All priorities, most important first.
    pub const ALL: [Self; 3] = [Self::First, Self::Normal, Self::Bulk];

    /// Returns the position in [`Priority::ALL`].
    pub const fn index(self) -> usize {
        match self {
            Self::First => 0,
            Self::Normal => 1,
            Self::Bulk => 2,
        }
    }
}

/// `RequestKind` holds the settings of one kind of request, after inheritance is resolved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestKind {
    /// Priority under overload.
    pub priority: Priority,
    /// Weight of one answered request in the metrics of a service.
    pub weight: f64,
    /// Longest time from arrival to the answer.
    pub deadline: Duration,
    /// Whether the request is idempotent. A request that is not idempotent runs at most once: it
    /// is never hedged, and retried only after proof that it has not run.
    pub repeatable: bool,
    /// Hedged calls allowed per first call, as a fraction.
    pub hedge_ratio: f64,
}

impl Default for RequestKind {
    fn default() -> Self {
        Self {
            priority: Priority::Normal,
            weight: 1.0,
            deadline: Duration::from_millis(1_000),
            repeatable: true,
            hedge_ratio: 0.05,
        }
    }
}
