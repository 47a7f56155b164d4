//! What leafs say about themselves in their answers: that they are leaving, and how long they want no calls.

mod common;

use std::time::Duration;

use common::load_simulation::{LeafMode, LeafProfile, LoadSimulation};
use common::{
    Node, config, failure, fan_out_route, leaf, refused, service_route, shard, success, unsent,
};
use monsoondeal_core::CallId;
use monsoondeal_edge::{
    EdgeSettings, LeafEntry, LeafNotice, MoveOrder, MoveState, Name, Repeat, Reply,
};
use rstest::rstest;

const HOUR: Duration = Duration::from_secs(3_600);
/// Time from the start of an absurdly long break until its only probe, at the earliest.
const PROBE_DELAY: Duration = Duration::from_secs(60);
/// Most that a node adds to a break, so that nodes return one after the other.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Returns a node with a route `r` to a service `s` whose leafs accept `connections` connections each.
fn service_node(leafs: &[&str], connections: usize) -> Node {
    let route = service_route("r", "s", Repeat::Idempotent);
    let entries = leafs.iter().map(|name| leaf(name, "s")).collect();
    Node::new(config(1, vec![route], connections), entries)
}

/// Passes a notice of the incarnation 1 of a leaf to a node.
fn say(node: &mut Node, leaf: &str, notice: LeafNotice) {
    let name = Name::from(leaf);
    node.apply(|edge, now, out| edge.note_leaf((&name, 1), notice, now, out));
}

fn leave(node: &mut Node, leaf: &str) {
    let notice = LeafNotice {
        leaving: true,
        pause: None,
    };
    say(node, leaf, notice);
}

fn rest(node: &mut Node, leaf: &str, pause: Duration) {
    let notice = LeafNotice {
        leaving: false,
        pause: Some(pause),
    };
    say(node, leaf, notice);
}

/// Sends `count` requests and returns the leafs that were called for them. All calls are answered.
fn called(node: &mut Node, count: usize) -> Vec<String> {
    let mut leafs = Vec::new();
    for _ in 0..count {
        node.request("r");
        leafs.extend(node.called_leafs().into_iter().map(str::to_owned));
        node.answer_all_except(|_| false);
    }
    leafs
}

/// Returns whether a leaf may be called: sends more requests than the other leafs accept connections.
fn is_callable(node: &mut Node, leaf: &str) -> bool {
    for _ in 0..12 {
        node.request("r");
    }
    let is_called = node.called_leafs().contains(&leaf);
    while !node.calls.is_empty() {
        node.answer_all_except(|_| false);
    }
    is_called
}

fn upsert(node: &mut Node, entry: LeafEntry) {
    node.apply(|edge, now, out| edge.upsert_leaf(entry, now, out));
}

#[test]
fn leaving_leaf_gets_no_new_call() {
    let mut node = service_node(&["one", "two"], 6);
    leave(&mut node, "one");
    let calls = called(&mut node, 40);
    assert_eq!(calls.len(), 40);
    assert!(calls.iter().all(|name| name == "two"), "{calls:?}");
    assert_eq!(node.edge.counts().leaving, 1);
    leave(&mut node, "one");
    assert_eq!(node.notices.len(), 1, "the notice is logged once");
}

/// The registry does not know that the leaf is leaving, or is out of reach.
#[rstest]
#[case::entry_still_active(|node: &mut Node| upsert(node, leaf("one", "s")))]
#[case::entry_vanishes_and_returns(|node: &mut Node| {
    node.apply(|edge, now, out| { edge.remove_leaf("one", now, out); });
    node.run_for(Duration::from_secs(3));
    upsert(node, leaf("one", "s"));
})]
#[case::registry_lost_and_listed_anew(|node: &mut Node| {
    node.edge.note_registry_outage(node.now);
    node.apply(|edge, now, out| edge.replace_leafs(vec![leaf("two", "s")], now, out));
    node.run_for(Duration::from_secs(8));
    let entries = vec![leaf("one", "s"), leaf("two", "s")];
    node.apply(|edge, now, out| edge.replace_leafs(entries, now, out));
})]
#[case::pause_of_the_node(|node: &mut Node| node.now = node.now + Duration::from_secs(10))]
#[case::older_entry(|node: &mut Node| upsert(node, LeafEntry { born: 0, ..leaf("one", "s") }))]
fn leaving_leaf_stays_out(#[case] event: fn(&mut Node)) {
    let mut node = service_node(&["one", "two"], 6);
    leave(&mut node, "one");
    event(&mut node);
    node.run_for(Duration::from_secs(5));
    assert!(!is_callable(&mut node, "one"));
}

