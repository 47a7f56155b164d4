//! Requests from their arrival at a node to the reply.

mod common;

use std::time::Duration;

use common::{
    Node, config, failure, fan_out_route, leaf, misdirected, refused, service_route, shard,
    success, unsent, withdrawn,
};
use monsoondeal_core::CallId;
use monsoondeal_edge::{CallOutcome, LeafEntry, Repeat, Reply, RequestEvent, Token};
use rstest::rstest;

fn replicas(shards: usize) -> Vec<LeafEntry> {
    (0..shards)
        .flat_map(|index| {
            let service = shard(index);
            ["a", "b"].map(|replica| leaf(&format!("{service}-{replica}"), &service))
        })
        .collect()
}

fn two_leafs() -> Vec<LeafEntry> {
    vec![leaf("one", "s"), leaf("two", "s")]
}

fn query_node(shards: usize, min_coverage: f64) -> Node {
    let route = fan_out_route("q", shards, min_coverage);
    Node::new(config(1, vec![route], 6), replicas(shards))
}

fn service_node(repeat: Repeat) -> Node {
    Node::new(
        config(1, vec![service_route("r", "s", repeat)], 6),
        two_leafs(),
    )
}

#[test]
fn gather_complete() {
    let mut node = query_node(4, 0.75);
    let token = node.request("q");
    assert_eq!(node.calls.len(), 4);
    node.run_for(Duration::from_millis(10));
    node.answer_all_except(|_| false);
    let Some(Reply::Merged {
        signatures,
        missing,
        ..
    }) = node.reply(token)
    else {
        panic!("{:?}", node.reply(token));
    };
    assert_eq!((signatures.len(), *missing), (4, 0));
}

/// A leaf that pauses does not answer, and the call is hedged at the other replica of its shard.
#[test]
fn gather_hedges_a_silent_leaf() {
    let mut node = query_node(4, 0.75);
    let token = node.request("q");
    let silent = node.calls[0].instance.to_string();
    node.run_for(Duration::from_millis(10));
    node.answer_all_except(|name| name == silent);
    assert!(node.reply(token).is_none());
    node.run_for(Duration::from_millis(100));
    assert_eq!(node.calls.len(), 2, "the silent call and its hedge");
    node.answer_all_except(|name| name == silent);
    assert!(matches!(
        node.reply(token),
        Some(Reply::Merged { missing: 0, .. })
    ));

    // The next query does not call the silent leaf.
    node.request("q");
    assert_eq!(
        node.called_leafs()
            .iter()
            .filter(|name| **name == silent)
            .count(),
        1
    );
}

/// Both replicas of a shard are silent: the other parts are merged within the objective if they reach the least
/// coverage.
#[rstest]
#[case::coverage_reached(0.75, true)]
#[case::coverage_missed(0.95, false)]
fn gather_both_replicas_silent(#[case] min_coverage: f64, #[case] in_time: bool) {
    let mut node = query_node(8, min_coverage);
    let token = node.request("q");
    let silent_shard = shard(0);
    let is_silent = |name: &str| name.starts_with(&*silent_shard);
    for _ in 0..20 {
        node.answer_all_except(is_silent);
        node.run_for(Duration::from_millis(10));
    }
    match node.reply(token) {
        Some(Reply::Merged { missing: 1, .. }) => assert!(in_time),
        None => assert!(!in_time),
        reply => panic!("{reply:?}"),
    }
    if let Some((_, summary)) = node.replies.get(&token) {
        assert!(summary.elapsed < Duration::from_millis(200));
    }
}

#[test]
fn gather_without_leafs_for_too_many_shards_is_rejected_at_once() {
    let mut leafs = replicas(4);
    leafs.retain(|leaf| !leaf.name.starts_with("shard-1") && !leaf.name.starts_with("shard-2"));
    let route = fan_out_route("q", 4, 0.75);
    let mut node = Node::new(config(1, vec![route], 6), leafs);
    let token = node.request("q");
    assert!(matches!(node.reply(token), Some(Reply::Rejected { .. })));
    assert!(node.calls.is_empty());
}

#[test]
fn gather_does_not_wait_for_a_shard_without_leafs() {
    let mut leafs = replicas(4);
    leafs.retain(|leaf| !leaf.name.starts_with("shard-1"));
    let route = fan_out_route("q", 4, 0.75);
    let mut node = Node::new(config(1, vec![route], 6), leafs);
    let token = node.request("q");
    node.answer_all_except(|_| false);
    assert!(matches!(
        node.reply(token),
        Some(Reply::Merged { missing: 1, .. })
    ));
}

