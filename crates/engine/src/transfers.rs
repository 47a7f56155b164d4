//! Handover of state from former holders and home nodes to the new ones when the roster changes.

use std::net::SocketAddr;

use monsoondeal_core::Epoch;

use crate::context::Context;
use crate::holder::WarmLeaf;
use crate::io::Output;
use crate::message::{KeyTransfer, Message};

/// State that is handed over.
#[derive(Debug)]
pub(crate) enum Transfer {
    /// Idempotency keys of a bucket.
    Keys(Box<KeyTransfer>),
    /// Warm leafs.
    WarmLeafs(Vec<WarmLeaf>),
}

/// Transfers that wait for their epoch or for a connection.
#[derive(Debug, Default)]
pub(crate) struct Transfers {
    /// Received transfers whose epoch is later than that of the known roster.
    early: Vec<(Epoch, Transfer)>,
    /// Transfers that wait for a connection to the receiver.
    outgoing: Vec<(SocketAddr, Epoch, Transfer)>,
    /// Latest epoch for which limiters and tables have been set up.
    epoch: Epoch,
}

impl Transfers {
    /// Sends a transfer of the present epoch now, or once the receiver is connected.
    ///
    /// The ages of the keys aren't adjusted for the wait, so the receiver remembers them longer than
    /// necessary.
    pub(crate) fn send_when_connected(
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

    /// Sends the transfers that wait for a connection to `addr`, and drops all transfers of older
    /// epochs.
    pub(crate) fn send_waiting(
        &mut self,
        cx: &mut Context,
        addr: SocketAddr,
        out: &mut Vec<Output>,
    ) {
        let current = cx.cell.roster().epoch;
        let outgoing = std::mem::take(&mut self.outgoing);
        for (to, epoch, transfer) in outgoing {
            if epoch != current {
                continue;
            }
            if to != addr {
                self.outgoing.push((to, epoch, transfer));
                continue;
            }
            cx.counts.control_messages += 1;
            let message = match transfer {
                Transfer::Keys(keys) => Message::Keys(keys),
                Transfer::WarmLeafs(leafs) => Message::WarmLeafs { epoch, leafs },
            };
            out.push(Output::ToPeer(addr, message));
        }
    }

    /// Returns a received transfer if it belongs to the present epoch. Drops it if its epoch is earlier,
    /// and keeps it until [`Transfers::begin_epoch`] if its epoch is later.
    pub(crate) fn admit(&mut self, epoch: Epoch, transfer: Transfer) -> Option<Transfer> {
        if epoch > self.epoch {
            self.early.push((epoch, transfer));
            return None;
        }
        (epoch == self.epoch).then_some(transfer)
    }

    /// Begins an epoch. Returns the transfers that waited for a later epoch, to be admitted again.
    pub(crate) fn begin_epoch(&mut self, epoch: Epoch) -> Vec<(Epoch, Transfer)> {
        self.epoch = epoch;
        std::mem::take(&mut self.early)
    }
}
