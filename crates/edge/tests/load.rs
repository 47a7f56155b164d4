//! Simulated load patterns in virtual time: pausing, slow and silent leafs, and more queries than the leafs can
//! serve.

mod common;

use std::time::Duration;

use common::farm::{Farm, Leafs, Mode, Tally};
use common::{Node, config, fan_out, leaf, shard, single};
use monsoondeal_edge::{EdgeSettings, LeafEntry, Repeat};
use rstest::rstest;

const SHARDS: usize = 20;
const OBJECTIVE: Duration = Duration::from_millis(200);
/// Leafs with 3 slots and a mean service time of 28 ms: the two leafs of a shard can serve 214 queries a second.
const LEAFS: Leafs = Leafs {
    slots: 3,
    queue: 18,
    work: (Duration::from_millis(14), Duration::from_millis(42)),
    pause: (Duration::ZERO, Duration::from_secs(6)),
};
/// Queries a second that the two leafs of a shard can serve.
const CAPACITY: f64 = 214.0;

fn farm(behaviour: Leafs, seed: u64) -> Farm {
    let entries: Vec<LeafEntry> = (0..SHARDS)
        .flat_map(|at| {
            let service = shard(at);
            ["a", "b"].map(|replica| leaf(&format!("{service}-{replica}"), &service))
        })
        .collect();
    let mut less_urgent = fan_out("stats", SHARDS, 0.75);
    less_urgent.priority = 5;
    let routes = vec![fan_out("q", SHARDS, 0.89), less_urgent];
    let node = Node::new(config(1, routes, 30), entries.clone());
    Farm::new(vec![node], &entries, behaviour, seed)
}

fn share(tally: &Tally) -> f64 {
    tally.credit / tally.asked as f64
}

/// Each leaf pauses for 250 ms every 6 s, so that more than half of the queries to 20 shards call a pausing leaf.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn leaf_pauses_barely_lower_the_score(#[case] seed: u64) {
    let pause = (Duration::from_millis(250), Duration::from_secs(6));
    let mut farm = farm(Leafs { pause, ..LEAFS }, seed);
    farm.play("q", OBJECTIVE, 60.0, Duration::from_secs(20));
    let tally = farm.finish("q");
    assert!(share(&tally) >= 0.97, "{tally:?}");
    let counts = farm.nodes[0].edge.counts();
    let extra = counts.hedges as f64 / counts.calls as f64;
    assert!(extra <= 0.08, "extra calls {extra}");
}

/// A sixth of the leafs turns eight times slower, at most one in each shard.
#[rstest]
#[case(1)]
#[case(2)]
fn slow_leafs_are_avoided(#[case] seed: u64) {
    let mut farm = farm(LEAFS, seed);
    farm.play("q", OBJECTIVE, 60.0, Duration::from_secs(3));
    for at in 0..6 {
        farm.slow(&format!("{}-a", shard(at)), 8.0);
    }
    farm.play("q", OBJECTIVE, 60.0, Duration::from_secs(10));
    let tally = farm.finish("q");
    assert!(share(&tally) >= 0.95, "{tally:?}");
}

/// Some leafs stop answering the calls that they accept.
#[rstest]
#[case(1)]
#[case(2)]
fn silent_leafs_are_avoided(#[case] seed: u64) {
    let mut farm = farm(LEAFS, seed);
    farm.play("q", OBJECTIVE, 60.0, Duration::from_secs(3));
    for at in 0..5 {
        farm.set_mode(&format!("{}-b", shard(at)), Mode::Dark);
    }
    farm.play("q", OBJECTIVE, 60.0, Duration::from_secs(10));
    let tally = farm.finish("q");
    assert!(share(&tally) >= 0.95, "{tally:?}");
}