/// A request keeps the configuration that it arrived under: one that comes into force meanwhile does not change its
/// shards.
#[test]
fn gather_ignores_configuration_change_during_request() {
    let mut node = query_node(4, 1.0);
    let token = node.request("q");
    let next = config(2, vec![fan_out_route("q", 2, 1.0)], 6);
    assert!(node.edge.set_config(next));
    node.answer_all_except(|_| false);
    let Some(Reply::Merged { signatures, .. }) = node.reply(token) else {
        panic!("not a merged reply");
    };
    assert_eq!(signatures.len(), 4);
    node.request("q");
    assert_eq!(node.calls.len(), 2);
}

#[test]
fn set_config_ignores_same_or_older_version() {
    let mut node = query_node(4, 1.0);
    assert!(!node.edge.set_config(config(1, vec![], 6)));
    assert!(!node.edge.set_config(config(0, vec![], 6)));
}

#[rstest]
#[case::refused(refused())]
#[case::misdirected(misdirected())]
#[case::unsent(unsent())]
fn at_most_once_call_not_run_is_retried_on_another_leaf(#[case] outcome: CallOutcome) {
    let mut node = service_node(Repeat::AtMostOnce);
    let token = node.request("r");
    let first = node.calls[0].clone();
    node.end_call(first.call, outcome);
    assert_eq!(node.calls.len(), 1);
    assert_ne!(node.calls[0].leaf, first.leaf);
    node.answer_all_except(|_| false);
    assert!(matches!(node.reply(token), Some(Reply::Answer(_))));
}

/// After a lost answer the request may have run: it is neither repeated nor reported as "not run".
#[rstest]
#[case::lost(CallOutcome::Broken)]
#[case::too_large(CallOutcome::TooLarge)]
fn at_most_once_lost_answer_is_not_repeated(#[case] outcome: CallOutcome) {
    let mut node = service_node(Repeat::AtMostOnce);
    let token = node.request("r");
    node.end_call(node.calls[0].call, outcome);
    assert!(node.calls.is_empty());
    assert!(matches!(node.reply(token), Some(Reply::Failed(_))));
}

/// The log distinguishes an answer over the size limit from a lost one, and the leaf is avoided after either.
#[rstest]
#[case::lost(CallOutcome::Broken, "broken")]
#[case::too_large(CallOutcome::TooLarge, "too_large")]
fn idempotent_lost_answer_is_logged_and_leaf_avoided(
    #[case] outcome: CallOutcome,
    #[case] expected: &str,
) {
    let mut node = service_node(Repeat::Idempotent);
    node.request("r");
    let first = node.calls[0].clone();
    node.end_call(first.call, outcome);
    let is_logged = node
        .events
        .iter()
        .any(|event| matches!(event, RequestEvent::Retried { cause, .. } if *cause == expected));
    assert!(is_logged, "{:?}", node.events);
    for _ in 0..20 {
        node.answer_all_except(|_| false);
        node.request("r");
        assert_ne!(node.calls[0].leaf, first.leaf);
    }
}

#[test]
fn at_most_once_silent_leaf_is_not_hedged() {
    let mut node = service_node(Repeat::AtMostOnce);
    let token = node.request("r");
    node.run_for(Duration::from_millis(7_900));
    assert_eq!(node.calls.len(), 1);
    assert!(node.reply(token).is_none());
    node.run_for(Duration::from_millis(200));
    assert_eq!(node.reply(token), Some(&Reply::TimedOut));
}

/// If all leafs keep refusing the calls, the reply says "not run", since no call has run.
#[test]
fn at_most_once_refused_by_all_is_rejected() {
    let mut node = service_node(Repeat::AtMostOnce);
    let token = node.request("r");
    for _ in 0..100 {
        for call in node.calls.clone() {
            node.end_call(call.call, refused());
        }
        node.run_for(Duration::from_millis(20));
    }
    assert!(matches!(node.reply(token), Some(Reply::Rejected { .. })));
    let (_, summary) = &node.replies[&token];
    assert!(summary.elapsed < Duration::from_millis(200), "{summary:?}");
}

/// The only leaf has refused the call: the retry comes after a delay.
#[test]
fn refused_by_only_leaf_is_retried_after_a_delay() {
    let route = service_route("r", "s", Repeat::Idempotent);
    let mut node = Node::new(config(1, vec![route], 6), vec![leaf("one", "s")]);
    node.request("r");
    node.end_call(node.calls[0].call, refused());
    assert!(node.calls.is_empty(), "retried without delay");
    node.run_for(Duration::from_millis(20));
    assert_eq!(node.calls.len(), 1);
}