#[test]
fn leaving_leaf_returns_when_born_anew() {
    let mut node = service_node(&["one"], 6);
    leave(&mut node, "one");
    upsert(
        &mut node,
        LeafEntry {
            born: 2,
            ..leaf("one", "s")
        },
    );
    assert_eq!(called(&mut node, 3).len(), 3);
    // A late answer of the former incarnation says nothing about the new one.
    leave(&mut node, "one");
    assert_eq!(called(&mut node, 3).len(), 3);
}

/// Each incarnation may leave.
#[test]
fn leaving_leaf_born_anew_leaves_again() {
    let mut node = service_node(&["one", "two"], 6);
    leave(&mut node, "one");
    let born_anew = LeafEntry {
        born: 2,
        ..leaf("one", "s")
    };
    upsert(&mut node, born_anew);
    assert!(is_callable(&mut node, "one"));
    let (name, notice) = (
        Name::from("one"),
        LeafNotice {
            leaving: true,
            pause: None,
        },
    );
    node.apply(|edge, now, out| edge.note_leaf((&name, 2), notice, now, out));
    assert!(!is_callable(&mut node, "one"));
}

/// The notice arrives after the leaf's entry has vanished, and the entry returns.
#[test]
fn leaving_leaf_unknown_at_the_time() {
    let mut node = service_node(&["one", "two"], 6);
    node.apply(|edge, now, out| {
        edge.remove_leaf("one", now, out);
    });
    leave(&mut node, "one");
    upsert(&mut node, leaf("one", "s"));
    assert!(!is_callable(&mut node, "one"));
}

#[test]
fn leaving_leaf_gets_no_hedge_and_no_queued_call() {
    let mut node = service_node(&["one", "two"], 1);
    node.request("r");
    node.request("r");
    let queued = node.request("r");
    assert_eq!(node.calls.len(), 2);
    leave(&mut node, "one");
    // The connection to the leaf is free, but the queued request waits for the other one.
    let freed: Vec<CallId> = calls_to(&node, "one");
    node.end_call(freed[0], success("1"));
    assert_eq!(node.called_leafs(), ["two"]);
    let other = calls_to(&node, "two");
    node.run_for(Duration::from_secs(1));
    assert!(calls_to(&node, "one").is_empty(), "no hedge");
    node.end_call(other[0], success("2"));
    let other = calls_to(&node, "two");
    node.end_call(other[0], success("3"));
    assert!(matches!(node.reply(queued), Some(Reply::Answer(_))));
}

fn calls_to(node: &Node, leaf: &str) -> Vec<CallId> {
    let calls = node.calls.iter().filter(|call| &*call.instance == leaf);
    calls.map(|call| call.call).collect()
}

/// Calls that are still about to be written, as while a connection is opened, go to other leafs.
#[rstest]
#[case::leaving(LeafNotice { leaving: true, pause: None })]
#[case::resting(LeafNotice { leaving: false, pause: Some(Duration::from_secs(2)) })]
fn notice_withholds_calls_under_way(#[case] notice: LeafNotice) {
    let mut node = service_node(&["one", "two"], 6);
    let token = node.request("r");
    let (leaf, call) = (node.calls[0].instance.clone(), node.calls[0].call);
    say(&mut node, &leaf, notice);
    assert!(node.withheld.contains(&call));
    node.end_call(call, unsent());
    assert_eq!(node.calls.len(), 1);
    assert_ne!(node.calls[0].instance, leaf);
    node.answer_all_except(|_| false);
    assert!(matches!(node.reply(token), Some(Reply::Answer(_))));
}

/// All leafs of a shard leave. Nothing is sent to them: a query does without the shard, and is rejected at once if
/// that leaves too few.
#[rstest]
#[case::enough_shards(0.75, true)]
#[case::too_few_shards(0.95, false)]
fn gather_all_leafs_of_a_shard_leave(#[case] min_coverage: f64, #[case] is_served: bool) {
    let entries: Vec<LeafEntry> = (0..4)
        .flat_map(|index| {
            let service = shard(index);
            ["a", "b"].map(|replica| leaf(&format!("{service}-{replica}"), &service))
        })
        .collect();
    let route = fan_out_route("r", 4, min_coverage);
    let mut node = Node::new(config(1, vec![route], 6), entries);
    leave(&mut node, "shard-2-a");
    leave(&mut node, "shard-2-b");
    let token = node.request("r");
    assert!(
        node.called_leafs()
            .iter()
            .all(|name| !name.starts_with("shard-2"))
    );
    node.run_for(Duration::from_millis(10));
    node.answer_all_except(|_| false);
    match node.reply(token) {
        Some(Reply::Merged { missing: 1, .. }) => assert!(is_served),
        Some(Reply::Rejected { .. }) => {
            assert!(!is_served);
            assert_eq!(node.edge.counts().calls, 0);
        }
        reply => panic!("{reply:?}"),
    }
}

