//! The fake store and its initial content.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monsoondeal_config::{Change, ChangeId, Edit, LeafSpec, Level, ServiceMap, Tree};
use monsoondeal_core::{IndexVersion, LeafId, MapVersion, Snapshot};
use monsoondeal_engine::io::Object;
use monsoondeal_engine::{Input, TREE_KEY, map_key, move_key};
use monsoondeal_moves::{MoveRecord, Progress, WallClock};
use rand::RngExt;

use crate::{DOMAINS, Event, Net, SERVICE, WALL_START};

impl Net {
    /// Applies an edit, without an actor, to the configuration tree in the store, and returns the new
    /// version.
    pub fn edit(&mut self, edit: Edit) -> u64 {
        let tree = self.tree();
        let id = ChangeId(self.rng.random());
        let change = Change {
            id,
            actor: None,
            expects: None,
            edit,
        };
        let next = tree.apply(&change).expect("the edit is valid for the tree");
        self.write_tree(&next);
        next.version.0
    }

    /// Returns the configuration tree in the store.
    pub fn tree(&self) -> Tree {
        let (_, value) = &self.objects[TREE_KEY];
        serde_json::from_slice(value).expect("the store holds a tree")
    }

    /// Writes a partition map to the store and adds its leafs to the simulation.
    pub fn publish_map(&mut self, map: &ServiceMap) {
        let next = map.next.iter().map(|next| (&next.groups, next.snapshot));
        for (groups, snapshot) in [(&map.groups, map.snapshot)].into_iter().chain(next) {
            for (group, leafs) in groups.iter().enumerate() {
                leafs
                    .iter()
                    .for_each(|leaf| self.leafs.add(leaf, group as u32, snapshot));
            }
        }
        let value = serde_json::to_vec(map).expect("maps can be serialized");
        self.put_object(&map_key(SERVICE), Bytes::from(value));
    }

    /// Begins a version move of the service to the next version in its map, whose deadline is `duration`
    /// from now.
    pub fn begin_move(&mut self, duration: Duration) {
        let (_, value) = &self.objects[&map_key(SERVICE)];
        let map: ServiceMap = serde_json::from_slice(value).expect("the store holds a map");
        let now = WallClock {
            origin_millis: WALL_START,
        }
        .unix_millis(self.now);
        let record = MoveRecord {
            service: SERVICE.to_owned(),
            to: map.next.expect("the map has a next version").snapshot,
            start: now,
            deadline: now + duration.as_millis() as u64,
            progress: Progress::Running {
                step: 0,
                since: now,
            },
        };
        let value = serde_json::to_vec(&record).expect("records can be serialized");
        self.put_object(&move_key(SERVICE), Bytes::from(value));
    }

    /// Returns the progress of the service's version move, as recorded in the store.
    pub fn move_progress(&self) -> Progress {
        let (_, value) = &self.objects[&move_key(SERVICE)];
        let record: MoveRecord = serde_json::from_slice(value).expect("the store holds a record");
        record.progress
    }

    pub(crate) fn write_tree(&mut self, tree: &Tree) {
        let value = serde_json::to_vec(tree).expect("trees can be serialized");
        self.put_object(TREE_KEY, Bytes::from(value));
    }

    pub(crate) fn put_object(&mut self, key: &str, value: Bytes) {
        self.revision += 1;
        self.objects.insert(key.to_owned(), (self.revision, value));
        for node in 0..self.nodes.len() {
            self.notify_watches(node);
        }
    }

    /// Sends a node those of its watched objects whose current version it has not been sent.
    pub(crate) fn notify_watches(&mut self, node: usize) {
        if self.store_down || self.store_cut.contains(&node) || !self.nodes[node].alive {
            return;
        }
        let watched = self.nodes[node].watched.clone();
        for key in watched {
            let object = self.read_object(&key);
            let version = object.as_ref().map(|o| o.version);
            if self.nodes[node].delivered.get(&key) == Some(&version) {
                continue;
            }
            self.nodes[node].delivered.insert(key.clone(), version);
            let sent = self.node_time(node);
            let delay = self.random_delay(2_000..6_000);
            self.schedule(
                delay,
                Event::Input(node, Input::Object { key, object, sent }),
            );
        }
    }

    pub(crate) fn read_object(&self, key: &str) -> Option<Object> {
        let (version, value) = self.objects.get(key)?;
        Some(Object {
            version: *version,
            value: value.clone(),
        })
    }

    pub(crate) fn apply_write(
        &mut self,
        node: usize,
        key: String,
        expects: Option<u64>,
        value: Bytes,
    ) {
        let reachable = !self.store_down && !self.store_cut.contains(&node);
        let present = self.objects.get(&key).map(|(version, _)| *version);
        if reachable && present == expects {
            self.put_object(&key, value);
        }
        // Without a reply, the write ends at the node's timeout.
        let lost = !reachable || self.lose_replies > 0;
        self.lose_replies = self.lose_replies.saturating_sub(u32::from(reachable));
        let delay = if lost {
            Duration::from_secs(3)
        } else {
            self.random_delay(500..2_000)
        };
        self.schedule(delay, Event::Input(node, Input::WriteEnded(key)));
    }
}

/// Returns the initial configuration tree, with kinds of all priorities and one that is not repeatable.
pub(crate) fn initial_tree(slots: u32) -> Tree {
    let mut tree = Tree::default();
    let mut edits = vec![
        Edit::CreateOwner {
            owner: "rilegatoria".to_owned(),
        },
        Edit::CreateService {
            service: SERVICE.to_owned(),
            owner: "rilegatoria".to_owned(),
            cell: "main".to_owned(),
        },
    ];
    let set = |kind: &str, setting: &str, value: serde_json::Value| Edit::Set {
        level: Level::kind("rilegatoria", SERVICE, kind),
        setting: setting.to_owned(),
        value,
    };
    edits.push(set("urgent", "priority", "first".into()));
    edits.push(set("report", "priority", "bulk".into()));
    edits.push(set("order", "repeatable", false.into()));
    edits.push(Edit::Set {
        level: "/rilegatoria".parse().expect("a valid level"),
        setting: "slots".to_owned(),
        value: slots.into(),
    });
    for (at, edit) in edits.into_iter().enumerate() {
        let change = Change {
            id: ChangeId(at as u64),
            actor: None,
            expects: None,
            edit,
        };
        tree = tree.apply(&change).expect("the initial tree is valid");
    }
    tree
}

/// Returns a partition map with two leafs in each group, whose identities start at `first_leaf`.
pub fn initial_map(groups: usize, first_leaf: u64) -> ServiceMap {
    let leaf = |group: usize, replica: usize| {
        let id = first_leaf + (group * 2 + replica) as u64;
        LeafSpec {
            leaf: LeafId(id),
            addr: SocketAddr::from(([127, 0, 0, 2], 1_000 + id as u16)),
            domain: DOMAINS[(group + replica) % DOMAINS.len()].to_owned(),
        }
    };
    ServiceMap {
        service: SERVICE.to_owned(),
        snapshot: Snapshot {
            index: IndexVersion(1),
            map: MapVersion(1),
        },
        groups: (0..groups).map(|g| vec![leaf(g, 0), leaf(g, 1)]).collect(),
        next: None,
    }
}
