//! What the former holders and homes hand over to the new ones when a roster changes.

use std::net::SocketAddr;

use monsoondeal_core::Epoch;

use crate::context::Context;
use crate::holder::WarmLeaf;
use crate::io::Output;
use crate::message::{Keys, Message};

/// Something that is handed over.
#[derive(Debug)]
pub(crate) enum Transfer {
    /// Idempotency keys of a place.
    Keys(Box<Keys>),
    /// Leafs that are warm.
    Warm(Vec<WarmLeaf>),
}

/// Transfers that wait for an epoch or for a connection.
#[derive(Debug, Default)]
pub(crate) struct Transfers {
    /// Transfers that arrived before the roster that causes them.
    early: Vec<(Epoch, Transfer)>,
    /// Transfers that wait for the connection to the receiver.
    outgoing: Vec<(SocketAddr, Epoch, Transfer)>,
    /// Latest epoch for which gates and tables are in place.
    epoch: Epoch,
}

impl Transfers {
    /// Sends a transfer of the present epoch now, or once the receiver is connected. The ages of keys
    /// grow meanwhile, so that the receiver remembers them longer than it needs to.
    pub(crate) fn send_when_up(
        &mut self,
        cx: &mut Context,
        addr: SocketAddr,
        transfer: Transfer,
        out: &mut Vec<Output>,
    ) {
        self.outgoing.push((addr, cx.cell.roster().epoch, transfer));
        if cx.peers.get(&addr).is_some_and(|peer| peer.up) {
            self.send_waiting(cx, addr, out);
        }
    }

    /// Sends the transfers that wait for a connection; those of older epochs are dropped.
    pub(crate) fn send_waiting(
        &mut self,
        cx: &mut Context,
        addr: SocketAddr,
        out: &mut Vec<Output>,
    ) {
        let present = cx.cell.roster().epoch;
        let outgoing = std::mem::take(&mut self.outgoing);
        for (to, epoch, transfer) in outgoing {
            if epoch != present {
                continue;
            }
            if to != addr {
                self.outgoing.push((to, epoch, transfer));
                continue;
            }
            cx.counts.control_messages += 1;
            let message = match transfer {
                Transfer::Keys(keys) => Message::Keys(keys),
                Transfer::Warm(leafs) => Message::Warm { epoch, leafs },
            };
            out.push(Output::ToPeer(addr, message));
        }
    }

    /// Returns a transfer that belongs to the present epoch; an earlier one is dropped, and a later
    /// one waits for its epoch.
    pub(crate) fn admit(&mut self, epoch: Epoch, transfer: Transfer) -> Option<Transfer> {
        if epoch > self.epoch {
            self.early.push((epoch, transfer));
            return None;
        }
        (epoch == self.epoch).then_some(transfer)
    }

    /// Begins an epoch. Returns the transfers that have waited for one, to be admitted again.
    pub(crate) fn begin(&mut self, epoch: Epoch) -> Vec<(Epoch, Transfer)> {
        self.epoch = epoch;
        std::mem::take(&mut self.early)
    }
}
