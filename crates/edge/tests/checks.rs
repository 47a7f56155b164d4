//! The verification of leafs: when a leaf must confirm its name on a new connection before it gets a call, and the
//! handling of a leaf whose address another one has taken over.

mod common;

use std::time::Duration;

use common::{
    Node, config, displaced, failure, leaf, misdirected, refused, service_route, success,
    unchecked, unsent,
};
use monsoondeal_edge::{CallOutcome, EdgeSettings, LeafEntry, Name, Repeat, Reply};
use rstest::rstest;

/// Least time from the end of a leaf until another one may have its address.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// How long a displaced leaf is not called.
const DISPLACED_HOLD: Duration = Duration::from_secs(5);
/// Requests a second that a cold leaf may get.
const COLD_RATE: f64 = 10.0;

/// Returns a node without any budget for repeats, and leafs of one service that can confirm their names.
fn node(leafs: &[&str]) -> Node {
    let settings = EdgeSettings {
        nodes: 1,
        repeat_ratio: 0.0,
        repeat_slack: 0.0,
        address_reuse: ADDRESS_REUSE,
        ..EdgeSettings::default()
    };
    let mut config = config(1, vec![service_route("r", "s", Repeat::Idempotent)], 4);
    for service in config.services.values_mut() {
        service.check_path = Some(Name::from("/health"));
        service.cold_rate = Some(COLD_RATE);
    }
    let entries = leafs.iter().map(|name| leaf(name, "s")).collect();
    Node::with_settings(settings, config, entries)
}

/// Sends a request, ends its call and returns whether the leaf counted as verified when the call was sent.
fn complete_call(node: &mut Node, outcome: CallOutcome) -> bool {
    node.request("r");
    let call = node.calls[0].clone();
    node.end_call(call.call, outcome);
    node.answer_all_except(|_| false);
    call.is_verified
}

#[test]
fn leaf_without_calls_is_not_verified() {
    let mut node = node(&["a"]);
    node.request("r");
    assert!(!node.calls[0].is_verified);
    assert_eq!(node.calls[0].check_path.as_deref(), Some("/health"));
}

#[rstest]
#[case::answer(success("x"), true)]
#[case::failure(failure(), true)]
#[case::refused(refused(), true)]
#[case::broken(CallOutcome::Broken, false)]
#[case::unsent(unsent(), false)]
#[case::unchecked(unchecked(), false)]
fn leaf_is_verified_by_its_latest_call(#[case] outcome: CallOutcome, #[case] expected: bool) {
    let mut node = node(&["a"]);
    complete_call(&mut node, success("x"));
    node.request("r");
    let second = node.calls[0].call;
    node.end_call(second, outcome);
    node.calls.clear();
    node.request("r");
    assert_eq!(node.calls[0].is_verified, expected);
}

/// The time is counted from when the answered call was sent, since the leaf may have ended right after it answered.
#[rstest]
#[case::soon(Duration::from_millis(900), true)]
#[case::late(Duration::from_millis(1_100), false)]
#[case::reuse_time_over(ADDRESS_REUSE, false)]
fn leaf_stays_verified_for_a_part_of_the_reuse_time(
    #[case] delay: Duration,
    #[case] expected: bool,
) {
    let mut node = node(&["a"]);
    node.request("r");
    let first = node.calls[0].call;
    node.run_for(delay / 2);
    node.end_call(first, success("x"));
    node.run_for(delay / 2);
    assert_eq!(complete_call(&mut node, success("x")), expected);
}

/// A call that was not sent is retried on another leaf even if there is no budget for repeats.
#[rstest]
#[case::displaced(displaced())]
#[case::unchecked(unchecked())]
fn unsent_call_is_not_charged_as_repeat(#[case] outcome: CallOutcome) {
    let mut node = node(&["a", "b"]);
    let token = node.request("r");
    let first = node.calls[0].clone();
    node.end_call(first.call, outcome);
    assert_ne!(node.calls[0].leaf, first.leaf);
    node.answer_all_except(|_| false);
    assert!(matches!(node.reply(token), Some(Reply::Answer(_))));
    assert_eq!(node.edge.counts().repeats, 0);
}

#[rstest]
#[case::displaced(displaced())]
#[case::misdirected(misdirected())]
fn displaced_leaf_is_not_called_during_hold_time(#[case] outcome: CallOutcome) {
    let mut node = node(&["a"]);
    complete_call(&mut node, outcome);
    let token = node.request("r");
    assert!(node.calls.is_empty());
    assert!(matches!(node.reply(token), Some(Reply::Rejected { .. })));
    node.run_for(DISPLACED_HOLD);
    node.apply(|edge, now, out| edge.tick(now, out));
    node.request("r");
    assert!(!node.calls[0].is_verified);
}

/// A displaced leaf is not called if the registry lists the same incarnation again; a new incarnation is called at
/// once.
#[rstest]
#[case::same_entry(1, false)]
#[case::next_incarnation(2, true)]
fn displaced_leaf_listed_again(#[case] born: u64, #[case] is_called: bool) {
    let mut node = node(&["a"]);
    complete_call(&mut node, displaced());
    let entry = LeafEntry {
        born,
        ..leaf("a", "s")
    };
    node.apply(|edge, now, out| edge.upsert_leaf(entry, now, out));
    node.request("r");
    assert_eq!(!node.calls.is_empty(), is_called);
}

/// The check counts as a request for the rate limit of a cold leaf, like the call itself.
#[test]
fn cold_leaf_rate_counts_check_and_call() {
    let mut node = node(&[]);
    let cold = LeafEntry {
        warmup: Duration::from_secs(60),
        ..leaf("a", "s")
    };
    node.apply(|edge, now, out| edge.upsert_leaf(cold, now, out));
    let interval = Duration::from_secs_f64(1.0 / COLD_RATE);
    complete_call(&mut node, success("x"));
    node.request("r");
    node.run_for(interval + interval / 2);
    assert!(node.calls.is_empty(), "the check was not counted");
    node.run_for(interval);
    assert_eq!(node.calls.len(), 1);
}
