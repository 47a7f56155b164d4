//! Version moves at one node: exposure of a bad version, rollback and completion.

mod common;

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use common::{Node, config, failure, leaf, order_id, service_route, success, unsent};
use monsoondeal_core::{Revision, Time};
use monsoondeal_edge::{
    Edge, EdgeSettings, LeafEntry, MoveCause, MoveOrder, MoveState, Name, Repeat, Reply,
};
use monsoondeal_moves::{OrderId, Posting, PostingReply, Ruling};
use rstest::rstest;

/// Time from the order to its deadline.
const MOVE_DURATION: Duration = Duration::from_secs(12);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

fn new_leaf(name: &str) -> LeafEntry {
    LeafEntry {
        version: Name::from("v2"),
        ..leaf(name, "s")
    }
}

fn order(state: MoveState) -> MoveOrder {
    MoveOrder {
        service: Name::from("s"),
        id: order_id(1),
        version: Name::from("v2"),
        duration: MOVE_DURATION,
        elapsed: Duration::ZERO,
        state,
    }
}

fn node(state: MoveState) -> Node {
    let leafs = vec![
        leaf("old-1", "s"),
        leaf("old-2", "s"),
        new_leaf("new-1"),
        new_leaf("new-2"),
    ];
    let route = service_route("r", "s", Repeat::Idempotent);
    let settings = EdgeSettings {
        nodes: 1,
        repeat_ratio: 0.25,
        repeat_slack: 50.0,
        exposure_slack: 50.0,
        ..EdgeSettings::default()
    };
    let mut node = Node::with_settings(settings, config(1, vec![route], 40), leafs);
    node.apply(|edge, now, out| edge.set_moves(vec![order(state)], now, out));
    node
}

fn is_new_leaf(instance: &str) -> bool {
    instance.starts_with("new")
}

/// Counts taken while requests were sent.
#[derive(Debug, Default)]
struct CallStats {
    requests: usize,
    /// Calls to the new version.
    new_calls: usize,
    /// Calls that the new version failed.
    bad_answers: usize,
    /// Calls to the new version after its rollback was decided.
    after_rollback: usize,
}

/// Sends requests for `span` and ends their calls. `is_bad` returns whether the new version fails a call, given the
/// time since the first request and the index of the call among those to the new version.
fn send_requests<F>(node: &mut Node, span: Duration, is_bad: F) -> CallStats
where
    F: Fn(Duration, usize) -> bool,
{
    let mut stats = CallStats::default();
    let mut ledger = None;
    let start = node.now;
    while node.now < start + span {
        node.request("r");
        stats.requests += 1;
        while let Some(call) = node.calls.first().cloned() {
            let is_new_call = is_new_leaf(&call.instance);
            let fails = is_new_call && is_bad(node.now.since(start), stats.new_calls);
            stats.new_calls += usize::from(is_new_call);
            stats.bad_answers += usize::from(fails);
            let is_rolled_back = node
                .decisions
                .iter()
                .any(|d| d.state == MoveState::RolledBack);
            stats.after_rollback += usize::from(is_new_call && is_rolled_back);
            node.end_call(call.call, if fails { failure() } else { success("1") });
        }
        node.answer_posts(&mut ledger);
        node.run_for(REQUEST_INTERVAL);
        node.answer_posts(&mut ledger);
    }
    stats
}

/// A bad version gets at most a tenth of the requests and 50 more, and is rolled back within 50 bad answers.
#[rstest]
#[case::always(|_, _| true)]
#[case::two_in_five(|_, index| index % 5 < 2)]
#[case::after_four_seconds(|since: Duration, _| since > Duration::from_secs(4))]
#[case::late_in_the_move(|since: Duration, _| since > Duration::from_millis(7_500))]
fn move_bad_version_is_rolled_back(#[case] is_bad: fn(Duration, usize) -> bool) {
    let mut node = node(MoveState::Running);
    let stats = send_requests(&mut node, MOVE_DURATION, is_bad);
    let states: Vec<MoveState> = node.decisions.iter().map(|d| d.state).collect();
    assert_eq!(states, [MoveState::RolledBack], "{stats:?}");
    assert!(stats.bad_answers <= 50, "{stats:?}");
    assert_eq!(stats.after_rollback, 0, "{stats:?}");
    if stats.bad_answers > 0 && states == [MoveState::RolledBack] {
        let allowed = 0.1 * stats.requests as f64 + 50.0;
        assert!((stats.new_calls as f64) <= allowed, "{stats:?}");
    }
}

