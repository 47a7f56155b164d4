//! Leaf leases of one node, fenced by the epochs of its cell's roster.
//!
//! At most one node acts on a leaf at a time, without a lease record for each leaf:
//!
//! - The roster determines the placement, so a roster in the store implies the holder of every leaf.
//! - A holder acts only while a majority of its roster has confirmed, within the last
//!   [`CellSettings::lease_duration`], that it knows no later epoch; a read of the store that returns
//!   the present epoch confirms as well. The lease counts from when the holder *sent* its message or
//!   read, on its own clock, so a holder that was suspended finds its lease lapsed when it resumes.
//! - A successor acts once the old holder has reported that it has no call under way on the leafs that it
//!   lost. Otherwise the successor waits until so many members of the *previous* roster have reported the
//!   new epoch that the others are no majority, and then for the lease duration and the longest call. By
//!   then the old holder can no longer be confirmed, and its last call has ended.
//! - At most two epochs are in use: the next roster is written only when the one before is settled.
//!
//! The members neither vote nor store anything. While the store is down rosters do not change, and
//! holders go on as long as they hear a majority of their cell.

use std::collections::BTreeSet;
use std::time::Duration;

use monsoondeal_core::{DeterministicMap, Epoch, NodeId, PlacementItem, Time};
use serde::{Deserialize, Serialize};

use crate::roster::{Member, Roster, blocking_quorum, majority};

/// A node that is absent from the platform's list, declared gone or replaced on its VM counts as gone after
/// this many [`CellSettings::peer_timeout`]s without a heartbeat.
const GONE_TIMEOUTS: u32 = 5;
/// Factor on waits that allows for clocks running at different rates.
const CLOCK_DRIFT_FACTOR: f64 = 1.05;

/// `CellSettings` are the durations that membership and leases depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellSettings {
    /// How long a confirmation entitles a holder to act.
    pub lease_duration: Duration,
    /// Longest time that a call can be under way at a leaf.
    pub max_call_duration: Duration,
    /// A peer that has not been heard for this long is considered dead.
    pub peer_timeout: Duration,
    /// Time between two heartbeats to a peer.
    pub heartbeat_interval: Duration,
}

impl Default for CellSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_millis(2_000),
            max_call_duration: Duration::from_millis(1_000),
            peer_timeout: Duration::from_millis(2_000),
            heartbeat_interval: Duration::from_millis(500),
        }
    }
}

/// `Heartbeat` is the state that a node reports to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Latest epoch that the node knows. Never decreases.
    #[serde(rename = "k")]
    pub known: Epoch,
    /// Latest epoch for which the node has no call under way on a leaf that it lost.
    #[serde(rename = "d")]
    pub drained: Epoch,
    /// Whether the node is stopping and wants to leave the roster.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Whether the node has recently had an answer from the store.
    #[serde(rename = "s")]
    pub store_reachable: bool,
}

/// `LeaseStatus` is whether a node may act on a leaf that the placement assigns to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The node may act on the leaf.
    Held,
    /// The holder of the previous epoch may still be acting.
    Waiting,
    /// Neither a majority nor the store has confirmed the node's epoch within the lease duration.
    Lapsed,
}

/// What a node knows of a peer.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// When this node sent the message that the newest confirmation answers. The peer then knew no epoch
    /// later than the present one, so it confirms the present one as well.
    confirmed_at: Option<Time>,
    last_heard: Option<Time>,
    /// Its latest heartbeat.
    heartbeat: Heartbeat,
}

/// `CellView` is one node's view of its cell.
#[derive(Debug)]
pub struct CellView {
    settings: CellSettings,
    me: Member,
    roster: Roster,
    /// Since when this node has known all members of the present roster, and so could hear them.
    listen_start: Time,
    peers: DeterministicMap<NodeId, Peer>,
    /// When the newest read of the store that returned the present epoch was sent.
    store_confirmed: Option<Time>,
    /// Since when those members of the previous roster that may not know the present epoch are no majority.
    fenced_at: Option<Time>,
    drained: Epoch,
    leaving: bool,
    store_reachable: bool,
    /// VMs in the platform's list, once it is known.
    vms: Option<BTreeSet<String>>,
    /// Nodes that operators have declared gone.
    declared_gone: BTreeSet<NodeId>,
}

