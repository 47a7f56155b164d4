//! Configuration updates from the store and from peers.
//!
//! Nodes that watch the store push updates to their peers. A node also fetches the configuration from a
//! peer whose heartbeat states a later version, so a lost push delays an update by one heartbeat.

use std::net::SocketAddr;
use std::rc::Rc;

use monsoondeal_config::{ServiceMap, Tree};
use monsoondeal_core::Time;
use monsoondeal_member::Roster;
use monsoondeal_moves::MoveRecord;

use crate::engine::Engine;
use crate::event::Timer;
use crate::io::{LinkId, Object, Output};
use crate::message::{ConfigState, ConfigVersions, Message, StoredMap, StoredMove};
use crate::objects::{MOVE_PREFIX, TREE_KEY, VMS_KEY, VmList, roster_key};
use crate::placement::Placements;

impl Engine {
    pub(crate) fn send_config_state(&mut self, link: LinkId, out: &mut Vec<Output>) {
        let state = self.config_state();
        self.cx.counts.control_messages += 1;
        out.push(Output::ToLink(link, Message::ConfigState(Box::new(state))));
    }

    /// Fetches the configuration from a peer that has a later version, at most once per heartbeat
    /// interval.
    pub(crate) fn fetch_if_behind(
        &mut self,
        addr: SocketAddr,
        theirs: ConfigVersions,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if !self.cx.config_versions().is_behind(&theirs) {
            return;
        }
        let recent = self.feed.last_fetches.get(&addr);
        if recent.is_some_and(|&at| now < at + self.cx.cell.settings().heartbeat_interval) {
            return;
        }
        self.feed.last_fetches.insert(addr, now);
        self.cx.counts.control_messages += 1;
        out.push(Output::ToPeer(addr, Message::FetchConfig));
    }

    pub(crate) fn on_config_state(&mut self, state: ConfigState, now: Time, out: &mut Vec<Output>) {
        if let Some(tree) = state.tree {
            self.apply_tree(tree, now);
        }
        for stored in state.maps {
            self.apply_map(stored, now);
        }
        for stored in state.moves {
            self.cx.apply_move(stored);
        }
        if let Some(roster) = state.roster {
            self.apply_roster(roster, now, out);
        }
    }

    /// Applies an object read from the store, and pushes it to the peers if it is new.
    pub(crate) fn on_object(
        &mut self,
        key: &str,
        object: Option<Object>,
        sent: Time,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        self.roles.record_contact(&mut self.cx, true, now);
        let update = if key == TREE_KEY {
            self.apply_tree_object(key, object.as_ref(), now)
        } else if key == roster_key(&self.cx.settings.cell) {
            self.apply_roster_object(key, object.as_ref(), sent, now, out)
        } else if key == VMS_KEY {
            self.apply_vms_object(key, object.as_ref())
        } else if key.starts_with(MOVE_PREFIX) {
            self.apply_move_object(key, object.as_ref())
        } else {
            self.apply_map_object(key, object.as_ref(), now)
        };
        let Some(update) = update else {
            return;
        };
        self.push_update(update, out);
        self.cx.timers.set(Timer::Maintenance, now);
    }

    /// Handles the end of a write. Whether it succeeded or not, the object is read again: the next write
    /// needs its present version.
    pub(crate) fn on_write_ended(&mut self, key: &str, out: &mut Vec<Output>) {
        self.roles.write_started = None;
        self.cx.read_object(key.to_owned(), out);
    }

    /// Applies the stored tree. Like the functions for the other objects it returns the update to
    /// push to the peers, which may be empty, or `None` if the object is invalid. A missing object also
    /// gives `None`, except for the roster and partition maps, which may not have been written yet.
    fn apply_tree_object(
        &mut self,
        key: &str,
        object: Option<&Object>,
        now: Time,
    ) -> Option<ConfigState> {
        let tree = self.feed.parse::<Tree>(key, object)?;
        let is_new = self.apply_tree(tree.clone(), now);
        Some(ConfigState {
            tree: is_new.then_some(tree),
            ..ConfigState::default()
        })
    }

