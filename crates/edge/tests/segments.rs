//! Queries split into segments, which are served by nodes that each hold the connections to some shards.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{Node, config, fan_out_route, leaf, refused, service_route, shard, success, unsent};
use monsoondeal_edge::{
    CallOutcome, Config, EdgeSettings, Gather, LeafCall, LeafEntry, Name, Peer, Repeat, Reply,
    RequestEvent, Route, SegmentAnswer, SegmentCall, SegmentHead, Target, Token,
};
use rstest::rstest;

const SHARDS: usize = 40;

fn peers(count: usize) -> Vec<Peer> {
    (0..count)
        .map(|index| Peer {
            name: Name::from(format!("vm-{index}")),
            addr: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
            domain: Name::from("a"),
            updates: SocketAddr::from(([127, 0, 0, 1], 2_000 + index as u16)),
            cores: 0.25,
        })
        .collect()
}

/// Returns a node of a fleet of `nodes`, with three leafs for each shard that accept 30 connections each.
fn node(nodes: usize) -> Node {
    let leafs: Vec<LeafEntry> = (0..SHARDS)
        .flat_map(|index| {
            let service = shard(index);
            ["a", "b", "c"].map(|replica| leaf(&format!("{service}-{replica}"), &service))
        })
        .collect();
    let route = fan_out_route("q", SHARDS, 0.9);
    let mut node = Node::new(config(1, vec![route], 30), leafs);
    node.apply(|edge, _, out| edge.set_peers(peers(nodes), out));
    node
}

/// Returns the answer of a node that served `parts` of the shards of a segment.
fn segment_answer(segment: &SegmentCall, parts: usize) -> CallOutcome {
    let signature = |index| Bytes::from(format!("{}-{index}", segment.index));
    CallOutcome::Segment(SegmentAnswer {
        signatures: (0..parts).map(signature).collect(),
        body: Bytes::from_static(&[7; 16]),
        setup_micros: 0,
    })
}

fn segment_of(call: &LeafCall) -> SegmentCall {
    call.segment.expect("the call is for a segment")
}

/// Nodes call leafs directly as long as they do not outnumber the connections of a leaf; otherwise they split their
/// queries.
#[rstest]
#[case::few(30, false)]
#[case::many(31, true)]
fn segments_by_number_of_nodes(#[case] nodes: usize, #[case] split: bool) {
    let mut node = node(nodes);
    node.request("q");
    assert!(
        node.calls
            .iter()
            .all(|call| call.segment.is_some() == split)
    );
    assert_eq!(node.calls.len() < SHARDS, split);
}

/// Queries of few small nodes are split if one node takes much longer for all calls than for its part of them.
#[rstest]
#[case::small_nodes_many_shards(18, 0.12, 180, true)]
#[case::small_nodes_few_shards(18, 0.12, 30, false)]
#[case::six_quarter_cores(6, 0.25, 30, false)]
#[case::many_shards(9, 0.25, 135, true)]
#[case::whole_cores(18, 1.0, 135, false)]
#[case::two_nodes(2, 0.12, 30, false)]
fn segments_by_time_of_a_query(
    #[case] nodes: usize,
    #[case] cores: f64,
    #[case] shards: usize,
    #[case] split: bool,
) {
    let leafs: Vec<LeafEntry> = (0..shards)
        .map(|index| leaf(&format!("leaf-{index}"), &shard(index)))
        .collect();
    let route = fan_out_route("q", shards, 0.9);
    let mut node = Node::new(config(1, vec![route], 175), leafs);
    let mut fleet = peers(nodes);
    fleet.iter_mut().for_each(|peer| peer.cores = cores);
    node.apply(|edge, _, out| edge.set_peers(fleet, out));
    node.request("q");
    assert!(!node.calls.is_empty());
    assert!(
        node.calls
            .iter()
            .all(|call| call.segment.is_some() == split)
    );
}