#[test]
fn move_good_version_is_completed_in_time() {
    let mut node = node(MoveState::Running);
    let stats = send_requests(&mut node, MOVE_DURATION, |_, _| false);
    let states: Vec<MoveState> = node.decisions.iter().map(|d| d.state).collect();
    assert_eq!(states, [MoveState::Completed], "{stats:?}");
    // The old leafs are stopped as soon as the move is completed and must not get further calls.
    node.calls.clear();
    node.apply(|edge, now, out| {
        edge.set_moves(vec![order(MoveState::Completed)], now, out);
    });
    for _ in 0..20 {
        node.request("r");
    }
    assert!(node.called_leafs().iter().all(|name| is_new_leaf(name)));
}

/// The process that creates the ledger asks to set the state of the move from asked to running.
#[test]
fn move_asked_becomes_running() {
    let mut node = node(MoveState::Asked);
    send_requests(&mut node, Duration::from_millis(200), |_, _| false);
    assert_eq!(node.decisions[0].state, MoveState::Running);
}

/// A rollback by another node is final, whatever this node has measured.
#[test]
fn move_rolled_back_by_another_node_gets_no_calls() {
    let mut node = node(MoveState::Running);
    node.apply(|edge, now, out| {
        edge.set_moves(vec![order(MoveState::RolledBack)], now, out);
    });
    let stats = send_requests(&mut node, MOVE_DURATION, |_, _| false);
    assert_eq!(stats.new_calls, 0);
    assert!(node.decisions.is_empty(), "{:?}", node.decisions);
}

/// Hedges and retries go to the old version, so that a bad new version costs a request at most one call.
#[test]
fn move_repeats_go_to_the_old_version() {
    let mut node = node(MoveState::Running);
    for _ in 0..200 {
        node.request("r");
        let call = node.calls[0].clone();
        node.end_call(call.call, failure());
        for repeat in node.calls.clone() {
            assert!(!is_new_leaf(&repeat.instance));
            node.end_call(repeat.call, success("1"));
        }
        node.run_for(REQUEST_INTERVAL);
    }
}

/// A report for the log counts the calls that a node sent to the version on trial, and how they ended.
#[test]
fn move_report_counts() {
    let mut node = node(MoveState::Running);
    let stats = send_requests(&mut node, Duration::from_secs(3), |_, index| index == 0);
    let count = node
        .reports
        .last()
        .expect("a report is logged")
        .count
        .clone();
    let route_evidence = count.totals.evidence.routes["r"];
    assert!(count.calls > 200, "{count:?}");
    assert!(count.trials > 0 && count.trials <= stats.new_calls as u64);
    // The totals of all nodes lack the calls that this node has not posted yet.
    assert!(route_evidence.new.requests <= count.trials, "{count:?}");
    assert!(count.trials <= count.totals.net_permits, "{count:?}");
    assert_eq!(route_evidence.new.failed, 1, "{count:?}");
    assert!(count.totals.calls <= count.calls, "{count:?}");
    assert!(count.totals.calls >= route_evidence.new.requests + route_evidence.old.requests);
}

/// A decision states its cause and the evidence for it.
#[test]
fn move_decision_cause() {
    let mut node = node(MoveState::Running);
    send_requests(&mut node, MOVE_DURATION, |_, _| true);
    let decision = node.decisions.last().expect("the node decides");
    assert_eq!(decision.cause, MoveCause::Ruled(Ruling::Failing));
    assert!(decision.count.totals.evidence.routes["r"].new.failed > 0);
}

/// Sends 40 requests one after the other and returns the number of calls by leaf.
fn calls_by_leaf(node: &mut Node) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..40 {
        node.request("r");
        while let Some(call) = node.calls.first().cloned() {
            *counts.entry(call.instance.to_string()).or_default() += 1;
            node.end_call(call.call, success("1"));
        }
        node.run_for(REQUEST_INTERVAL);
    }
    counts
}

fn old_leafs() -> Vec<LeafEntry> {
    vec![leaf("old-1", "s"), leaf("old-2", "s")]
}

/// Returns a node without version moves, whose leafs are all of the old version.
fn node_without_moves() -> Node {
    let route = service_route("r", "s", Repeat::Idempotent);
    Node::new(config(1, vec![route], 40), old_leafs())
}

fn set_moves(node: &mut Node, orders: Vec<MoveOrder>) {
    node.apply(|edge, now, out| edge.set_moves(orders, now, out));
}

