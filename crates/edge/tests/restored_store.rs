//! A node while the store is restored from an older copy: what it keeps, what it writes again, and what it begins.

mod common;

use std::time::Duration;

use common::{Node, config, failure, leaf, service_route, success};
use monsoondeal_core::Revision;
use monsoondeal_edge::{EdgeSettings, LeafEntry, MoveOrder, MoveState, Name, Repeat};
use monsoondeal_moves::OrderId;
use rstest::rstest;

/// Time from the order to its deadline.
const MOVE_DURATION: Duration = Duration::from_secs(12);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

fn leaf_of(version: &str) -> LeafEntry {
    LeafEntry {
        version: Name::from(version),
        ..leaf(&format!("{version}-1"), "s")
    }
}

/// Returns the identity of an order that was written in an era.
fn id_in(era: u64, created: u64, number: u64) -> OrderId {
    OrderId {
        created,
        revision: Revision::new(era, number),
    }
}

fn order(id: OrderId, version: &str, state: MoveState) -> MoveOrder {
    MoveOrder {
        service: Name::from("s"),
        id,
        version: Name::from(version),
        duration: MOVE_DURATION,
        elapsed: Duration::ZERO,
        state,
    }
}

/// Creates a node in the first era, with leafs of `v1` and `v2`, and the order for `v2` as the revision 20.
fn node(state: MoveState) -> Node {
    let route = service_route("r", "s", Repeat::Idempotent);
    let settings = EdgeSettings {
        nodes: 1,
        repeat_ratio: 0.25,
        repeat_slack: 50.0,
        exposure_slack: 50.0,
        ..EdgeSettings::default()
    };
    let leafs = vec![leaf_of("v1"), leaf_of("v2")];
    let mut node = Node::with_settings(settings, config(1, vec![route], 40), leafs);
    enter_era(&mut node, 1);
    set_moves(&mut node, vec![order(id_in(1, 7, 20), "v2", state)]);
    node.fetch_time = None;
    node
}

fn enter_era(node: &mut Node, era: u64) {
    node.apply(|edge, now, out| edge.note_store_era(Some(era), now, out));
}

fn set_moves(node: &mut Node, orders: Vec<MoveOrder>) {
    node.apply(|edge, now, out| edge.set_moves(orders, now, out));
}

/// Returns the decisions so far: the number of the order's era, its version, and the state.
fn decisions(node: &Node) -> Vec<(u64, &str, MoveState)> {
    let decisions = node.decisions.iter();
    decisions
        .map(|d| (d.id.revision.era.expect("an era"), &*d.version, d.state))
        .collect()
}

/// Calls of one test.
#[derive(Debug, Default)]
struct CallStats {
    requests: usize,
    /// Calls to `v2`.
    new_calls: usize,
    /// Calls that `v2` failed.
    bad_answers: usize,
}

/// Sends requests for `span`, beginning with a ledger that the store has lost.
fn send_requests(node: &mut Node, span: Duration, is_bad: bool, stats: &mut CallStats) {
    let mut ledger = None;
    let end = node.now + span;
    while node.now < end {
        node.request("r");
        stats.requests += 1;
        while let Some(call) = node.calls.first().cloned() {
            let is_new = &*call.instance == "v2-1";
            let fails = is_new && is_bad;
            stats.new_calls += usize::from(is_new);
            stats.bad_answers += usize::from(fails);
            node.end_call(call.call, if fails { failure() } else { success("1") });
        }
        node.answer_posts(&mut ledger);
        node.run_for(REQUEST_INTERVAL);
        node.answer_posts(&mut ledger);
    }
}

