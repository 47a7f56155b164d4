//! Orders that others have replaced, as an older copy of the store may still show them.

use std::collections::HashMap;

use monsoondeal_moves::OrderId;
use smallvec::SmallVec;

use super::messages::MoveOrder;
use crate::config::Name;

/// Maximum number of replaced orders that are remembered for a service.
const MAX_REPLACED: usize = 8;

/// `ReplacedOrders` are orders that others of their service have replaced.
#[derive(Debug, Default)]
pub(super) struct ReplacedOrders {
    /// By service, oldest first.
    orders: HashMap<Name, SmallVec<[Replaced; 2]>>,
}

/// An order that another one has replaced.
#[derive(Debug)]
struct Replaced {
    id: OrderId,
    version: Name,
}

impl Replaced {
    /// Returns whether an order that a restored store lists is this one: a copy keeps the numbers.
    fn is_copy(&self, order: &MoveOrder) -> bool {
        let (held, listed) = (self.id, order.id);
        self.version == order.version
            && held.created == listed.created
            && held.revision.number == listed.revision.number
            && held.revision.is_of_earlier_era(listed.revision)
    }
}

impl ReplacedOrders {
    /// Returns whether an order of a restored store is one of these.
    pub(super) fn has_copy(&self, order: &MoveOrder) -> bool {
        let replaced = self.orders.get(&order.service);
        replaced.is_some_and(|list| list.iter().any(|r| r.is_copy(order)))
    }

    /// Remembers an order that another one replaces.
    pub(super) fn remember(&mut self, order: &MoveOrder) {
        let list = self.orders.entry(order.service.clone()).or_default();
        list.push(Replaced {
            id: order.id,
            version: order.version.clone(),
        });
        if list.len() > MAX_REPLACED {
            list.remove(0);
        }
    }
}