/// Callers send 1.5, 2.5 and 4 times the queries that the leafs can serve. At least six tenths of the capacity must
/// be answered within the objective, and rejections must arrive within a quarter of the objective.
#[rstest]
#[case(1.5, 1)]
#[case(2.5, 1)]
#[case(2.5, 2)]
#[case(4.0, 1)]
fn overload_is_served_up_to_leaf_capacity(#[case] times: f64, #[case] seed: u64) {
    let mut farm = farm(LEAFS, seed);
    farm.play("q", OBJECTIVE, 60.0, Duration::from_secs(5));
    let calm = farm.finish("q");
    let span = Duration::from_secs(6);
    farm.play("q", OBJECTIVE, times * CAPACITY, span);
    let tally = farm.finish("q");
    let served = tally.credit - calm.credit;
    let bearable = CAPACITY * span.as_secs_f64();
    assert!(
        served >= 0.6 * bearable,
        "{served} of {bearable}: {tally:?}"
    );
    assert!(tally.slowest_rejection <= OBJECTIVE / 4, "{tally:?}");
    // After the overload almost all queries are in time again.
    farm.play("q", OBJECTIVE, 60.0, Duration::from_secs(2));
    let before = farm.finish("q");
    farm.play("q", OBJECTIVE, 60.0, Duration::from_secs(5));
    let after = farm.finish("q");
    let late = (after.asked - before.asked) as f64 - (after.credit - before.credit);
    assert!(late <= 10.0, "{late} of {}", after.asked - before.asked);
}

/// Under overload a route of higher priority is served at least as well as one of lower priority.
#[test]
fn overload_serves_higher_priority_first() {
    let mut farm = farm(LEAFS, 1);
    farm.play("q", OBJECTIVE, 60.0, Duration::from_secs(5));
    for _ in 0..30 {
        farm.play("q", OBJECTIVE, 2.0 * CAPACITY, Duration::from_millis(100));
        farm.play(
            "stats",
            OBJECTIVE,
            2.0 * CAPACITY,
            Duration::from_millis(100),
        );
    }
    let (urgent, other) = (farm.finish("q"), farm.finish("stats"));
    assert!(share(&urgent) >= share(&other), "{urgent:?} {other:?}");
}

/// Nodes that all start to call the same cold leaf at once stay within its rate limit in every second, however many
/// they are.
#[rstest]
#[case::few(3)]
#[case::today(9)]
#[case::with_spares(13)]
#[case::as_many_as_it_bears(18)]
fn cold_leaf_rate_limit_holds_across_nodes(#[case] count: usize) {
    const RATE: f64 = 10.0;
    const FACTOR: f64 = 1.5;
    const SLACK: f64 = 5.0;
    const STEP: Duration = Duration::from_millis(5);
    let settings = EdgeSettings {
        nodes: count,
        cold_factor: FACTOR,
        cold_slack: SLACK,
        ..EdgeSettings::default()
    };
    let mut nodes: Vec<Node> = (0..count)
        .map(|_| {
            let mut config = config(1, vec![single("r", "s", Repeat::Idempotent)], 100);
            for service in config.services.values_mut() {
                service.cold_rate = Some(RATE);
            }
            let cold = LeafEntry {
                warmup: Duration::from_secs(60),
                ..leaf("a", "s")
            };
            Node::with_settings(settings.clone(), config, vec![cold])
        })
        .collect();
    let mut sent: Vec<usize> = Vec::new();
    for _ in 0..1_000 {
        let mut step = 0;
        for node in &mut nodes {
            node.request_within("r", Duration::from_secs(2));
            node.pass(STEP);
            step += node.calls.len();
            node.serve_except(|_| false);
        }
        sent.push(step);
    }
    let second = 1_000 / STEP.as_millis() as usize;
    let most = sent
        .windows(second)
        .map(|calls| calls.iter().sum::<usize>())
        .max();
    assert!(
        most.is_some_and(|most| most as f64 <= RATE * FACTOR + SLACK),
        "{most:?}"
    );
    assert!(sent.iter().sum::<usize>() > 0);
}

/// A restarted node opens fewer connections, since leafs may still hold those of its former process.
#[test]
fn restarted_node_uses_a_part_of_its_connections() {
    const FORMER: Duration = Duration::from_secs(6);
    let settings = EdgeSettings {
        nodes: 1,
        former_time: FORMER,
        ..EdgeSettings::default()
    };
    let config = config(1, vec![single("r", "s", Repeat::Idempotent)], 6);
    let mut node = Node::with_settings(settings, config, vec![leaf("a", "s")]);
    for _ in 0..6 {
        node.request("r");
    }
    assert_eq!(node.calls.len(), 2);
    // No request is left waiting: each is called once a connection is free.
    for _ in 0..3 {
        node.serve_except(|_| false);
    }
    assert_eq!(node.replies.len(), 6);
    node.pass(FORMER);
    node.step(|edge, now, out| edge.tick(now, out));
    for _ in 0..6 {
        node.request("r");
    }
    assert_eq!(node.calls.len(), 6);
}
