//! Messages between nodes.
//!
//! Each node opens one connection to every other member of its cell and sends its requests there;
//! answers come back on the same connection. Calls and their ends are most of the traffic, so they
//! are serialized by hand as plain sequences. Heartbeats are most of the traffic of an idle cell, so
//! their field names are short on the wire.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_config::{ServiceMap, Tree};
use monsoondeal_core::{
    CallId, Doubt, Epoch, LeafId, NodeId, Priority, Refusal, Snapshot, TreeVersion,
};
use monsoondeal_limit::Handover;
use monsoondeal_member::{Heartbeat, Roster};
use monsoondeal_moves::{Evidence, MoveRecord};
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

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
    /// What a node has counted during a version move, for the conductor.
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
    /// A version move of this service must stop: a node tells the conductor, or the conductor all.
    MoveStop(String),
    /// A call to a leaf that the receiver holds.
    Call(Box<Call>),
    /// The answer to a call is no longer wanted.
    Cancel(CallId),
    /// The end of a call.
    CallEnd(CallId, CallEnd),
    /// A request that may run at most once, for its home.
    Order(Box<Order>),
    /// The end of an order.
    OrderEnd(CallId, OrderEnd),
}

/// `Versions` tell how recent a node's configuration is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Of the tree.
    #[serde(rename = "t")]
    pub tree: TreeVersion,
    /// Of the roster.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Whether the epoch before has ended.
    #[serde(rename = "s")]
    pub settled: bool,
    /// Sum of the store versions of all partition maps and version moves.
    #[serde(rename = "m")]
    pub maps: u64,
}

impl Versions {
    /// Returns whether `other` knows something that this one does not.
    pub fn is_behind(&self, other: &Self) -> bool {
        self.tree < other.tree
            || (self.epoch, self.settled) < (other.epoch, other.settled)
            || self.maps < other.maps
    }
}

/// `StoredMap` is a partition map with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMap {
    /// Version in the store.
    pub revision: u64,
    /// The map.
    pub map: ServiceMap,
}

/// `StoredMove` is the record of a version move with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMove {
    /// Version in the store.
    pub revision: u64,
    /// The record.
    pub record: MoveRecord,
}

/// `MoveReport` is what a node has counted since a version move began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// The service.
    pub service: String,
    /// When it was sent, by the sender's clock, in microseconds.
    pub sent: u64,
    /// All counts so far.
    pub evidence: Evidence,
}

/// `State` is all configuration that a node has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The tree.
    pub tree: Option<Tree>,
    /// The roster of the cell.
    pub roster: Option<Roster>,
    /// Partition maps of the cell's services.
    pub maps: Vec<StoredMap>,
    /// Version moves of the cell's services.
    pub moves: Vec<StoredMove>,
}

/// `Keys` hands a place of idempotency keys to its new home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Keys {
    /// Epoch of the move.
    pub epoch: Epoch,
    /// Number of the place.
    pub place: u32,
    /// Its content.
    pub handover: Handover<OrderAnswer>,
}

/// `Call` is a call to one leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identity at the issuing node.
    pub call: CallId,
    /// The leaf.
    pub leaf: LeafId,
    /// Snapshot that the answer must come from.
    pub snapshot: Snapshot,
    /// Order in queues.
    pub priority: Priority,
    /// Whether another call for the group is under way.
    pub hedge: bool,
    /// Time that is left, in microseconds.
    pub budget: u64,
    /// When it was sent, by the sender's clock, in microseconds.
    pub sent: u64,
    /// Request kind.
    pub kind: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Content.
    pub body: Bytes,
}

/// `CallEnd` is the end of a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The leaf answered.
    Data(Snapshot, Bytes),
    /// The call did not run.
    NotRun(Refusal),
    /// The call may have run.
    Unknown(Doubt),
}

/// `Order` is a request that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
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

/// `OrderAnswer` is the answer to an [`Order`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Snapshot that it comes from.
    pub snapshot: Snapshot,
    /// Group that answered.
    pub group: u32,
    /// Content.
    pub body: Bytes,
}