/// Each shard belongs to exactly one segment, which the same few nodes serve for all queries.
#[test]
fn segments_cover_each_shard_once() {
    let mut node = node(70);
    let mut called: Vec<Vec<SocketAddr>> = vec![Vec::new(); SHARDS];
    for _ in 0..60 {
        node.request("q");
        let mut covered = vec![0; SHARDS];
        for call in node.calls.clone() {
            let segment = segment_of(&call);
            for index in segment.range(SHARDS).expect("the segment exists") {
                covered[index] += 1;
                called[index].push(call.addr);
            }
            node.end_call(call.call, segment_answer(&segment, 1));
        }
        assert!(covered.iter().all(|count| *count == 1), "{covered:?}");
        node.run_for(Duration::from_millis(300));
    }
    for nodes in &mut called {
        nodes.sort();
        nodes.dedup();
        // Six nodes with five connections each use all 30 connections of a leaf.
        assert!(nodes.len() <= 6, "{nodes:?}");
    }
}

/// In a fleet of ten large nodes and many small ones, at least eight tenths of the segments are sent to large ones.
#[test]
fn segments_prefer_large_nodes() {
    let mut fleet = peers(77);
    for peer in &mut fleet[10..] {
        peer.cores = 0.12;
    }
    for peer in &mut fleet[..10] {
        peer.cores = 0.5;
    }
    let large: Vec<SocketAddr> = fleet[..10].iter().map(|peer| peer.addr).collect();
    let mut node = node(77);
    node.apply(|edge, _, out| edge.set_peers(fleet, out));
    let mut large_calls = 0;
    let mut total = 0;
    for _ in 0..60 {
        node.request("q");
        for call in node.calls.clone() {
            total += 1;
            large_calls += usize::from(large.contains(&call.addr));
            node.end_call(call.call, segment_answer(&segment_of(&call), 1));
        }
        node.run_for(Duration::from_millis(300));
    }
    assert!(large_calls * 10 >= total * 8, "{large_calls} of {total}");
}

/// Larger nodes serve larger segments, so that a query needs fewer calls of the node that splits it.
#[rstest]
#[case::small(0.12, 4)]
#[case::quarter(0.25, 4)]
#[case::half(0.5, 2)]
fn segments_by_size_of_nodes(#[case] cores: f64, #[case] expected: usize) {
    let mut fleet = peers(70);
    for peer in &mut fleet[..10] {
        peer.cores = cores;
    }
    for peer in &mut fleet[10..] {
        peer.cores = 0.12;
    }
    let mut node = node(70);
    node.apply(|edge, _, out| edge.set_peers(fleet, out));
    node.request("q");
    assert_eq!(node.calls.len(), expected);
}

#[rstest]
#[case::complete(0, Some(0))]
#[case::parts_missing(3, Some(3))]
#[case::too_few(5, None)]
fn segments_coverage_counts_missing_parts(#[case] missing: usize, #[case] expected: Option<usize>) {
    let mut node = node(70);
    let token = node.request("q");
    for (index, call) in node.calls.clone().into_iter().enumerate() {
        let segment = segment_of(&call);
        let shard_count = segment.range(SHARDS).expect("the segment exists").len();
        let parts = if index == 0 {
            shard_count - missing
        } else {
            shard_count
        };
        node.end_call(call.call, segment_answer(&segment, parts));
    }
    match (node.reply(token), expected) {
        (
            Some(Reply::Merged {
                signatures,
                missing,
                ..
            }),
            Some(expected),
        ) => {
            assert_eq!((*missing, signatures.len()), (expected, SHARDS - expected));
        }
        (Some(Reply::Failed(_)), None) => {}
        (reply, _) => panic!("{reply:?}"),
    }
}

