//! Idempotency keys are admitted at most once; budgets and admission keep their shares.

use std::collections::BTreeMap;
use std::time::Duration;

use monsoondeal_core::{Priority, Refusal, Time, UnknownReason};
use monsoondeal_limit::{Admission, Budget, IdempotencySettings, IdempotencyTable, KeyState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WINDOW: Duration = Duration::from_secs(30);

fn settings() -> IdempotencySettings {
    IdempotencySettings {
        window: WINDOW,
        capacity: 3,
    }
}

#[test]
fn idempotency_remembers_each_outcome() {
    let now = Time::from_millis(1_000);
    let mut table = IdempotencyTable::new(settings());
    assert_eq!(table.admit("a", now), KeyState::New);
    assert_eq!(
        table.admit("a", now),
        KeyState::Unknown(UnknownReason::EarlierRun)
    );
    table.record_answer("a", 7);
    assert_eq!(table.admit("a", now), KeyState::Answered(7));
    assert_eq!(table.admit("b", now), KeyState::New);
    table.record_not_run("b", Refusal::Overload);
    assert_eq!(table.admit("b", now), KeyState::NotRun(Refusal::Overload));
    assert_eq!(table.admit("c", now), KeyState::New);
    table.record_unknown("c", UnknownReason::NodeLost);
    assert_eq!(
        table.admit("c", now),
        KeyState::Unknown(UnknownReason::NodeLost)
    );
}

#[test]
fn idempotency_full_table_admits_nothing() {
    let now = Time::from_millis(1_000);
    let mut table = IdempotencyTable::<u8>::new(settings());
    for key in ["a", "b", "c"] {
        assert_eq!(table.admit(key, now), KeyState::New);
    }
    assert_eq!(
        table.admit("d", now),
        KeyState::Unknown(UnknownReason::TableFull)
    );
}

#[test]
fn idempotency_lost_predecessor_unknown_for_window() {
    let now = Time::from_millis(1_000);
    let mut table = IdempotencyTable::<u8>::with_lost_predecessor(settings(), now);
    let uncertain = now + WINDOW - Duration::from_millis(1);
    assert_eq!(
        table.admit("a", uncertain),
        KeyState::Unknown(UnknownReason::EarlierRun)
    );
    assert_eq!(table.admit("a", now + WINDOW), KeyState::New);
}

#[test]
fn idempotency_running_key_outlives_window() {
    let now = Time::from_millis(1_000);
    let mut table = IdempotencyTable::<u8>::new(settings());
    table.admit("a", now);
    let later = now + WINDOW * 2;
    assert_eq!(
        table.admit("a", later),
        KeyState::Unknown(UnknownReason::EarlierRun)
    );
}

#[test]
fn idempotency_handover_keeps_keys_and_uncertainty() {
    let now = Time::from_millis(100_000);
    let mut old = IdempotencyTable::with_lost_predecessor(settings(), now);
    let certain = now + WINDOW;
    old.admit("a", certain);
    old.record_answer("a", 1);
    old.admit("b", certain);
    // The clock of the new node has another origin.
    let new_now = Time::from_millis(5);
    let mut new = IdempotencyTable::with_lost_predecessor(settings(), new_now);
    new.take_over(old.hand_over(certain), new_now);
    assert_eq!(new.admit("a", new_now), KeyState::Answered(1));
    assert_eq!(
        new.admit("b", new_now),
        KeyState::Unknown(UnknownReason::EarlierRun)
    );
    assert_eq!(new.admit("c", new_now), KeyState::New);
    assert!(old.is_empty());

    let mut uncertain = IdempotencyTable::<u8>::with_lost_predecessor(settings(), now);
    let mut next = IdempotencyTable::with_lost_predecessor(settings(), new_now);
    next.take_over(uncertain.hand_over(now + Duration::from_secs(10)), new_now);
    let state = next.admit("d", new_now + Duration::from_secs(19));
    assert_eq!(state, KeyState::Unknown(UnknownReason::EarlierRun));
    assert_eq!(
        next.admit("d", new_now + Duration::from_secs(20)),
        KeyState::New
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), cases: 512, ..ProptestConfig::default() })]

    /// Over any order of requests and ends within the window, no key is admitted twice.
    #[test]
    fn idempotency_admits_each_key_once(
        steps in proptest::collection::vec((0..6_u8, 0..4_u8, 0..200_u64), 0..150),
    ) {
        let mut table = IdempotencyTable::new(IdempotencySettings { window: WINDOW, capacity: 100 });
        let mut now = Time::from_millis(1);
        let mut admitted: BTreeMap<u8, Time> = BTreeMap::new();
        for (key, action, millis) in steps {
            now = now + Duration::from_millis(millis);
            let name = key.to_string();
            match action {
                0 => table.record_answer(&name, key),
                1 => table.record_not_run(&name, Refusal::Overload),
                2 => table.record_unknown(&name, UnknownReason::Timeout),
                _ => {
                    if table.admit(&name, now) == KeyState::New {
                        let before = admitted.insert(key, now);
                        let within = before.is_some_and(|at| now.since(at) <= WINDOW);
                        prop_assert!(!within, "key {} twice", key);
                    }
                }
            }
        }
    }

    /// Extra calls stay within the ratio and the reserve, for any order of calls.
    #[test]
    fn budget_keeps_ratio(steps in proptest::collection::vec(any::<bool>(), 0..2_000)) {
        let mut budget = Budget::new(0.05, 10.0);
        let (mut regular, mut extra) = (0_u32, 0_u32);
        for spend in steps {
            if spend {
                extra += u32::from(budget.try_spend());
            } else {
                regular += 1;
                budget.earn(1);
            }
            prop_assert!(f64::from(extra) <= f64::from(regular) * 0.05 + 10.0 + 1e-6);
        }
    }
}

#[test]
fn admission_refuses_least_important_first() {
    let mut admission = Admission::default();
    let mut now = Time::from_millis(1_000);
    for _ in 0..4 {
        for _ in 0..50 {
            admission.record(Priority::Normal, true, now, now);
        }
        now = now + Duration::from_secs(1);
    }
    let shares = Priority::ALL.map(|p| admission.refused_share(p));
    assert_eq!(shares[0], 0.0);
    assert!(shares[2] > shares[1], "{shares:?}");
    let refused = (0..1_000)
        .filter(|_| !admission.admit(Priority::Bulk))
        .count();
    assert!((refused as f64 / 1_000.0 - shares[2]).abs() < 0.01);
}

#[test]
fn admission_recovers() {
    let mut admission = Admission::default();
    let mut now = Time::from_millis(1_000);
    for step in 0..200 {
        admission.record(Priority::First, step < 20, now, now);
        now = now + Duration::from_secs(1);
    }
    assert!(
        Priority::ALL
            .iter()
            .all(|p| admission.refused_share(*p) == 0.0)
    );
}
