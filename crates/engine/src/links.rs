//! Connections between peers, and the heartbeats on them.

use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::{NodeId, Time};

use crate::engine::Engine;
use crate::io::{LinkId, Output};
use crate::message::Message;

/// A peer that this node connects to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    /// Whether the connection is up.
    pub(crate) up: bool,
    /// When it was last heard.
    pub(crate) heard: Option<Time>,
}

/// A connection that a peer has opened.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Link {
    /// Node that opened it.
    node: Option<NodeId>,
    /// `sent` of the newest heartbeat.
    beat: u64,
    /// Least difference seen between this clock and the peer's.
    offset: Option<i128>,
}

impl Link {
    /// Returns how long ago a message was sent, by the fastest message seen on the connection.
    pub(crate) fn age(&self, sent: u64, now: Time) -> Duration {
        let Some(offset) = self.offset else {
            return Duration::ZERO;
        };
        let age = i128::from(now.as_micros()) - i128::from(sent) - offset;
        Duration::from_micros(u64::try_from(age).unwrap_or(0))
    }

    fn note_sent(&mut self, sent: u64, now: Time) {
        let offset = i128::from(now.as_micros()) - i128::from(sent);
        self.offset = Some(self.offset.map_or(offset, |old| old.min(offset)));
    }
}

impl Engine {
    pub(crate) fn on_peer_up(&mut self, addr: SocketAddr, now: Time, out: &mut Vec<Output>) {
        self.peers.insert(
            addr,
            Peer {
                up: true,
                heard: Some(now),
            },
        );
        self.send_beat(addr, now, out);
        self.send_moves(addr, out);
    }

    pub(crate) fn on_peer_down(&mut self, addr: SocketAddr, now: Time, out: &mut Vec<Output>) {
        if let Some(peer) = self.peers.get_mut(&addr) {
            peer.up = false;
        }
        self.lose_peer_calls(addr, now, out);
        self.lose_peer_orders(addr, now, out);
    }

    pub(crate) fn on_hello(&mut self, link: LinkId, node: NodeId) {
        self.links.entry(link).or_default().node = Some(node);
    }

    /// Returns the node that opened a connection.
    pub(crate) fn link_node(&self, link: LinkId) -> Option<NodeId> {
        self.links.get(&link).and_then(|l| l.node)
    }

    pub(crate) fn on_link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    pub(crate) fn on_beat(&mut self, link: LinkId, sent: u64, now: Time, out: &mut Vec<Output>) {
        let state = self.links.entry(link).or_default();
        state.note_sent(sent, now);
        state.beat = sent;
        self.reply_beat(link, sent, out);
    }

    pub(crate) fn peers_up(&self) -> Vec<SocketAddr> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.up)
            .map(|(addr, _)| *addr)
            .collect()
    }

    pub(crate) fn send_beats(&mut self, now: Time, out: &mut Vec<Output>) {
        for addr in self.peers_up() {
            self.send_beat(addr, now, out);
        }
    }

    fn send_beat(&mut self, addr: SocketAddr, now: Time, out: &mut Vec<Output>) {
        self.counts.control_messages += 1;
        let beat = Message::Beat {
            sent: now.as_micros(),
            versions: self.versions(),
        };
        out.push(Output::ToPeer(addr, beat));
    }

    /// Answers the last heartbeat of every peer again, since what this node says has changed.
    pub(crate) fn announce(&mut self, out: &mut Vec<Output>) {
        let links: Vec<(LinkId, u64)> = self.links.iter().map(|(l, s)| (*l, s.beat)).collect();
        for (link, beat) in links {
            self.reply_beat(link, beat, out);
        }
    }

    fn reply_beat(&mut self, link: LinkId, asked: u64, out: &mut Vec<Output>) {
        self.counts.control_messages += 1;
        let reply = Message::BeatReply {
            node: self.settings.me.node,
            asked,
            said: self.cell.heartbeat(),
            versions: self.versions(),
        };
        out.push(Output::ToLink(link, reply));
    }

    /// Returns the address of a member.
    pub(crate) fn addr_of(&self, node: NodeId) -> Option<SocketAddr> {
        self.cell.roster().member(node).map(|m| m.peer)
    }

    /// Returns the address of a member that is connected and has been heard of late.
    pub(crate) fn reachable(&self, node: NodeId, now: Time) -> Option<SocketAddr> {
        let addr = self.addr_of(node)?;
        let up = self.peers.get(&addr).is_some_and(|peer| peer.up);
        (up && self.cell.is_alive(node, now)).then_some(addr)
    }
}
