//! Messages between nodes.
//!
//! Each node opens one connection to every other member of its cell. On it the node sends its heartbeats,
//! calls and other messages, and receives the replies to them. Nodes of different builds exchange these
//! messages, so names on the wire must not change. Heartbeats are most of the traffic of an idle cell, so
//! their names are short on the wire.

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

/// `Message` is a message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message on a connection; identifies the node that opened it.
    Hello {
        /// Node that opened the connection.
        node: NodeId,
        /// Cell of the node.
        cell: String,
    },
    /// Requests a [`Message::HeartbeatReply`].
    #[serde(rename = "b")]
    Heartbeat {
        /// When it was sent, by the sender's clock, in microseconds.
        #[serde(rename = "s")]
        sent: u64,
        /// Configuration versions of the sender.
        #[serde(rename = "v")]
        versions: ConfigVersions,
    },
    /// Answers a [`Message::Heartbeat`].
    #[serde(rename = "r")]
    HeartbeatReply {
        /// Node that replies.
        #[serde(rename = "n")]
        node: NodeId,
        /// `sent` of the heartbeat.
        #[serde(rename = "a")]
        heartbeat_sent: u64,
        /// Membership state of the replying node.
        #[serde(rename = "h")]
        state: Heartbeat,
        /// Configuration versions of the replying node.
        #[serde(rename = "v")]
        versions: ConfigVersions,
    },
    /// Requests a [`Message::ConfigState`].
    #[serde(rename = "Fetch")]
    FetchConfig,
    /// Configuration, as a reply or as a push.
    #[serde(rename = "State")]
    ConfigState(Box<ConfigState>),
    /// Idempotency keys of a bucket whose new home is the receiver.
    Keys(Box<KeyTransfer>),
    /// Warm leafs whose new holder is the receiver.
    #[serde(rename = "Warm")]
    WarmLeafs {
        /// Epoch in which the receiver became the holder.
        epoch: Epoch,
        /// Leafs and their service times.
        leafs: Vec<(LeafId, Duration)>,
    },
    /// Counts of a node during a version move, for the coordinator of the move.
    MoveReport(Box<MoveReport>),
    /// Replies to a [`Message::MoveReport`] with the share of requests that the node may send to the new
    /// version.
    MoveGrant {
        /// Service of the move.
        service: String,
        /// `sent` of the report.
        #[serde(rename = "asked")]
        report_sent: u64,
        /// Share of the new version, from 0 to 1.
        share: f64,
    },
    /// The version move of this service must stop. Sent by a node to the coordinator of the move, and by
    /// the coordinator to all nodes.
    MoveStop(String),
    /// A call to a leaf whose holder is the receiver.
    Call(Box<Call>),
    /// Cancels a call.
    Cancel(CallId),
    /// The outcome of a call.
    #[serde(rename = "CallEnd")]
    CallOutcome(CallId, CallOutcome),
    /// An at-most-once request, for the home node of its idempotency key.
    #[serde(rename = "Order")]
    AtMostOnce(Box<AtMostOnceRequest>),
    /// The outcome of an at-most-once request.
    #[serde(rename = "OrderEnd")]
    AtMostOnceOutcome(CallId, AtMostOnceOutcome),
}
