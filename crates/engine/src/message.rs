//! Messages between nodes.
//!
//! Each node opens one connection to every other member of its cell and sends its requests there;
//! answers come back on the same connection. Heartbeats are most of the traffic of an idle cell, so
//! their field names are short on the wire.

mod at_most_once;
mod call;
mod config;

use std::time::Duration;

use monsoondeal_core::{CallId, Epoch, LeafId, NodeId};
use monsoondeal_member::Heartbeat;
use serde::{Deserialize, Serialize};

pub use self::at_most_once::{AtMostOnceAnswer, AtMostOnceOutcome, AtMostOnceRequest, KeyTransfer};
pub use self::call::{Call, CallOutcome};
pub use self::config::{ConfigState, ConfigVersions, MoveReport, StoredMap, StoredMove};

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
    /// Asks for a [`Message::HeartbeatReply`].
    #[serde(rename = "b")]
    Heartbeat {
        /// When it was sent, by the sender's clock, in microseconds.
        #[serde(rename = "s")]
        sent: u64,
        /// What the sender knows.
        #[serde(rename = "v")]
        versions: ConfigVersions,
    },
    /// Answers a [`Message::Heartbeat`].
    #[serde(rename = "r")]
    HeartbeatReply {
        /// The answering node.
        #[serde(rename = "n")]
        node: NodeId,
        /// `sent` of the question.
        #[serde(rename = "a")]
        heartbeat_sent: u64,
        /// State of the answering node.
        #[serde(rename = "h")]
        state: Heartbeat,
        /// What the answering node knows.
        #[serde(rename = "v")]
        versions: ConfigVersions,
    },
    /// Asks for a [`Message::ConfigState`].
    #[serde(rename = "Fetch")]
    FetchConfig,
    /// Configuration, as an answer or as a push.
    #[serde(rename = "State")]
    ConfigState(Box<ConfigState>),
    /// Idempotency keys of a place whose home has moved.
    Keys(Box<KeyTransfer>),
    /// Leafs that have moved to the receiver and were warm, with their service time.
    #[serde(rename = "Warm")]
    WarmLeafs {
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
        #[serde(rename = "asked")]
        report_sent: u64,
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
