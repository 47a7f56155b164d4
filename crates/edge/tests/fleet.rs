//! Simulated version moves on a fleet of nodes: the calls that a bad version gets from all nodes together, and the
//! completion of good versions by the deadline.

mod common;

use common::move_simulation::{
    Disruption, Load, MOVE_DURATION_MS, MoveSimulation, MoveStats, VersionBehaviour,
};
use rstest::rstest;

/// Usual load of a shard at a small site.
const USUAL_LOAD: Load = Load { nodes: 9, rate: 90 };
/// The same nodes with few requests.
const LOW_LOAD: Load = Load { nodes: 9, rate: 30 };
/// The same nodes with many requests.
const HIGH_LOAD: Load = Load {
    nodes: 9,
    rate: 200,
};
/// Fewer requests a second than nodes.
const SPARSE_LOAD: Load = Load {
    nodes: 40,
    rate: 11,
};

fn assert_within_bounds(stats: &MoveStats) {
    assert!(stats.is_within_bounds(), "{stats:?}");
    assert!(stats.bad_answers == 0 || stats.arrivals > 0);
}

/// A bad version gets at most a tenth of the calls and 50 more from all nodes together, and none later than five
/// seconds after its fiftieth bad answer.
#[rstest]
fn exposure_of_a_bad_version_is_bounded(
    #[values(USUAL_LOAD, LOW_LOAD, HIGH_LOAD, SPARSE_LOAD)] load: Load,
    #[values(
        VersionBehaviour::Fails(30, 0),
        VersionBehaviour::Fails(30, 7_500),
        VersionBehaviour::Fails(5, 0),
        VersionBehaviour::Fails(100, 0),
        VersionBehaviour::Slow(4, 0),
        VersionBehaviour::Slow(4, 7_500),
        VersionBehaviour::FailsUnderLoad(40),
        VersionBehaviour::FailsOnSecondRoute(60)
    )]
    behaviour: VersionBehaviour,
    #[values(
        Disruption::Undisturbed,
        Disruption::StoreOutage(0, 24_000),
        Disruption::StoreOutage(3_000, 8_000),
        Disruption::StoreRefusesSome(1_000),
        Disruption::StoreLosesReplies(0, 24_000),
        Disruption::OldLeafsLost(2_000, 7_000),
        Disruption::OldLeafsLost(2_000, 24_000),
        Disruption::HalfRestart(7_300),
        Disruption::AllRestart(5_000),
        Disruption::RestartInOutage(7_300),
        Disruption::LateOrder(5_000),
        Disruption::ClockSkew(2_400)
    )]
    disruption: Disruption,
) {
    assert_within_bounds(&MoveSimulation::new(load, behaviour, disruption).run());
}

/// A move to a good version is completed by its deadline if nodes can reach the store by then.
#[rstest]
fn good_version_is_completed_on_schedule(
    #[values(USUAL_LOAD, LOW_LOAD, HIGH_LOAD, SPARSE_LOAD)] load: Load,
    #[values(
        Disruption::Undisturbed,
        Disruption::StoreOutage(3_000, 8_000),
        Disruption::StoreRefusesSome(1_000),
        Disruption::StoreLosesReplies(2_000, 8_000),
        Disruption::OldLeafsLost(2_000, 7_000),
        Disruption::HalfRestart(7_300),
        Disruption::LateOrder(5_000),
        Disruption::ClockSkew(2_400)
    )]
    disruption: Disruption,
) {
    let stats = MoveSimulation::new(load, VersionBehaviour::Healthy, disruption).run();
    let is_in_time = stats.completed.is_some_and(|at| at <= MOVE_DURATION_MS);
    assert!(is_in_time, "{stats:?}");
    assert_eq!(stats.rolled_back, None);
}

/// Guards against a fault that goes undetected since the version gives few bad answers: the move was completed, and
/// the version got calls more than five seconds after its fiftieth bad answer.
#[rstest]
#[case::rare_failures(
    3,
    HIGH_LOAD,
    VersionBehaviour::Fails(5, 0),
    Disruption::StoreRefusesSome(1_000)
)]
#[case::restarted_nodes(
    4,
    SPARSE_LOAD,
    VersionBehaviour::Slow(4, 7_500),
    Disruption::AllRestart(5_000)
)]
fn exposure_of_an_unseen_fault(
    #[case] seed: u64,
    #[case] load: Load,
    #[case] behaviour: VersionBehaviour,
    #[case] disruption: Disruption,
) {
    assert_within_bounds(&MoveSimulation::with_seed(load, behaviour, disruption, seed).run());
}

/// Guards against the rollback of a good version: with few calls the nodes lacked the evidence that it handles the
/// load.
#[rstest]
fn good_version_with_few_calls_and_nodes_is_completed(#[values(1, 3)] seed: u64) {
    let disruption = Disruption::StoreRefusesSome(1_000);
    let stats =
        MoveSimulation::with_seed(SPARSE_LOAD, VersionBehaviour::Healthy, disruption, seed).run();
    assert!(
        stats.completed.is_some_and(|at| at <= MOVE_DURATION_MS),
        "{stats:?}"
    );
}
