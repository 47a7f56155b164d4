//! Messages between nodes.
//!
//! Each node opens one connection to every other member of its cell and sends its requests there;
//! answers come back on the same connection. Heartbeats are most of the traffic of an idle cell, so
//! their field names are short on the wire.

mod call;
mod config;
mod order;

use std::time::Duration;

use monsoondeal_core::{CallId, Epoch, LeafId, NodeId};
use monsoondeal_member::Heartbeat;
use serde::{Deserialize, Serialize};

pub use self::call::{Call, CallOutcome};
pub use self::config::{MoveReport, State, StoredMap, StoredMove, Versions};
pub use self::order::{AtMostOnceAnswer, AtMostOnceOutcome, AtMostOnceRequest, Keys};

/// `Message` is what nodes tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message on a connection: who opened it.
    Hello {
        /// The node.
        node: NodeId,
        /// Its cell.
        cell: String,
    },
    /// Asks for a [`Message::BeatReply`].
    #[serde(rename = "b")]
    Beat {
        /// When it was sent, by the sender's clock, in microseconds.
        #[serde(rename = "s")]
        sent: u64,
        /// What the sender knows.
        #[serde(rename = "v")]
        versions: Versions,
    },
    /// Answers a [`Message::Beat`].
    #[serde(rename = "r")]
    BeatReply {
        /// The answering node.
        #[serde(rename = "n")]
        node: NodeId,
        /// `sent` of the question.
        #[serde(rename = "a")]
        asked: u64,
        /// State of the answering node.
        #[serde(rename = "h")]
        said: Heartbeat,
        /// What the answering node knows.
        #[serde(rename = "v")]
        versions: Versions,
    },
    /// Asks for a [`Message::State`].
    Fetch,
    /// Configuration, as an answer or as a push.
    State(Box<State>),
    /// Idempotency keys of a place whose home has moved.
    Keys(Box<Keys>),
    /// Leafs that have moved to the receiver and were warm, with their service time.
    Warm {
        /// Epoch of the move.
        epoch: Epoch,
        /// The leafs.
        leafs: Vec<(LeafId, Duration)>,
    },
    /// What a node has counted during a version move, for the coordinator.
    MoveReport(Box<MoveReport>),
    /// Answers a [`Message::MoveReport`]: the share that the node may send to the new version.
    MoveGrant {
        /// The service.
        service: String,
        /// `sent` of the report.
        asked: u64,
        /// The share.
        share: f64,
    },
    /// A version move of this service must stop: a node tells the coordinator, or the coordinator all.
    MoveStop(String),
    /// A call to a leaf that the receiver holds.
    Call(Box<Call>),
    /// The answer to a call is no longer wanted.
    Cancel(CallId),
    /// The end of a call.
    #[serde(rename = "CallEnd")]
    CallOutcome(CallId, CallOutcome),
    /// A request that may run at most once, for its home.
    #[serde(rename = "Order")]
    AtMostOnce(Box<AtMostOnceRequest>),
    /// The end of an order.
    #[serde(rename = "OrderEnd")]
    AtMostOnceOutcome(CallId, AtMostOnceOutcome),
}
