//! What became of a call or a request.
//!
//! There are three outcomes only: answered, proved not run, and unknown. "Not run" is said only by
//! a process that knows that no byte of the call has left for the leaf, or by the leaf itself.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Refusal` is the reason for which a call was proved not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The queue in front of the leaf could not be served within the deadline.
    Overload,
    /// The leaf is in cold start and its allowance is spent.
    Cold,
    /// No slot was free for a hedge.
    Busy,
    /// The deadline passed before the call was started.
    Expired,
    /// The caller cancelled before the call was started.
    Cancelled,
    /// The node does not hold the leaf's lease.
    NotHolder,
    /// The leaf could not be connected to.
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

/// `UnknownReason` is the reason for which it is unknown whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection broke after the first byte was sent.
    ConnectionLost,
    /// The deadline passed while the call was running.
    Timeout,
    /// The leaf answered with an error that does not exclude a run.
    LeafError,
    /// The node that relayed the call was lost.
    NodeLost,
    /// An earlier request with the same idempotency key may have run.
    EarlierRun,
    /// The node that keeps the idempotency keys of the group could not be asked.
    KeysUnreachable,
    /// No further idempotency key can be remembered.
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
