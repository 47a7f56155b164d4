//! Heartbeats on the connections between peers.

use std::net::SocketAddr;

use monsoondeal_core::{NodeId, Time};

use crate::context::Context;
use crate::event::Timer;
use crate::io::{LinkId, Output};
use crate::message::Message;

impl Context {
    pub(crate) fn on_hello(&mut self, link: LinkId, node: NodeId) {
        self.links.entry(link).or_default().node = Some(node);
    }

    pub(crate) fn on_beat(&mut self, link: LinkId, sent: u64, now: Time, out: &mut Vec<Output>) {
        let state = self.links.entry(link).or_default();
        state.note_sent(sent, now);
        state.beat = sent;
        self.reply_beat(link, sent, out);
    }

    pub(crate) fn on_beat_timer(&mut self, now: Time, out: &mut Vec<Output>) {
        self.timers
            .set(Timer::Beat, now + self.cell.settings().heartbeat_interval);
        self.send_beats(now, out);
    }

    /// Sends a heartbeat to all connected peers.
    pub(crate) fn send_beats(&mut self, now: Time, out: &mut Vec<Output>) {
        for addr in self.peers_up() {
            self.send_beat(addr, now, out);
        }
    }

    /// Sends a heartbeat to a peer.
    pub(crate) fn send_beat(&mut self, addr: SocketAddr, now: Time, out: &mut Vec<Output>) {
        self.counts.control_messages += 1;
        let beat = Message::Beat {
            sent: now.as_micros(),
            versions: self.versions(),
        };
        out.push(Output::ToPeer(addr, beat));
    }

    /// Answers the last heartbeat of every peer again, so that they learn this node's new state at once.
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
}
