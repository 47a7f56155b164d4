//! At-most-once requests, between their entry node and the home node of their idempotency key.

use bytes::Bytes;
use monsoondeal_core::{CallId, Epoch, Refusal, Snapshot, UnknownReason};
use monsoondeal_limit::TableHandover;
use serde::{Deserialize, Serialize};

/// `AtMostOnceRequest` is a request that isn't repeatable, so it must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AtMostOnceRequest {
    /// Identifier, unique at the entry node.
    pub call: CallId,
    /// Requested service.
    pub service: String,
    /// Request kind.
    pub kind: String,
    /// Idempotency key.
    pub key: String,
    /// Key that selects the group; without it, the idempotency key does.
    pub partition_key: Option<String>,
    /// Time left until the deadline, in microseconds.
    pub budget: u64,
    /// When it was sent, by the sender's clock, in microseconds.
    pub sent: u64,
    /// Set if the entry node refuses the request. The home node records the refusal, so that no copy of
    /// the request runs later.
    pub refuse: Option<Refusal>,
    /// Request body.
    pub body: Bytes,
}

/// `AtMostOnceAnswer` is the answer to an [`AtMostOnceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AtMostOnceAnswer {
    /// Snapshot that the answer was computed from.
    pub snapshot: Snapshot,
    /// Group that answered.
    pub group: u32,
    /// Response body.
    pub body: Bytes,
}

/// `AtMostOnceOutcome` is the outcome of an [`AtMostOnceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AtMostOnceOutcome {
    /// The request was answered, now or when an earlier copy arrived.
    Answered(AtMostOnceAnswer),
    /// The request has not run, and no copy of it will.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
    /// The receiver isn't the home node of the key, or doesn't hold its lease now; nothing was recorded.
    NotHome,
}

/// `KeyTransfer` hands a bucket of idempotency keys over to its new home node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyTransfer {
    /// Epoch in which the receiver became the home.
    pub epoch: Epoch,
    /// Number of the bucket.
    #[serde(rename = "place")]
    pub bucket: u32,
    /// Keys of the bucket and their outcomes.
    pub handover: TableHandover<AtMostOnceAnswer>,
}