/// The retries go on after a second refusal, until the leaf accepts the call.
#[test]
fn refused_twice_is_retried_until_served() {
    let route = service_route("r", "s", Repeat::Idempotent);
    let mut node = Node::new(config(1, vec![route], 6), vec![leaf("one", "s")]);
    let token = node.request("r");
    for _ in 0..2 {
        node.end_call(node.calls[0].call, refused());
        node.run_for(Duration::from_millis(50));
    }
    assert_eq!(node.calls.len(), 1);
    node.answer_all_except(|_| false);
    assert!(matches!(node.reply(token), Some(Reply::Answer(_))));
}

#[rstest]
#[case::lost(|| CallOutcome::Broken)]
#[case::too_large(|| CallOutcome::TooLarge)]
#[case::leaf_failed(failure)]
fn idempotent_attempts_are_limited(#[case] outcome: fn() -> CallOutcome) {
    let mut node = service_node(Repeat::Idempotent);
    node.apply(|edge, now, out| edge.upsert_leaf(leaf("three", "s"), now, out));
    let token = node.request("r");
    node.end_call(node.calls[0].call, outcome());
    assert_eq!(node.calls.len(), 1, "one retry");
    node.end_call(node.calls[0].call, outcome());
    assert!(node.calls.is_empty(), "no retry after the last attempt");
    match (outcome(), node.reply(token)) {
        (CallOutcome::Broken | CallOutcome::TooLarge, Some(Reply::Failed(_))) => {}
        (CallOutcome::Answer(sent), Some(Reply::Answer(passed))) => {
            assert_eq!(&sent, passed.answer())
        }
        (_, reply) => panic!("{reply:?}"),
    }
}

#[test]
fn caller_gone_cancels_idempotent_calls() {
    let mut node = query_node(4, 0.75);
    let token = node.request("q");
    node.apply(|edge, now, out| edge.caller_gone(token, now, out));
    assert_eq!(node.cancelled.len(), 4);
    assert_eq!(node.edge.open_calls(), 0);
}

#[test]
fn caller_gone_keeps_at_most_once_calls_until_the_deadline() {
    let mut node = service_node(Repeat::AtMostOnce);
    let token = node.request_with_timeout("r", Duration::from_secs(1));
    node.apply(|edge, now, out| edge.caller_gone(token, now, out));
    assert!(node.cancelled.is_empty());
    node.run_for(Duration::from_secs(2));
    assert_eq!(node.edge.open_calls(), 0);
}

/// Guards against orders that reach a leaf long after their callers have left (GONE): a call that is not written yet is
/// taken back, and the leaf is not blamed for it.
#[test]
fn caller_gone_takes_back_unwritten_at_most_once_call() {
    let mut node = service_node(Repeat::AtMostOnce);
    node.request("r");
    node.answer_all_except(|_| false);
    let token = node.request("r");
    let call = node.calls[0].clone();
    node.apply(|edge, now, out| edge.caller_gone(token, now, out));
    assert!(node.withheld.contains(&call.call));
    node.end_call(call.call, withdrawn());
    assert_eq!(node.edge.open_calls(), 0);
    let counts = node.edge.counts();
    assert_eq!((counts.withdrawn, counts.unsent), (1, 0));
    // A leaf without blame is not checked again before its next call, and is not avoided.
    for _ in 0..2 {
        node.request("r");
    }
    let again = node.calls.iter().find(|next| next.leaf == call.leaf);
    assert_eq!(again.map(|next| next.is_verified), Some(call.is_verified));
}

/// Guards against orders that wait and are sent after their callers have left (GONE), whatever they wait for.
#[rstest]
#[case::for_a_connection_slot(1, |node: &mut Node, first: CallId| {
    node.end_call(first, success("1"));
})]
#[case::between_two_tries(6, |node: &mut Node, _| {
    while let Some(call) = node.calls.first() {
        let id = call.call;
        node.end_call(id, refused());
    }
})]
fn caller_gone_while_waiting_sends_no_call(
    #[case] connections: usize,
    #[case] release: fn(&mut Node, CallId),
) {
    let route = service_route("r", "s", Repeat::AtMostOnce);
    let leafs = vec![leaf("one", "s")];
    let mut node = Node::new(config(1, vec![route], connections), leafs);
    node.request("r");
    let first = node.calls[0].call;
    let waiting = match connections {
        1 => node.request("r"),
        _ => {
            let id = node.calls[0].call;
            node.end_call(id, refused());
            Token(0)
        }
    };
    let sent = node.edge.counts().calls;
    node.apply(|edge, now, out| edge.caller_gone(waiting, now, out));
    release(&mut node, first);
    node.run_for(Duration::from_secs(2));
    assert_eq!(node.edge.counts().calls, sent);
}

