//! Version moves at one node: exposure of a bad version, rollback and completion.

mod common;

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use common::{Node, config, failure, good, leaf, single};
use monsoondeal_core::Time;
use monsoondeal_edge::{
    CallOutcome, Edge, EdgeSettings, LeafEntry, MoveCause, MoveOrder, MoveState, Name, Repeat,
    Reply,
};
use monsoondeal_moves::{Posting, PostingReply, Ruling};
use rstest::rstest;

/// Time from the order to its deadline.
const DURATION: Duration = Duration::from_secs(12);
/// Time between two requests.
const GAP: Duration = Duration::from_millis(10);

fn new_leaf(name: &str) -> LeafEntry {
    LeafEntry {
        version: Name::from("v2"),
        ..leaf(name, "s")
    }
}

fn order(state: MoveState) -> MoveOrder {
    MoveOrder {
        service: Name::from("s"),
        id: 1,
        version: Name::from("v2"),
        duration: DURATION,
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
    let route = single("r", "s", Repeat::Idempotent);
    let settings = EdgeSettings {
        nodes: 1,
        repeat_ratio: 0.25,
        repeat_slack: 50.0,
        exposure_slack: 50.0,
        ..EdgeSettings::default()
    };
    let mut node = Node::with_settings(settings, config(1, vec![route], 40), leafs);
    node.step(|edge, now, out| edge.set_moves(vec![order(state)], now, out));
    node
}

fn is_new(instance: &str) -> bool {
    instance.starts_with("new")
}

/// Counts taken while requests were sent.
#[derive(Debug, Default)]
struct Played {
    requests: usize,
    /// Calls to the new version.
    to_new: usize,
    /// Calls that the new version failed.
    bad: usize,
    /// Calls to the new version after its rollback was decided.
    after: usize,
}

/// Sends requests for `span` and ends their calls. `is_bad` returns whether the new version fails a call, given the
/// time since the first request and the index of the call among those to the new version.
fn play<F>(node: &mut Node, span: Duration, is_bad: F) -> Played
where
    F: Fn(Duration, usize) -> bool,
{
    let mut played = Played::default();
    let mut ledger = None;
    let began = node.now;
    while node.now < began + span {
        node.request("r");
        played.requests += 1;
        while let Some(call) = node.calls.first().cloned() {
            let to_new = is_new(&call.instance);
            let bad = to_new && is_bad(node.now.since(began), played.to_new);
            played.to_new += usize::from(to_new);
            played.bad += usize::from(bad);
            let is_back = node
                .decisions
                .iter()
                .any(|d| d.state == MoveState::RolledBack);
            played.after += usize::from(to_new && is_back);
            node.end(call.call, if bad { failure() } else { good("1") });
        }
        node.answer_posts(&mut ledger);
        node.pass(GAP);
        node.answer_posts(&mut ledger);
    }
    played
}

/// A bad version gets at most a tenth of the requests and 50 more, and is rolled back within 50 bad answers.
#[rstest]
#[case::always(|_, _| true)]
#[case::two_in_five(|_, at| at % 5 < 2)]
#[case::later(|since: Duration, _| since > Duration::from_secs(4))]
#[case::late_in_the_move(|since: Duration, _| since > Duration::from_millis(7_500))]
fn move_bad_version_is_rolled_back(#[case] is_bad: fn(Duration, usize) -> bool) {
    let mut node = node(MoveState::Running);
    let played = play(&mut node, DURATION, is_bad);
    let states: Vec<MoveState> = node.decisions.iter().map(|d| d.state).collect();
    assert_eq!(states, [MoveState::RolledBack], "{played:?}");
    assert!(played.bad <= 50, "{played:?}");
    assert_eq!(played.after, 0, "{played:?}");
    if played.bad > 0 && states == [MoveState::RolledBack] {
        let allowed = 0.1 * played.requests as f64 + 50.0;
        assert!((played.to_new as f64) <= allowed, "{played:?}");
    }
}

#[test]
fn move_good_version_is_completed_in_time() {
    let mut node = node(MoveState::Running);
    let played = play(&mut node, DURATION, |_, _| false);
    let states: Vec<MoveState> = node.decisions.iter().map(|d| d.state).collect();
    assert_eq!(states, [MoveState::Completed], "{played:?}");
    // The old leafs are stopped as soon as the move is completed and must not get further calls.
    node.calls.clear();
    node.step(|edge, now, out| {
        edge.set_moves(vec![order(MoveState::Completed)], now, out);
    });
    for _ in 0..20 {
        node.request("r");
    }
    assert!(node.called().iter().all(|name| is_new(name)));
}

/// The process that creates the ledger asks to set the state of the move from asked to running.
#[test]
fn move_asked_becomes_running() {
    let mut node = node(MoveState::Asked);
    play(&mut node, Duration::from_millis(200), |_, _| false);
    assert_eq!(node.decisions[0].state, MoveState::Running);
}

/// A rollback by another node is final, whatever this node has measured.
#[test]
fn move_rolled_back_by_another_node_gets_no_calls() {
    let mut node = node(MoveState::Running);
    node.step(|edge, now, out| {
        edge.set_moves(vec![order(MoveState::RolledBack)], now, out);
    });
    let played = play(&mut node, DURATION, |_, _| false);
    assert_eq!(played.to_new, 0);
    assert!(node.decisions.is_empty(), "{:?}", node.decisions);
}

/// Hedges and retries go to the old version, so that a bad new version costs a request at most one call.
#[test]
fn move_repeats_go_to_the_old_version() {
    let mut node = node(MoveState::Running);
    for _ in 0..200 {
        node.request("r");
        let call = node.calls[0].clone();
        node.end(call.call, failure());
        for repeat in node.calls.clone() {
            assert!(!is_new(&repeat.instance));
            node.end(repeat.call, good("1"));
        }
        node.pass(GAP);
    }
}

/// A report for the log counts the calls that a node sent to the version on trial, and how they ended.
#[test]
fn move_report_counts() {
    let mut node = node(MoveState::Running);
    let played = play(&mut node, Duration::from_secs(3), |_, at| at == 0);
    let count = node
        .reports
        .last()
        .expect("a report is logged")
        .count
        .clone();
    let seen = count.totals.evidence.routes["r"];
    assert!(count.calls > 200, "{count:?}");
    assert!(count.trials > 0 && count.trials <= played.to_new as u64);
    // The totals of all nodes lack the calls that this node has not posted yet.
    assert!(seen.new.requests <= count.trials, "{count:?}");
    assert!(count.trials <= count.totals.net_permits, "{count:?}");
    assert_eq!(seen.new.failed, 1, "{count:?}");
    assert!(count.totals.calls <= count.calls, "{count:?}");
    assert!(count.totals.calls >= seen.new.requests + seen.old.requests);
}

/// A decision states its cause and the evidence for it.
#[test]
fn move_decision_cause() {
    let mut node = node(MoveState::Running);
    play(&mut node, DURATION, |_, _| true);
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
            node.end(call.call, good("1"));
        }
        node.pass(GAP);
    }
    counts
}

