//! Gates keep leafs within their limits, whatever comes.

use std::collections::BTreeSet;
use std::time::Duration;

use monsoondeal_core::{Priority, Refusal, Time};
use monsoondeal_limit::{
    CallFeedback, CancelOutcome, Decision, LeafLimiter, LeafLimiterSettings, Offer,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn settings() -> LeafLimiterSettings {
    LeafLimiterSettings {
        slots: 2,
        cold_slots: 1,
        cold_gap: Duration::from_millis(10),
        warm_after: 3,
        max_queued: 4,
        ..LeafLimiterSettings::default()
    }
}

fn offer(id: u32, priority: Priority, deadline: u64) -> Offer<u32> {
    Offer {
        id,
        priority,
        deadline: Time::from_millis(deadline),
        hedge: false,
    }
}

/// Returns a gate that good answers have made warm, and the time after them.
fn warm_gate() -> (LeafLimiter<u32>, Time) {
    let mut gate = LeafLimiter::new(settings());
    let mut now = Time::from_millis(1_000);
    for id in 0..3 {
        assert_eq!(
            gate.offer(offer(id, Priority::First, 100_000), now),
            Decision::Start
        );
        now = now + Duration::from_millis(10);
        gate.finish(CallFeedback::Answered(Duration::from_millis(1)), now);
    }
    assert!(!gate.is_cold());
    (gate, now)
}

#[test]
fn gate_cold_spaces_starts() {
    let mut gate = LeafLimiter::new(settings());
    let now = Time::from_millis(1_000);
    assert_eq!(
        gate.offer(offer(1, Priority::First, 9_000), now),
        Decision::Start
    );
    assert_eq!(
        gate.offer(offer(2, Priority::First, 9_000), now),
        Decision::Queued
    );
    gate.finish(
        CallFeedback::Answered(Duration::from_millis(1)),
        now + Duration::from_millis(1),
    );
    assert_eq!(gate.poll(now + Duration::from_millis(9)), None);
    let due = now + Duration::from_millis(10);
    assert_eq!(gate.next_wake(), Some(due));
    assert_eq!(gate.poll(due), Some((2, Decision::Start)));
}

#[test]
fn gate_warm_uses_all_slots() {
    let (mut gate, now) = warm_gate();
    assert_eq!(
        gate.offer(offer(10, Priority::Bulk, 9_000), now),
        Decision::Start
    );
    assert_eq!(
        gate.offer(offer(11, Priority::Bulk, 9_000), now),
        Decision::Start
    );
    assert_eq!(
        gate.offer(offer(12, Priority::Bulk, 9_000), now),
        Decision::Queued
    );
}

#[rstest]
#[case::shed(CallFeedback::Shed)]
#[case::broken(CallFeedback::ConnectionLost)]
fn gate_turns_cold(#[case] verdict: CallFeedback) {
    let (mut gate, now) = warm_gate();
    gate.offer(offer(10, Priority::First, 9_000), now);
    gate.finish(verdict, now);
    assert!(gate.is_cold());
}

#[test]
fn gate_unreachable_leaf_keeps_nobody_waiting() {
    let (mut gate, now) = warm_gate();
    for id in 10..14 {
        gate.offer(offer(id, Priority::First, 9_000), now);
    }
    gate.finish(CallFeedback::Unreachable, now);
    let refused = Decision::Refused(Refusal::Unreachable);
    assert_eq!(gate.poll(now), Some((13, refused)));
    assert_eq!(gate.poll(now), Some((12, refused)));
    assert_eq!(gate.offer(offer(14, Priority::First, 9_000), now), refused);
    // One call at a time tries whether the leaf is back.
    gate.finish(CallFeedback::Unreachable, now);
    let later = now + Duration::from_millis(10);
    assert_eq!(
        gate.offer(offer(15, Priority::First, 9_000), later),
        Decision::Start
    );
    gate.finish(CallFeedback::Answered(Duration::from_millis(1)), later);
    assert_eq!(
        gate.offer(offer(16, Priority::First, 9_000), later),
        Decision::Queued
    );
}

#[test]
fn gate_turns_cold_after_slow_answers() {
    let (mut gate, now) = warm_gate();
    for id in 0..3 {
        gate.offer(offer(id, Priority::First, 90_000), now);
        gate.finish(CallFeedback::Answered(Duration::from_millis(50)), now);
    }
    assert!(gate.is_cold());
}

#[test]
fn gate_turns_cold_when_idle() {
    let (mut gate, now) = warm_gate();
    let later = now + settings().idle_limit + Duration::from_secs(1);
    gate.offer(offer(10, Priority::First, 900_000), later);
    assert!(gate.is_cold());
}

#[test]
fn gate_refuses_hedge_without_room() {
    let (mut gate, now) = warm_gate();
    gate.offer(offer(10, Priority::First, 9_000), now);
    gate.offer(offer(11, Priority::First, 9_000), now);
    let hedge = Offer {
        hedge: true,
        ..offer(12, Priority::First, 9_000)
    };
    assert_eq!(gate.offer(hedge, now), Decision::Refused(Refusal::Busy));
    let mut cold = LeafLimiter::new(settings());
    assert_eq!(cold.offer(hedge, now), Decision::Refused(Refusal::Cold));
}

#[test]
fn gate_full_queue_makes_room_for_priority() {
    let (mut gate, now) = warm_gate();
    for id in 0..6 {
        gate.offer(offer(id, Priority::Bulk, 9_000), now);
    }
    assert_eq!(gate.waiting(), 4);
    let bulk = gate.offer(offer(7, Priority::Bulk, 9_000), now);
    assert_eq!(bulk, Decision::Refused(Refusal::Overload));
    assert_eq!(
        gate.offer(offer(8, Priority::First, 9_000), now),
        Decision::Queued
    );
    assert_eq!(
        gate.poll(now),
        Some((5, Decision::Refused(Refusal::Overload)))
    );
    gate.finish(CallFeedback::Answered(Duration::from_millis(1)), now);
    assert_eq!(gate.poll(now), Some((8, Decision::Start)));
}

#[test]
fn gate_cancel_tells_whether_it_ran() {
    let (mut gate, now) = warm_gate();
    for id in 0..3 {
        gate.offer(offer(id, Priority::First, 9_000), now);
    }
    assert_eq!(gate.cancel(2), CancelOutcome::NotRun);
    assert_eq!(gate.cancel(0), CancelOutcome::TooLate);
    assert_eq!(gate.cancel(2), CancelOutcome::TooLate);
}

#[test]
fn gate_expired_call_is_refused() {
    let (mut gate, now) = warm_gate();
    let late = gate.offer(offer(1, Priority::First, 1), now);
    assert_eq!(late, Decision::Refused(Refusal::Expired));
}

/// One step against a gate.
#[derive(Clone, Debug)]
enum Step {
    Offer {
        priority: usize,
        patience: u64,
        hedge: bool,
    },
    Finish {
        at: usize,
        kind: u8,
        millis: u64,
    },
    Cancel {
        at: usize,
    },
    Wait {
        millis: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3_usize, 1..500_u64, any::<bool>()).prop_map(|(priority, patience, hedge)| {
            Step::Offer { priority, patience, hedge }
        }),
        3 => (any::<usize>(), 0..4_u8, 0..40_u64).prop_map(|(at, kind, millis)| {
            Step::Finish { at, kind, millis }
        }),
        1 => any::<usize>().prop_map(|at| Step::Cancel { at }),
        3 => (0..60_u64).prop_map(|millis| Step::Wait { millis }),
    ];
    proptest::collection::vec(step, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), cases: 512, ..ProptestConfig::default() })]

    /// Over any interleaving: never more running than the limit, starts on a cold leaf apart by the
    /// gap, and each call starts at most once and never after a refusal or a cancellation.
    #[test]
    fn gate_keeps_limits(steps in steps()) {
        let settings = settings();
        let mut gate = LeafLimiter::new(settings);
        let mut now = Time::from_millis(1_000);
        let (mut running, mut ended) = (Vec::new(), BTreeSet::new());
        let mut last_cold_start: Option<Time> = None;
        let mut next = 0_u32;
        for step in steps {
            let mut started = Vec::new();
            match step {
                Step::Offer { priority, patience, hedge } => {
                    next += 1;
                    let deadline = now + Duration::from_millis(patience);
                    let priority = Priority::ALL[priority];
                    match gate.offer(Offer { id: next, priority, deadline, hedge }, now) {
                        Decision::Start => started.push(next),
                        Decision::Queued => prop_assert!(!hedge, "a hedge never waits"),
                        Decision::Refused(_) => { ended.insert(next); }
                    }
                }
                Step::Finish { at, kind, millis } if !running.is_empty() => {
                    let id = running.swap_remove(at % running.len());
                    ended.insert(id);
                    gate.finish(match kind {
                        0 => CallFeedback::Shed,
                        1 if millis < 20 => CallFeedback::ConnectionLost,
                        1 => CallFeedback::Unreachable,
                        _ => CallFeedback::Answered(Duration::from_millis(millis)),
                    }, now);
                }
                Step::Cancel { at } if next > 0 => {
                    let id = (at as u32 % next) + 1;
                    if gate.cancel(id) == CancelOutcome::NotRun {
                        prop_assert!(!running.contains(&id));
                        ended.insert(id);
                    }
                }
                Step::Wait { millis } => now = now + Duration::from_millis(millis),
                _ => {}
            }
            while let Some((id, decision)) = gate.poll(now) {
                match decision {
                    Decision::Start => started.push(id),
                    _ => { prop_assert!(ended.insert(id), "call {} ends once", id); }
                }
            }
            for id in started {
                prop_assert!(!ended.contains(&id) && !running.contains(&id));
                running.push(id);
                if gate.is_cold() {
                    if let Some(last) = last_cold_start {
                        prop_assert!(now >= last + settings.cold_gap, "starts on a cold leaf");
                    }
                    last_cold_start = Some(now);
                } else {
                    last_cold_start = None;
                }
            }
            prop_assert!(running.len() <= settings.slots as usize);
            prop_assert_eq!(gate.running() as usize, running.len());
        }
    }
}
