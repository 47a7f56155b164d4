//! Outcomes of calls and requests.
//!
//! There are three outcomes: answered, proved not run, and unknown. "Not run" is reported only by
//! a process that knows that no byte of the call was sent to the leaf, or by the leaf itself.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Refusal` is the reason why a call is proved not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The queue in front of the leaf is full or too long for the deadline, or the request was
    /// refused on arrival under overload.
    Overload,
    /// The leaf is in cold start and its reduced limit is reached.
    Cold,
    /// No slot was free for a hedge.
    Busy,
    /// The deadline passed before the call was started.
    Expired,
    /// The caller cancelled before the call was started.
    Cancelled,
    /// The node does not hold the leaf's lease.
    NotHolder,
    /// No connection to the leaf could be opened.
    Unreachable,
    /// The leaf itself shed the call.
    Shed,
    /// The leaf serves another snapshot.
    Mismatch,
    /// The node is stopping.
    Draining,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overload => "overload",
            Self::Cold => "leaf in cold start",
            Self::Busy => "no free slot",
            Self::Expired => "deadline passed before the start",
            Self::Cancelled => "cancelled before the start",
            Self::NotHolder => "leaf lease is held elsewhere",
            Self::Unreachable => "leaf cannot be connected to",
            Self::Shed => "shed by the leaf",
            Self::Mismatch => "leaf serves another snapshot",
            Self::Draining => "node is stopping",
        })
    }
}

/// `UnknownReason` is the reason why it is unknown whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection broke after the first byte was sent.
    ConnectionLost,
    /// The deadline passed while the call was running.
    Timeout,
    /// The leaf answered with an error that does not exclude that the call ran.
    LeafError,
    /// The node that relayed the call became unreachable.
    NodeLost,
    /// An earlier request with the same idempotency key may have run.
    EarlierRun,
    /// The node that keeps the idempotency key could not be reached.
    KeysUnreachable,
    /// The table of idempotency keys is full.
    TableFull,
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ConnectionLost => "connection lost during the call",
            Self::Timeout => "deadline passed during the call",
            Self::LeafError => "leaf answered with an error",
            Self::NodeLost => "relaying node was lost",
            Self::EarlierRun => "an earlier request with this key may have run",
            Self::KeysUnreachable => "the idempotency keys could not be asked for",
            Self::TableFull => "no further idempotency key can be remembered",
        })
    }
}