fn old_leafs() -> Vec<LeafEntry> {
    vec![leaf("old-1", "s"), leaf("old-2", "s")]
}

/// Returns a node without version moves, whose leafs are all of the old version.
fn settled_node() -> Node {
    let route = single("r", "s", Repeat::Idempotent);
    Node::new(config(1, vec![route], 40), old_leafs())
}

fn set_moves(node: &mut Node, orders: Vec<MoveOrder>) {
    node.step(|edge, now, out| edge.set_moves(orders, now, out));
}

/// A version that appears in the registry gets no calls until the store has been asked whether there is an order for
/// it.
#[test]
fn move_unknown_version_gets_no_calls() {
    let mut node = settled_node();
    node.step(|edge, now, out| edge.upsert_leaf(new_leaf("new-1"), now, out));
    let asked = node
        .asked
        .take()
        .expect("the node asks the store for orders");
    assert!(!calls_by_leaf(&mut node).contains_key("new-1"));
    node.pass(Duration::from_secs(2));
    assert!(node.asked.is_some(), "asked again without an answer");

    // There is no order: the leafs are replaced by those of another version without a move.
    node.step(|edge, now, out| edge.orders_fetched(Vec::new(), asked, now, out));
    node.step(|edge, now, out| edge.replace_leafs(vec![new_leaf("new-1")], now, out));
    assert!(calls_by_leaf(&mut node).contains_key("new-1"));
}

/// Orders that were read from the store before the version appeared say nothing about it.
#[test]
fn move_unknown_version_ignores_earlier_orders_reply() {
    let mut node = settled_node();
    let before = node.now;
    node.pass(Duration::from_millis(10));
    node.step(|edge, now, out| edge.upsert_leaf(new_leaf("new-1"), now, out));
    node.step(|edge, now, out| edge.orders_fetched(Vec::new(), before, now, out));
    node.step(|edge, now, out| edge.replace_leafs(vec![new_leaf("new-1")], now, out));
    assert!(!calls_by_leaf(&mut node).contains_key("new-1"));
}

