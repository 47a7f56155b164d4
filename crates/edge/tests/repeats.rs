//! Simulated load patterns in virtual time: hedges and retries that compete for the repeats of a service.

mod common;

use std::time::Duration;

use common::load_simulation::{LeafMode, LeafProfile, LoadSimulation};
use common::{Node, config, fan_out_route, leaf, shard};
use monsoondeal_edge::{EdgeSettings, LeafEntry};
use rstest::rstest;

const NODES: usize = 6;
const SHARDS: usize = 12;
/// Connections that a leaf accepts from all nodes together.
const CONNECTIONS: usize = 56;
const OBJECTIVE: Duration = Duration::from_millis(120);
/// Queries a second.
const QUERY_RATE: f64 = 60.0;
/// Leafs with 2 slots and a mean service time of 15 ms that pause for 150 ms every 3.6 s.
const LEAF_PROFILE: LeafProfile = LeafProfile {
    slots: 2,
    max_queued: 12,
    service_time: (Duration::from_millis(8), Duration::from_millis(22)),
    pause: (Duration::from_millis(150), Duration::from_millis(3_600)),
};

/// In each shard one of three leafs is four times slower, and another one fails four in ten calls. Without retries
/// most queries would lack too many shards.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn retries_are_left_when_leafs_are_slow_and_fail(#[case] seed: u64) {
    let entries: Vec<LeafEntry> = (0..SHARDS)
        .flat_map(|index| {
            let service = shard(index);
            ["a", "b", "c"].map(|replica| leaf(&format!("{service}-{replica}"), &service))
        })
        .collect();
    let nodes = (0..NODES).map(|index| {
        let settings = EdgeSettings {
            nodes: NODES,
            repeat_ratio: 0.2,
            repeat_slack: 60.0,
            seed: seed + index as u64,
            ..EdgeSettings::default()
        };
        let mut route = fan_out_route("q", SHARDS, 0.95);
        route.objective = OBJECTIVE;
        Node::with_settings(
            settings,
            config(1, vec![route], CONNECTIONS),
            entries.clone(),
        )
    });
    let mut simulation = LoadSimulation::new(nodes.collect(), &entries, LEAF_PROFILE, seed);
    simulation.send_requests("q", OBJECTIVE, QUERY_RATE, Duration::from_secs(4));
    let before = simulation.finish_requests("q");
    for index in 0..SHARDS {
        simulation.set_slowdown(&format!("{}-a", shard(index)), 4.0);
        let failing = LeafMode::PartlyShedding(0.4);
        simulation.set_mode(&format!("{}-b", shard(index)), failing);
    }
    simulation.send_requests("q", OBJECTIVE, 1.7 * QUERY_RATE, Duration::from_secs(5));
    let during = simulation.finish_requests("q");
    let total = during.total - before.total;
    let failed = during.failed - before.failed;
    assert!(
        failed * 50 <= total,
        "{failed} of {total} failed: {during:?}"
    );
}
