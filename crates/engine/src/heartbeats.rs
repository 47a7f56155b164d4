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

    pub(crate) fn on_heartbeat(
        &mut self,
        link: LinkId,
        sent: u64,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let state = self.links.entry(link).or_default();
        state.record_sent(sent, now);
        state.last_heartbeat = sent;
        self.reply_heartbeat(link, sent, out);
    }

    pub(crate) fn on_heartbeat_timer(&mut self, now: Time, out: &mut Vec<Output>) {
        self.timers.set(
            Timer::Heartbeat,
            now + self.cell.settings().heartbeat_interval,
        );
        self.send_heartbeats(now, out);
    }

    /// Sends a heartbeat to all connected peers.
    pub(crate) fn send_heartbeats(&mut self, now: Time, out: &mut Vec<Output>) {
        for addr in self.peers_up() {
            self.send_heartbeat(addr, now, out);
        }
    }

    /// Sends a heartbeat to a peer.
    pub(crate) fn send_heartbeat(&mut self, addr: SocketAddr, now: Time, out: &mut Vec<Output>) {
        self.counts.control_messages += 1;
        let heartbeat = Message::Heartbeat {
            sent: now.as_micros(),
            versions: self.config_versions(),
        };
        out.push(Output::ToPeer(addr, heartbeat));
    }

    /// Answers the last heartbeat of every peer again, so that they learn this node's new state at once.
    pub(crate) fn announce_state(&mut self, out: &mut Vec<Output>) {
        let links: Vec<(LinkId, u64)> = self
            .links
            .iter()
            .map(|(l, s)| (*l, s.last_heartbeat))
            .collect();
        for (link, heartbeat) in links {
            self.reply_heartbeat(link, heartbeat, out);
        }
    }

    fn reply_heartbeat(&mut self, link: LinkId, heartbeat_sent: u64, out: &mut Vec<Output>) {
        self.counts.control_messages += 1;
        let reply = Message::HeartbeatReply {
            node: self.settings.me.node,
            heartbeat_sent,
            state: self.cell.heartbeat(),
            versions: self.config_versions(),
        };
        out.push(Output::ToLink(link, reply));
    }
}
