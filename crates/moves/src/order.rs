//! What tells the orders of a service apart.

use serde::{Deserialize, Serialize};

/// `OrderId` identifies an order among those of one service, also among those for the same version.
///
/// An order may be given by changing the record of an earlier one, which keeps the number under which the record was
/// created. So an order is named by the revision that the record had when the order was given, too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderId {
    /// Number under which the record was created. It increases with each record of the service.
    #[serde(rename = "id")]
    pub created: u64,
    /// Revision of the record as the order was given; zero if it is not known, as from an earlier program.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: u64,
}

impl OrderId {
    /// Returns whether both name the same order. A revision that is not known is taken for the same.
    pub fn is_same(self, other: Self) -> bool {
        let is_unknown = self.revision == 0 || other.revision == 0;
        self.created == other.created && (is_unknown || self.revision == other.revision)
    }

    /// Returns whether this order was given before another one.
    pub fn is_before(self, other: Self) -> bool {
        let is_same = self.is_same(other);
        !is_same && (self.created, self.revision) < (other.created, other.revision)
    }
}

fn is_zero(revision: &u64) -> bool {
    *revision == 0
}