/// A version that appears in the registry gets no calls until the store has been asked whether there is an order for
/// it.
#[test]
fn move_unknown_version_gets_no_calls() {
    let mut node = node_without_moves();
    node.apply(|edge, now, out| edge.upsert_leaf(new_leaf("new-1"), now, out));
    let fetch_time = node
        .fetch_time
        .take()
        .expect("the node asks the store for orders");
    assert!(!calls_by_leaf(&mut node).contains_key("new-1"));
    node.run_for(Duration::from_secs(2));
    assert!(
        node.fetch_time.is_some(),
        "the node must ask again if there is no answer"
    );

    // There is no order: the leafs are replaced by those of another version without a move.
    node.apply(|edge, now, out| edge.orders_fetched(Vec::new(), fetch_time, now, out));
    node.apply(|edge, now, out| edge.replace_leafs(vec![new_leaf("new-1")], now, out));
    assert!(calls_by_leaf(&mut node).contains_key("new-1"));
}

/// Orders that were read from the store before the version appeared say nothing about it.
#[test]
fn move_unknown_version_ignores_earlier_orders_reply() {
    let mut node = node_without_moves();
    let before = node.now;
    node.run_for(Duration::from_millis(10));
    node.apply(|edge, now, out| edge.upsert_leaf(new_leaf("new-1"), now, out));
    node.apply(|edge, now, out| edge.orders_fetched(Vec::new(), before, now, out));
    node.apply(|edge, now, out| edge.replace_leafs(vec![new_leaf("new-1")], now, out));
    assert!(!calls_by_leaf(&mut node).contains_key("new-1"));
}

/// Without a permit the new version gets no calls, even if there is no other leaf: the request is rejected at once as
/// not run.
#[test]
fn move_without_old_leafs_needs_permits() {
    let mut node = node(MoveState::Running);
    let entries = vec![new_leaf("new-1"), new_leaf("new-2")];
    node.apply(|edge, now, out| edge.replace_leafs(entries, now, out));
    let token = node.request("r");
    let reply = node.reply(token).cloned();
    assert!(matches!(reply, Some(Reply::Rejected { .. })), "{reply:?}");
    assert!(node.calls.is_empty());
    // The node asks the ledger for permits and uses them.
    let mut ledger = None;
    node.run_for(Duration::from_secs(1));
    node.answer_posts(&mut ledger);
    node.request("r");
    assert_eq!(node.called_leafs().len(), 1);
}

/// A version that was rolled back gets no calls later on: neither when its order is withdrawn nor when more of its
/// leafs register nor during the move to the next version.
#[rstest]
#[case::order_withdrawn(vec![])]
#[case::next_version(vec![MoveOrder {
    id: order_id(2),
    version: Name::from("v3"),
    ..order(MoveState::Running)
}])]
fn move_rolled_back_version_stays_excluded(#[case] orders: Vec<MoveOrder>) {
    let mut node = node(MoveState::RolledBack);
    set_moves(&mut node, orders);
    node.apply(|edge, now, out| edge.upsert_leaf(new_leaf("new-3"), now, out));
    let fetch_time = node.now;
    node.run_for(Duration::from_millis(500));
    node.apply(|edge, now, out| edge.orders_fetched(Vec::new(), fetch_time, now, out));
    let counts = calls_by_leaf(&mut node);
    assert!(counts.keys().all(|name| !is_new_leaf(name)), "{counts:?}");
}

/// Guards against an order that is taken for an earlier one of its version (EXPOSURE, missed moves): only the revision
/// of its object tells them apart. A listing that is older than the order does not bring the earlier one back.
#[rstest]
#[case::after_a_rollback(MoveState::RolledBack)]
#[case::after_a_completion(MoveState::Completed)]
fn move_to_a_version_ordered_again_is_begun(#[case] earlier: MoveState) {
    let mut node = node(earlier);
    let again = MoveOrder {
        id: OrderId {
            revision: Revision::new(None, 5),
            ..order_id(1)
        },
        ..order(MoveState::Asked)
    };
    set_moves(&mut node, vec![again.clone()]);
    node.run_for(Duration::from_secs(2));
    let announced = node
        .decisions
        .iter()
        .find(|decision| decision.id == again.id);
    assert_eq!(
        announced.map(|decision| decision.state),
        Some(MoveState::Running)
    );
    set_moves(&mut node, vec![order(earlier)]);
    let mut ledger = None;
    node.answer_posts(&mut ledger);
    let counts = calls_by_leaf(&mut node);
    // After a completion the former leafs have stopped.
    let has_old = counts.keys().any(|name| !is_new_leaf(name));
    assert_eq!(has_old, earlier == MoveState::RolledBack, "{counts:?}");
}