/// `OrderEnd` is the end of an [`Order`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderEnd {
    /// It was answered, now or before.
    Answered(OrderAnswer),
    /// It has not run, and no copy of it will.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Doubt),
    /// The receiver may not act as the home of the key; nothing was recorded.
    NotHome,
}

impl Serialize for Call {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut tuple = serializer.serialize_tuple(CallVisitor::LENGTH)?;
        tuple.serialize_element(&self.call)?;
        tuple.serialize_element(&self.leaf)?;
        tuple.serialize_element(&self.snapshot.index)?;
        tuple.serialize_element(&self.snapshot.map)?;
        tuple.serialize_element(&(self.priority.index() as u8))?;
        tuple.serialize_element(&self.hedge)?;
        tuple.serialize_element(&self.budget)?;
        tuple.serialize_element(&self.sent)?;
        tuple.serialize_element(&self.kind)?;
        tuple.serialize_element(&self.key)?;
        tuple.serialize_element(&self.body)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Call {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_tuple(CallVisitor::LENGTH, CallVisitor)
    }
}

struct CallVisitor;

impl CallVisitor {
    const LENGTH: usize = 11;
}

impl<'de> Visitor<'de> for CallVisitor {
    type Value = Call;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a call as a sequence of {} elements", Self::LENGTH)
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Call, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let call = element(&mut seq, 0)?;
        let leaf = element(&mut seq, 1)?;
        let snapshot = Snapshot {
            index: element(&mut seq, 2)?,
            map: element(&mut seq, 3)?,
        };
        let priority: u8 = element(&mut seq, 4)?;
        let Some(&priority) = Priority::ALL.get(usize::from(priority)) else {
            let unexpected = de::Unexpected::Unsigned(u64::from(priority));
            return Err(de::Error::invalid_value(
                unexpected,
                &"a priority from 0 to 2",
            ));
        };
        Ok(Call {
            call,
            leaf,
            snapshot,
            priority,
            hedge: element(&mut seq, 5)?,
            budget: element(&mut seq, 6)?,
            sent: element(&mut seq, 7)?,
            kind: element(&mut seq, 8)?,
            key: element(&mut seq, 9)?,
            body: element(&mut seq, 10)?,
        })
    }
}

/// First element of a serialized [`CallEnd`].
mod end_tag {
    pub(super) const DATA: u8 = 0;
    pub(super) const NOT_RUN: u8 = 1;
    pub(super) const UNKNOWN: u8 = 2;
}

impl Serialize for CallEnd {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match self {
            Self::Data(stamp, body) => {
                let mut tuple = serializer.serialize_tuple(4)?;
                tuple.serialize_element(&end_tag::DATA)?;
                tuple.serialize_element(&stamp.index)?;
                tuple.serialize_element(&stamp.map)?;
                tuple.serialize_element(body)?;
                tuple.end()
            }
            Self::NotRun(reason) => (end_tag::NOT_RUN, reason).serialize(serializer),
            Self::Unknown(doubt) => (end_tag::UNKNOWN, doubt).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for CallEnd {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_seq(CallEndVisitor)
    }
}

struct CallEndVisitor;

impl<'de> Visitor<'de> for CallEndVisitor {
    type Value = CallEnd;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the end of a call as a tagged sequence")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<CallEnd, A::Error>
    where
        A: SeqAccess<'de>,
    {
        match element::<u8, A>(&mut seq, 0)? {
            end_tag::DATA => {
                let stamp = Snapshot {
                    index: element(&mut seq, 1)?,
                    map: element(&mut seq, 2)?,
                };
                Ok(CallEnd::Data(stamp, element(&mut seq, 3)?))
            }
            end_tag::NOT_RUN => Ok(CallEnd::NotRun(element(&mut seq, 1)?)),
            end_tag::UNKNOWN => Ok(CallEnd::Unknown(element(&mut seq, 1)?)),
            tag => {
                let unexpected = de::Unexpected::Unsigned(u64::from(tag));
                Err(de::Error::invalid_value(unexpected, &"a tag from 0 to 2"))
            }
        }
    }
}

/// Reads the next element of a sequence.
fn element<'de, T, A>(seq: &mut A, at: usize) -> Result<T, A::Error>
where
    T: Deserialize<'de>,
    A: SeqAccess<'de>,
{
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(at, &"more elements"))
}