/// A break is kept whole, and over soon after its end.
#[rstest]
#[case::fraction(Duration::from_millis(300))]
#[case::seconds(Duration::from_secs(4))]
#[case::an_hour(HOUR)]
fn resting_leaf_gets_no_call_until_the_end(#[case] pause: Duration) {
    let mut node = service_node(&["one", "two"], 6);
    rest(&mut node, "one", pause);
    let start = node.now;
    for share in [0.0, 0.3, 0.6, 0.999] {
        node.run_for((start + pause.mul_f64(share)).since(node.now));
        assert!(!is_callable(&mut node, "one"), "{share}");
    }
    node.run_for((start + pause + RETURN_SPREAD).since(node.now));
    assert!(is_callable(&mut node, "one"));
    assert!(node.probes.is_empty());
}

#[test]
fn resting_leaf_latest_end_counts() {
    let mut node = service_node(&["one", "two"], 6);
    let start = node.now;
    rest(&mut node, "one", Duration::from_secs(5));
    node.run_for(Duration::from_secs(1));
    rest(&mut node, "one", Duration::from_secs(1));
    node.run_for((start + Duration::from_millis(4_900)).since(node.now));
    assert!(!is_callable(&mut node, "one"));
    rest(&mut node, "one", Duration::from_secs(3));
    node.run_for(Duration::from_millis(2_900));
    assert!(!is_callable(&mut node, "one"));
    node.run_for(RETURN_SPREAD + Duration::from_millis(200));
    assert!(is_callable(&mut node, "one"));
    assert_eq!(node.notices.len(), 2, "a shorter break changes nothing");
}

/// The entry of a resting leaf vanishes and returns: the break goes on.
#[test]
fn resting_leaf_entry_returns() {
    let mut node = service_node(&["one", "two"], 6);
    rest(&mut node, "one", Duration::from_secs(5));
    node.apply(|edge, now, out| {
        edge.remove_leaf("one", now, out);
    });
    upsert(&mut node, leaf("one", "s"));
    assert!(!is_callable(&mut node, "one"));
    upsert(
        &mut node,
        LeafEntry {
            born: 2,
            ..leaf("one", "s")
        },
    );
    assert!(is_callable(&mut node, "one"));
}

/// After its break a leaf gets one call, and more only as it serves them.
#[test]
fn resting_leaf_returns_gradually() {
    let pause = Duration::from_secs(1);
    let mut node = service_node(&["one"], 16);
    rest(&mut node, "one", pause);
    node.run_for(pause + RETURN_SPREAD);
    for _ in 0..12 {
        node.request("r");
    }
    let mut sizes = Vec::new();
    while !node.calls.is_empty() {
        sizes.push(node.calls.len());
        node.answer_all_except(|_| false);
    }
    assert_eq!(sizes, [1, 2, 4, 5]);
    assert_eq!(node.replies.len(), 12);
}

/// A break of many hours cannot be meant: one call after a minute shows whether the leaf serves again.
#[rstest]
#[case::served(true)]
#[case::not_served(false)]
fn absurd_break_gets_one_probe(#[case] is_served: bool) {
    let mut node = service_node(&["one"], 6);
    rest(&mut node, "one", Duration::MAX);
    node.run_for(PROBE_DELAY - Duration::from_secs(1));
    let rejected = node.request("r");
    assert!(matches!(node.reply(rejected), Some(Reply::Rejected { .. })));
    node.run_for(Duration::from_secs(1));
    node.request("r");
    node.request("r");
    assert_eq!(node.called_leafs(), ["one"], "one probe");
    assert_eq!(node.probes, [Name::from("one")]);
    let probe = node.calls[0].call;
    let outcome = if is_served { success("1") } else { failure() };
    node.end_call(probe, outcome);
    node.answer_all_except(|_| false);
    for _ in 0..30 {
        node.run_for(Duration::from_secs(60));
        let calls = called(&mut node, 3);
        assert_eq!(calls.len(), if is_served { 3 } else { 0 });
    }
    node.run_for(HOUR);
    assert_eq!(called(&mut node, 3).len(), 3);
}

/// A leaf that asks for a break again after its probe gets no second probe.
#[test]
fn absurd_break_repeated_gets_no_second_probe() {
    let mut node = service_node(&["one"], 6);
    rest(&mut node, "one", Duration::MAX);
    node.run_for(PROBE_DELAY);
    node.request("r");
    rest(&mut node, "one", Duration::MAX);
    let probe = node.calls[0].call;
    node.end_call(probe, refused());
    node.run_for(PROBE_DELAY * 2);
    assert!(called(&mut node, 3).is_empty());
}