/// A node that may have run the call may have used all attempts at the shards, so the call is not repeated at another
/// node. A call that has not run is.
#[rstest]
#[case::broken(CallOutcome::Broken, 0)]
#[case::refused(refused(), 1)]
#[case::unsent(unsent(), 1)]
fn segments_call_is_retried_only_if_not_run(#[case] outcome: CallOutcome, #[case] repeats: usize) {
    let mut node = node(70);
    node.request("q");
    let calls = node.calls.len();
    let first = node.calls[0].clone();
    node.end_call(first.call, outcome);
    assert_eq!(node.calls.len(), calls - 1 + repeats);
    // A call to a silent node is not hedged either.
    node.run_for(Duration::from_millis(150));
    assert_eq!(node.calls.len(), calls - 1 + repeats);
}

/// A node answers the call for a segment within the timeout given, without the shards that have not answered.
#[rstest]
#[case::all(1, 0)]
#[case::one_shard_silent(0, 1)]
fn segment_request_is_answered_within_its_timeout(
    #[case] first_answers: usize,
    #[case] missing: usize,
) {
    let mut node = node(70);
    node.request("q");
    let requested = segment_of(&node.calls[1]);
    node.calls.clear();

    let token = Token(1_000);
    request_segment(&mut node, token, requested);
    let range = requested.range(SHARDS).expect("the segment exists");
    assert_eq!(node.calls.len(), range.len());
    let silent = shard(range.start);
    node.answer_all_except(|name| first_answers == 0 && name.starts_with(&format!("{silent}-")));
    for _ in 0..20 {
        node.run_for(Duration::from_millis(10));
    }
    let Some(Reply::Merged {
        signatures,
        missing: missing_parts,
        ..
    }) = node.reply(token)
    else {
        panic!("{:?}", node.reply(token));
    };
    assert_eq!(
        (*missing_parts, signatures.len()),
        (missing, range.len() - missing)
    );
    let (_, summary) = &node.replies[&token];
    assert!(summary.elapsed <= requested.timeout, "{summary:?}");
}

/// A segment that lacks more shards than the whole query may is answered once enough of them have answered: an
/// answer in time would doom the query. With 40 shards and a least coverage of 0.9, a query may lack four.
#[rstest]
#[case::bearable(4, true)]
#[case::too_many(5, false)]
fn segment_answer_in_time_unless_the_query_is_doomed(
    #[case] silent_shards: usize,
    #[case] in_time: bool,
) {
    let mut node = node(70);
    node.request("q");
    let requested = segment_of(&node.calls[1]);
    node.calls.clear();
    let token = Token(1_000);
    request_segment(&mut node, token, requested);
    let range = requested.range(SHARDS).expect("the segment exists");
    let silent: Vec<String> = range
        .take(silent_shards)
        .map(|index| format!("{}-", shard(index)))
        .collect();
    let is_silent = |name: &str| silent.iter().any(|prefix| name.starts_with(prefix));
    node.answer_all_except(is_silent);
    node.run_for(requested.timeout + Duration::from_millis(10));
    assert_eq!(node.reply(token).is_some(), in_time);
    if in_time {
        return;
    }
    let late: Vec<LeafCall> = node
        .calls
        .iter()
        .filter(|call| is_silent(&call.instance))
        .cloned()
        .collect();
    node.end_call(late[0].call, success("late"));
    let Some(Reply::Merged { missing, .. }) = node.reply(token) else {
        panic!("{:?}", node.reply(token));
    };
    assert_eq!(*missing, silent_shards - 1);
}

/// The budget for repeats is shared among the nodes that serve a segment, since no other node calls its leafs.
#[test]
fn segment_repeat_budget_is_shared_by_its_nodes() {
    let mut node = node(70);
    node.request("q");
    let requested = segment_of(&node.calls[0]);
    let first = requested.range(SHARDS).expect("the segment exists").start;
    node.calls.clear();
    for index in 0..4 {
        request_segment(&mut node, Token(1_000 + index), requested);
    }
    node.run_for(Duration::from_millis(60));
    let is_hedge = |e: &&RequestEvent| matches!(e, RequestEvent::Hedged { service, .. } if *service == shard(first));
    let hedges = node.events.iter().filter(is_hedge).count();
    // Six nodes share eight tenths of the slack of 50, and a third of this is available at the start.
    assert!(hedges >= 2, "{hedges} hedges");
}

