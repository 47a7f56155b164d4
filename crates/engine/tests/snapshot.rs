//! Every answer comes from one snapshot, and its coverage states exactly the groups that answered.

use std::time::Duration;

use fakenet::{LeafMode, Net, Options, initial_map};
use monsoondeal_config::{Edit, ServiceMap};
use monsoondeal_core::{IndexVersion, LeafId, MapVersion};
use monsoondeal_engine::io::{Response, Token};
use rand::RngExt;
use rstest::rstest;

/// Checks an answer against the stamps in its parts. Returns whether the request was answered.
fn check_answer(net: &Net, token: Token, groups: &[usize]) -> bool {
    let Some(Response::Answered(answer)) = net.response(token) else {
        return false;
    };
    assert_eq!(
        answer.parts.len() as u32,
        answer.coverage.answered,
        "number of parts and coverage"
    );
    assert!(
        groups.contains(&(answer.coverage.total as usize)),
        "total {:?}",
        answer.coverage
    );
    let mut seen = Vec::new();
    for (group, part) in &answer.parts {
        let part: (u32, u64, u64, serde_json::Value) =
            serde_json::from_slice(part).expect("parts are JSON");
        assert_eq!(part.0, *group, "group stamped on the part of group {group}");
        assert_eq!(
            part.1, answer.snapshot.index.0,
            "index version stamped on the part of group {group}"
        );
        assert_eq!(
            part.2, answer.snapshot.map.0,
            "map version stamped on the part of group {group}"
        );
        assert_eq!(
            part.3["token"], token.0,
            "request token in the part of group {group}"
        );
        assert!(!seen.contains(group), "more than one part of group {group}");
        seen.push(*group);
    }
    assert_eq!(
        answer.lost.len() + answer.parts.len(),
        answer.coverage.total as usize
    );
    true
}

/// Sends requests in rounds, applies `change` in the middle of each, and returns the share of requests
/// answered in full.
fn run_changes<F>(seed: u64, groups: &[usize], mut change: F) -> f64
where
    F: FnMut(&mut Net, usize),
{
    let mut net = Net::start(Options {
        seed,
        ..Options::default()
    });
    let mut tokens = Vec::new();
    for round in 0..10 {
        for i in 0..40 {
            let node = net.random_running_node();
            tokens.push(net.request(node, "lookup", None));
            if i == 20 {
                change(&mut net, round);
            }
            let delay_us = net.rng.random_range(200..6_000);
            net.run_for(Duration::from_micros(delay_us));
        }
        net.run_for(Duration::from_secs(5));
    }
    net.run_for(Duration::from_secs(5));
    let answered = tokens
        .iter()
        .filter(|t| check_answer(&net, **t, groups))
        .count();
    assert!(answered > 0, "no request was answered, seed {seed}");
    let full = |t: &&Token| match net.response(**t) {
        Some(Response::Answered(answer)) => answer.coverage.is_full(),
        _ => false,
    };
    tokens.iter().filter(full).count() as f64 / tokens.len() as f64
}

/// Publishes the next index version for all leafs while queries are in flight.
fn publish_next_index(net: &mut Net, round: usize) {
    let mut map = initial_map(8, 1);
    map.snapshot.index = IndexVersion(round as u64 + 2);
    net.publish_map(&map);
}

/// Publishes a partition map with another number of groups and other leafs.
fn publish_repartition(net: &mut Net, round: usize) {
    let groups = if round.is_multiple_of(2) { 12 } else { 8 };
    let mut map: ServiceMap = initial_map(groups, 100 * (round as u64 + 1));
    map.snapshot.map = MapVersion(round as u64 + 2);
    net.publish_map(&map);
}

fn lose_replicas(net: &mut Net, round: usize) {
    for leaf in 1..=16 {
        let lost = leaf % 5 == round as u64 % 5;
        net.leafs.set_mode(
            LeafId(leaf),
            if lost {
                LeafMode::Unreachable
            } else {
                LeafMode::Healthy
            },
        );
    }
}

