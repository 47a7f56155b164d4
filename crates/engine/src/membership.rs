//! Membership of the cell: connections to its members, handover after a change of the roster, and
//! planned stops.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use monsoondeal_core::{Epoch, Time};

use crate::engine::Engine;
use crate::event::Timer;
use crate::io::Output;
use crate::links::Peer;
use crate::transfers::Transfer;

impl Engine {
    pub(crate) fn on_peer_up(&mut self, addr: SocketAddr, now: Time, out: &mut Vec<Output>) {
        self.cx.peers.insert(
            addr,
            Peer {
                up: true,
                last_heard: Some(now),
            },
        );
        self.cx.send_heartbeat(addr, now, out);
        self.transfers.send_waiting(&mut self.cx, addr, out);
    }

    pub(crate) fn on_peer_down(&mut self, addr: SocketAddr, now: Time, out: &mut Vec<Output>) {
        if let Some(peer) = self.cx.peers.get_mut(&addr) {
            peer.up = false;
        }
        self.fail_peer_requests(addr, now, out);
    }

    /// Updates connections to peers, the roles of this node, and version moves.
    pub(crate) fn on_maintenance_timer(&mut self, now: Time, out: &mut Vec<Output>) {
        self.cx.timers.set(
            Timer::Maintenance,
            now + self.cx.cell.settings().heartbeat_interval / 2,
        );
        self.cx.config.purge_removed(now);
        self.queries.purge_replicas(&self.cx.config);
        self.cx.cell.refresh(now);
        self.update_peers(now, out);
        self.roles.update_roles(&mut self.cx, now, out);
        self.cx.update_moves(now, out);
    }

    /// Hands over leafs and idempotency keys that are placed on other nodes now, and prepares for those
    /// that this node has gained.
    pub(crate) fn apply_placements(&mut self, now: Time, out: &mut Vec<Output>) {
        for (addr, leafs) in self.holder.release_lost_leafs(&mut self.cx, out) {
            let transfer = Transfer::WarmLeafs(leafs);
            self.transfers
                .send_when_connected(&mut self.cx, addr, transfer, out);
        }
        for (addr, keys) in self.home.reassign_buckets(&self.cx, now) {
            let transfer = Transfer::Keys(Box::new(keys));
            self.transfers
                .send_when_connected(&mut self.cx, addr, transfer, out);
        }
        for (epoch, transfer) in self.transfers.begin_epoch(self.cx.cell.roster().epoch) {
            self.on_transfer(epoch, transfer, now);
        }
    }

    /// Applies a transfer from a former holder or home node, once this node has reached the epoch of
    /// the transfer.
    pub(crate) fn on_transfer(&mut self, epoch: Epoch, transfer: Transfer, now: Time) {
        match self.transfers.admit(epoch, transfer) {
            Some(Transfer::Keys(keys)) => self.home.merge_keys(*keys, now),
            Some(Transfer::WarmLeafs(leafs)) => self.holder.on_warm_leafs(&self.cx, leafs),
            None => {}
        }
    }

    /// Updates the set of peers to connect to: members of the cell, and seeds while this node isn't one.
    pub(crate) fn update_peers(&mut self, now: Time, out: &mut Vec<Output>) {
        let me = &self.cx.settings.me;
        let roster = self.cx.cell.roster();
        let members = roster
            .members
            .iter()
            .filter(|m| m.node != me.node)
            .map(|m| m.peer);
        let mut wanted: BTreeSet<SocketAddr> = members.collect();
        if !roster.contains(me.node) {
            wanted.extend(self.cx.settings.seeds.iter().filter(|a| **a != me.peer));
        }
        // Live connections are kept, since a node that has left the roster still completes its calls,
        // and its heartbeats state when it has drained.
        let timeout = self.cx.cell.settings().peer_timeout;
        let is_alive =
            |peer: &Peer| peer.up && peer.last_heard.is_some_and(|at| now < at + timeout);
        wanted.extend(
            self.cx
                .peers
                .iter()
                .filter(|(_, peer)| is_alive(peer))
                .map(|(addr, _)| *addr),
        );

        if wanted.len() == self.cx.peers.len()
            && wanted.iter().all(|a| self.cx.peers.contains_key(a))
        {
            return;
        }
        let gone: Vec<SocketAddr> = self
            .cx
            .peers
            .keys()
            .filter(|addr| !wanted.contains(addr))
            .copied()
            .collect();
        for addr in gone {
            self.cx.peers.remove(&addr);
            self.fail_peer_requests(addr, now, out);
        }
        for addr in &wanted {
            self.cx.peers.entry(*addr).or_default();
        }
        out.push(Output::SetPeers(wanted.into_iter().collect()));
    }

    pub(crate) fn on_stop(&mut self, now: Time, out: &mut Vec<Output>) {
        self.stopping = true;
        self.cx.cell.leave();
        self.cx.announce_state(out);
        self.cx.timers.set(Timer::Maintenance, now);
    }

    /// Announces to the peers, once per epoch, that no call is in flight any more on leafs that this
    /// node has lost.
    pub(crate) fn check_drained(&mut self, out: &mut Vec<Output>) {
        let epoch = self.cx.cell.roster().epoch;
        if self.cx.cell.heartbeat().drained < epoch
            && !self.holder.has_calls_on_lost_leafs(&self.cx)
        {
            self.cx.cell.set_drained();
            self.cx.announce_state(out);
        }
    }

    /// Reports a planned stop as complete when this node is out of the roster, its leases have ended
    /// and no work is left.
    pub(crate) fn check_stopped(&mut self, out: &mut Vec<Output>) {
        if !self.stopping || self.stopped {
            return;
        }
        let roster = self.cx.cell.roster();
        let me = self.cx.settings.me.node;
        let has_left = !roster.contains(me) && roster.previous.is_none();
        if (has_left || roster.members.is_empty()) && self.is_idle() {
            self.stopped = true;
            out.push(Output::Stopped);
        }
    }

    fn is_idle(&self) -> bool {
        self.queries.is_empty() && self.at_most_once.is_empty() && self.holder.is_idle()
    }
}