/// Guards against a move that is begun anew, or is never completed, since the store has lost its ledger: the postings are
/// written again, and the time since the order goes on.
#[rstest]
fn move_goes_on_over_the_return(
    #[values(2_000, 6_000, 9_000, 10_500)] at_millis: u64,
    #[values(false, true)] is_order_lost: bool,
) {
    let mut node = node(MoveState::Running);
    let mut stats = CallStats::default();
    let before = Duration::from_millis(at_millis);
    send_requests(&mut node, before, false, &mut stats);
    enter_era(&mut node, 2);
    let listed = match is_order_lost {
        true => order(id_in(2, 3, 4), "v2", MoveState::Asked),
        false => order(id_in(1, 7, 20), "v2", MoveState::Running),
    };
    set_moves(&mut node, vec![listed]);
    send_requests(&mut node, MOVE_DURATION - before, false, &mut stats);
    let ends: Vec<MoveState> = node.decisions.iter().map(|d| d.state).collect();
    assert_eq!(
        ends.last(),
        Some(&MoveState::Completed),
        "{ends:?} {stats:?}"
    );
    let end = node.decisions.last().expect("an end");
    assert_eq!(
        end.id,
        if is_order_lost {
            id_in(2, 3, 4)
        } else {
            id_in(1, 7, 20)
        }
    );
    assert!(end.count.calls as usize >= stats.requests / 2, "{stats:?}");
}

/// Guards against a bad version that gets its exposure once more since the ledger that counts it was lost (EXPOSURE).
#[rstest]
fn bad_version_stays_within_its_exposure_over_the_return(
    #[values(2_000, 6_000, 9_000, 10_500)] at_millis: u64,
    #[values(false, true)] was_bad: bool,
) {
    let mut node = node(MoveState::Running);
    let mut stats = CallStats::default();
    let before = Duration::from_millis(at_millis);
    send_requests(&mut node, before, was_bad, &mut stats);
    enter_era(&mut node, 2);
    set_moves(
        &mut node,
        vec![order(id_in(2, 3, 4), "v2", MoveState::Asked)],
    );
    send_requests(&mut node, MOVE_DURATION - before, true, &mut stats);
    let allowed = 0.1 * stats.requests as f64 + 50.0;
    assert!((stats.new_calls as f64) <= allowed, "{stats:?}");
    assert!(stats.bad_answers <= 50, "{stats:?}");
    let states: Vec<MoveState> = node.decisions.iter().map(|d| d.state).collect();
    assert_eq!(states.last(), Some(&MoveState::RolledBack), "{stats:?}");
}

/// Guards against the end of a move that is lost with its status (RECOVER): it is written again once, under the identity
/// that the order has now, and only if the store lacks it.
#[rstest]
#[case::lost(id_in(2, 3, 4), MoveState::Asked, true)]
#[case::lost_after_the_announcement(id_in(1, 7, 20), MoveState::Running, true)]
#[case::kept(id_in(1, 7, 20), MoveState::Completed, false)]
fn end_is_written_again(
    #[case] id: OrderId,
    #[case] listed: MoveState,
    #[case] is_rewritten: bool,
    #[values(1, 2)] returns: u64,
) {
    let mut node = node(MoveState::Completed);
    for era in 2..2 + returns {
        enter_era(&mut node, era);
        node.run_for(Duration::from_millis(300));
    }
    assert!(node.decisions.is_empty(), "not known to be lost yet");
    set_moves(&mut node, vec![order(id, "v2", listed)]);
    assert!(node.decisions.is_empty(), "not all nodes at once");
    node.run_for(Duration::from_secs(1));
    if is_rewritten {
        let written = [(id.revision.era.expect("an era"), "v2", MoveState::Completed)];
        assert_eq!(decisions(&node), written);
        set_moves(&mut node, vec![order(id, "v2", MoveState::Completed)]);
    }
    let count = usize::from(is_rewritten);
    node.run_for(Duration::from_secs(20));
    assert_eq!(node.decisions.len(), count);
    node.request("r");
    assert_eq!(&*node.calls[0].instance, "v2-1");
}

/// Guards against an earlier order that is begun anew since the copy still holds it (missed moves). One that stays is an
/// order.
#[test]
fn replaced_order_of_the_copy_is_not_begun() {
    let mut node = node(MoveState::Asked);
    let next = order(id_in(1, 7, 25), "v3", MoveState::Running);
    set_moves(&mut node, vec![next]);
    node.decisions.clear();
    enter_era(&mut node, 2);
    let copied = order(id_in(2, 7, 20), "v2", MoveState::Asked);
    set_moves(&mut node, vec![copied.clone()]);
    node.run_for(Duration::from_secs(2));
    assert_eq!(decisions(&node), []);
    let again = order(id_in(2, 7, 22), "v3", MoveState::Asked);
    set_moves(&mut node, vec![again]);
    node.run_for(Duration::from_secs(2));
    assert_eq!(decisions(&node), [(2, "v3", MoveState::Running)]);

    node.run_for(Duration::from_secs(4));
    let later = order(id_in(2, 7, 24), "v2", MoveState::Asked);
    set_moves(&mut node, vec![later]);
    node.run_for(Duration::from_secs(2));
    assert_eq!(
        decisions(&node).last(),
        Some(&(2, "v2", MoveState::Running))
    );
}