/// The old leafs stop when a move is completed and get no further calls; leafs of a later version are called.
#[test]
fn move_completed_stops_calls_to_the_previous_version() {
    let mut node = node(MoveState::Completed);
    assert!(
        calls_by_leaf(&mut node)
            .keys()
            .all(|name| is_new_leaf(name))
    );
    let later = LeafEntry {
        version: Name::from("v3"),
        ..leaf("later-1", "s")
    };
    // The fetch at the start of the node was not answered.
    node.fetch_time = None;
    node.run_for(Duration::from_secs(2));
    node.apply(|edge, now, out| edge.upsert_leaf(later.clone(), now, out));
    node.run_for(Duration::from_secs(2));
    let fetch_time = node.fetch_time.expect("the node asks the store for orders");
    assert!(
        calls_by_leaf(&mut node)
            .keys()
            .all(|name| is_new_leaf(name))
    );
    let orders = vec![order(MoveState::Completed)];
    node.apply(|edge, now, out| edge.orders_fetched(orders, fetch_time, now, out));
    let mut entries = old_leafs();
    entries.push(later);
    node.apply(|edge, now, out| edge.replace_leafs(entries, now, out));
    let counts = calls_by_leaf(&mut node);
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["later-1"]);
}

/// A node is not ready until it has a list of orders, since without it a version on trial looks like any other.
#[test]
fn is_ready_requires_move_orders() {
    let route = service_route("r", "s", Repeat::Idempotent);
    let mut edge = Edge::new(EdgeSettings::default());
    let (now, mut out) = (Time::from_millis(1_000), Vec::new());
    edge.set_config(config(1, vec![route], 40));
    edge.close_domains(HashSet::new(), Time::default());
    edge.replace_leafs(old_leafs(), now, &mut out);
    assert!(!edge.is_ready());
    edge.set_moves(Vec::new(), now, &mut out);
    assert!(edge.is_ready());
}

/// Calls that never reach a leaf of the service are not posted and do not raise the limit on calls to the new version.
#[test]
fn move_counts_only_calls_that_arrive() {
    let mut node = node(MoveState::Running);
    for _ in 0..200 {
        node.request("r");
        while let Some(call) = node.calls.first().cloned() {
            node.end_call(call.call, unsent());
        }
        node.run_for(REQUEST_INTERVAL);
    }
    let posted_calls: u64 = node.posts.iter().map(|post| post.posting.calls).sum();
    assert_eq!(posted_calls, 0, "{:?}", node.posts);
}

/// Answers all postings like a ledger that records none of them and was last written `elapsed` after the order.
/// Returns the number of postings.
fn reject_posts(node: &mut Node, elapsed: Duration) -> usize {
    let posts = std::mem::take(&mut node.posts);
    for post in &posts {
        let reply = PostingReply {
            elapsed,
            earliest_completion: MOVE_DURATION,
            ..PostingReply::default()
        };
        node.apply(|edge, now, out| edge.post_ended(post, Some(&reply), now, out));
    }
    posts.len()
}

/// A node that learns of an order late asks the ledger for the time since the order at a low rate, even if the ledger
/// was last written long ago.
#[test]
fn move_order_received_late_polls_the_ledger_slowly() {
    let mut node = node(MoveState::Running);
    let mut posts = 0;
    for _ in 0..400 {
        node.request("r");
        while let Some(call) = node.calls.first().cloned() {
            node.end_call(call.call, success("1"));
        }
        posts += reject_posts(&mut node, Duration::from_millis(1_500));
        node.run_for(REQUEST_INTERVAL);
    }
    // In four seconds there are at most a few postings a second, for permits, for the time and to report calls.
    assert!((3..=16).contains(&posts), "{posts}");
}

/// The content of a posting that the ledger has not recorded is added to the next one: the calls that the new version
/// has handled count towards its completion.
#[test]
fn move_posting_not_taken_is_merged_into_the_next() {
    let mut node = node(MoveState::Running);
    node.run_for(Duration::from_millis(100));
    node.request("r");
    let old_call = node.calls[0].call;
    node.end_call(old_call, success("1"));
    let mut ledger = None;
    node.run_for(Duration::from_secs(1));
    node.answer_posts(&mut ledger);
    // The permit is used, and its call stays under way.
    node.request("r");
    assert!(is_new_leaf(&node.calls[0].instance));
    for _ in 0..60 {
        node.request("r");
        let last_call = node.calls.last().expect("a call is under way").call;
        node.end_call(last_call, success("1"));
    }
    node.run_for(Duration::from_secs(2));
    let first = node.posts[0].posting.clone();
    assert_eq!(first.interval_calls.values().sum::<u64>(), 1, "{first:?}");
    reject_posts(&mut node, Duration::from_secs(1));
    node.run_for(Duration::from_secs(2));
    let second = node.posts[0].posting.clone();
    assert_eq!(second.sequence, first.sequence);
    assert_eq!(second.interval_calls, first.interval_calls);
    assert!(second.calls >= first.calls, "{second:?}");
}

