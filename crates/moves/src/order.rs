//! What tells the orders of a service apart.

use monsoondeal_core::Revision;
use serde::{Deserialize, Serialize};

/// `OrderId` identifies an order among those of one service, also among those for the same version.
///
/// An order may be given by changing the record of an earlier one, which keeps the number under which the record was
/// created. So an order is named by the revision that the record had when the order was given, too. Both numbers belong
/// to the era of that revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "WireOrderId", into = "WireOrderId")]
pub struct OrderId {
    /// Number under which the record was created. Within an era it increases with each record of the service.
    pub created: u64,
    /// Revision of the record as the order was given; its number is zero if it is not known, as from an earlier program.
    pub revision: Revision,
}

impl OrderId {
    /// Returns whether both name the same order. A revision that is not known is taken for the same.
    pub fn is_same(self, other: Self) -> bool {
        let (own, others) = (self.revision, other.revision);
        let is_unknown = own.number == 0 || others.number == 0;
        own.shares_era(others)
            && self.created == other.created
            && (is_unknown || own.number == others.number)
    }

    /// Returns whether this order was given before another one.
    pub fn is_before(self, other: Self) -> bool {
        let (own, others) = (self.revision, other.revision);
        if !own.shares_era(others) {
            return own.era < others.era;
        }
        !self.is_same(other) && (self.created, own.number) < (other.created, others.number)
    }
}

/// `OrderId` as it is stored, which earlier programs can read.
#[derive(Serialize, Deserialize)]
struct WireOrderId {
    #[serde(rename = "id")]
    created: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    revision: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
}

impl From<WireOrderId> for OrderId {
    fn from(wire: WireOrderId) -> Self {
        Self {
            created: wire.created,
            revision: Revision::new(wire.era, wire.revision),
        }
    }
}

impl From<OrderId> for WireOrderId {
    fn from(id: OrderId) -> Self {
        Self {
            created: id.created,
            revision: id.revision.number,
            era: id.revision.era,
        }
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}
