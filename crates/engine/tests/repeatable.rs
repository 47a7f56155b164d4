//! Simulated runs are deterministic: they depend only on their seed.

use std::time::Duration;

use fakenet::{Net, Options};

/// Runs a network under load with a node failure, and returns all responses.
fn run_trace(seed: u64) -> Vec<String> {
    let mut net = Net::start(Options {
        seed,
        ..Options::default()
    });
    net.leafs.slow_share = 0.02;
    for i in 0..200 {
        let node = net.random_ready_node();
        match i % 5 {
            0 => net.request(node, "order", Some(&format!("key-{}", i / 2))),
            _ => net.request(node, "lookup", None),
        };
        if i == 100 {
            let lost = net.random_running_node();
            net.kill(lost, false);
        }
        net.run_for(Duration::from_millis(7));
    }
    net.run_for(Duration::from_secs(10));
    net.responses
        .iter()
        .map(|ended| format!("{ended:?}"))
        .collect()
}

#[test]
fn run_repeats_with_same_seed() {
    for seed in 0..3 {
        assert_eq!(run_trace(seed), run_trace(seed), "seed {seed}");
    }
}

#[test]
fn run_differs_with_other_seed() {
    assert_ne!(run_trace(1), run_trace(2));
}
