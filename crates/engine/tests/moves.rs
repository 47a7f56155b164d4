//! Version moves in a simulated cell: completed by their deadline or rolled back, with few calls to
//! bad versions.

use std::time::Duration;

use fakenet::{Net, Options, initial_map};
use monsoondeal_config::NextVersion;
use monsoondeal_core::{IndexVersion, LeafId};
use monsoondeal_engine::io::Response;
use monsoondeal_moves::Progress;
use rand::RngExt;
use rstest::rstest;

/// Time from the start of a move to its deadline.
const MOVE_DURATION: Duration = Duration::from_secs(600);
/// Identifiers of the leafs of the new version.
const NEW_LEAFS: std::ops::Range<u64> = 101..109;

/// Starts a cell with a service that has an old and a new version.
fn start(seed: u64) -> Net {
    let mut net = Net::start(Options {
        seed,
        groups: 4,
        codec: false,
        ..Options::default()
    });
    let mut map = initial_map(4, 1);
    let new = initial_map(4, NEW_LEAFS.start);
    let mut snapshot = map.snapshot;
    snapshot.index = IndexVersion(2);
    map.next = Some(NextVersion {
        snapshot,
        groups: new.groups,
    });
    net.publish_map(&map);
    net.run_for(Duration::from_secs(10));
    net
}

/// Sends 20 requests per second for a time.
fn send_load(net: &mut Net, span: Duration) {
    send_load_at(net, span, Duration::from_millis(50));
}

/// Sends 100 requests per second for a time.
fn send_heavy_load(net: &mut Net, span: Duration) {
    send_load_at(net, span, Duration::from_millis(10));
}

fn send_load_at(net: &mut Net, span: Duration, pause: Duration) {
    let end = net.now + span;
    while net.now < end {
        let node = net.random_ready_node();
        net.request(node, "lookup", None);
        net.run_for(pause);
    }
}

/// Sends requests until the move ends or its deadline has passed, and returns its progress.
fn send_load_until_end(net: &mut Net) -> Progress {
    for _ in 0..MOVE_DURATION.as_secs() + 5 {
        send_load(net, Duration::from_secs(1));
        let progress = net.move_progress();
        if !matches!(progress, Progress::Running { .. }) {
            return progress;
        }
    }
    net.move_progress()
}

fn set_new_fail_share(net: &mut Net, fail_share: f64) {
    for leaf in NEW_LEAFS {
        net.leafs.set_fail_share(LeafId(leaf), fail_share);
    }
}

/// Returns the number of calls to the leafs of the new version.
fn count_new_calls(net: &Net) -> u64 {
    NEW_LEAFS.map(|leaf| net.leafs.calls(LeafId(leaf))).sum()
}

/// Returns the share of the last `latest` requests that the new version answered.
fn new_share(net: &Net, latest: usize) -> f64 {
    let answers = net
        .responses
        .iter()
        .rev()
        .take(latest)
        .filter_map(|e| match &e.response {
            Response::Answered(answer) => Some(answer.snapshot.index),
            _ => None,
        });
    let (mut new, mut all) = (0.0, 0.0);
    for index in answers {
        all += 1.0;
        new += f64::from(u8::from(index == IndexVersion(2)));
    }
    new / all
}

#[test]
fn move_good_version_is_done_by_deadline() {
    let mut net = start(1);
    // At 20 requests per second, a share of 1 % takes longer to reach a verdict than a short move lasts.
    net.begin_move(MOVE_DURATION * 40);
    let begun = net.now;
    let mut progress = net.move_progress();
    while matches!(progress, Progress::Running { .. }) && net.now < begun + MOVE_DURATION * 40 {
        send_load(&mut net, Duration::from_secs(20));
        progress = net.move_progress();
    }
    assert_eq!(progress, Progress::Done);
    let took = net.now.since(begun);
    assert!(took <= MOVE_DURATION * 40, "done after {took:?}");
    send_load(&mut net, Duration::from_secs(5));
    assert_eq!(new_share(&net, 50), 1.0);
}

#[test]
fn move_without_evidence_is_rolled_back_by_deadline() {
    let mut net = start(2);
    net.begin_move(Duration::from_secs(60));
    net.run_for(Duration::from_secs(60));
    assert!(
        matches!(net.move_progress(), Progress::Reversed { .. }),
        "{:?}",
        net.move_progress()
    );
}

fn no_fault(_: &mut Net) {}

fn kill_coordinator(net: &mut Net) {
    let coordinator = net.coordinator();
    net.kill(coordinator, true);
}

fn freeze_coordinator(net: &mut Net) {
    let coordinator = net.coordinator();
    net.freeze(coordinator);
    net.run_for(Duration::from_secs(5));
    net.thaw(coordinator);
}

fn lose_reply(net: &mut Net) {
    net.lose_replies = 2;
}

fn take_store_down(net: &mut Net) {
    net.set_store_down(true);
}