/// Guards against an order that is taken for an earlier one for the same version, since it got the number of that again.
#[test]
fn order_written_again_gets_the_number_of_an_earlier_one() {
    let mut node = node(MoveState::RolledBack);
    let again = order(id_in(1, 7, 25), "v2", MoveState::Asked);
    set_moves(&mut node, vec![again]);
    enter_era(&mut node, 2);
    let written_again = order(id_in(2, 7, 20), "v2", MoveState::Asked);
    set_moves(&mut node, vec![written_again]);
    node.run_for(Duration::from_secs(2));
    assert_eq!(decisions(&node), [(2, "v2", MoveState::Running)]);
}

/// Guards against a move that is never announced, since that was asked for under the former identity of its order.
#[test]
fn move_is_announced_under_the_new_identity() {
    let mut node = node(MoveState::Asked);
    enter_era(&mut node, 2);
    node.run_for(Duration::from_secs(2));
    assert_eq!(decisions(&node), [(1, "v2", MoveState::Running)]);
    set_moves(
        &mut node,
        vec![order(id_in(2, 3, 4), "v2", MoveState::Asked)],
    );
    node.run_for(Duration::from_secs(2));
    assert_eq!(decisions(&node)[1..], [(2, "v2", MoveState::Running)]);
}

/// Guards against orders that are held back since their numbers are lower than those of earlier ones (EXPOSURE, review/13).
#[rstest]
fn new_order_after_the_return_is_begun_at_once(
    #[values(MoveState::Running, MoveState::Completed, MoveState::RolledBack)] held: MoveState,
) {
    let mut node = node(held);
    enter_era(&mut node, 2);
    set_moves(
        &mut node,
        vec![order(id_in(2, 3, 4), "v3", MoveState::Asked)],
    );
    node.run_for(Duration::from_millis(1_100));
    assert_eq!(decisions(&node), [(2, "v3", MoveState::Running)]);
}

/// Guards against an order that is never begun since it equals one from before the return (missed moves): a version that was
/// rolled back is ordered again, later. A service that has been moved already stays where it is.
#[rstest]
fn order_given_again_long_after_the_return(
    #[values(MoveState::Completed, MoveState::RolledBack)] held: MoveState,
    #[values(false, true)] is_order_lost: bool,
) {
    let mut node = node(held);
    enter_era(&mut node, 2);
    let copied = order(id_in(1, 7, 20), "v2", held);
    set_moves(&mut node, if is_order_lost { vec![] } else { vec![copied] });
    node.run_for(Duration::from_secs(6));
    let again = order(id_in(2, 7, 30), "v2", MoveState::Asked);
    set_moves(&mut node, vec![again]);
    node.run_for(Duration::from_secs(2));
    let expected = match held {
        MoveState::RolledBack => MoveState::Running,
        _ => MoveState::Completed,
    };
    assert_eq!(decisions(&node).last(), Some(&(2, "v2", expected)));
    node.request("r");
    let is_moved = &*node.calls[0].instance == "v2-1";
    assert_eq!(is_moved, held == MoveState::Completed);
}

/// Guards against an order that is taken to be withdrawn since the copy lacks it. One that nobody writes again is.
#[test]
fn missing_order_is_withdrawn_only_once_the_store_has_settled() {
    let mut node = node(MoveState::Running);
    enter_era(&mut node, 2);
    set_moves(&mut node, vec![]);
    node.run_for(Duration::from_millis(4_900));
    assert_eq!(node.fetch_time, None);
    node.run_for(Duration::from_millis(200));
    let fetched_at = node.fetch_time.expect("a fetch of the orders");
    node.apply(|edge, now, out| edge.orders_fetched(vec![], fetched_at, now, out));
    node.request("r");
    assert_eq!(&*node.calls[0].instance, "v1-1");
    assert!(!decisions(&node).contains(&(2, "v2", MoveState::RolledBack)));
}

