//! Calls to leafs and their outcomes, between the node that runs a query and the holder of a leaf.
//!
//! They are most of the traffic between nodes, so they are serialized by hand as sequences without field
//! names.

use std::fmt;

use bytes::Bytes;
use monsoondeal_core::{CallId, LeafId, Priority, Refusal, Snapshot, UnknownReason};
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// `Call` is a call to a leaf, for the holder of the leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifier, unique at the issuing node.
    pub call: CallId,
    /// Leaf to call.
    pub leaf: LeafId,
    /// Snapshot that the answer must come from.
    pub snapshot: Snapshot,
    /// Priority in the queue of the holder.
    pub priority: Priority,
    /// Whether the call is a hedge: another call for the same group is in flight.
    pub hedge: bool,
    /// Time left until the deadline, in microseconds.
    pub budget: u64,
    /// When it was sent, by the sender's clock, in microseconds.
    pub sent: u64,
    /// Request kind.
    pub kind: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Request body.
    pub body: Bytes,
}

/// `CallOutcome` is the outcome of a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The leaf answered: snapshot stated by the leaf, and response body.
    Data(Snapshot, Bytes),
    /// The call has not run.
    NotRun(Refusal),
    /// The call may have run.
    Unknown(UnknownReason),
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

/// First element of a serialized [`CallOutcome`]: the variant.
mod outcome_tag {
    pub(super) const DATA: u8 = 0;
    pub(super) const NOT_RUN: u8 = 1;
    pub(super) const UNKNOWN: u8 = 2;
}

impl Serialize for CallOutcome {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match self {
            Self::Data(stamp, body) => {
                let mut tuple = serializer.serialize_tuple(4)?;
                tuple.serialize_element(&outcome_tag::DATA)?;
                tuple.serialize_element(&stamp.index)?;
                tuple.serialize_element(&stamp.map)?;
                tuple.serialize_element(body)?;
                tuple.end()
            }
            Self::NotRun(reason) => (outcome_tag::NOT_RUN, reason).serialize(serializer),
            Self::Unknown(reason) => (outcome_tag::UNKNOWN, reason).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for CallOutcome {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_seq(CallOutcomeVisitor)
    }
}

struct CallOutcomeVisitor;

impl<'de> Visitor<'de> for CallOutcomeVisitor {
    type Value = CallOutcome;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the outcome of a call as a tagged sequence")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<CallOutcome, A::Error>
    where
        A: SeqAccess<'de>,
    {
        match element::<u8, A>(&mut seq, 0)? {
            outcome_tag::DATA => {
                let stamp = Snapshot {
                    index: element(&mut seq, 1)?,
                    map: element(&mut seq, 2)?,
                };
                Ok(CallOutcome::Data(stamp, element(&mut seq, 3)?))
            }
            outcome_tag::NOT_RUN => Ok(CallOutcome::NotRun(element(&mut seq, 1)?)),
            outcome_tag::UNKNOWN => Ok(CallOutcome::Unknown(element(&mut seq, 1)?)),
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
        .ok_or_else(|| de::Error::invalid_length(at, &"a longer sequence"))
}
