//! Simulated load patterns in virtual time: pausing, slow and silent leafs, and more queries than the leafs can
//! serve.

mod common;

use std::time::Duration;

use common::load_simulation::{LeafMode, LeafProfile, LoadSimulation, RequestStats};
use common::{Node, config, fan_out_route, leaf, service_route, shard};
use monsoondeal_edge::{EdgeSettings, LeafEntry, Repeat};
use rstest::rstest;

const SHARDS: usize = 20;
const OBJECTIVE: Duration = Duration::from_millis(200);
/// Leafs with 3 slots and a mean service time of 28 ms: the two leafs of a shard can serve 214 queries a second.
const LEAF_PROFILE: LeafProfile = LeafProfile {
    slots: 3,
    max_queued: 18,
    service_time: (Duration::from_millis(14), Duration::from_millis(42)),
    pause: (Duration::ZERO, Duration::from_secs(6)),
};
/// Queries a second that the two leafs of a shard can serve.
const CAPACITY: f64 = 214.0;

/// Returns a simulation of one node and two leafs for each shard.
fn simulation(profile: LeafProfile, seed: u64) -> LoadSimulation {
    let entries: Vec<LeafEntry> = (0..SHARDS)
        .flat_map(|index| {
            let service = shard(index);
            ["a", "b"].map(|replica| leaf(&format!("{service}-{replica}"), &service))
        })
        .collect();
    let mut low_priority = fan_out_route("stats", SHARDS, 0.75);
    low_priority.priority = 5;
    let routes = vec![fan_out_route("q", SHARDS, 0.89), low_priority];
    let node = Node::new(config(1, routes, 30), entries.clone());
    LoadSimulation::new(vec![node], &entries, profile, seed)
}

/// Returns the mean score of a request, from 0 to 1.
fn mean_score(stats: &RequestStats) -> f64 {
    stats.score / stats.total as f64
}

/// Each leaf pauses for 250 ms every 6 s, so that more than half of the queries to 20 shards call a pausing leaf.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn leaf_pauses_barely_lower_the_score(#[case] seed: u64) {
    let pause = (Duration::from_millis(250), Duration::from_secs(6));
    let mut simulation = simulation(
        LeafProfile {
            pause,
            ..LEAF_PROFILE
        },
        seed,
    );
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(20));
    let stats = simulation.finish_requests("q");
    assert!(mean_score(&stats) >= 0.97, "{stats:?}");
    let counts = simulation.nodes[0].edge.counts();
    let extra = counts.hedges as f64 / counts.calls as f64;
    assert!(extra <= 0.08, "extra calls {extra}");
}

/// Six of the 40 leafs turn eight times slower, at most one in each shard.
#[rstest]
#[case(1)]
#[case(2)]
fn slow_leafs_are_avoided(#[case] seed: u64) {
    let mut simulation = simulation(LEAF_PROFILE, seed);
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(3));
    for index in 0..6 {
        simulation.set_slowdown(&format!("{}-a", shard(index)), 8.0);
    }
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(10));
    let stats = simulation.finish_requests("q");
    assert!(mean_score(&stats) >= 0.95, "{stats:?}");
}

/// Some leafs stop answering the calls that they accept.
#[rstest]
#[case(1)]
#[case(2)]
fn silent_leafs_are_avoided(#[case] seed: u64) {
    let mut simulation = simulation(LEAF_PROFILE, seed);
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(3));
    for index in 0..5 {
        simulation.set_mode(&format!("{}-b", shard(index)), LeafMode::Silent);
    }
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(10));
    let stats = simulation.finish_requests("q");
    assert!(mean_score(&stats) >= 0.95, "{stats:?}");
}

/// Callers send 1.5, 2.5 and 4 times the queries that the leafs can serve. At least six tenths of the capacity must
/// be answered within the objective, and rejections must arrive within a quarter of the objective.
#[rstest]
#[case(1.5, 1)]
#[case(2.5, 1)]
#[case(2.5, 2)]
#[case(4.0, 1)]
fn overload_is_served_up_to_leaf_capacity(#[case] factor: f64, #[case] seed: u64) {
    let mut simulation = simulation(LEAF_PROFILE, seed);
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(5));
    let baseline = simulation.finish_requests("q");
    let span = Duration::from_secs(6);
    simulation.send_requests("q", OBJECTIVE, factor * CAPACITY, span);
    let stats = simulation.finish_requests("q");
    let served = stats.score - baseline.score;
    let capacity = CAPACITY * span.as_secs_f64();
    assert!(
        served >= 0.6 * capacity,
        "{served} of {capacity}: {stats:?}"
    );
    assert!(stats.slowest_rejection <= OBJECTIVE / 4, "{stats:?}");
    // After the overload almost all queries are in time again.
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(2));
    let before = simulation.finish_requests("q");
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(5));
    let after = simulation.finish_requests("q");
    let lost_score = (after.total - before.total) as f64 - (after.score - before.score);
    assert!(
        lost_score <= 10.0,
        "{lost_score} of {}",
        after.total - before.total
    );
}