/// A posting without a reply is resent unchanged and marked as a retry, since the ledger may have recorded it.
#[test]
fn move_posting_without_answer_is_resent_unchanged() {
    let mut node = node(MoveState::Running);
    let first = node.first_post("r");
    assert!(!first.posting.is_retry);
    node.apply(|edge, now, out| edge.post_ended(&first, None, now, out));
    node.run_for(Duration::from_secs(1));
    let second = node.posts.remove(0).posting;
    assert!(second.is_retry);
    let content = |posting: &Posting| (posting.sequence, posting.calls, posting.wanted_permits);
    assert_eq!(content(&second), content(&first.posting));
}

/// A node that misses the end of a move infers it from the leafs: once the old ones are gone, the move was completed.
#[rstest]
#[case::withdrawn(vec![])]
#[case::next_version(vec![MoveOrder {
    id: order_id(2),
    version: Name::from("v3"),
    ..order(MoveState::Running)
}])]
fn move_missed_end_is_inferred_from_the_leafs(#[case] orders: Vec<MoveOrder>) {
    let mut node = node(MoveState::Running);
    set_moves(&mut node, orders.clone());
    if let Some(fetch_time) = node.fetch_time.take() {
        node.apply(|edge, now, out| edge.orders_fetched(orders, fetch_time, now, out));
    }
    // As long as there are old leafs, the new ones get no calls.
    let counts = calls_by_leaf(&mut node);
    assert!(counts.keys().all(|name| !is_new_leaf(name)), "{counts:?}");
    // Without old leafs the service must have moved.
    let new_leafs = vec![new_leaf("new-1"), new_leaf("new-2")];
    node.apply(|edge, now, out| edge.replace_leafs(new_leafs, now, out));
    assert!(
        calls_by_leaf(&mut node)
            .keys()
            .all(|name| is_new_leaf(name))
    );
    let token = node.request("r");
    assert!(node.reply(token).is_none(), "{:?}", node.reply(token));
}

/// A move that follows a completed one starts from the version of the latter, also if the node is informed of the
/// completion more than once.
#[test]
fn move_after_completed_move_starts_from_its_version() {
    let mut node = node(MoveState::Running);
    for _ in 0..2 {
        set_moves(&mut node, vec![order(MoveState::Completed)]);
    }
    set_moves(&mut node, vec![]);
    let next = MoveOrder {
        id: order_id(2),
        version: Name::from("v3"),
        ..order(MoveState::Running)
    };
    set_moves(&mut node, vec![next.clone()]);
    let counts = calls_by_leaf(&mut node);
    assert!(counts.keys().all(|name| is_new_leaf(name)), "{counts:?}");
    assert_eq!(counts.values().sum::<usize>(), 40);
    let rolled_back = MoveOrder {
        state: MoveState::RolledBack,
        ..next
    };
    set_moves(&mut node, vec![rolled_back]);
    assert_eq!(calls_by_leaf(&mut node).values().sum::<usize>(), 40);
}

/// A list of orders that is older than the order that a node knows does not change the move: neither a list without
/// that order nor one with an earlier order of the service.
#[rstest]
#[case::without_the_order(vec![])]
#[case::earlier_order(vec![MoveOrder {
    id: order_id(0),
    version: Name::from("v0"),
    ..order(MoveState::RolledBack)
}])]
fn move_running_ignores_stale_orders(#[case] orders: Vec<MoveOrder>) {
    let mut node = node(MoveState::Running);
    set_moves(&mut node, orders);
    set_moves(&mut node, vec![order(MoveState::Running)]);
    if let Some(fetch_time) = node.fetch_time.take() {
        let current = vec![order(MoveState::Running)];
        node.apply(|edge, now, out| edge.orders_fetched(current, fetch_time, now, out));
    }
    // The version is on trial as before.
    let stats = send_requests(&mut node, Duration::from_secs(2), |_, _| false);
    assert!(stats.new_calls > 0, "{stats:?}");
    // After a rollback the version gets no calls, even if the old leafs are lost.
    set_moves(&mut node, vec![order(MoveState::RolledBack)]);
    let entries = vec![new_leaf("new-1"), new_leaf("new-2")];
    node.apply(|edge, now, out| edge.replace_leafs(entries, now, out));
    assert!(calls_by_leaf(&mut node).is_empty());
}
