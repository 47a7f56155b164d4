//! At-most-once requests run at most once, and those reported as "not run" have not run, under any
//! fault.

use std::collections::BTreeMap;
use std::time::Duration;

use fakenet::{LeafMode, Net, Options};
use monsoondeal_core::LeafId;
use monsoondeal_engine::io::{Response, Token};
use rand::RngExt;
use rstest::rstest;

/// Number of idempotency keys in a run.
const KEYS: usize = 120;

/// Numbers of responses that callers received, by outcome.
#[derive(Debug, Default)]
struct Outcomes {
    answered: usize,
    not_run: usize,
    unknown: usize,
}

/// Checks the responses for every key against the runs at the leafs, and counts them by outcome.
fn check_keys(net: &Net, sent: &BTreeMap<String, Vec<Token>>, seed: u64) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for (key, tokens) in sent {
        let runs = net.leafs.runs.get(key).copied().unwrap_or(0);
        assert!(runs <= 1, "key {key} ran {runs} times, seed {seed}");
        for token in tokens {
            match net.response(*token) {
                Some(Response::Answered(answer)) => {
                    assert_eq!(
                        runs, 1,
                        "key {key} was answered but did not run, seed {seed}"
                    );
                    assert_eq!(answer.coverage.total, 1);
                    outcomes.answered += 1;
                }
                Some(Response::NotRun(_)) => {
                    assert_eq!(runs, 0, "key {key} ran after 'not run', seed {seed}");
                    outcomes.not_run += 1;
                }
                Some(Response::Unknown(_)) => outcomes.unknown += 1,
                Some(Response::Invalid(fault)) => panic!("invalid request: {fault:?}, seed {seed}"),
                None => {}
            }
        }
    }
    outcomes
}

/// Sends a request with a key once, and sometimes again as a balancer or a caller does on a retry.
fn send_copies(net: &mut Net, key: &str) -> Vec<Token> {
    let mut tokens = Vec::new();
    let copies = if net.rng.random_bool(0.4) {
        net.rng.random_range(2..4)
    } else {
        1
    };
    for _ in 0..copies {
        let node = net.random_running_node();
        tokens.push(net.request(node, "order", Some(key)));
        let delay_ms = net.rng.random_range(0..40);
        net.run_for(Duration::from_millis(delay_ms));
    }
    tokens
}

fn run_requests(options: Options, fault: fn(&mut Net)) -> (Net, BTreeMap<String, Vec<Token>>) {
    let mut net = Net::start(options);
    let mut sent: BTreeMap<String, Vec<Token>> = BTreeMap::new();
    for i in 0..KEYS {
        if i % 15 == 7 {
            fault(&mut net);
        }
        // A late copy of an earlier request, within the time in which balancers retry.
        if i > 10 && net.rng.random_bool(0.3) {
            let late_key = format!("key-{}", net.rng.random_range(i - 10..i));
            let node = net.random_running_node();
            let token = net.request(node, "order", Some(&late_key));
            sent.entry(late_key).or_default().push(token);
        }
        let key = format!("key-{i}");
        let tokens = send_copies(&mut net, &key);
        sent.entry(key).or_default().extend(tokens);
    }
    net.heal();
    // Copies that arrive after a new home node has taken over, but within the time of retries.
    for _ in 0..2 {
        net.run_for(Duration::from_secs(7));
        for i in KEYS - 20..KEYS {
            let key = format!("key-{i}");
            let node = net.random_running_node();
            let token = net.request(node, "order", Some(&key));
            sent.entry(key).or_default().push(token);
        }
    }
    net.run_for(Duration::from_secs(20));
    (net, sent)
}

fn kill_one(net: &mut Net) {
    let node = net.random_running_node();
    net.kill(node, false);
    net.add_node();
}

fn kill_silently(net: &mut Net) {
    let node = net.random_running_node();
    net.kill(node, true);
    net.add_node();
}

fn freeze_one(net: &mut Net) {
    let node = net.random_running_node();
    net.freeze(node);
    net.run_for(Duration::from_millis(3_500));
    net.thaw(node);
}

fn isolate_one(net: &mut Net) {
    net.heal();
    let node = net.random_running_node();
    net.isolate(node);
}

fn toggle_store(net: &mut Net) {
    let down = !net.store_down;
    net.set_store_down(down);
    let node = net.random_running_node();
    if net.running_nodes().len() > 4 {
        net.kill(node, false);
    }
}

fn set_leaf_modes(net: &mut Net) {
    let modes = [
        LeafMode::Healthy,
        LeafMode::Failing,
        LeafMode::Losing,
        LeafMode::Shedding,
        LeafMode::Unreachable,
        LeafMode::WrongStamp,
    ];
    for leaf in 1..=16 {
        let mode = modes[net.rng.random_range(0..modes.len())];
        net.leafs.set_mode(LeafId(leaf), mode);
    }
}

fn join_and_stop(net: &mut Net) {
    net.add_node();
    let node = net.random_running_node();
    net.stop(node);
}

#[rstest]
#[case::no_fault(|_: &mut Net| {})]
#[case::kill(kill_one)]
#[case::kill_silently(kill_silently)]
#[case::freeze(freeze_one)]
#[case::isolate(isolate_one)]
#[case::store_outage(toggle_store)]
#[case::bad_leafs(set_leaf_modes)]
#[case::join_and_stop(join_and_stop)]
fn at_most_once_runs_once_under_faults(#[case] fault: fn(&mut Net)) {
    for seed in 0..12 {
        let (net, sent) = run_requests(
            Options {
                seed,
                ..Options::default()
            },
            fault,
        );
        let outcomes = check_keys(&net, &sent, seed);
        assert!(
            outcomes.answered > 0,
            "no request was answered, seed {seed}"
        );
    }
}

