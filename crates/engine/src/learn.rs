//! The configuration feed.
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
use crate::message::{Message, State, StoredMap, StoredMove, Versions};
use crate::objects::{MOVE_PREFIX, TREE_KEY, VMS_KEY, VmList, roster_key};
use crate::placement::Seats;

impl Engine {
    pub(crate) fn send_state(&mut self, link: LinkId, out: &mut Vec<Output>) {
        let state = self.state();
        self.cx.counts.control_messages += 1;
        out.push(Output::ToLink(link, Message::State(Box::new(state))));
    }

    /// Fetches the configuration from a peer that has a later version, at most once per heartbeat interval.
    pub(crate) fn compare_versions(
        &mut self,
        addr: SocketAddr,
        theirs: Versions,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if !self.cx.versions().is_behind(&theirs) {
            return;
        }
        let recent = self.feed.fetched.get(&addr);
        if recent.is_some_and(|&at| now < at + self.cx.cell.settings().heartbeat_interval) {
            return;
        }
        self.feed.fetched.insert(addr, now);
        self.cx.counts.control_messages += 1;
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
            self.cx.learn_move(stored);
        }
        if let Some(roster) = state.roster {
            self.learn_roster(roster, now, out);
        }
    }

    /// Applies an object read from the store, and pushes it to the peers if it is new.
    pub(crate) fn on_object(
        &mut self,
        key: &str,
        object: Option<Object>,
        asked: Time,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        self.roles.note_contact(&mut self.cx, true, now);
        let news = if key == TREE_KEY {
            self.read_tree(key, object.as_ref(), now)
        } else if key == roster_key(&self.cx.settings.cell) {
            self.read_roster(key, object.as_ref(), asked, now, out)
        } else if key == VMS_KEY {
            self.read_vms(key, object.as_ref())
        } else if key.starts_with(MOVE_PREFIX) {
            self.read_move(key, object.as_ref())
        } else {
            self.read_map(key, object.as_ref(), now)
        };
        let Some(news) = news else {
            return;
        };
        self.push_news(news, out);
        self.cx.timers.set(Timer::Control, now);
    }

    /// Handles the end of a write. Whether it succeeded or not, the object is read again: the next write
    /// needs its present version.
    pub(crate) fn on_written(&mut self, key: &str, out: &mut Vec<Output>) {
        self.roles.writing = None;
        self.cx.read(key.to_owned(), out);
    }

    /// Applies the stored tree. Like the functions for the other objects it returns the update to push to
    /// the peers, which may be empty, or `None` if the object is missing or invalid.
    fn read_tree(&mut self, key: &str, object: Option<&Object>, now: Time) -> Option<State> {
        let tree = self.feed.parse::<Tree>(key, object)?;
        let news = self.learn_tree(tree.clone(), now);
        Some(State {
            tree: news.then_some(tree),
            ..State::default()
        })
    }

    fn read_roster(
        &mut self,
        key: &str,
        object: Option<&Object>,
        asked: Time,
        now: Time,
        out: &mut Vec<Output>,
    ) -> Option<State> {
        let roster = match object {
            Some(_) => self.feed.parse::<Roster>(key, object)?,
            None => Roster::default(),
        };
        self.roles.note_stored(object.map(|o| o.version), &roster);
        let epoch = roster.epoch;
        let news = self.learn_roster(roster.clone(), now, out);
        self.cx.cell.on_store_read(asked, epoch);
        Some(State {
            roster: news.then_some(roster),
            ..State::default()
        })
    }

    fn read_vms(&mut self, key: &str, object: Option<&Object>) -> Option<State> {
        let vms = self.feed.parse::<VmList>(key, object)?;
        let known = vms.live.into_iter().chain(vms.leaving).collect();
        self.cx.cell.set_vms(known);
        Some(State::default())
    }

    fn read_move(&mut self, key: &str, object: Option<&Object>) -> Option<State> {
        let record = self.feed.parse::<MoveRecord>(key, object)?;
        let revision = object.map_or(0, |o| o.version);
        let stored = StoredMove { revision, record };
        let news = self.cx.learn_move(stored.clone());
        Some(State {
            moves: news.then_some(stored).into_iter().collect(),
            ..State::default()
        })
    }

    fn read_map(&mut self, key: &str, object: Option<&Object>, now: Time) -> Option<State> {
        // A missing map is no error: it may not have been written yet.
        let Some(object) = object else {
            return Some(State::default());
        };
        let map = self.feed.parse::<ServiceMap>(key, Some(object))?;
        if let Err(findings) = map.check() {
            self.feed.note_fault(key, &findings);
            return None;
        }
        let stored = StoredMap {
            revision: object.version,
            map,
        };
        let news = self.learn_map(stored.clone(), now);
        Some(State {
            maps: news.then_some(stored).into_iter().collect(),
            ..State::default()
        })
    }

    /// Applies a tree unless it is older than or equal to the known one. Returns whether it was applied.
    fn learn_tree(&mut self, tree: Tree, now: Time) -> bool {
        let known = self.cx.config.tree.as_ref().map(|t| t.version);
        if known.is_some_and(|known| tree.version <= known) {
            return false;
        }
        self.cx.cell.set_declared_gone(tree.gone.clone());
        let was_out = self.holder.gates_out(&self.cx);
        self.cx.config.tree = Some(Rc::new(tree));
        self.holder.chill_returned(&self.cx, &was_out, now);
        self.cx.config.rebuild_plans();
        self.holder.update_gate_settings(&self.cx);
        self.cx.timers.set(Timer::Control, now);
        true
    }

    fn learn_map(&mut self, stored: StoredMap, now: Time) -> bool {
        let news = self.cx.config.learn_map(stored, now);
        if news {
            self.cx.timers.set(Timer::Control, now);
        }
        news
    }

    fn learn_roster(&mut self, roster: Roster, now: Time, out: &mut Vec<Output>) -> bool {
        let epoch = self.cx.cell.roster().epoch;
        if !self.cx.cell.learn(roster, now) {
            return false;
        }
        let moved = self.cx.cell.roster().epoch > epoch;
        self.cx.seats = Seats::new(self.cx.cell.roster());
        if moved {
            self.move_seats(now, out);
            self.update_peers(now, out);
            self.cx.send_beats(now, out);
        }
        self.holder.pump_waiting(&mut self.cx, now, out);
        self.cx.announce(out);
        self.cx.timers.set(Timer::Control, now);
        true
    }

    fn state(&self) -> State {
        let maps = self.cx.config.maps.values();
        let moves = self.cx.moves.values();
        State {
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

    fn push_news(&mut self, news: State, out: &mut Vec<Output>) {
        if news == State::default() {
            return;
        }
        for addr in self.cx.peers_up() {
            self.cx.counts.control_messages += 1;
            out.push(Output::ToPeer(addr, Message::State(Box::new(news.clone()))));
        }
    }
}