impl CellView {
    /// Creates the view of a node that knows no roster yet.
    pub fn new(settings: CellSettings, me: Member) -> Self {
        Self {
            settings,
            me,
            roster: Roster::default(),
            listen_start: Time::default(),
            peers: DeterministicMap::default(),
            store_confirmed: None,
            fenced_at: None,
            drained: Epoch::default(),
            leaving: false,
            store_reachable: false,
            vms: None,
            declared_gone: BTreeSet::new(),
        }
    }

    /// Returns the present roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns this node.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the settings.
    pub fn settings(&self) -> &CellSettings {
        &self.settings
    }

    /// Returns the heartbeat that this node sends to its peers.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            known: self.roster.epoch,
            drained: self.drained,
            leaving: self.leaving,
            store_reachable: self.store_reachable,
        }
    }

    /// Sets whether this node has recently had an answer from the store.
    pub fn set_store_reachable(&mut self, store_reachable: bool) {
        self.store_reachable = store_reachable;
    }

    /// Replaces the platform's list of VMs.
    pub fn set_vms(&mut self, vms: BTreeSet<String>) {
        self.vms = Some(vms);
    }

    /// Replaces the set of nodes that operators have declared gone.
    pub fn set_declared_gone(&mut self, nodes: BTreeSet<NodeId>) {
        self.declared_gone = nodes;
    }

    /// Returns the living members that report that they reach the store, in order of identity.
    pub fn members_with_store(&self, now: Time) -> Vec<NodeId> {
        let members = self.roster.members.iter().map(|m| m.node);
        members
            .filter(|&node| self.is_alive(node, now) && self.last_heartbeat(node).store_reachable)
            .collect()
    }

    /// Marks this node as leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Adopts a roster from the store or a peer. Returns whether it is newer; an older or equal one is
    /// ignored.
    pub fn learn(&mut self, roster: Roster, now: Time) -> bool {
        if roster.epoch < self.roster.epoch {
            return false;
        }
        if roster.epoch == self.roster.epoch {
            if !roster.supersedes(&self.roster) {
                return false;
            }
            self.roster = roster;
            return true;
        }
        if roster.members.iter().any(|m| !self.roster.contains(m.node)) {
            self.listen_start = now;
        }
        self.fenced_at = None;
        self.store_confirmed = None;
        self.roster = roster;
        self.update_fence(now);
        true
    }

    /// Records that no call is under way on a leaf that this node lost up to the present epoch.
    pub fn set_drained(&mut self) {
        self.drained = self.roster.epoch;
    }

    /// Handles a peer's heartbeat. `sent_at` is when this node sent the newest message that the peer had
    /// received before the heartbeat, if any.
    pub fn on_heartbeat(
        &mut self,
        from: NodeId,
        sent_at: Option<Time>,
        heartbeat: Heartbeat,
        now: Time,
    ) {
        let epoch = self.roster.epoch;
        let peer = self.peers.entry(from).or_default();
        peer.last_heard = Some(now);
        if heartbeat.known >= peer.heartbeat.known {
            peer.heartbeat = heartbeat;
        }
        // A peer that knows a later epoch no longer confirms this one.
        if heartbeat.known <= epoch {
            peer.confirmed_at = peer.confirmed_at.max(sent_at);
        }
        self.update_fence(now);
    }

    /// Handles the result of a read of the store, sent at `sent_at`, that returned `epoch`.
    pub fn on_store_read(&mut self, sent_at: Time, epoch: Epoch) {
        if epoch == self.roster.epoch {
            self.store_confirmed = self.store_confirmed.max(Some(sent_at));
        }
    }

    /// Returns whether this node may act on a leaf that `previous_holder` held in the previous epoch.
    pub fn lease(&self, previous_holder: Option<NodeId>, now: Time) -> LeaseStatus {
        if !self.is_confirmed(now) {
            return LeaseStatus::Lapsed;
        }
        let Some(previous_holder) = previous_holder else {
            return LeaseStatus::Held;
        };
        if self.roster.previous.is_none() || previous_holder == self.me.node {
            return LeaseStatus::Held;
        }
        if self.has_drained(previous_holder, now) || self.is_fenced(now) {
            return LeaseStatus::Held;
        }
        LeaseStatus::Waiting
    }

    /// Returns whether the store or a majority of the roster has confirmed the present epoch within the
    /// lease duration.
    pub fn is_confirmed(&self, now: Time) -> bool {
        if !self.roster.contains(self.me.node) {
            return false;
        }
        let is_fresh = |sent_at: Option<Time>| {
            sent_at.is_some_and(|at| now < at + self.settings.lease_duration)
        };
        if is_fresh(self.store_confirmed) {
            return true;
        }
        let confirms = |node: NodeId| {
            node == self.me.node || is_fresh(self.peers.get(&node).and_then(|p| p.confirmed_at))
        };
        let count = self
            .roster
            .members
            .iter()
            .filter(|m| confirms(m.node))
            .count();
        count >= majority(self.roster.members.len())
    }

    /// Returns whether the peer has not been heard for [`CellSettings::peer_timeout`].
    pub fn is_silent(&self, node: NodeId, now: Time) -> bool {
        self.time_since_heard(node, now) >= self.settings.peer_timeout
    }

    /// Returns whether a node is gone for good: it has not been heard for [`GONE_TIMEOUTS`] peer timeouts,
    /// and an operator has declared it gone, the platform's list has dropped its VM, or this node has
    /// replaced it on the same VM.
    ///
    /// The platform's list lags, so a VM that it no longer contains ended a while ago.
    fn is_gone(&self, member: &Member, now: Time) -> bool {
        if member.node == self.me.node {
            return false;
        }
        let is_unlisted = self
            .vms
            .as_ref()
            .is_some_and(|vms| !vms.contains(&member.vm));
        // This node runs on the member's VM, so it is the process that replaced the member.
        let is_replaced = !member.vm.is_empty() && member.vm == self.me.vm;
        let is_absent = self.declared_gone.contains(&member.node) || (member.listed && is_unlisted);
        let span = self.settings.peer_timeout * GONE_TIMEOUTS;
        (is_absent || is_replaced) && self.time_since_heard(member.node, now) >= span
    }

    /// Returns the time since a node was last heard, or since this node could hear it if that is less.
    fn time_since_heard(&self, node: NodeId, now: Time) -> Duration {
        let heard = self.peers.get(&node).and_then(|p| p.last_heard);
        now.since(heard.unwrap_or_default().max(self.listen_start))
    }

    /// Returns whether the node is considered alive: heard within [`CellSettings::peer_timeout`].
    pub fn is_alive(&self, node: NodeId, now: Time) -> bool {
        let heard = self.peers.get(&node).and_then(|p| p.last_heard);
        node == self.me.node || heard.is_some_and(|at| now < at + self.settings.peer_timeout)
    }

    /// Returns the roster that this node would write to the store now, if any, given the nodes that ask to
    /// join and the seats to be placed, in order. The write must be conditional on the store still
    /// holding the present roster.
    pub fn proposal(
        &self,
        joining: &[Member],
        seats: &[PlacementItem],
        now: Time,
    ) -> Option<Roster> {
        if self.roster.previous.is_some() {
            return self.is_settled(now).then(|| {
                let mut settled = self.roster.settled();
                self.mark_listed(&mut settled.members);
                settled
            });
        }
        let mut members = self.next_members(joining, now);
        self.mark_listed(&mut members);
        let is_unchanged = members.len() == self.roster.members.len()
            && members.iter().all(|m| self.roster.contains(m.node))
            && seats == self.roster.seats;
        if !is_unchanged {
            return (!members.is_empty()).then(|| self.roster.next(members, seats.to_vec()));
        }
        let marked = Roster {
            members,
            ..self.roster.clone()
        };
        marked.supersedes(&self.roster).then_some(marked)
    }

    /// Returns whether this node hears so many members that the others are no majority.
    pub fn hears_blocking_quorum(&self, now: Time) -> bool {
        let members = &self.roster.members;
        let alive = members
            .iter()
            .filter(|m| self.is_alive(m.node, now))
            .count();
        !members.is_empty() && alive >= blocking_quorum(members.len())
    }

    /// Returns whether this node may add itself to the roster: the members that it neither hears nor
    /// knows to be gone are no majority.
    pub fn may_join(&self, now: Time) -> bool {
        let is_lost = |m: &&Member| !self.is_alive(m.node, now) && !self.is_gone(m, now);
        let lost = self.roster.members.iter().filter(is_lost).count();
        let count = self.roster.members.len();
        !self.leaving && (count == 0 || lost < majority(count))
    }

    /// Updates the state that depends on time alone, and drops peers that are neither in the present nor in
    /// the previous roster.
    pub fn refresh(&mut self, now: Time) {
        self.update_fence(now);
        let Self { roster, peers, .. } = self;
        let previous = roster.previous.as_ref().map_or(&[][..], |p| &p.members);
        let is_known = |node| roster.contains(node) || previous.iter().any(|m| m.node == node);
        peers.retain(|node, _| is_known(*node));
    }

    /// Returns the members of the next roster: the present ones without those that leave or are silent, and
    /// those that join.
    fn next_members(&self, joining: &[Member], now: Time) -> Vec<Member> {
        let stays = |m: &&Member| {
            if m.node == self.me.node {
                return !self.leaving;
            }
            !self.is_silent(m.node, now) && !self.last_heartbeat(m.node).leaving
        };
        let mut members: Vec<Member> = self.roster.members.iter().filter(stays).cloned().collect();
        // A node that is partitioned from most of the others must not remove them.
        let is_removed = |m: &&Member| !members.iter().any(|kept| kept.node == m.node);
        let removed = self.roster.members.iter().filter(is_removed);
        let lost = removed.filter(|m| !self.has_left(m, now)).count();
        if lost >= majority(self.roster.members.len()) {
            members.clone_from(&self.roster.members);
        }
        let new = joining.iter().filter(|m| !self.roster.contains(m.node));
        members.extend(new.cloned());
        members
    }

    /// Returns whether a member has announced that it leaves, or is gone.
    fn has_left(&self, member: &Member, now: Time) -> bool {
        self.last_heartbeat(member.node).leaving || self.is_gone(member, now)
    }

    fn mark_listed(&self, members: &mut [Member]) {
        let Some(vms) = &self.vms else { return };
        for member in members {
            member.listed |= vms.contains(&member.vm);
        }
    }

    /// Returns whether a node of the previous epoch has no call under way on a leaf that it lost, or is gone.
    fn has_drained(&self, node: NodeId, now: Time) -> bool {
        let members = self
            .roster
            .previous
            .as_ref()
            .map_or(&[][..], |p| &p.members);
        let member = members.iter().find(|m| m.node == node);
        let is_gone = member.is_some_and(|m| self.is_gone(m, now));
        is_gone || self.last_heartbeat(node).drained >= self.roster.epoch
    }

    fn last_heartbeat(&self, node: NodeId) -> Heartbeat {
        if node == self.me.node {
            return self.heartbeat();
        }
        self.peers
            .get(&node)
            .map(|p| p.heartbeat)
            .unwrap_or_default()
    }

    /// Sets `fenced_at` once enough members of the previous roster know the present epoch or are gone.
    fn update_fence(&mut self, now: Time) {
        let Some(previous) = &self.roster.previous else {
            return;
        };
        let epoch = self.roster.epoch;
        let is_known =
            |m: &&Member| self.last_heartbeat(m.node).known >= epoch || self.is_gone(m, now);
        let count = previous.members.iter().filter(is_known).count();
        if self.fenced_at.is_none() && count >= blocking_quorum(previous.members.len()) {
            self.fenced_at = Some(now);
        }
    }

    fn is_fenced(&self, now: Time) -> bool {
        let span = (self.settings.lease_duration + self.settings.max_call_duration)
            .mul_f64(CLOCK_DRIFT_FACTOR);
        self.fenced_at.is_some_and(|at| now >= at + span)
    }

    fn is_settled(&self, now: Time) -> bool {
        let Some(previous) = &self.roster.previous else {
            return true;
        };
        self.is_fenced(now)
            || previous
                .members
                .iter()
                .all(|m| self.has_drained(m.node, now))
    }
}