/// Without a fault every request is answered, including copies that arrive after the first has ended.
#[test]
fn at_most_once_without_fault_is_answered() {
    let (net, sent) = run_requests(Options::default(), |_| {});
    let outcomes = check_keys(&net, &sent, 1);
    assert_eq!(outcomes.not_run, 0);
    let copies: usize = sent.values().map(Vec::len).sum();
    // A copy that arrives while the first one runs gets "unknown", since the outcome isn't known yet.
    assert!(
        outcomes.answered * 10 >= copies * 8,
        "{outcomes:?} of {copies}"
    );
}

/// Verifies that the checks above can fail: a home node that forgets keys immediately runs copies again.
#[test]
fn at_most_once_without_key_retention_runs_twice() {
    let mut options = Options::default();
    options.idempotency.window = Duration::ZERO;
    let (net, _) = run_requests(options, kill_one);
    assert!(
        net.leafs.runs.values().any(|runs| *runs > 1),
        "no key ran twice"
    );
}

/// A request whose caller disconnects still completes, and its retry gets the answer.
#[test]
fn at_most_once_of_disconnected_caller_is_remembered() {
    let mut net = Net::start(Options::default());
    let first = net.request(0, "order", Some("souvenir"));
    net.disconnect_caller(0, first);
    net.run_for(Duration::from_secs(1));
    let second = net.request(3, "order", Some("souvenir"));
    net.run_for(Duration::from_secs(1));
    assert!(matches!(net.response(second), Some(Response::Answered(_))));
    assert_eq!(net.leafs.runs["souvenir"], 1);
}

/// An entry node that was paused for longer than keys are remembered does not run copies of requests
/// that waited in its sockets meanwhile.
#[test]
fn at_most_once_at_paused_entry_node_is_not_run_again() {
    for seed in 0..8 {
        let mut net = Net::start(Options {
            seed,
            ..Options::default()
        });
        let first = net.request(1, "order", Some("leather"));
        net.run_for(Duration::from_millis(300));
        assert!(
            matches!(net.response(first), Some(Response::Answered(_))),
            "seed {seed}"
        );
        // The balancer's copy reaches a paused node.
        net.freeze(4);
        net.request(4, "order", Some("leather"));
        net.run_for(Duration::from_secs(90));
        net.thaw(4);
        net.run_for(Duration::from_secs(5));
        assert_eq!(net.leafs.runs["leather"], 1, "seed {seed}");
    }
}

/// A home node that was paused for longer than keys are remembered does not run copies of requests that
/// waited in its sockets meanwhile.
#[test]
fn at_most_once_at_paused_home_node_is_not_run_again() {
    for seed in 0..8 {
        for home in 0..6 {
            let mut net = Net::start(Options {
                seed,
                ..Options::default()
            });
            for i in 0..10 {
                net.request(home, "order", Some(&format!("find-{i}")));
            }
            net.run_for(Duration::from_millis(300));
            net.freeze(home);
            for i in 0..10 {
                let node = net.random_running_node();
                net.request(node, "order", Some(&format!("find-{i}")));
            }
            net.run_for(Duration::from_secs(60));
            net.thaw(home);
            net.run_for(Duration::from_secs(5));
            for (key, runs) in &net.leafs.runs {
                assert!(*runs <= 1, "{key} ran {runs} times, seed {seed}");
            }
        }
    }
}

/// A request that the network delayed for longer than keys are remembered is not run.
#[test]
fn at_most_once_delayed_by_network_is_not_run_again() {
    for home in 0..6 {
        for entry in (0..6).filter(|entry| *entry != home) {
            let mut net = Net::start(Options::default());
            net.stall(entry, home);
            for i in 0..10 {
                let key = format!("find-{i}");
                let other = (0..6).find(|n| *n != home && *n != entry).unwrap_or(0);
                net.request(other, "order", Some(&key));
                net.request(entry, "order", Some(&key));
            }
            net.run_for(Duration::from_secs(60));
            net.release_stalled();
            net.run_for(Duration::from_secs(5));
            for (key, runs) in &net.leafs.runs {
                assert!(
                    *runs <= 1,
                    "{key} ran {runs} times with home node {home} and entry node {entry}"
                );
            }
        }
    }
}

/// When an overloaded entry node refuses a request, the home node records the refusal, so that no copy
/// runs later.
#[test]
fn at_most_once_refusal_applies_to_copies() {
    let mut net = Net::start(Options {
        max_inflight: 1,
        ..Options::default()
    });
    net.leafs.service_time = Duration::from_millis(50);
    let running = net.request(0, "order", Some("first"));
    let refused = net.request(0, "order", Some("second"));
    net.run_for(Duration::from_millis(30));
    let copy = net.request(2, "order", Some("second"));
    net.run_for(Duration::from_secs(2));
    assert!(matches!(net.response(running), Some(Response::Answered(_))));
    assert!(matches!(net.response(refused), Some(Response::NotRun(_))));
    assert!(matches!(net.response(copy), Some(Response::NotRun(_))));
    assert!(!net.leafs.runs.contains_key("second"));
}

#[test]
fn at_most_once_without_key_is_invalid() {
    let mut net = Net::start(Options::default());
    let token = net.request(0, "order", None);
    net.run_for(Duration::from_millis(100));
    assert!(matches!(net.response(token), Some(Response::Invalid(_))));
}