/// Guards against a version that is taken for an established one since the copy lacks its order (EXPOSURE).
#[test]
fn version_without_order_is_not_called_before_the_store_has_settled() {
    let mut node = node(MoveState::Completed);
    enter_era(&mut node, 2);
    set_moves(&mut node, vec![]);
    node.apply(|edge, now, out| edge.upsert_leaf(leaf_of("v3"), now, out));
    node.run_for(Duration::from_secs(4));
    assert_eq!(node.fetch_time, None);
    for _ in 0..10 {
        node.request("r");
    }
    assert!(node.calls.iter().all(|call| &*call.instance == "v2-1"));
    set_moves(
        &mut node,
        vec![order(id_in(2, 3, 4), "v3", MoveState::Asked)],
    );
    node.run_for(Duration::from_secs(2));
    assert_eq!(
        decisions(&node).last(),
        Some(&(2, "v3", MoveState::Running))
    );
}

/// Guards against a node that waits for ever for the reply to a posting that it sent before the return.
#[test]
fn posting_in_flight_ends_over_the_return() {
    let mut node = node(MoveState::Running);
    let sent = node.first_post("r");
    enter_era(&mut node, 2);
    set_moves(
        &mut node,
        vec![order(id_in(2, 3, 4), "v2", MoveState::Asked)],
    );
    node.run_for(Duration::from_secs(2));
    assert!(node.posts.is_empty());
    node.apply(|edge, now, out| edge.post_ended(&sent, None, now, out));
    node.run_for(Duration::from_secs(2));
    let again = node.posts.first().expect("a posting");
    assert_eq!(again.id, id_in(2, 3, 4));
    assert_eq!(again.former_ids.as_slice(), [id_in(1, 7, 20)]);
    assert_eq!(again.posting.sequence, sent.posting.sequence);
}

/// Guards against a ledger that grants too little for the rest of a move: what a node knew before the return is told until
/// it is recorded, and not again.
#[test]
fn totals_from_before_the_return_are_told_once() {
    let mut node = node(MoveState::Running);
    let mut ledger = None;
    let mut told = Vec::new();
    for at in 0..6 {
        if at == 3 {
            enter_era(&mut node, 2);
            ledger = None;
        }
        node.request("r");
        let call = node.calls[0].call;
        node.end_call(call, success("1"));
        node.run_for(Duration::from_millis(1_500));
        told.extend(node.posts.iter().map(|p| p.history.totals_before.is_some()));
        node.answer_posts(&mut ledger);
    }
    let first = told.iter().position(|is_told| *is_told);
    assert!(first.is_some_and(|first| first > 0), "{told:?}");
    assert_eq!(
        told.iter().filter(|is_told| **is_told).count(),
        1,
        "{told:?}"
    );
    assert_eq!(told.last(), Some(&false), "{told:?}");
}

/// A listing of an earlier era changes nothing.
#[test]
fn listing_of_earlier_era_is_ignored() {
    let mut node = node(MoveState::Completed);
    enter_era(&mut node, 2);
    let renamed = order(id_in(2, 3, 4), "v3", MoveState::Asked);
    set_moves(&mut node, vec![renamed]);
    node.run_for(Duration::from_secs(2));
    let count = node.decisions.len();
    set_moves(
        &mut node,
        vec![order(id_in(1, 9, 99), "v2", MoveState::Asked)],
    );
    node.run_for(Duration::from_secs(2));
    assert_eq!(node.decisions.len(), count);
}

/// Guards against nodes that no other counts any more (FAILBACK): each registers again at each return, and only then.
#[test]
fn node_registers_again_at_each_return() {
    let mut node = node(MoveState::Completed);
    for era in [1, 2, 2, 1, 4] {
        enter_era(&mut node, era);
    }
    assert_eq!(node.registrations, [2, 4]);
}
