//! Connections between peers, as a node sees them.

use std::time::Duration;

use monsoondeal_core::{NodeId, Time};

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
    pub(crate) node: Option<NodeId>,
    /// `sent` of the newest heartbeat.
    pub(crate) beat: u64,
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

    /// Learns from when a heartbeat was sent.
    pub(crate) fn note_sent(&mut self, sent: u64, now: Time) {
        let offset = i128::from(now.as_micros()) - i128::from(sent);
        self.offset = Some(self.offset.map_or(offset, |old| old.min(offset)));
    }
}