/// No leaf wants calls: a request waits if the first leaf returns soon enough, and is told when to come back
/// otherwise.
#[rstest]
#[case::soon(Duration::from_millis(200), true)]
#[case::late(Duration::from_secs(3), false)]
fn all_leafs_rest(#[case] pause: Duration, #[case] waits: bool) {
    let mut node = service_node(&["one", "two"], 6);
    rest(&mut node, "one", pause);
    rest(&mut node, "two", Duration::from_secs(60));
    let token = node.request("r");
    if !waits {
        let Some(Reply::Rejected { retry_after, .. }) = node.reply(token) else {
            panic!("{:?}", node.reply(token));
        };
        assert!(*retry_after >= pause && *retry_after <= pause + RETURN_SPREAD);
        return;
    }
    assert!(node.reply(token).is_none() && node.calls.is_empty());
    node.run_for(pause + RETURN_SPREAD);
    assert_eq!(node.called_leafs(), ["one"]);
    node.answer_all_except(|_| false);
    assert!(matches!(node.reply(token), Some(Reply::Answer(_))));
}

/// The last leaf refuses a call and asks for a break: the request is rejected at once with the time to come back.
#[test]
fn last_leaf_refuses_and_rests() {
    let pause = Duration::from_secs(2);
    let mut node = service_node(&["one"], 6);
    let token = node.request("r");
    rest(&mut node, "one", pause);
    let call = node.calls[0].call;
    node.end_call(call, refused());
    let Some(Reply::Rejected { retry_after, .. }) = node.reply(token) else {
        panic!("{:?}", node.reply(token));
    };
    assert!(*retry_after >= pause);
}

/// The order of a move was withdrawn, and the node may have missed its completion: without old leafs it calls the new
/// ones. Old leafs that rest are still there, so no call goes to the new version.
#[test]
fn version_move_rest_of_old_leafs() {
    let mut node = service_node(&["old"], 6);
    let new = LeafEntry {
        version: Name::from("v2"),
        ..leaf("new", "s")
    };
    upsert(&mut node, new);
    let order = MoveOrder {
        service: Name::from("s"),
        id: common::order_id(1),
        version: Name::from("v2"),
        duration: Duration::from_secs(12),
        elapsed: Duration::ZERO,
        state: MoveState::Running,
    };
    node.apply(|edge, now, out| edge.set_moves(vec![order], now, out));
    node.apply(|edge, now, out| edge.set_moves(Vec::new(), now, out));
    let fetch_time = node.now;
    node.apply(|edge, now, out| edge.orders_fetched(Vec::new(), fetch_time, now, out));
    rest(&mut node, "old", Duration::from_secs(5));
    for _ in 0..20 {
        node.request("r");
        node.run_for(Duration::from_millis(100));
    }
    assert!(node.calls.is_empty(), "{:?}", node.called_leafs());
}

const SHARDS: usize = 6;
const OBJECTIVE: Duration = Duration::from_millis(200);

/// Load pattern: one leaf of each shard is full for a while, rejects all calls and asks for breaks; several nodes
/// send queries. The nodes keep to the breaks and serve the queries from the other leafs.
#[rstest]
#[case(1)]
#[case(2)]
fn resting_leafs_under_load(#[case] seed: u64) {
    const PAUSE: Duration = Duration::from_secs(2);
    let entries: Vec<LeafEntry> = (0..SHARDS)
        .flat_map(|index| {
            let service = shard(index);
            ["a", "b"].map(|replica| leaf(&format!("{service}-{replica}"), &service))
        })
        .collect();
    let nodes = (0..3)
        .map(|_| {
            let settings = EdgeSettings {
                nodes: 3,
                repeat_ratio: 0.2,
                repeat_slack: 52.0,
                ..EdgeSettings::default()
            };
            let route = fan_out_route("q", SHARDS, 0.89);
            Node::with_settings(settings, config(1, vec![route], 30), entries.clone())
        })
        .collect();
    let profile = LeafProfile {
        slots: 3,
        max_queued: 18,
        service_time: (Duration::from_millis(14), Duration::from_millis(42)),
        pause: (Duration::ZERO, Duration::from_secs(6)),
    };
    let mut simulation = LoadSimulation::new(nodes, &entries, profile, seed);
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(3));
    let before = simulation.finish_requests("q");
    for index in 0..SHARDS {
        simulation.set_mode(&format!("{}-a", shard(index)), LeafMode::Resting(PAUSE));
    }
    simulation.send_requests("q", OBJECTIVE, 60.0, Duration::from_secs(6));
    let during = simulation.finish_requests("q");
    let served = (during.score - before.score) / (during.total - before.total) as f64;
    assert!(served >= 0.95, "{served}: {during:?}");
    assert!(simulation.break_count() > SHARDS, "the leafs were called");
    assert!(
        simulation.most_arrivals_in_break() <= 2,
        "{}",
        simulation.most_arrivals_in_break()
    );
}
