//! Connections between nodes.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use monsoondeal_engine::io::LinkId;
use monsoondeal_engine::{Input, Message};

use crate::{Event, Link, Net};

impl Net {
    pub(crate) fn set_peers(&mut self, node: usize, addrs: &[SocketAddr]) {
        let wanted: BTreeSet<SocketAddr> = addrs.iter().copied().collect();
        let links = self
            .links
            .iter()
            .filter(|(_, l)| l.dialer == node && !wanted.contains(&l.addr));
        let gone: Vec<u64> = links.map(|(id, _)| *id).collect();
        for link in gone {
            // The dialer closes the connection itself, so only the acceptor is notified.
            if let Some(l) = self.links.remove(&link) {
                let delay = self.random_delay(200..1_000);
                self.schedule(
                    delay,
                    Event::Input(l.acceptor, Input::LinkDown(LinkId(link))),
                );
            }
        }
        let before = std::mem::replace(&mut self.nodes[node].wanted_peers, wanted.clone());
        for addr in wanted.difference(&before) {
            let delay = self.random_delay(500..2_000);
            self.schedule(
                delay,
                Event::OpenLink {
                    dialer: node,
                    addr: *addr,
                },
            );
        }
    }

    /// Opens a connection if the peer can be reached, or else tries again later.
    pub(crate) fn open_link(&mut self, dialer: usize, addr: SocketAddr) {
        if !self.nodes[dialer].alive || !self.nodes[dialer].wanted_peers.contains(&addr) {
            return;
        }
        if self
            .links
            .values()
            .any(|l| l.dialer == dialer && l.addr == addr)
        {
            return;
        }
        let acceptor = self
            .nodes
            .iter()
            .position(|n| n.member.peer == addr && n.alive);
        let pair = acceptor.map(|a| (a.min(dialer), a.max(dialer)));
        let Some(acceptor) =
            acceptor.filter(|_| !pair.is_some_and(|p| self.cut_pairs.contains(&p)))
        else {
            let delay = self.random_delay(100_000..400_000);
            return self.schedule(delay, Event::OpenLink { dialer, addr });
        };
        self.next_link += 1;
        let link = Link {
            dialer,
            addr,
            acceptor,
            last_delivery: [self.now; 2],
        };
        self.links.insert(self.next_link, link);
        // As in the daemon, where the connection's task sends the greeting, not the engine.
        let hello = Message::Hello {
            node: self.nodes[dialer].member.node,
            cell: "main".to_owned(),
        };
        self.send_message(self.next_link, true, hello);
        self.deliver(dialer, Input::PeerUp(addr));
    }

    pub(crate) fn send_message(&mut self, link: u64, to_acceptor: bool, message: Message) {
        let message = if self.options.codec {
            self.encode_and_decode(message)
        } else {
            message
        };
        let (least, most) = self.options.hop_micros;
        let delay = self.random_delay(least..most);
        let Some(l) = self.links.get_mut(&link) else {
            return;
        };
        let (from, to) = if to_acceptor {
            (l.dialer, l.acceptor)
        } else {
            (l.acceptor, l.dialer)
        };
        let stalled = self.stalled.contains(&(from, to));
        let last = &mut l.last_delivery[usize::from(to_acceptor)];
        *last = (self.now + delay).max(*last);
        let delay = last.since(self.now);
        let message = Box::new(message);
        let event = match to_acceptor {
            true => Event::ToAcceptor { link, message },
            false => Event::ToDialer { link, message },
        };
        match stalled {
            true => self.stalled_events.push(event),
            false => self.schedule(delay, event),
        }
    }

    /// Encodes and decodes a message, and counts its bytes if it is a control message.
    pub(crate) fn encode_and_decode(&mut self, message: Message) -> Message {
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).expect("messages can be encoded");
        if is_control_message(&message) {
            self.control_bytes += bytes.len() as u64;
        }
        ciborium::from_reader(&bytes[..]).expect("messages can be decoded")
    }

    pub(crate) fn links_of(&self, node: usize) -> Vec<u64> {
        let links = self
            .links
            .iter()
            .filter(|(_, l)| l.dialer == node || l.acceptor == node);
        let mut links: Vec<u64> = links.map(|(id, _)| *id).collect();
        links.sort_unstable();
        links
    }

    /// Breaks a connection: messages in flight are lost, both ends are notified, and the dialer
    /// reconnects.
    pub(crate) fn break_link(&mut self, link: u64) {
        let Some(l) = self.links.remove(&link) else {
            return;
        };
        let delay = self.random_delay(200..1_000);
        self.schedule(delay, Event::Input(l.dialer, Input::PeerDown(l.addr)));
        self.schedule(
            delay,
            Event::Input(l.acceptor, Input::LinkDown(LinkId(link))),
        );
        let delay = self.random_delay(100_000..400_000);
        self.schedule(
            delay,
            Event::OpenLink {
                dialer: l.dialer,
                addr: l.addr,
            },
        );
    }
}

/// Returns whether a message does not belong to a request or call.
fn is_control_message(message: &Message) -> bool {
    !matches!(
        message,
        Message::Call(_)
            | Message::Cancel(_)
            | Message::CallOutcome(..)
            | Message::AtMostOnce(_)
            | Message::AtMostOnceOutcome(..)
    )
}
