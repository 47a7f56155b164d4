//! Simulated version moves on a fleet of nodes: the calls that a bad version gets from all nodes together, and the
//! completion of good versions by the deadline.

mod common;

use common::fleet::{Badness, DURATION, Fleet, Load, Played, Trouble};
use rstest::rstest;

/// Loads of a shard at a small site: the usual one, few and many requests.
const SHARD: Load = Load { nodes: 9, rate: 90 };
const FEW: Load = Load { nodes: 9, rate: 30 };
const MANY: Load = Load {
    nodes: 9,
    rate: 200,
};
/// Fewer requests a second than nodes.
const SPARSE: Load = Load {
    nodes: 40,
    rate: 11,
};

fn assert_within(played: &Played) {
    assert!(played.is_within(), "{played:?}");
    assert!(played.bad == 0 || played.arrivals > 0);
}

/// A bad version gets at most a tenth of the calls and 50 more from all nodes together, and none later than five
/// seconds after its fiftieth bad answer.
#[rstest]
fn exposure_of_a_bad_version_is_bounded(
    #[values(SHARD, FEW, MANY, SPARSE)] load: Load,
    #[values(
        Badness::Fails(30, 0),
        Badness::Fails(30, 7_500),
        Badness::Fails(5, 0),
        Badness::Fails(100, 0),
        Badness::Slow(4, 0),
        Badness::Slow(4, 7_500),
        Badness::UnderLoad(40),
        Badness::OneRoute(60)
    )]
    badness: Badness,
    #[values(
        Trouble::Calm,
        Trouble::StoreAway(0, 24_000),
        Trouble::StoreAway(3_000, 8_000),
        Trouble::TurnsAway(1_000),
        Trouble::LosesAnswers(0, 24_000),
        Trouble::OldLost(2_000, 7_000),
        Trouble::OldLost(2_000, 24_000),
        Trouble::HalfRestart(7_300),
        Trouble::AllRestart(5_000),
        Trouble::RestartStoreAway(7_300),
        Trouble::LateOrder(5_000),
        Trouble::Clocks(2_400)
    )]
    trouble: Trouble,
) {
    assert_within(&Fleet::new(load, badness, trouble).play());
}

/// A move to a good version is completed by its deadline if nodes can reach the store by then.
#[rstest]
fn good_version_is_completed_on_schedule(
    #[values(SHARD, FEW, MANY, SPARSE)] load: Load,
    #[values(
        Trouble::Calm,
        Trouble::StoreAway(3_000, 8_000),
        Trouble::TurnsAway(1_000),
        Trouble::LosesAnswers(2_000, 8_000),
        Trouble::OldLost(2_000, 7_000),
        Trouble::HalfRestart(7_300),
        Trouble::LateOrder(5_000),
        Trouble::Clocks(2_400)
    )]
    trouble: Trouble,
) {
    let played = Fleet::new(load, Badness::Good, trouble).play();
    let is_in_time = played.completed.is_some_and(|at| at <= DURATION);
    assert!(is_in_time, "{played:?}");
    assert_eq!(played.rolled_back, None);
}

/// The fault goes undetected since the version gives few bad answers: the move is completed, and the version gets
/// calls more than five seconds after its fiftieth bad answer.
#[rstest]
#[case::few_of_many(3, MANY, Badness::Fails(5, 0), Trouble::TurnsAway(1_000))]
#[case::nodes_that_start_anew(4, SPARSE, Badness::Slow(4, 7_500), Trouble::AllRestart(5_000))]
fn exposure_of_an_unseen_fault(
    #[case] seed: u64,
    #[case] load: Load,
    #[case] badness: Badness,
    #[case] trouble: Trouble,
) {
    assert_within(&Fleet::with_seed(load, badness, trouble, seed).play());
}

/// With few calls the nodes lack the evidence that a good version handles the load, and roll it back.
#[rstest]
fn good_version_with_few_calls_and_nodes_is_completed(#[values(1, 3)] seed: u64) {
    let trouble = Trouble::TurnsAway(1_000);
    let played = Fleet::with_seed(SPARSE, Badness::Good, trouble, seed).play();
    assert!(
        played.completed.is_some_and(|at| at <= DURATION),
        "{played:?}"
    );
}
