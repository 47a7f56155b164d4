//! At most one node calls a leaf at a time, under any fault.

use std::time::Duration;

use fakenet::{Net, Options};
use rand::RngExt;
use rstest::rstest;

/// Number of requests between two faults.
const REQUESTS: usize = 40;
/// Number of faults in a run.
const FAULTS: usize = 12;

/// Injects random faults while requests are sent, and returns the network.
fn run_faults(options: Options) -> Net {
    let mut net = Net::start(options);
    for _ in 0..FAULTS {
        inject_fault(&mut net);
        for _ in 0..REQUESTS {
            let node = net.random_running_node();
            net.request(node, "lookup", None);
            let delay_ms = net.rng.random_range(1..80);
            net.run_for(Duration::from_millis(delay_ms));
        }
        if net.running_nodes().len() < 4 {
            net.add_node();
            net.run_for(Duration::from_secs(8));
        }
    }
    net.heal();
    net.set_store_down(false);
    net.run_for(Duration::from_secs(20));
    net
}

/// Injects or repairs one random fault.
fn inject_fault(net: &mut Net) {
    let node = net.random_running_node();
    let other = net.random_running_node();
    match net.rng.random_range(0..9) {
        0 if net.running_nodes().len() > 4 => net.kill(node, true),
        1 if net.running_nodes().len() > 4 => net.kill(node, false),
        2 if net.running_nodes().len() > 4 => {
            net.freeze(node);
            let span = net.rng.random_range(500..9_000);
            net.run_for(Duration::from_millis(span));
            net.thaw(node);
        }
        3 => net.isolate(node),
        4 if node != other => net.cut(node, other),
        5 => net.heal(),
        6 => net.set_store_down(true),
        7 => net.set_store_down(false),
        _ => {
            net.lose_replies = 1;
            net.add_node();
        }
    }
}

#[rstest]
fn lease_has_one_holder_under_random_faults(#[values(0, 1, 2, 3)] block: u64) {
    for seed in block * 25..(block + 1) * 25 {
        let net = run_faults(Options {
            seed,
            ..Options::default()
        });
        assert_eq!(
            net.leafs.node_overlaps, 0,
            "calls of two nodes to one leaf at the same time, seed {seed}"
        );
        assert_eq!(
            net.leafs.over_slots, 0,
            "calls to a leaf beyond its slots, seed {seed}"
        );
    }
}

/// Verifies that the checks above can fail: a holder whose lease doesn't expire in time violates them.
#[test]
fn lease_held_too_long_is_detected() {
    let mut shared = 0;
    for seed in 0..10 {
        let lease_override = Some((1, Duration::from_secs(3_600)));
        let mut net = Net::start(Options {
            seed,
            lease_override,
            ..Options::default()
        });
        shared += freeze_each_holder(&mut net);
    }
    assert!(shared > 0, "no call of a former holder was observed");
}

/// Freezes each node until its lease has expired, with calls from other nodes queued in its sockets.
/// Returns the number of calls that ran on a leaf together with a call of another node.
fn freeze_each_holder(net: &mut Net) -> u64 {
    for node in 0..net.nodes.len() {
        net.freeze(node);
        send_load(net, 100, Duration::from_millis(10));
        net.run_for(Duration::from_secs(7));
        send_load(net, 100, Duration::from_micros(100));
        net.thaw(node);
        send_load(net, 100, Duration::from_micros(100));
        net.run_for(Duration::from_secs(8));
    }
    net.leafs.node_overlaps
}

/// Sends a request to a random living node every `pause`.
fn send_load(net: &mut Net, count: usize, pause: Duration) {
    for _ in 0..count {
        let node = net.random_running_node();
        net.request(node, "lookup", None);
        net.run_for(pause);
    }
}

#[test]
fn lease_expires_while_holder_is_frozen() {
    for seed in 0..10 {
        let mut net = Net::start(Options {
            seed,
            ..Options::default()
        });
        assert_eq!(freeze_each_holder(&mut net), 0, "seed {seed}");
        assert_eq!(net.leafs.over_slots, 0, "seed {seed}");
    }
}
