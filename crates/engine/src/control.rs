//! The configuration feed and planned stops.
//!
//! Nodes that watch the store push what is new to the others; a heartbeat that shows a later version
//! makes a node fetch it, so a lost push costs one heartbeat.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monsoondeal_config::{ServiceMap, Tree};
use monsoondeal_core::{FixedMap, LeafId, Time};
use monsoondeal_member::Roster;
use monsoondeal_moves::MoveRecord;
use monsoondeal_route::Plan;
use serde::de::DeserializeOwned;

use crate::engine::Engine;
use crate::event::Timer;
use crate::io::{LinkId, Object, Output};
use crate::links::Peer;
use crate::message::{Message, State, StoredMap, StoredMove, Versions};
use crate::objects::{MOVE_PREFIX, TREE_KEY, VMS_KEY, VmList, roster_key};

/// A pause of the whole process longer than this makes requests that waited meanwhile suspect.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);
/// How long after such a pause requests count as having waited.
const PAUSE_SHADOW: Duration = Duration::from_secs(2);
/// A partition map and the plan made from it.
#[derive(Clone, Debug)]
pub(crate) struct MapState {
    pub(crate) revision: u64,
    pub(crate) map: Rc<ServiceMap>,
    pub(crate) plan: Rc<Plan>,
    /// Plan of the next version, if there is one.
    pub(crate) next: Option<Rc<Plan>>,
}

/// What is known of a leaf.
#[derive(Clone, Debug)]
pub(crate) struct LeafInfo {
    pub(crate) service: Rc<str>,
    pub(crate) group: u32,
    pub(crate) addr: SocketAddr,
    pub(crate) domain: String,
    /// Since when no partition map lists it.
    pub(crate) retired: Option<Time>,
}

/// Configuration in force at this node.
#[derive(Debug, Default)]
pub(crate) struct Config {
    pub(crate) tree: Option<Rc<Tree>>,
    pub(crate) maps: BTreeMap<String, MapState>,
    pub(crate) leafs: FixedMap<LeafId, LeafInfo>,
}

/// State of the configuration feed and of a planned stop.
#[derive(Debug, Default)]
pub(crate) struct Control {
    /// Last fetch from a peer.
    fetched: FixedMap<SocketAddr, Time>,
    last_input: Option<Time>,
    /// Until when requests may have waited out a pause of this process.
    pub(crate) suspect_until: Time,
    pub(crate) stopping: bool,
    stopped: bool,
    /// Objects that could not be read.
    pub(crate) faults: BTreeMap<String, String>,
}

impl Engine {
    /// Notes how long the process stood still before this input.
    pub(crate) fn note_pause(&mut self, now: Time) {
        let last = self.control.last_input.replace(now);
        if last.is_some_and(|last| now.since(last) > PAUSE_LIMIT) {
            self.control.suspect_until = now + PAUSE_SHADOW;
        }
    }

    /// Returns what this node knows.
    pub(crate) fn versions(&self) -> Versions {
        let roster = self.cell.roster();
        Versions {
            tree: self
                .config
                .tree
                .as_ref()
                .map(|t| t.version)
                .unwrap_or_default(),
            epoch: roster.epoch,
            settled: roster.previous.is_none(),
            maps: self.config.maps.values().map(|m| m.revision).sum::<u64>()
                + self.moves.values().map(|m| m.revision).sum::<u64>(),
        }
    }

    /// Returns whether this node can serve callers: it has a tree, and hears enough of its cell to
    /// reach the leafs.
    pub fn is_ready(&self, now: Time) -> bool {
        self.config.tree.is_some() && self.cell.hears_cell(now) && !self.control.stopping
    }

    pub(crate) fn send_state(&mut self, link: LinkId, out: &mut Vec<Output>) {
        let state = self.state();
        self.counts.control_messages += 1;
        out.push(Output::ToLink(link, Message::State(Box::new(state))));
    }

    /// Fetches configuration from a peer that knows more.
    pub(crate) fn compare_versions(
        &mut self,
        addr: SocketAddr,
        theirs: Versions,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if !self.versions().is_behind(&theirs) {
            return;
        }
        let recent = self.control.fetched.get(&addr);
        if recent.is_some_and(|&at| now < at + self.cell.settings().heartbeat) {
            return;
        }
        self.control.fetched.insert(addr, now);
        self.counts.control_messages += 1;
        out.push(Output::ToPeer(addr, Message::Fetch));
    }

    pub(crate) fn on_state(&mut self, state: State, now: Time, out: &mut Vec<Output>) {
        if let Some(tree) = state.tree {
            self.learn_tree(tree, now);
        }
        for stored in state.maps {
            self.learn_map(stored, now);
        }
        for stored in state.moves {
            self.learn_move(stored);
        }
        if let Some(roster) = state.roster {
            self.learn_roster(roster, now, out);
        }
    }