/// Without a permit the new version gets no calls, even if there is no other leaf: the request is rejected at once as
/// not run.
#[test]
fn move_without_old_leafs_needs_permits() {
    let mut node = node(MoveState::Running);
    let known = vec![new_leaf("new-1"), new_leaf("new-2")];
    node.step(|edge, now, out| edge.replace_leafs(known, now, out));
    let token = node.request("r");
    let reply = node.reply(token).cloned();
    assert!(matches!(reply, Some(Reply::Rejected { .. })), "{reply:?}");
    assert!(node.calls.is_empty());
    // The node asks the ledger for permits and uses them.
    let mut ledger = None;
    node.pass(Duration::from_secs(1));
    node.answer_posts(&mut ledger);
    node.request("r");
    assert_eq!(node.called().len(), 1);
}

/// A version that was rolled back gets no calls later on: neither when its order is withdrawn nor when more of its
/// leafs register nor during the move to the next version.
#[rstest]
#[case::order_withdrawn(vec![])]
#[case::next_version(vec![MoveOrder {
    id: 2,
    version: Name::from("v3"),
    ..order(MoveState::Running)
}])]
fn move_rolled_back_version_stays_excluded(#[case] orders: Vec<MoveOrder>) {
    let mut node = node(MoveState::RolledBack);
    set_moves(&mut node, orders);
    node.step(|edge, now, out| edge.upsert_leaf(new_leaf("new-3"), now, out));
    let asked = node.now;
    node.pass(Duration::from_millis(500));
    node.step(|edge, now, out| edge.orders_fetched(Vec::new(), asked, now, out));
    let counts = calls_by_leaf(&mut node);
    assert!(counts.keys().all(|name| !is_new(name)), "{counts:?}");
}

/// The old leafs stop when a move is completed and get no further calls; leafs of a later version are called.
#[test]
fn move_completed_stops_calls_to_the_previous_version() {
    let mut node = node(MoveState::Completed);
    assert!(calls_by_leaf(&mut node).keys().all(|name| is_new(name)));
    let later = LeafEntry {
        version: Name::from("v3"),
        ..leaf("later-1", "s")
    };
    node.step(|edge, now, out| edge.upsert_leaf(later.clone(), now, out));
    let asked = node.asked.expect("the node asks the store for orders");
    let orders = vec![order(MoveState::Completed)];
    node.step(|edge, now, out| edge.orders_fetched(orders, asked, now, out));
    let mut known = old_leafs();
    known.push(later);
    node.step(|edge, now, out| edge.replace_leafs(known, now, out));
    let counts = calls_by_leaf(&mut node);
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["later-1"]);
}

/// A node is not ready until it has a list of orders, since without it a version on trial looks like any other.
#[test]
fn is_ready_requires_move_orders() {
    let route = single("r", "s", Repeat::Idempotent);
    let mut edge = Edge::new(EdgeSettings::default());
    let (now, mut out) = (Time::from_millis(1_000), Vec::new());
    edge.set_config(config(1, vec![route], 40));
    edge.close_domains(HashSet::new());
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
            node.end(call.call, CallOutcome::Unsent);
        }
        node.pass(GAP);
    }
    let posted: u64 = node.posts.iter().map(|post| post.posting.calls).sum();
    assert_eq!(posted, 0, "{:?}", node.posts);
}

/// Answers all postings like a ledger that records none of them and was last written `elapsed` after the order.
/// Returns the number of postings.
fn refuse_posts(node: &mut Node, elapsed: Duration) -> usize {
    let posts = std::mem::take(&mut node.posts);
    for post in &posts {
        let answer = PostingReply {
            elapsed,
            earliest_completion: DURATION,
            ..PostingReply::default()
        };
        node.step(|edge, now, out| edge.post_ended(post, Some(&answer), now, out));
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
            node.end(call.call, good("1"));
        }
        posts += refuse_posts(&mut node, Duration::from_millis(1_500));
        node.pass(GAP);
    }
    // In four seconds there are at most a few postings a second, for permits, for the time and to report calls.
    assert!((3..=16).contains(&posts), "{posts}");
}

