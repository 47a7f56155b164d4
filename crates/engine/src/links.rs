//! State of connections to and from peers.

use std::time::Duration;

use monsoondeal_core::{NodeId, Time};

/// A peer that this node connects to (outbound connection).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    /// Whether the connection is up.
    pub(crate) up: bool,
    /// When the last message arrived from the peer.
    pub(crate) last_heard: Option<Time>,
}

/// A connection that a peer has opened (inbound connection).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Link {
    /// Node that opened the connection, once it has sent its hello message.
    pub(crate) node: Option<NodeId>,
    /// `sent` of the last heartbeat.
    pub(crate) last_heartbeat: u64,
    /// Smallest observed difference between receive time and send time, each by the local clock of its
    /// node, in microseconds: clock offset plus least latency.
    min_offset: Option<i128>,
}

impl Link {
    /// Estimates how long ago a message was sent, assuming that the fastest heartbeat so far took no
    /// time.
    pub(crate) fn age(&self, sent: u64, now: Time) -> Duration {
        let Some(offset) = self.min_offset else {
            return Duration::ZERO;
        };
        let age = i128::from(now.as_micros()) - i128::from(sent) - offset;
        Duration::from_micros(u64::try_from(age).unwrap_or(0))
    }

    /// Updates the offset with the send time of a heartbeat.
    pub(crate) fn record_sent(&mut self, sent: u64, now: Time) {
        let offset = i128::from(now.as_micros()) - i128::from(sent);
        self.min_offset = Some(self.min_offset.map_or(offset, |old| old.min(offset)));
    }
}