/// All parts of an answer must come from the same configuration, so a call for a segment of a plan that is not in force
/// is rejected as not run, whatever of the plan has changed.
#[rstest]
#[case::shards(|route: &mut Route| *route = fan_out_route("q", SHARDS - 1, 0.9), false)]
#[case::records(|route: &mut Route| gather(route).top_k += 1, false)]
#[case::coverage(|route: &mut Route| gather(route).min_coverage = 0.8, false)]
#[case::attempts(|route: &mut Route| route.attempts += 1, false)]
#[case::name(|route: &mut Route| route.name = Name::from("other"), false)]
#[case::service(|route: &mut Route| route.target = Target::Service(shard(0)), false)]
#[case::order(
    |route: &mut Route| *route = service_route("q", &shard(0), Repeat::AtMostOnce),
    false
)]
#[case::split(|route: &mut Route| route.target = Target::Split(vec![(shard(0), 1.0)]), false)]
#[case::path(|route: &mut Route| route.prefix = "/other/".to_owned(), true)]
#[case::timeout(|route: &mut Route| route.timeout *= 2, true)]
fn segment_is_run_only_under_its_plan(#[case] change: fn(&mut Route), #[case] is_run: bool) {
    let mut node = node(70);
    node.request("q");
    let requested = segment_of(&node.calls[0]);
    node.calls.clear();
    let mut route = fan_out_route("q", SHARDS, 0.9);
    change(&mut route);
    assert!(node.edge.set_config(config(2, vec![route], 30)));
    let token = Token(1_000);
    request_segment(&mut node, token, requested);
    assert_eq!(!node.calls.is_empty(), is_run);
    let is_rejected = matches!(node.reply(token), Some(Reply::Rejected { .. }));
    assert_eq!(is_rejected, !is_run, "{:?}", node.reply(token));
    let is_unknown = |event: &RequestEvent| matches!(event, RequestEvent::UnknownPlan { .. });
    assert_eq!(node.events.iter().any(is_unknown), !is_run);
}

/// A plan is found by its identity, also where another route has the path of the query.
#[test]
fn segment_is_not_routed_by_path() {
    let mut node = node(70);
    node.request("q");
    let requested = segment_of(&node.calls[0]);
    node.calls.clear();
    let mut moved = fan_out_route("q", SHARDS, 0.9);
    moved.prefix = "/moved/".to_owned();
    let order = service_route("order", "ledger", Repeat::AtMostOnce);
    let in_place = Route {
        prefix: "/q/".to_owned(),
        ..order
    };
    assert!(node.edge.set_config(config(2, vec![moved, in_place], 30)));
    request_segment(&mut node, Token(1_000), requested);
    let range = requested.range(SHARDS).expect("the segment exists");
    assert_eq!(node.calls.len(), range.len());
}

/// The deserialized form of a configuration, as nodes hand it to each other, has the plans of the original.
#[test]
fn segment_plan_survives_serialization() {
    let mut node = node(70);
    node.request("q");
    let requested = segment_of(&node.calls[0]);
    node.calls.clear();
    let next = config(2, vec![fan_out_route("q", SHARDS, 0.9)], 30);
    let text = serde_json::to_string(&next).expect("serializable");
    let next: Config = serde_json::from_str(&text).expect("the same form");
    assert!(node.edge.set_config(next));
    request_segment(&mut node, Token(1_000), requested);
    assert!(!node.calls.is_empty());
}