/// The content of a posting that the ledger has not recorded is added to the next one: the calls that the new version
/// has handled count towards its completion.
#[test]
fn move_posting_not_taken_is_merged_into_the_next() {
    let mut node = node(MoveState::Running);
    node.pass(Duration::from_millis(100));
    node.request("r");
    let old = node.calls[0].call;
    node.end(old, good("1"));
    let mut ledger = None;
    node.pass(Duration::from_secs(1));
    node.answer_posts(&mut ledger);
    // The permit is used, and its call stays under way.
    node.request("r");
    assert!(is_new(&node.calls[0].instance));
    for _ in 0..60 {
        node.request("r");
        let latest = node.calls.last().expect("a call is under way").call;
        node.end(latest, good("1"));
    }
    node.pass(Duration::from_secs(2));
    let first = node.posts[0].posting.clone();
    assert_eq!(first.interval_calls.values().sum::<u64>(), 1, "{first:?}");
    refuse_posts(&mut node, Duration::from_secs(1));
    node.pass(Duration::from_secs(2));
    let second = node.posts[0].posting.clone();
    assert_eq!(second.sequence, first.sequence);
    assert_eq!(second.interval_calls, first.interval_calls);
    assert!(second.calls >= first.calls, "{second:?}");
}

/// A posting without a reply is resent unchanged and marked as a retry, since the ledger may have recorded it.
#[test]
fn move_posting_without_answer_is_resent_unchanged() {
    let mut node = node(MoveState::Running);
    node.request("r");
    let call = node.calls[0].call;
    node.end(call, good("1"));
    node.pass(Duration::from_secs(1));
    let first = node.posts.remove(0);
    assert!(!first.posting.is_retry);
    node.step(|edge, now, out| edge.post_ended(&first, None, now, out));
    node.pass(Duration::from_secs(1));
    let second = node.posts.remove(0).posting;
    assert!(second.is_retry);
    let same = |posting: &Posting| (posting.sequence, posting.calls, posting.wanted_permits);
    assert_eq!(same(&second), same(&first.posting));
}

/// A node that misses the end of a move infers it from the leafs: once the old ones are gone, the move was completed.
#[rstest]
#[case::withdrawn(vec![])]
#[case::next_version(vec![MoveOrder {
    id: 2,
    version: Name::from("v3"),
    ..order(MoveState::Running)
}])]
fn move_missed_end_is_inferred_from_the_leafs(#[case] orders: Vec<MoveOrder>) {
    let mut node = node(MoveState::Running);
    set_moves(&mut node, orders.clone());
    if let Some(asked) = node.asked.take() {
        node.step(|edge, now, out| edge.orders_fetched(orders, asked, now, out));
    }
    // As long as there are old leafs, the new ones get no calls.
    let counts = calls_by_leaf(&mut node);
    assert!(counts.keys().all(|name| !is_new(name)), "{counts:?}");
    // Without old leafs the service must have moved.
    let moved = vec![new_leaf("new-1"), new_leaf("new-2")];
    node.step(|edge, now, out| edge.replace_leafs(moved, now, out));
    assert!(calls_by_leaf(&mut node).keys().all(|name| is_new(name)));
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
        id: 2,
        version: Name::from("v3"),
        ..order(MoveState::Running)
    };
    set_moves(&mut node, vec![next.clone()]);
    let counts = calls_by_leaf(&mut node);
    assert!(counts.keys().all(|name| is_new(name)), "{counts:?}");
    assert_eq!(counts.values().sum::<usize>(), 40);
    let back = MoveOrder {
        state: MoveState::RolledBack,
        ..next
    };
    set_moves(&mut node, vec![back]);
    assert_eq!(calls_by_leaf(&mut node).values().sum::<usize>(), 40);
}

/// A list of orders that is older than the order that a node knows does not change the move: neither a list without
/// that order nor one with an earlier order of the service.
#[rstest]
#[case::without_the_order(vec![])]
#[case::earlier_order(vec![MoveOrder {
    id: 0,
    version: Name::from("v0"),
    ..order(MoveState::RolledBack)
}])]
fn move_running_ignores_stale_orders(#[case] orders: Vec<MoveOrder>) {
    let mut node = node(MoveState::Running);
    set_moves(&mut node, orders);
    set_moves(&mut node, vec![order(MoveState::Running)]);
    if let Some(asked) = node.asked.take() {
        let present = vec![order(MoveState::Running)];
        node.step(|edge, now, out| edge.orders_fetched(present, asked, now, out));
    }
    // The version is on trial as before.
    let played = play(&mut node, Duration::from_secs(2), |_, _| false);
    assert!(played.to_new > 0, "{played:?}");
    // After a rollback it gets no calls, even if the old leafs are lost.
    set_moves(&mut node, vec![order(MoveState::RolledBack)]);
    let known = vec![new_leaf("new-1"), new_leaf("new-2")];
    node.step(|edge, now, out| edge.replace_leafs(known, now, out));
    assert!(calls_by_leaf(&mut node).is_empty());
}
