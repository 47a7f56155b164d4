//! The settings that a level of the tree can override.

use std::time::Duration;

use monsoondeal_core::{Priority, RequestKind};
use serde_json::Value;

/// `LeafLimits` are the load limits of a service's leafs, after inheritance is resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeafLimits {
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of concurrent calls in cold start.
    pub cold_slots: u32,
    /// Shortest time between two calls in cold start.
    pub cold_gap: Duration,
    /// Answers after which a cold leaf counts as warm.
    pub warm_after: u32,
}

impl Default for LeafLimits {
    fn default() -> Self {
        Self {
            slots: 2,
            cold_slots: 1,
            cold_gap: Duration::from_millis(20),
            warm_after: 20,
        }
    }
}

/// `SettingKind` is the type and range of a setting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingKind {
    /// Whole number.
    Count {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// Fraction or weight.
    Number {
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// `true` or `false`.
    Flag,
    /// `first`, `normal` or `bulk`.
    Priority,
}

/// `Setting` describes one setting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Setting {
    /// Name, with the unit at its end.
    pub name: &'static str,
    /// Type and range.
    pub kind: SettingKind,
    /// Help text for operators.
    pub help: &'static str,
}

/// All settings, in the order of the operators' page.
pub const SETTINGS: [Setting; 9] = [
    Setting {
        name: "priority",
        kind: SettingKind::Priority,
        help: "priority under overload: first, normal or bulk",
    },
    Setting {
        name: "weight",
        kind: SettingKind::Number {
            min: 0.0,
            max: 1_000_000.0,
        },
        help: "weight of one answered request in service metrics",
    },
    Setting {
        name: "deadline_ms",
        kind: SettingKind::Count {
            min: 1,
            max: 10_000,
        },
        help: "longest time from arrival to the answer",
    },
    Setting {
        name: "repeatable",
        kind: SettingKind::Flag,
        help: "whether the request is idempotent; if not, it needs an Idempotency-Key",
    },
    Setting {
        name: "hedge_ratio",
        kind: SettingKind::Number { min: 0.0, max: 0.5 },
        help: "hedged calls allowed per first call",
    },
    Setting {
        name: "slots",
        kind: SettingKind::Count { min: 1, max: 1_000 },
        help: "largest number of concurrent calls to a warm leaf",
    },
    Setting {
        name: "cold_slots",
        kind: SettingKind::Count { min: 1, max: 1_000 },
        help: "largest number of concurrent calls to a leaf in cold start",
    },
    Setting {
        name: "cold_gap_ms",
        kind: SettingKind::Count {
            min: 0,
            max: 60_000,
        },
        help: "shortest time between two calls to a leaf in cold start",
    },
    Setting {
        name: "warm_after",
        kind: SettingKind::Count {
            min: 1,
            max: 1_000_000,
        },
        help: "answers after which a leaf in cold start counts as warm",
    },
];

impl Setting {
    /// Returns the setting with this name.
    pub fn find(name: &str) -> Option<&'static Self> {
        SETTINGS.iter().find(|s| s.name == name)
    }

    /// Returns a message if a value has the wrong type or is out of range.
    pub fn value_error(&self, value: &Value) -> Option<String> {
        let (is_valid, expected) = match self.kind {
            SettingKind::Count { min, max } => (
                value.as_u64().is_some_and(|n| (min..=max).contains(&n)),
                format!("a whole number from {min} to {max}"),
            ),
            SettingKind::Number { min, max } => (
                value.as_f64().is_some_and(|n| (min..=max).contains(&n)),
                format!("a number from {min} to {max}"),
            ),
            SettingKind::Flag => (value.is_boolean(), "true or false".to_owned()),
            SettingKind::Priority => (
                priority(value).is_some(),
                "\"first\", \"normal\" or \"bulk\"".to_owned(),
            ),
        };
        (!is_valid).then(|| format!("'{}' must be {expected}, not {value}", self.name))
    }
}

/// Applies one validated value to a request kind. Settings of leafs are ignored.
pub(crate) fn apply_to_kind(kind: &mut RequestKind, name: &str, value: &Value) {
    match name {
        "priority" => kind.priority = priority(value).unwrap_or_default(),
        "weight" => kind.weight = value.as_f64().unwrap_or(kind.weight),
        "deadline_ms" => kind.deadline = millis(value).unwrap_or(kind.deadline),
        "repeatable" => kind.repeatable = value.as_bool().unwrap_or(kind.repeatable),
        "hedge_ratio" => kind.hedge_ratio = value.as_f64().unwrap_or(kind.hedge_ratio),
        _ => {}
    }
}

/// Applies one validated value to leaf limits. Settings of request kinds are ignored.
pub(crate) fn apply_to_limits(limits: &mut LeafLimits, name: &str, value: &Value) {
    match name {
        "slots" => limits.slots = count(value).unwrap_or(limits.slots),
        "cold_slots" => limits.cold_slots = count(value).unwrap_or(limits.cold_slots),
        "cold_gap_ms" => limits.cold_gap = millis(value).unwrap_or(limits.cold_gap),
        "warm_after" => limits.warm_after = count(value).unwrap_or(limits.warm_after),
        _ => {}
    }
}

fn priority(value: &Value) -> Option<Priority> {
    serde_json::from_value(value.clone()).ok()
}

fn count(value: &Value) -> Option<u32> {
    value.as_u64().and_then(|n| u32::try_from(n).ok())
}

fn millis(value: &Value) -> Option<Duration> {
    value.as_u64().map(Duration::from_millis)
}