/// Under overload a route of higher priority is served at least as well as one of lower priority.
#[test]
fn overload_serves_higher_priority_first() {
    let mut simulation = simulation(LEAF_PROFILE, 1);
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(5));
    for _ in 0..30 {
        simulation.send_requests("q", OBJECTIVE, 2.0 * CAPACITY, Duration::from_millis(100));
        simulation.send_requests(
            "stats",
            OBJECTIVE,
            2.0 * CAPACITY,
            Duration::from_millis(100),
        );
    }
    let (high, low) = (
        simulation.finish_requests("q"),
        simulation.finish_requests("stats"),
    );
    assert!(mean_score(&high) >= mean_score(&low), "{high:?} {low:?}");
}

/// Nodes that all start to call the same cold leaf at once stay within its rate limit in every second, however many
/// they are.
#[rstest]
#[case::three_nodes(3)]
#[case::nine_nodes(9)]
#[case::fleet_with_spares(13)]
#[case::as_many_as_the_rate_allows(18)]
fn cold_leaf_rate_limit_holds_across_nodes(#[case] node_count: usize) {
    const COLD_RATE: f64 = 10.0;
    const COLD_FACTOR: f64 = 1.5;
    const COLD_SLACK: f64 = 5.0;
    const TIME_STEP: Duration = Duration::from_millis(5);
    let settings = EdgeSettings {
        nodes: node_count,
        cold_factor: COLD_FACTOR,
        cold_slack: COLD_SLACK,
        ..EdgeSettings::default()
    };
    let mut nodes: Vec<Node> = (0..node_count)
        .map(|_| {
            let mut config = config(1, vec![service_route("r", "s", Repeat::Idempotent)], 100);
            for service in config.services.values_mut() {
                service.cold_rate = Some(COLD_RATE);
            }
            let cold = LeafEntry {
                warmup: Duration::from_secs(60),
                ..leaf("a", "s")
            };
            Node::with_settings(settings.clone(), config, vec![cold])
        })
        .collect();
    let mut calls_by_step: Vec<usize> = Vec::new();
    for _ in 0..1_000 {
        let mut calls_sent = 0;
        for node in &mut nodes {
            node.request_with_timeout("r", Duration::from_secs(2));
            node.run_for(TIME_STEP);
            calls_sent += node.calls.len();
            node.answer_all_except(|_| false);
        }
        calls_by_step.push(calls_sent);
    }
    let steps_per_second = 1_000 / TIME_STEP.as_millis() as usize;
    let max_calls = calls_by_step
        .windows(steps_per_second)
        .map(|calls| calls.iter().sum::<usize>())
        .max();
    assert!(
        max_calls.is_some_and(|max_calls| max_calls as f64 <= COLD_RATE * COLD_FACTOR + COLD_SLACK),
        "{max_calls:?}"
    );
    assert!(calls_by_step.iter().sum::<usize>() > 0);
}

/// A restarted node opens fewer connections, since leafs may still hold those of its former process.
#[test]
fn restarted_node_uses_a_part_of_its_connections() {
    const FORMER_TIME: Duration = Duration::from_secs(6);
    let settings = EdgeSettings {
        nodes: 1,
        former_time: FORMER_TIME,
        ..EdgeSettings::default()
    };
    let config = config(1, vec![service_route("r", "s", Repeat::Idempotent)], 6);
    let mut node = Node::with_settings(settings, config, vec![leaf("a", "s")]);
    for _ in 0..6 {
        node.request("r");
    }
    assert_eq!(node.calls.len(), 2);
    // No request is left waiting: each is sent to the leaf once a connection is free.
    for _ in 0..3 {
        node.answer_all_except(|_| false);
    }
    assert_eq!(node.replies.len(), 6);
    node.run_for(FORMER_TIME);
    node.apply(|edge, now, out| edge.tick(now, out));
    for _ in 0..6 {
        node.request("r");
    }
    assert_eq!(node.calls.len(), 6);
}