/// Segments that a plan does not have are rejected.
#[rstest]
#[case::index(usize::MAX, 1)]
#[case::no_segments(0, 0)]
#[case::more_segments_than_shards(0, SHARDS + 1)]
fn segment_outside_its_plan_is_rejected(#[case] index: usize, #[case] count: usize) {
    let mut node = node(70);
    node.request("q");
    let requested = SegmentCall {
        index,
        count,
        ..segment_of(&node.calls[0])
    };
    node.calls.clear();
    request_segment(&mut node, Token(1_000), requested);
    let reply = node.reply(Token(1_000));
    assert!(matches!(reply, Some(Reply::Rejected { .. })), "{reply:?}");
    assert!(node.calls.is_empty());
}

/// An answer with more parts than its segment has shards is no answer to the call.
#[test]
fn segment_answer_with_too_many_parts_is_not_used() {
    let mut node = node(70);
    let token = node.request("q");
    for (index, call) in node.calls.clone().into_iter().enumerate() {
        let segment = segment_of(&call);
        let shards = segment.range(SHARDS).expect("the segment exists").len();
        let extra = usize::from(index == 0);
        node.end_call(call.call, segment_answer(&segment, shards + extra));
    }
    let reply = node.reply(token);
    assert!(matches!(reply, Some(Reply::Failed(_))), "{reply:?}");
}

/// A leaf's answer cannot stand for a segment.
#[test]
fn segment_answered_like_a_leaf_is_not_served() {
    let mut node = node(70);
    let token = node.request("q");
    for call in node.calls.clone() {
        node.end_call(call.call, success("leaf"));
    }
    let reply = node.reply(token);
    assert!(matches!(reply, Some(Reply::Failed(_))), "{reply:?}");
}

fn gather(route: &mut Route) -> &mut Gather {
    match &mut route.target {
        Target::FanOut(_, gather) => gather,
        other => panic!("{other:?}"),
    }
}

/// Only the node that serves a segment counts its request for the budget for repeats, not the nodes that rejected it
/// before: a request of a caller grants at most one repeat for a shard, however many nodes were called for the segment.
#[test]
fn rejected_segment_grants_no_repeats() {
    let mut node = node(70);
    let settings = EdgeSettings {
        repeat_ratio: 1.0,
        repeat_slack: 0.0,
        ..EdgeSettings::default()
    };
    node.edge.set_settings(settings);
    node.request("q");
    let requested = segment_of(&node.calls[0]);
    node.calls.clear();
    node.apply(|edge, now, out| edge.replace_leafs(Vec::new(), now, out));
    // Leafs whose entries vanish together are dropped only after a hold time.
    node.run_for(Duration::from_secs(3));
    for index in 0..5 {
        request_segment(&mut node, Token(1_000 + index), requested);
        let reply = node.reply(Token(1_000 + index));
        assert!(matches!(reply, Some(Reply::Rejected { .. })), "{reply:?}");
    }
    let shards: Vec<Name> = (0..SHARDS).map(shard).collect();
    let covered = &shards[requested.range(SHARDS).expect("the segment exists")];
    let leafs = covered.iter().flat_map(|service| {
        ["a", "b"].map(|replica| leaf(&format!("{service}-{replica}"), service))
    });
    let leafs: Vec<LeafEntry> = leafs.collect();
    node.apply(|edge, now, out| edge.replace_leafs(leafs, now, out));
    request_segment(&mut node, Token(2_000), requested);
    node.run_for(Duration::from_millis(60));
    let hedges = node
        .events
        .iter()
        .filter(|event| matches!(event, RequestEvent::Hedged { .. }));
    assert_eq!(hedges.count(), 0, "one request grants less than one repeat");
}

fn request_segment(node: &mut Node, token: Token, segment: SegmentCall) {
    node.apply(|edge, now, out| {
        let head = SegmentHead {
            token,
            call: segment,
            timeout: Some(Duration::from_secs(2)),
        };
        edge.segment(&head, now, out);
    });
}