    /// Takes in an object read from the store, and pushes it to the peers if it is news.
    pub(crate) fn on_object(
        &mut self,
        key: &str,
        object: Option<Object>,
        asked: Time,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        self.note_contact(true, now);
        let mut news = State::default();
        if key == TREE_KEY {
            let Some(tree) = self.parse::<Tree>(key, object.as_ref()) else {
                return;
            };
            if self.learn_tree(tree.clone(), now) {
                news.tree = Some(tree);
            }
        } else if key == roster_key(&self.settings.cell) {
            let roster = match &object {
                Some(_) => match self.parse::<Roster>(key, object.as_ref()) {
                    Some(roster) => roster,
                    None => return,
                },
                None => Roster::default(),
            };
            let version = object.as_ref().map(|o| o.version);
            self.roles.note_stored(version, &roster);
            if self.learn_roster(roster.clone(), now, out) {
                news.roster = Some(roster.clone());
            }
            self.cell.on_store_read(asked, roster.epoch);
        } else if key == VMS_KEY {
            let Some(vms) = self.parse::<VmList>(key, object.as_ref()) else {
                return;
            };
            self.cell
                .set_vms(vms.live.into_iter().chain(vms.leaving).collect());
        } else if key.starts_with(MOVE_PREFIX) {
            let Some(record) = self.parse::<MoveRecord>(key, object.as_ref()) else {
                return;
            };
            let revision = object.map_or(0, |o| o.version);
            let stored = StoredMove { revision, record };
            if self.learn_move(stored.clone()) {
                news.moves.push(stored);
            }
        } else if let Some(object) = &object {
            let Some(map) = self.parse::<ServiceMap>(key, Some(object)) else {
                return;
            };
            if let Err(findings) = map.check() {
                self.control
                    .faults
                    .insert(key.to_owned(), findings.to_string());
                return;
            }
            let stored = StoredMap {
                revision: object.version,
                map,
            };
            if self.learn_map(stored.clone(), now) {
                news.maps.push(stored);
            }
        }
        self.push_news(news, out);
        self.timers.set(Timer::Control, now);
    }

    /// Handles the end of a write. Whatever it was, only a read tells what the store holds now, and
    /// under which version the next write can be made.
    pub(crate) fn on_written(&mut self, key: &str, out: &mut Vec<Output>) {
        self.roles.writing = None;
        self.read(key.to_owned(), out);
    }

    pub(crate) fn on_beat_timer(&mut self, now: Time, out: &mut Vec<Output>) {
        self.timers
            .set(Timer::Beat, now + self.cell.settings().heartbeat);
        self.send_beats(now, out);
    }

    /// Looks at membership: whom to connect to, what to watch and whether to write a roster.
    pub(crate) fn on_control_timer(&mut self, now: Time, out: &mut Vec<Output>) {
        self.timers
            .set(Timer::Control, now + self.cell.settings().heartbeat / 2);
        self.purge_retired(now);
        self.cell.refresh(now);
        self.update_peers(now, out);
        self.update_roles(now, out);
        self.update_moves(now, out);
    }

    pub(crate) fn on_stop(&mut self, now: Time, out: &mut Vec<Output>) {
        self.control.stopping = true;
        self.cell.leave();
        self.announce(out);
        self.timers.set(Timer::Control, now);
    }

    /// Reports that no call is under way on a lost leaf, once that is so.
    pub(crate) fn check_drained(&mut self, out: &mut Vec<Output>) {
        let epoch = self.cell.roster().epoch;
        if self.cell.heartbeat().drained < epoch && !self.has_lost_calls() {
            self.cell.set_drained();
            self.announce(out);
        }
    }

    /// Reports that a planned stop is done: out of the roster, its leases ended, nothing under way.
    pub(crate) fn check_stopped(&mut self, out: &mut Vec<Output>) {
        if !self.control.stopping || self.control.stopped {
            return;
        }
        let roster = self.cell.roster();
        let me = self.settings.me.node;
        let is_out = !roster.contains(me) && roster.previous.is_none();
        if (is_out || roster.members.is_empty()) && self.is_idle() {
            self.control.stopped = true;
            out.push(Output::Stopped);
        }
    }

    fn is_idle(&self) -> bool {
        self.entry.is_idle() && self.holder.is_idle()
    }

    fn parse<T>(&mut self, key: &str, object: Option<&Object>) -> Option<T>
    where
        T: DeserializeOwned,
    {
        match serde_json::from_slice(&object?.value) {
            Ok(value) => {
                self.control.faults.remove(key);
                Some(value)
            }
            Err(error) => {
                self.control
                    .faults
                    .insert(key.to_owned(), error.to_string());
                None
            }
        }
    }