/// Guards against orders that reach a leaf after their caller was told that they were not answered in time: the end of
/// a request takes back a call that is not written yet.
#[test]
fn timed_out_request_takes_back_unwritten_at_most_once_call() {
    let mut node = service_node(Repeat::AtMostOnce);
    let token = node.request_with_timeout("r", Duration::from_secs(1));
    let call = node.calls[0].call;
    node.run_for(Duration::from_millis(1_001));
    assert!(matches!(node.reply(token), Some(Reply::TimedOut)));
    assert!(node.withheld.contains(&call));
}

#[test]
fn request_without_route_or_configuration() {
    let mut node = query_node(4, 0.75);
    let token = node.request("other");
    assert_eq!(node.reply(token), Some(&Reply::NoRoute));

    let mut out = Vec::new();
    let mut unconfigured = monsoondeal_edge::Edge::new(monsoondeal_edge::EdgeSettings::default());
    let head = monsoondeal_edge::RequestHead {
        token,
        host: common::HOST,
        path: "/q/",
        timeout: None,
        is_first: false,
    };
    unconfigured.request(&head, node.now, &mut out);
    assert!(matches!(
        &out[0],
        monsoondeal_edge::Action::Reply(_, Reply::Rejected { .. }, _)
    ));
}

/// Requests beyond the node's share of a leaf's connections wait. They are served in the order of their
/// priorities, and those of the same priority in the order of their arrival.
#[test]
fn waiting_requests_are_served_by_priority_then_age() {
    let mut urgent = service_route("urgent", "s", Repeat::Idempotent);
    urgent.priority = 0;
    let other = service_route("other", "s", Repeat::Idempotent);
    let mut node = Node::new(config(1, vec![urgent, other], 1), vec![leaf("one", "s")]);
    let first = node.request("other");
    let second = node.request("other");
    let third = node.request("urgent");
    assert_eq!(node.calls.len(), 1);
    for expected in [first, third, second] {
        assert_eq!(node.calls[0].token, expected);
        node.end_call(node.calls[0].call, success("1"));
    }
    assert_eq!(node.replies.len(), 3);
}

/// A request that cannot be served in time is rejected at once, with the time after which a retry is worthwhile.
#[test]
fn request_with_too_long_expected_wait_is_rejected_at_once() {
    let route = service_route("r", "s", Repeat::Idempotent);
    let mut node = Node::new(config(1, vec![route], 1), vec![leaf("one", "s")]);
    let tokens: Vec<_> = (0..50).map(|_| node.request("r")).collect();
    let last = node.reply(tokens[49]);
    let Some(Reply::Rejected { retry_after, .. }) = last else {
        panic!("{last:?}");
    };
    assert!(*retry_after > Duration::from_millis(100));
    assert!(node.reply(tokens[1]).is_none());
}

/// A leaf falls silent with the only call that a request may make. An idempotent request ends while its caller has time
/// to send it anew; an order, which may not be repeated, ends at its deadline.
#[rstest]
#[case::idempotent(Repeat::Idempotent, 8_000, 2_400)]
#[case::no_time_for_another_attempt(Repeat::Idempotent, 3_000, 3_000)]
#[case::order(Repeat::AtMostOnce, 8_000, 8_000)]
fn single_leaf_falls_silent(#[case] repeat: Repeat, #[case] timeout: u64, #[case] end: u64) {
    let mut route = service_route("r", "s", repeat);
    route.attempts = 1;
    let mut node = Node::new(config(1, vec![route], 6), two_leafs());
    let token = node.request_with_timeout("r", Duration::from_millis(timeout));
    node.run_for(Duration::from_millis(end - 10));
    assert_eq!(node.reply(token), None);
    node.run_for(Duration::from_millis(20));
    assert_eq!(node.reply(token), Some(&Reply::TimedOut));
}

/// No leaf is free for a request until its caller should try elsewhere: it is rejected as not run.
#[test]
fn single_waits_for_a_leaf_in_vain() {
    let route = service_route("r", "s", Repeat::Idempotent);
    let mut node = Node::new(config(1, vec![route], 1), vec![leaf("one", "s")]);
    let first = node.request("r");
    let second = node.request("r");
    node.run_for(Duration::from_millis(2_500));
    assert_eq!(node.reply(first), Some(&Reply::TimedOut));
    assert!(matches!(node.reply(second), Some(Reply::Rejected { .. })));
}