fn set_wrong_stamps(net: &mut Net, round: usize) {
    for leaf in 1..=16 {
        let wrong = leaf % 4 == round as u64 % 4;
        let mode = if wrong {
            LeafMode::WrongStamp
        } else {
            LeafMode::Healthy
        };
        net.leafs.set_mode(LeafId(leaf), mode);
    }
}

fn kill_node(net: &mut Net, round: usize) {
    if round.is_multiple_of(3) {
        let node = net.random_running_node();
        net.kill(node, true);
        net.add_node();
    }
}

#[rstest]
#[case::index_moves(publish_next_index, &[8])]
#[case::repartition(publish_repartition, &[8, 12])]
#[case::replicas_lost(lose_replicas, &[8])]
#[case::wrong_stamps(set_wrong_stamps, &[8])]
#[case::nodes_killed(kill_node, &[8])]
fn answer_from_one_snapshot(#[case] change: fn(&mut Net, usize), #[case] groups: &[usize]) {
    for seed in 0..6 {
        run_changes(seed, groups, change);
    }
}

/// With one replica of each group lost, the other one answers, so coverage stays full.
#[test]
fn coverage_full_with_one_replica_lost() {
    let full = run_changes(3, &[8], |net, _| {
        for group in 0..8_u64 {
            net.leafs
                .set_mode(LeafId(1 + group * 2), LeafMode::Unreachable);
        }
    });
    assert!(full >= 0.99, "share of full answers {full}");
}

/// A group that has lost all replicas isn't counted as answered, but counts in the total.
#[test]
fn coverage_counts_lost_group() {
    let mut net = Net::start(Options::default());
    net.leafs.set_mode(LeafId(1), LeafMode::Unreachable);
    net.leafs.set_mode(LeafId(2), LeafMode::Unreachable);
    let token = net.request(0, "lookup", None);
    net.run_for(Duration::from_secs(2));
    let Some(Response::Answered(answer)) = net.response(token) else {
        panic!("no answer")
    };
    assert_eq!((answer.coverage.answered, answer.coverage.total), (7, 8));
    assert_eq!(answer.lost[0].0, 0);
}

/// A group whose replicas were all taken out by an operator isn't counted as answered, but counts in
/// the total.
#[test]
fn coverage_counts_groups_out() {
    let mut net = Net::start(Options::default());
    net.edit(Edit::LeafOut { leaf: LeafId(1) });
    net.edit(Edit::LeafOut { leaf: LeafId(2) });
    net.run_for(Duration::from_secs(2));
    let token = net.request(0, "lookup", None);
    net.run_for(Duration::from_secs(2));
    let Some(Response::Answered(answer)) = net.response(token) else {
        panic!("no answer")
    };
    assert_eq!((answer.coverage.answered, answer.coverage.total), (7, 8));
}

/// At its deadline, a query is answered with the parts received so far.
#[test]
fn coverage_partial_at_deadline() {
    let mut net = Net::start(Options::default());
    net.edit(Edit::Set {
        level: "/rilegatoria/catalogue".parse().expect("a level"),
        setting: "deadline_ms".to_owned(),
        value: 50.into(),
    });
    net.run_for(Duration::from_secs(2));
    for leaf in [1, 2] {
        net.leafs
            .set_service_time(LeafId(leaf), Duration::from_millis(900));
    }
    let start = net.now;
    let token = net.request(0, "lookup", None);
    net.run_for(Duration::from_secs(3));
    let ended = net
        .responses
        .iter()
        .find(|e| e.token == token)
        .expect("the query ends");
    assert!(
        ended.at.since(start) <= Duration::from_millis(51),
        "{:?}",
        ended.at.since(start)
    );
    let Some(Response::Answered(answer)) = net.response(token) else {
        panic!("no answer")
    };
    assert_eq!((answer.coverage.answered, answer.coverage.total), (7, 8));
}
