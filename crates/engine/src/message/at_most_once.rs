//! Requests that may run at most once, between their entry and their home.

use bytes::Bytes;
use monsoondeal_core::{CallId, Epoch, Refusal, Snapshot, UnknownReason};
use monsoondeal_limit::TableHandover;
use serde::{Deserialize, Serialize};

/// `AtMostOnceRequest` is a request that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AtMostOnceRequest {
    /// Identity at the issuing node.
    pub call: CallId,
    /// Service asked for.
    pub service: String,
    /// Request kind.
    pub kind: String,
    /// Idempotency key.
    pub key: String,
    /// Key that selects the group.
    pub partition_key: Option<String>,
    /// Time that is left, in microseconds.
    pub budget: u64,
    /// When it was sent, by the sender's clock, in microseconds.
    pub sent: u64,
    /// Set if the entry refuses the request: the home records the refusal, so that no copy of the
    /// request runs later.
    pub refuse: Option<Refusal>,
    /// Content.
    pub body: Bytes,
}

/// `AtMostOnceAnswer` is the answer to an [`AtMostOnceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AtMostOnceAnswer {
    /// Snapshot that it comes from.
    pub snapshot: Snapshot,
    /// Group that answered.
    pub group: u32,
    /// Content.
    pub body: Bytes,
}

/// `AtMostOnceOutcome` is the end of an [`AtMostOnceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AtMostOnceOutcome {
    /// It was answered, now or before.
    Answered(AtMostOnceAnswer),
    /// It has not run, and no copy of it will.
    NotRun(Refusal),
    /// It may have run.
    Unknown(UnknownReason),
    /// The receiver may not act as the home of the key; nothing was recorded.
    NotHome,
}

/// `KeyTransfer` hands a bucket of idempotency keys to its new home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyTransfer {
    /// Epoch of the move.
    pub epoch: Epoch,
    /// Number of the bucket.
    #[serde(rename = "place")]
    pub bucket: u32,
    /// Its content.
    pub handover: TableHandover<AtMostOnceAnswer>,
}