    /// Takes in a tree. Returns whether it is news; an older or equal one is ignored.
    fn learn_tree(&mut self, tree: Tree, now: Time) -> bool {
        let known = self.config.tree.as_ref().map(|t| t.version);
        if known.is_some_and(|known| tree.version <= known) {
            return false;
        }
        self.cell.set_declared(tree.gone.clone());
        let was_out = self.gates_out();
        self.config.tree = Some(Rc::new(tree));
        self.chill_returned(&was_out, now);
        self.rebuild_plans();
        self.update_gate_settings();
        self.timers.set(Timer::Control, now);
        true
    }

    fn learn_map(&mut self, stored: StoredMap, now: Time) -> bool {
        let StoredMap { revision, map } = stored;
        let known = self.config.maps.get(&map.service).map(|m| m.revision);
        if known.is_some_and(|known| revision <= known) {
            return false;
        }
        let service: Rc<str> = map.service.as_str().into();
        for info in self
            .config
            .leafs
            .values_mut()
            .filter(|i| i.service == service)
        {
            info.retired = info.retired.or(Some(now));
        }
        for (group, leaf) in map.leafs() {
            let info = LeafInfo {
                service: service.clone(),
                group,
                addr: leaf.addr,
                domain: leaf.domain.clone(),
                retired: None,
            };
            self.config.leafs.insert(leaf.leaf, info);
        }
        let state = MapState {
            revision,
            map: Rc::new(map),
            plan: Rc::default(),
            next: None,
        };
        self.config.maps.insert(service.to_string(), state);
        self.rebuild_plans();
        self.timers.set(Timer::Control, now);
        true
    }

    fn learn_roster(&mut self, roster: Roster, now: Time, out: &mut Vec<Output>) -> bool {
        let epoch = self.cell.roster().epoch;
        if !self.cell.learn(roster, now) {
            return false;
        }
        let moved = self.cell.roster().epoch > epoch;
        self.recompute_seats();
        if moved {
            self.retire_gates(out);
            self.move_keys(now, out);
            self.update_peers(now, out);
            self.send_beats(now, out);
        }
        self.pump_waiting(now, out);
        self.announce(out);
        self.timers.set(Timer::Control, now);
        true
    }

    fn update_peers(&mut self, now: Time, out: &mut Vec<Output>) {
        let me = &self.settings.me;
        let roster = self.cell.roster();
        let members = roster
            .members
            .iter()
            .filter(|m| m.node != me.node)
            .map(|m| m.peer);
        let mut wanted: BTreeSet<SocketAddr> = members.collect();
        if !roster.contains(me.node) {
            wanted.extend(self.settings.seeds.iter().filter(|a| **a != me.peer));
        }
        // A node that has left the roster still ends the calls it has, and is asked whether it has
        // drained.
        let silence = self.cell.settings().silence;
        let lives = |peer: &Peer| peer.up && peer.heard.is_some_and(|at| now < at + silence);
        wanted.extend(
            self.peers
                .iter()
                .filter(|(_, peer)| lives(peer))
                .map(|(addr, _)| *addr),
        );

        if wanted.len() == self.peers.len() && wanted.iter().all(|a| self.peers.contains_key(a)) {
            return;
        }
        let gone: Vec<SocketAddr> = self
            .peers
            .keys()
            .filter(|addr| !wanted.contains(addr))
            .copied()
            .collect();
        for addr in gone {
            self.peers.remove(&addr);
            self.lose_peer_calls(addr, now, out);
            self.lose_peer_orders(addr, now, out);
        }
        for addr in &wanted {
            self.peers.entry(*addr).or_default();
        }
        out.push(Output::Peers(wanted.into_iter().collect()));
    }

    pub(crate) fn read(&mut self, key: String, out: &mut Vec<Output>) {
        self.counts.store_calls += 1;
        out.push(Output::Read(key));
    }

    fn state(&self) -> State {
        let maps = self.config.maps.values();
        let moves = self.moves.values();
        State {
            moves: moves
                .map(|m| StoredMove {
                    revision: m.revision,
                    record: m.record.clone(),
                })
                .collect(),
            tree: self.config.tree.as_deref().cloned(),
            roster: Some(self.cell.roster().clone()),
            maps: maps
                .map(|m| StoredMap {
                    revision: m.revision,
                    map: (*m.map).clone(),
                })
                .collect(),
        }
    }

    fn push_news(&mut self, news: State, out: &mut Vec<Output>) {
        if news == State::default() {
            return;
        }
        for addr in self.peers_up() {
            self.counts.control_messages += 1;
            out.push(Output::ToPeer(addr, Message::State(Box::new(news.clone()))));
        }
    }
}
