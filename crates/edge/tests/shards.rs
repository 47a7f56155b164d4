//! Simulated load patterns in virtual time: nodes that share leafs, and shards with less capacity than the queries
//! need.

mod common;

use std::time::Duration;

use common::load_simulation::{LeafMode, LeafProfile, LoadSimulation, RequestStats};
use common::{Node, config, fan_out_route, leaf, shard};
use monsoondeal_edge::{EdgeSettings, LeafEntry};
use rstest::rstest;

const NODES: usize = 9;
const SHARDS: usize = 20;
/// Connections that a leaf accepts from all nodes together.
const CONNECTIONS: usize = 26;
const OBJECTIVE: Duration = Duration::from_millis(80);
/// Queries a second.
const QUERY_RATE: f64 = 90.0;
/// Repeats allowed per request, over all nodes.
const REPEAT_RATIO: f64 = 0.2;
/// Repeats allowed beyond the ratio, over all nodes.
const REPEAT_SLACK: f64 = 58.0;
/// Leafs with 2 slots and a mean service time of 7.5 ms that pause for 100 ms every 2.4 s.
const LEAF_PROFILE: LeafProfile = LeafProfile {
    slots: 2,
    max_queued: 12,
    service_time: (Duration::from_millis(4), Duration::from_millis(11)),
    pause: (Duration::from_millis(100), Duration::from_millis(2_400)),
};

/// Returns a simulation with two leafs for each shard, except the first `single_leaf_shards` with one leaf each.
fn simulation(single_leaf_shards: usize, min_coverage: f64, seed: u64) -> LoadSimulation {
    let entries: Vec<LeafEntry> = (0..SHARDS)
        .flat_map(|index| {
            let service = shard(index);
            let replicas: &[&str] = if index < single_leaf_shards {
                &["b"]
            } else {
                &["a", "b"]
            };
            let leafs = replicas
                .iter()
                .map(|replica| leaf(&format!("{service}-{replica}"), &service));
            leafs.collect::<Vec<_>>()
        })
        .collect();
    let nodes = (0..NODES).map(|index| {
        let settings = EdgeSettings {
            nodes: NODES,
            repeat_ratio: REPEAT_RATIO,
            repeat_slack: REPEAT_SLACK,
            seed: seed + index as u64,
            ..EdgeSettings::default()
        };
        let mut route = fan_out_route("q", SHARDS, min_coverage);
        route.objective = OBJECTIVE;
        Node::with_settings(
            settings,
            config(1, vec![route], CONNECTIONS),
            entries.clone(),
        )
    });
    LoadSimulation::new(nodes.collect(), &entries, LEAF_PROFILE, seed)
}

/// Returns the share of the requests that were answered within the objective.
fn in_time_share(stats: &RequestStats) -> f64 {
    stats.in_time as f64 / stats.total as f64
}

/// Sends requests for `span` and returns their counts. Only the slowest rejection is that of the whole simulation so
/// far.
fn run_load(simulation: &mut LoadSimulation, rate: f64, span: Duration) -> RequestStats {
    let before = simulation.finish_requests("q");
    simulation.send_requests("q", OBJECTIVE, rate, span);
    let after = simulation.finish_requests("q");
    RequestStats {
        total: after.total - before.total,
        in_time: after.in_time - before.in_time,
        score: after.score - before.score,
        late: after.late - before.late,
        rejected: after.rejected - before.rejected,
        failed: after.failed - before.failed,
        slowest_rejection: after.slowest_rejection,
    }
}

/// Two of 20 shards lose one of their two leafs, and queries need 18 shards: at least 95 % are in time.
#[rstest]
#[case::shedding(LeafMode::Shedding, 1)]
#[case::shedding_seed_2(LeafMode::Shedding, 2)]
#[case::partly_shedding(LeafMode::PartlyShedding(0.45), 1)]
#[case::unreachable(LeafMode::Unreachable, 1)]
#[case::silent(LeafMode::Silent, 1)]
fn lost_replicas_delay_few_queries(#[case] mode: LeafMode, #[case] seed: u64) {
    let mut simulation = simulation(0, 0.89, seed);
    run_load(&mut simulation, QUERY_RATE, Duration::from_secs(4));
    for index in 0..2 {
        simulation.set_mode(&format!("{}-a", shard(index)), mode);
    }
    let stats = run_load(&mut simulation, QUERY_RATE, Duration::from_secs(4));
    assert!(in_time_share(&stats) >= 0.95, "{stats:?}");
}

/// A closed failure domain leaves ten of 20 shards with one leaf each, which pauses: at least 97 % are in time.
#[test]
fn last_leafs_pause() {
    let mut simulation = simulation(10, 0.89, 1);
    let stats = run_load(&mut simulation, QUERY_RATE, Duration::from_secs(10));
    assert!(in_time_share(&stats) >= 0.97, "{stats:?}");
}

/// A closed failure domain leaves three of 20 shards with one leaf each, which is six times slower and can serve 44
/// calls a second. Queries need 18 shards: six tenths of what the three leafs can serve are in time, and the others
/// are rejected at once.
#[rstest]
#[case(1)]
#[case(2)]
fn last_leafs_slow(#[case] seed: u64) {
    let mut simulation = simulation(3, 0.89, seed);
    run_load(&mut simulation, QUERY_RATE, Duration::from_secs(4));
    for index in 0..3 {
        simulation.set_slowdown(&format!("{}-b", shard(index)), 6.0);
    }
    let span = Duration::from_secs(6);
    let stats = run_load(&mut simulation, QUERY_RATE, span);
    let capacity = (3.0 * 44.0_f64).min(QUERY_RATE) * span.as_secs_f64();
    assert!(stats.in_time as f64 >= 0.6 * capacity, "{stats:?}");
    assert!(stats.late + stats.failed <= stats.in_time, "{stats:?}");
    assert!(stats.slowest_rejection <= OBJECTIVE / 4, "{stats:?}");
}
