//! An accepted configuration is in force on all living nodes within seconds, and no node returns to
//! an older one.

use std::time::Duration;

use fakenet::{Net, Options, SERVICE};
use monsoondeal_config::{Edit, Level};
use monsoondeal_engine::io::Response;
use rand::RngExt;
use rstest::rstest;

/// Maximum time from the acceptance of a change until it is in force on every living node.
const MAX_PROPAGATION: Duration = Duration::from_secs(8);

fn deadline_edit(millis: u64) -> Edit {
    Edit::Set {
        level: Level::kind("rilegatoria", SERVICE, "lookup"),
        setting: "deadline_ms".to_owned(),
        value: millis.into(),
    }
}

/// Checks that no node replaced its configuration tree by an older one.
fn assert_trees_sorted(net: &Net) {
    for (at, node) in net.nodes.iter().enumerate() {
        assert!(
            node.trees.is_sorted(),
            "tree versions at node {at}: {:?}",
            node.trees
        );
    }
}

fn assert_in_force(net: &Net, version: u64) {
    for at in net.running_nodes() {
        let known = net.nodes[at].engine.tree_version();
        assert!(
            known >= version,
            "node {at} has tree version {known}, expected {version}"
        );
    }
}

fn no_fault(_: &mut Net) {}

fn freeze_watchers(net: &mut Net) {
    for node in net.store_watchers() {
        net.freeze(node);
    }
}

fn kill_watchers(net: &mut Net) {
    for node in net.store_watchers() {
        net.kill(node, true);
    }
}

fn cut_watchers_from_store(net: &mut Net) {
    for node in net.store_watchers() {
        net.store_cut.insert(node);
    }
}

fn add_node(net: &mut Net) {
    net.add_node();
}

fn cut_watcher_from_peers(net: &mut Net) {
    let watchers = net.store_watchers();
    for other in 0..net.nodes.len() {
        if !watchers.contains(&other) {
            net.cut(watchers[0], other);
        }
    }
}

#[rstest]
#[case::no_fault(no_fault)]
#[case::watchers_frozen(freeze_watchers)]
#[case::watchers_killed(kill_watchers)]
#[case::watchers_without_store(cut_watchers_from_store)]
#[case::node_joins(add_node)]
#[case::watcher_without_peers(cut_watcher_from_peers)]
fn config_change_reaches_living_nodes_in_time(#[case] fault: fn(&mut Net)) {
    for seed in 0..10 {
        let mut net = Net::start(Options {
            seed,
            nodes: 9,
            ..Options::default()
        });
        // The fault occurs shortly before or after the change.
        let early = net.rng.random_bool(0.5);
        if early {
            fault(&mut net);
            let delay_ms = net.rng.random_range(0..20);
            net.run_for(Duration::from_millis(delay_ms));
        }
        let version = net.edit(deadline_edit(700));
        if !early {
            let delay_ms = net.rng.random_range(0..20);
            net.run_for(Duration::from_millis(delay_ms));
            fault(&mut net);
        }
        net.run_for(MAX_PROPAGATION);
        assert_in_force(&net, version);
        assert_trees_sorted(&net);
    }
}

#[test]
fn config_change_reaches_thawed_node() {
    let mut net = Net::start(Options::default());
    net.freeze(3);
    net.run_for(Duration::from_secs(20));
    let version = net.edit(deadline_edit(300));
    net.run_for(Duration::from_secs(5));
    net.thaw(3);
    net.run_for(MAX_PROPAGATION);
    assert_in_force(&net, version);
    assert_trees_sorted(&net);
}

/// While the store is down for an hour, requests are served, and a node that starts meanwhile fetches
/// the configuration from its peers.
#[test]
fn store_outage_does_not_interrupt_serving() {
    let mut net = Net::start(Options::default());
    let version = net.edit(deadline_edit(700));
    net.run_for(MAX_PROPAGATION);
    net.set_store_down(true);
    let mut tokens = Vec::new();
    for _ in 0..60 {
        net.run_for(Duration::from_secs(60));
        let node = net.random_running_node();
        tokens.push(net.request(node, "lookup", None));
    }
    let new_node = net.add_node();
    net.run_for(Duration::from_secs(10));
    assert_eq!(net.nodes[new_node].engine.tree_version(), version);
    tokens.push(net.request(new_node, "lookup", None));
    net.run_for(Duration::from_secs(2));
    for token in tokens {
        let Some(Response::Answered(answer)) = net.response(token) else {
            panic!("{:?}", net.response(token));
        };
        assert!(answer.coverage.is_full());
    }

    // After the outage, changes take effect and the new node becomes a member.
    net.set_store_down(false);
    let version = net.edit(deadline_edit(800));
    net.run_for(MAX_PROPAGATION);
    assert_in_force(&net, version);
    assert_trees_sorted(&net);
    net.run_for(Duration::from_secs(10));
    net.assert_settled(7);
}

/// When a node is lost during a store outage, its leases aren't reassigned, but replicas of its leafs at
/// other nodes give full answers.
#[test]
fn store_outage_with_lost_node_keeps_full_answers() {
    for seed in 0..10 {
        let mut net = Net::start(Options {
            seed,
            ..Options::default()
        });
        net.set_store_down(true);
        net.run_for(Duration::from_secs(5));
        let lost = net.random_running_node();
        net.kill(lost, true);
        net.run_for(Duration::from_secs(5));
        for _ in 0..50 {
            let node = net.random_running_node();
            let token = net.request(node, "lookup", None);
            net.run_for(Duration::from_millis(300));
            let Some(Response::Answered(answer)) = net.response(token) else {
                panic!("{:?}, seed {seed}", net.response(token));
            };
            assert!(answer.coverage.is_full(), "{:?}, seed {seed}", answer.lost);
        }
    }
}

/// A membership change completes despite lost replies of the store and concurrent writers.
#[test]
fn roster_settles_despite_lost_replies() {
    for seed in 0..10 {
        let mut net = Net::start(Options {
            seed,
            ..Options::default()
        });
        net.lose_replies = 3;
        net.add_node();
        let lost = net.random_running_node();
        net.kill(lost, false);
        net.run_for(Duration::from_secs(40));
        net.assert_settled(6);
    }
}

/// While nothing changes, the number of store calls doesn't depend on the size of the cell: only two
/// watchers probe the store, each every 2 seconds.
#[rstest]
#[case::six_nodes(6)]
#[case::nine_nodes(9)]
#[case::eighteen_nodes(18)]
#[case::thirty_two_nodes(32)]
fn store_calls_of_idle_cell_are_bounded(#[case] nodes: usize) {
    let mut net = Net::start(Options {
        nodes,
        ..Options::default()
    });
    net.run_for(Duration::from_secs(20));
    let before = net.store_calls;
    net.run_for(Duration::from_secs(60));
    let calls = net.store_calls - before;
    assert!(
        calls <= 2 * 30,
        "{calls} store calls of {nodes} nodes in a minute"
    );
    assert_eq!(net.store_watchers().len(), 2);
}
