//! Fault injection.

use std::cmp::Reverse;
use std::time::Duration;

use monsoondeal_engine::io::LeafOutcome;
use monsoondeal_engine::{Input, VmList};

use crate::{Event, Net};

impl Net {
    /// Stops updates of the platform's list of VMs: the store keeps the last list shown.
    pub fn stop_vm_updates(&mut self) {
        self.list_frozen = true;
    }

    /// Takes a list of the VMs of nodes that are alive, which the store shows after 3 to 9 s.
    pub(crate) fn schedule_vm_list(&mut self) {
        let live = self
            .nodes
            .iter()
            .filter(|n| n.alive)
            .map(|n| n.member.vm.clone());
        let list = VmList {
            live: live.collect(),
            ..VmList::default()
        };
        let delay = self.random_delay(3_000_000..9_000_000);
        self.lists_taken += 1;
        self.schedule(delay, Event::VmListShown(self.lists_taken, list));
    }

    /// Restarts all leafs: calls in flight break, and each leaf is cold for its next `cold_calls` calls.
    pub fn restart_leafs(&mut self, cold_calls: u32) {
        let events = std::mem::take(&mut self.queue);
        for Reverse(mut queued) in events {
            if let Event::LeafCallEnded { outcome, .. } = &mut queued.event {
                *outcome = LeafOutcome::Broken;
                queued.at = self.now;
            }
            self.queue.push(Reverse(queued));
        }
        self.leafs.mark_all_cold(cold_calls);
        for node in self.running_nodes() {
            for leaf in self.leafs.ids() {
                self.schedule(Duration::ZERO, Event::Input(node, Input::LeafClosed(leaf)));
            }
        }
    }

    /// Kills a node. Its connections break at once, or stay open without traffic if `silently`.
    pub fn kill(&mut self, node: usize, silently: bool) {
        self.nodes[node].alive = false;
        self.schedule_vm_list();
        self.leafs.forget_node(node);
        let links: Vec<u64> = self.links_of(node);
        for link in links {
            if silently {
                continue;
            }
            self.break_link(link);
        }
    }

    /// Freezes a node: its inputs are held until it is thawed.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    /// Thaws a frozen node and delivers the inputs held meanwhile.
    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        let inputs = std::mem::take(&mut self.nodes[node].held_inputs);
        for input in inputs {
            self.deliver(node, input);
        }
        self.deliver(node, Input::Tick);
    }

    /// Cuts two nodes off from each other and breaks their connections.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut_pairs.insert((a.min(b), a.max(b)));
        let links: Vec<u64> = self.links_of(a);
        for link in links {
            let l = self.links[&link];
            if l.dialer == b || l.acceptor == b {
                self.break_link(link);
            }
        }
    }

    /// Cuts a node off from all others, and from the store.
    pub fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            if other != node {
                self.cut(node, other);
            }
        }
        self.store_cut.insert(node);
    }

    /// Holds back the messages from one node to another without breaking the connection.
    pub fn stall(&mut self, from: usize, to: usize) {
        self.stalled.insert((from, to));
    }

    /// Ends all stalls and delivers the messages held back, in order.
    pub fn release_stalled(&mut self) {
        self.stalled.clear();
        for event in std::mem::take(&mut self.stalled_events) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Ends all cuts between nodes and from the store.
    pub fn heal(&mut self) {
        self.cut_pairs.clear();
        self.store_cut.clear();
    }

    /// Makes the store unreachable for all nodes, or reachable again.
    pub fn set_store_down(&mut self, down: bool) {
        self.store_down = down;
        if !down {
            for node in 0..self.nodes.len() {
                self.notify_watches(node);
            }
        }
    }
}
