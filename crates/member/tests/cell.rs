//! Leases, members and rosters as one node views its cell.

use std::collections::BTreeSet;
use std::time::Duration;

use monsoondeal_core::{Epoch, NodeId, Time};
use monsoondeal_member::{
    CellSettings, CellView, Heartbeat, LeaseStatus, Member, Roster, blocking_quorum, majority,
};
use rstest::rstest;

const LEASE_DURATION: Duration = Duration::from_secs(2);

fn member(node: u64) -> Member {
    let addr = |port: u64| std::net::SocketAddr::from(([127, 0, 0, 1], (port + node) as u16));
    Member {
        node: NodeId(node),
        peer: addr(1_000),
        admin: addr(2_000),
        domain: "p1".to_owned(),
        vm: format!("vm-{node}"),
        position: 0,
        listed: true,
    }
}

fn roster(nodes: &[u64]) -> Roster {
    Roster::default().next(nodes.iter().map(|n| member(*n)).collect(), Vec::new())
}

fn heartbeat(known: u64, drained: u64) -> Heartbeat {
    Heartbeat {
        known: Epoch(known),
        drained: Epoch(drained),
        ..Heartbeat::default()
    }
}

/// Returns node 1 of a settled cell.
fn cell(nodes: &[u64], now: Time) -> CellView {
    let mut cell = CellView::new(CellSettings::default(), member(1));
    cell.learn(roster(nodes), now);
    cell
}

#[test]
fn lease_needs_a_majority() {
    let now = Time::from_millis(10_000);
    let mut cell = cell(&[1, 2, 3], now);
    assert_eq!(cell.lease(None, now), LeaseStatus::Lapsed);
    cell.on_heartbeat(NodeId(2), Some(now), heartbeat(1, 1), now);
    assert_eq!(cell.lease(None, now), LeaseStatus::Held);
    assert_eq!(cell.lease(None, now + LEASE_DURATION), LeaseStatus::Lapsed);
}

/// A lease counts from when the confirmed message was sent, not from when it was answered.
#[test]
fn lease_counts_from_sending() {
    let sent_at = Time::from_millis(10_000);
    let mut cell = cell(&[1, 2, 3], sent_at);
    let answered = sent_at + Duration::from_millis(1_900);
    cell.on_heartbeat(NodeId(2), Some(sent_at), heartbeat(1, 1), answered);
    assert_eq!(cell.lease(None, answered), LeaseStatus::Held);
    assert_eq!(
        cell.lease(None, answered + Duration::from_millis(100)),
        LeaseStatus::Lapsed
    );
}

#[test]
fn lease_not_confirmed_by_later_epoch() {
    let now = Time::from_millis(10_000);
    let mut cell = cell(&[1, 2, 3], now);
    cell.on_heartbeat(NodeId(2), Some(now), heartbeat(2, 1), now);
    assert_eq!(cell.lease(None, now), LeaseStatus::Lapsed);
}

#[test]
fn lease_waits_for_previous_holder() {
    let now = Time::from_millis(10_000);
    let mut cell = cell(&[1, 2, 3], now);
    let next = cell
        .roster()
        .next([1, 2, 3, 4].map(member).to_vec(), Vec::new());
    cell.learn(next, now);
    cell.on_heartbeat(NodeId(2), Some(now), heartbeat(2, 1), now);
    cell.on_heartbeat(NodeId(3), Some(now), heartbeat(2, 2), now);
    assert_eq!(cell.lease(Some(NodeId(2)), now), LeaseStatus::Waiting);
    assert_eq!(
        cell.lease(Some(NodeId(3)), now),
        LeaseStatus::Held,
        "node 3 has drained"
    );
    assert_eq!(
        cell.lease(Some(NodeId(1)), now),
        LeaseStatus::Held,
        "this node held it before"
    );
    assert_eq!(
        cell.lease(None, now),
        LeaseStatus::Held,
        "nobody held it before"
    );

    // The lease of a holder that has not drained is over at the fence: lease duration and longest call after enough
    // members know the epoch, plus 5 % for clock drift.
    let later = now + Duration::from_millis(3_100);
    cell.on_heartbeat(NodeId(3), Some(later), heartbeat(2, 2), later);
    cell.on_heartbeat(NodeId(4), Some(later), heartbeat(2, 2), later);
    assert_eq!(cell.lease(Some(NodeId(2)), later), LeaseStatus::Waiting);
    let fenced = now + Duration::from_millis(3_151);
    assert_eq!(cell.lease(Some(NodeId(2)), fenced), LeaseStatus::Held);
}

