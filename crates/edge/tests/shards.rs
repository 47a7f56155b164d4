//! Simulated load patterns in virtual time: nodes that share leafs, and shards with less capacity than the queries
//! need.

mod common;

use std::time::Duration;

use common::farm::{Farm, Leafs, Mode, Tally};
use common::{Node, config, fan_out, leaf, shard};
use monsoondeal_edge::{EdgeSettings, LeafEntry};
use rstest::rstest;

const NODES: usize = 9;
const SHARDS: usize = 20;
const CONNECTIONS: usize = 26;
const OBJECTIVE: Duration = Duration::from_millis(80);
const RATE: f64 = 90.0;
const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
/// Leafs with 2 slots and a mean service time of 7.5 ms that pause for 100 ms every 2.4 s.
const LEAFS: Leafs = Leafs {
    slots: 2,
    queue: 12,
    work: (Duration::from_millis(4), Duration::from_millis(11)),
    pause: (Duration::from_millis(100), Duration::from_millis(2_400)),
};

/// Returns a simulation with two leafs for each shard, except the first `lone` shards with one leaf each.
fn farm(lone: usize, coverage: f64, seed: u64) -> Farm {
    let entries: Vec<LeafEntry> = (0..SHARDS)
        .flat_map(|at| {
            let service = shard(at);
            let replicas: &[&str] = if at < lone { &["b"] } else { &["a", "b"] };
            let leafs = replicas
                .iter()
                .map(|replica| leaf(&format!("{service}-{replica}"), &service));
            leafs.collect::<Vec<_>>()
        })
        .collect();
    let nodes = (0..NODES).map(|at| {
        let settings = EdgeSettings {
            nodes: NODES,
            repeat_ratio: RATIO,
            repeat_slack: SLACK,
            seed: seed + at as u64,
            ..EdgeSettings::default()
        };
        let mut route = fan_out("q", SHARDS, coverage);
        route.objective = OBJECTIVE;
        Node::with_settings(
            settings,
            config(1, vec![route], CONNECTIONS),
            entries.clone(),
        )
    });
    Farm::new(nodes.collect(), &entries, LEAFS, seed)
}

fn share(tally: &Tally) -> f64 {
    tally.in_time as f64 / tally.asked as f64
}

/// Sends requests for `span` and returns the counts of these requests, except for the slowest rejection, which is
/// taken over the whole simulation.
fn play(farm: &mut Farm, rate: f64, span: Duration) -> Tally {
    let before = farm.finish("q");
    farm.play("q", OBJECTIVE, rate, span);
    let after = farm.finish("q");
    Tally {
        asked: after.asked - before.asked,
        in_time: after.in_time - before.in_time,
        credit: after.credit - before.credit,
        late: after.late - before.late,
        rejected: after.rejected - before.rejected,
        failed: after.failed - before.failed,
        slowest_rejection: after.slowest_rejection,
    }
}

/// Two of 20 shards lose one of their two leafs, and queries need 18 shards: at least 95 % are in time.
#[rstest]
#[case::refuses(Mode::Refuses, 1)]
#[case::refuses_too(Mode::Refuses, 2)]
#[case::sheds(Mode::Sheds(0.45), 1)]
#[case::gone(Mode::Gone, 1)]
#[case::dark(Mode::Dark, 1)]
fn lost_replicas_delay_few_queries(#[case] mode: Mode, #[case] seed: u64) {
    let mut farm = farm(0, 0.89, seed);
    play(&mut farm, RATE, Duration::from_secs(4));
    for at in 0..2 {
        farm.set_mode(&format!("{}-a", shard(at)), mode);
    }
    let tally = play(&mut farm, RATE, Duration::from_secs(4));
    assert!(share(&tally) >= 0.95, "{tally:?}");
}

/// A closed failure domain leaves ten of 20 shards with one leaf each, which pauses: at least 97 % are in time.
#[test]
fn last_leafs_pause() {
    let mut farm = farm(10, 0.89, 1);
    let tally = play(&mut farm, RATE, Duration::from_secs(10));
    assert!(share(&tally) >= 0.97, "{tally:?}");
}

/// A closed failure domain leaves three of 20 shards with one leaf each, which is six times slower and can serve 44
/// calls a second. Queries need 18 shards: six tenths of what the three leafs can serve are in time, and the others
/// are rejected at once.
#[rstest]
#[case(1)]
#[case(2)]
fn last_leafs_slow(#[case] seed: u64) {
    let mut farm = farm(3, 0.89, seed);
    play(&mut farm, RATE, Duration::from_secs(4));
    for at in 0..3 {
        farm.slow(&format!("{}-b", shard(at)), 6.0);
    }
    let span = Duration::from_secs(6);
    let tally = play(&mut farm, RATE, span);
    let bearable = (3.0 * 44.0_f64).min(RATE) * span.as_secs_f64();
    assert!(tally.in_time as f64 >= 0.6 * bearable, "{tally:?}");
    assert!(tally.late + tally.failed <= tally.in_time, "{tally:?}");
    assert!(tally.slowest_rejection <= OBJECTIVE / 4, "{tally:?}");
}