    fn apply_roster_object(
        &mut self,
        key: &str,
        object: Option<&Object>,
        sent: Time,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<ConfigState> {
        let roster = match object {
            Some(_) => self.feed.parse::<Roster>(key, object)?,
            None => Roster::default(),
        };
        self.roles.record_stored(object.map(|o| o.version), &roster);
        let epoch = roster.epoch;
        let is_new = self.apply_roster(roster.clone(), now, out);
        self.cx.cell.on_store_read(sent, epoch);
        Some(ConfigState {
            roster: is_new.then_some(roster),
            ..ConfigState::default()
        })
    }

    fn apply_vms_object(&mut self, key: &str, object: Option<&Object>) -> Option<ConfigState> {
        let vms = self.feed.parse::<VmList>(key, object)?;
        let known = vms.live.into_iter().chain(vms.leaving).collect();
        self.cx.cell.set_vms(known);
        Some(ConfigState::default())
    }

    fn apply_move_object(&mut self, key: &str, object: Option<&Object>) -> Option<ConfigState> {
        let record = self.feed.parse::<MoveRecord>(key, object)?;
        let revision = object.map_or(0, |o| o.version);
        let stored = StoredMove { revision, record };
        let is_new = self.cx.apply_move(stored.clone());
        Some(ConfigState {
            moves: is_new.then_some(stored).into_iter().collect(),
            ..ConfigState::default()
        })
    }

    fn apply_map_object(
        &mut self,
        key: &str,
        object: Option<&Object>,
        now: Time,
    ) -> Option<ConfigState> {
        // A missing map is no error: it may not have been written yet.
        let Some(object) = object else {
            return Some(ConfigState::default());
        };
        let map = self.feed.parse::<ServiceMap>(key, Some(object))?;
        if let Err(findings) = map.check() {
            self.feed.record_error(key, &findings);
            return None;
        }
        let stored = StoredMap {
            revision: object.version,
            map,
        };
        let is_new = self.apply_map(stored.clone(), now);
        Some(ConfigState {
            maps: is_new.then_some(stored).into_iter().collect(),
            ..ConfigState::default()
        })
    }

    /// Applies a tree unless it is older than or equal to the known one. Returns whether it was applied.
    fn apply_tree(&mut self, tree: Tree, now: Time) -> bool {
        let known = self.cx.config.tree.as_ref().map(|t| t.version);
        if known.is_some_and(|known| tree.version <= known) {
            return false;
        }
        self.cx.cell.set_declared_gone(tree.gone.clone());
        let was_out = self.holder.leafs_out(&self.cx);
        self.cx.config.tree = Some(Rc::new(tree));
        self.holder.mark_returned_cold(&self.cx, &was_out, now);
        self.cx.config.rebuild_plans();
        self.holder.update_limiter_settings(&self.cx);
        self.cx.timers.set(Timer::Maintenance, now);
        true
    }

    fn apply_map(&mut self, stored: StoredMap, now: Time) -> bool {
        let is_new = self.cx.config.apply_map(stored, now);
        if is_new {
            self.cx.timers.set(Timer::Maintenance, now);
        }
        is_new
    }

    fn apply_roster(&mut self, roster: Roster, now: Time, out: &mut Vec<Output>) -> bool {
        let epoch = self.cx.cell.roster().epoch;
        if !self.cx.cell.learn(roster, now) {
            return false;
        }
        let is_new_epoch = self.cx.cell.roster().epoch > epoch;
        self.cx.placements = Placements::new(self.cx.cell.roster());
        if is_new_epoch {
            self.apply_placements(now, out);
            self.update_peers(now, out);
            self.cx.send_heartbeats(now, out);
        }
        self.holder.poll_waiting(&mut self.cx, now, out);
        self.cx.announce_state(out);
        self.cx.timers.set(Timer::Maintenance, now);
        true
    }

    fn config_state(&self) -> ConfigState {
        let maps = self.cx.config.maps.values();
        let moves = self.cx.moves.values();
        ConfigState {
            moves: moves
                .map(|m| StoredMove {
                    revision: m.revision,
                    record: m.record.clone(),
                })
                .collect(),
            tree: self.cx.config.tree.as_deref().cloned(),
            roster: Some(self.cx.cell.roster().clone()),
            maps: maps
                .map(|m| StoredMap {
                    revision: m.revision,
                    map: (*m.map).clone(),
                })
                .collect(),
        }
    }

    fn push_update(&mut self, update: ConfigState, out: &mut Vec<Output>) {
        if update == ConfigState::default() {
            return;
        }
        for addr in self.cx.peers_up() {
            self.cx.counts.control_messages += 1;
            out.push(Output::ToPeer(
                addr,
                Message::ConfigState(Box::new(update.clone())),
            ));
        }
    }
}