/// A version that fails 20 % of its calls from the start is rolled back after few calls, also when
/// another fault occurs, and gets no calls afterwards.
#[rstest]
#[case::no_fault(no_fault)]
#[case::coordinator_killed(kill_coordinator)]
#[case::coordinator_frozen(freeze_coordinator)]
#[case::reply_lost(lose_reply)]
#[case::store_down(take_store_down)]
fn move_bad_version_gets_few_calls(#[case] fault: fn(&mut Net)) {
    for seed in 0..3 {
        let mut net = start(seed);
        set_new_fail_share(&mut net, 0.2);
        net.begin_move(MOVE_DURATION);
        send_heavy_load(&mut net, Duration::from_secs(2));
        fault(&mut net);
        send_heavy_load(&mut net, Duration::from_secs(120));
        // At most 50 requests, with 4 calls each, and one retry per call.
        let calls = count_new_calls(&net);
        assert!(
            calls <= 50 * 8,
            "{calls} calls of the new version, seed {seed}"
        );
        net.set_store_down(false);
        let progress = send_load_until_end(&mut net);
        assert!(
            matches!(progress, Progress::Reversed { .. }),
            "{progress:?}, seed {seed}"
        );
        send_load(&mut net, Duration::from_secs(10));
        let later = count_new_calls(&net);
        send_load(&mut net, Duration::from_secs(60));
        assert_eq!(
            count_new_calls(&net),
            later,
            "calls after the rollback, seed {seed}"
        );
    }
}

/// The stop of a move stays in force when the coordinator is lost before it could write the stop to the store.
#[test]
fn move_stop_survives_loss_of_coordinator() {
    for seed in 0..5 {
        let mut net = start(seed);
        net.begin_move(MOVE_DURATION);
        send_heavy_load(&mut net, Duration::from_secs(2));
        let coordinator = net.coordinator();
        net.store_cut.insert(coordinator);
        set_new_fail_share(&mut net, 0.9);
        let other = (0..6)
            .find(|node| *node != coordinator)
            .expect("another node");
        let is_stopped = |net: &Net| {
            let state = net.nodes[other].engine.dump(net.node_time(other));
            state["moves"][0]["stopped"] == true
        };
        for _ in 0..200 {
            if !is_stopped(&net) {
                send_load_at(
                    &mut net,
                    Duration::from_millis(20),
                    Duration::from_millis(1),
                );
            }
        }
        assert!(
            is_stopped(&net),
            "the coordinator has not stopped the move, seed {seed}"
        );
        let running = matches!(net.move_progress(), Progress::Running { .. });
        assert!(running, "the stop is already in the record, seed {seed}");
        net.kill(coordinator, true);
        net.store_cut.clear();
        net.run_for(Duration::from_millis(100));

        let calls = count_new_calls(&net);
        send_heavy_load(&mut net, Duration::from_secs(30));
        assert_eq!(
            count_new_calls(&net),
            calls,
            "calls after the stop, seed {seed}"
        );
        let progress = net.move_progress();
        assert!(
            matches!(progress, Progress::Reversed { .. }),
            "{progress:?}, seed {seed}"
        );
    }
}

/// A fault that begins when the new version has at least 40 % of the requests is detected, too.
#[test]
fn move_late_fault_is_rolled_back() {
    let mut net = start(4);
    net.begin_move(MOVE_DURATION * 40);
    let begun = net.now;
    while new_share(&net, 200) < 0.4 {
        send_load(&mut net, Duration::from_secs(20));
        assert!(
            net.now < begun + MOVE_DURATION * 40,
            "{:?}",
            net.move_progress()
        );
    }
    set_new_fail_share(&mut net, 0.2);
    let before = count_new_calls(&net);
    send_load(&mut net, Duration::from_secs(60));
    let calls = count_new_calls(&net) - before;
    assert!(
        calls <= 50 * 8,
        "{calls} calls of the new version after the fault began"
    );
    let progress = net.move_progress();
    assert!(
        matches!(progress, Progress::Reversed { .. }),
        "{progress:?}"
    );
}

/// A node that reaches neither the coordinator nor the store stops using the new version when its grant
/// expires, and serves requests with the old version.
#[test]
fn move_partitioned_node_falls_back_to_old_version() {
    let mut net = start(5);
    net.begin_move(MOVE_DURATION);
    send_load(&mut net, Duration::from_secs(30));
    let watchers = net.store_watchers();
    let partitioned = (0..6)
        .find(|node| !watchers.contains(node))
        .expect("another node");
    net.store_cut.insert(partitioned);
    watchers
        .iter()
        .for_each(|watcher| net.cut(*watcher, partitioned));
    net.run_for(Duration::from_secs(4));
    let before = net.responses.len();
    for _ in 0..400 {
        net.request(partitioned, "lookup", None);
        net.run_for(Duration::from_millis(20));
    }
    let new = net.responses[before..]
        .iter()
        .filter(|e| match &e.response {
            Response::Answered(answer) => {
                e.node == partitioned && answer.snapshot.index == IndexVersion(2)
            }
            _ => false,
        });
    assert_eq!(new.count(), 0);
    let served = net.responses[before..]
        .iter()
        .filter(|e| e.node == partitioned);
    let answered = served
        .filter(|e| matches!(e.response, Response::Answered(_)))
        .count();
    assert!(
        answered > 0,
        "the old version has not answered at the partitioned node"
    );
}

/// All parts of an answer come from the same version during a move.
#[test]
fn move_answers_from_one_version() {
    let mut net = start(6);
    net.begin_move(MOVE_DURATION * 40);
    for _ in 0..200 {
        send_load(&mut net, Duration::from_secs(5));
        if net.rng.random_bool(0.02) {
            let node = net.random_running_node();
            net.freeze(node);
            net.run_for(Duration::from_millis(700));
            net.thaw(node);
        }
    }
    for ended in &net.responses {
        let Response::Answered(answer) = &ended.response else {
            continue;
        };
        for (_, part) in &answer.parts {
            let part: (u32, u64, u64, serde_json::Value) =
                serde_json::from_slice(part).expect("parts are JSON");
            assert_eq!(part.1, answer.snapshot.index.0);
        }
    }
    assert!(count_new_calls(&net) > 0);
}
