//! Faults that tests bring about.

use std::cmp::Reverse;
use std::time::Duration;

use monsoondeal_engine::io::LeafOutcome;
use monsoondeal_engine::{Input, VmList};

use crate::{Event, Net};

impl Net {
    /// Takes the platform's list away, so that it shows nothing any more.
    pub fn stop_vm_updates(&mut self) {
        self.list_frozen = true;
    }

    /// Has the platform's list show the VMs that run now, a while from now.
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

    /// Restarts all leafs: calls under way break, and the leafs are cold for their next calls.
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

    /// Kills a node. Its connections break at once, or stay silent if `silently`.
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

    /// Stops a node for a while: inputs wait until it is thawed.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    /// Lets a frozen node go on.
    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        let inputs = std::mem::take(&mut self.nodes[node].held_inputs);
        for input in inputs {
            self.deliver(node, input);
        }
        self.deliver(node, Input::Tick);
    }

    /// Cuts two nodes off from each other; their connections break.
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

    /// Holds back what one node sends another, without breaking the connection.
    pub fn stall(&mut self, from: usize, to: usize) {
        self.stalled.insert((from, to));
    }

    /// Delivers everything that was held back, in order.
    pub fn release_stalled(&mut self) {
        self.stalled.clear();
        for event in std::mem::take(&mut self.stalled_events) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Heals all cuts.
    pub fn heal(&mut self) {
        self.cut_pairs.clear();
        self.store_cut.clear();
    }

    /// Sets whether the store answers.
    pub fn set_store_down(&mut self, down: bool) {
        self.store_down = down;
        if !down {
            for node in 0..self.nodes.len() {
                self.notify_watches(node);
            }
        }
    }
}