#[test]
fn lease_confirmed_by_the_store() {
    let now = Time::from_millis(10_000);
    let mut cell = cell(&[1, 2], now);
    assert_eq!(cell.lease(None, now), LeaseStatus::Lapsed);
    cell.on_store_read(now, Epoch(1));
    assert_eq!(cell.lease(None, now), LeaseStatus::Held);
    assert_eq!(cell.lease(None, now + LEASE_DURATION), LeaseStatus::Lapsed);
    cell.on_store_read(now + LEASE_DURATION, Epoch(2));
    assert_eq!(
        cell.lease(None, now + LEASE_DURATION),
        LeaseStatus::Lapsed,
        "the store knows a later epoch"
    );
}

#[test]
fn learn_ignores_older_rosters() {
    let now = Time::from_millis(10_000);
    let mut cell = cell(&[1, 2, 3], now);
    let first = cell.roster().clone();
    let second = first.next([1, 2].map(member).to_vec(), Vec::new());
    assert!(cell.learn(second.clone(), now));
    assert!(!cell.learn(first, now));
    assert!(!cell.learn(second.clone(), now));
    assert!(cell.learn(second.settled(), now));
    assert!(
        !cell.learn(second, now),
        "a settled epoch does not become unsettled"
    );
}

#[test]
fn proposal_removes_silent_members_only_with_majority() {
    let start = Time::from_millis(10_000);
    let mut cell = cell(&[1, 2, 3, 4], start);
    let now = start + Duration::from_secs(3);
    assert_eq!(
        cell.proposal(&[], &[], now),
        None,
        "three of four are silent"
    );
    cell.on_heartbeat(NodeId(2), Some(now), heartbeat(1, 1), now);
    cell.on_heartbeat(NodeId(3), Some(now), heartbeat(1, 1), now);
    let next = cell.proposal(&[], &[], now).expect("node 4 is removed");
    assert_eq!(next.epoch, Epoch(2));
    assert!(!next.contains(NodeId(4)) && next.members.len() == 3);
}

/// Absence from the platform's list counts only for a silent node that the list has contained.
#[test]
fn member_gone_requires_absence_and_silence() {
    let start = Time::from_millis(10_000);
    let mut cell = cell(&[1, 2, 3, 4], start);
    let soon = start + Duration::from_secs(3);
    let late = start + Duration::from_secs(11);
    assert!(!cell.may_join(late), "three of four may still act");
    cell.set_vms(BTreeSet::from(["vm-1".to_owned()]));
    assert!(
        !cell.may_join(soon),
        "the others have not been silent for long enough"
    );
    assert!(cell.may_join(late));
    cell.on_heartbeat(NodeId(2), Some(late), heartbeat(1, 1), late);
    assert!(
        cell.proposal(&[], &[], late)
            .is_some_and(|next| next.contains(NodeId(2)))
    );
}

#[rstest]
#[case(1, 1, 1)]
#[case(2, 2, 1)]
#[case(3, 2, 2)]
#[case(4, 3, 2)]
#[case(32, 17, 16)]
fn majorities_overlap(
    #[case] count: usize,
    #[case] majority_size: usize,
    #[case] blocking_size: usize,
) {
    assert_eq!(
        (majority(count), blocking_quorum(count)),
        (majority_size, blocking_size)
    );
    assert!(
        count - blocking_size < majority(count),
        "the others are no majority"
    );
}

#[test]
fn next_roster_gives_free_position_to_newcomer() {
    let first = roster(&[1, 2, 3]);
    let positions: Vec<u32> = first.members.iter().map(|m| m.position).collect();
    assert_eq!(positions, [0, 1, 2]);
    let next = first.next([1, 3, 9].map(member).to_vec(), Vec::new());
    let newcomer = next.member(NodeId(9)).expect("a member");
    let left = first.member(NodeId(2)).expect("a member");
    assert_eq!(newcomer.position, left.position);
    let kept = next.member(NodeId(3)).expect("a member");
    assert_eq!(
        Some(kept.position),
        first.member(NodeId(3)).map(|m| m.position)
    );
}
