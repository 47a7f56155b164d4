//! `LeafLimiter` keeps the calls to a leaf within its limits.

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

/// Returns the limiter of a leaf that has turned warm, and the time of its last answer.
fn warm_limiter() -> (LeafLimiter<u32>, Time) {
    let mut limiter = LeafLimiter::new(settings());
    let mut now = Time::from_millis(1_000);
    for id in 0..3 {
        assert_eq!(
            limiter.offer(offer(id, Priority::First, 100_000), now),
            Decision::Start
        );
        now = now + Duration::from_millis(10);
        limiter.finish(CallFeedback::Answered(Duration::from_millis(1)), now);
    }
    assert!(!limiter.is_cold());
    (limiter, now)
}

#[test]
fn limiter_cold_spaces_starts() {
    let mut limiter = LeafLimiter::new(settings());
    let now = Time::from_millis(1_000);
    assert_eq!(
        limiter.offer(offer(1, Priority::First, 9_000), now),
        Decision::Start
    );
    assert_eq!(
        limiter.offer(offer(2, Priority::First, 9_000), now),
        Decision::Queued
    );
    limiter.finish(
        CallFeedback::Answered(Duration::from_millis(1)),
        now + Duration::from_millis(1),
    );
    assert_eq!(limiter.poll(now + Duration::from_millis(9)), None);
    let due = now + Duration::from_millis(10);
    assert_eq!(limiter.next_wake(), Some(due));
    assert_eq!(limiter.poll(due), Some((2, Decision::Start)));
}

#[test]
fn limiter_warm_uses_all_slots() {
    let (mut limiter, now) = warm_limiter();
    assert_eq!(
        limiter.offer(offer(10, Priority::Bulk, 9_000), now),
        Decision::Start
    );
    assert_eq!(
        limiter.offer(offer(11, Priority::Bulk, 9_000), now),
        Decision::Start
    );
    assert_eq!(
        limiter.offer(offer(12, Priority::Bulk, 9_000), now),
        Decision::Queued
    );
}

#[rstest]
#[case::shed(CallFeedback::Shed)]
#[case::connection_lost(CallFeedback::ConnectionLost)]
fn limiter_turns_cold(#[case] feedback: CallFeedback) {
    let (mut limiter, now) = warm_limiter();
    limiter.offer(offer(10, Priority::First, 9_000), now);
    limiter.finish(feedback, now);
    assert!(limiter.is_cold());
}

#[test]
fn limiter_unreachable_leaf_refuses_queued_calls() {
    let (mut limiter, now) = warm_limiter();
    for id in 10..14 {
        limiter.offer(offer(id, Priority::First, 9_000), now);
    }
    limiter.finish(CallFeedback::Unreachable, now);
    let refused = Decision::Refused(Refusal::Unreachable);
    assert_eq!(limiter.poll(now), Some((13, refused)));
    assert_eq!(limiter.poll(now), Some((12, refused)));
    assert_eq!(
        limiter.offer(offer(14, Priority::First, 9_000), now),
        refused
    );
    // One call at a time probes whether the leaf is reachable again.
    limiter.finish(CallFeedback::Unreachable, now);
    let later = now + Duration::from_millis(10);
    assert_eq!(
        limiter.offer(offer(15, Priority::First, 9_000), later),
        Decision::Start
    );
    limiter.finish(CallFeedback::Answered(Duration::from_millis(1)), later);
    assert_eq!(
        limiter.offer(offer(16, Priority::First, 9_000), later),
        Decision::Queued
    );
}

#[test]
fn limiter_turns_cold_after_slow_answers() {
    let (mut limiter, now) = warm_limiter();
    for id in 0..3 {
        limiter.offer(offer(id, Priority::First, 90_000), now);
        limiter.finish(CallFeedback::Answered(Duration::from_millis(50)), now);
    }
    assert!(limiter.is_cold());
}

#[test]
fn limiter_turns_cold_when_idle() {
    let (mut limiter, now) = warm_limiter();
    let later = now + settings().idle_limit + Duration::from_secs(1);
    limiter.offer(offer(10, Priority::First, 900_000), later);
    assert!(limiter.is_cold());
}

#[test]
fn limiter_refuses_hedge_without_free_slot() {
    let (mut limiter, now) = warm_limiter();
    limiter.offer(offer(10, Priority::First, 9_000), now);
    limiter.offer(offer(11, Priority::First, 9_000), now);
    let hedge = Offer {
        hedge: true,
        ..offer(12, Priority::First, 9_000)
    };
    assert_eq!(limiter.offer(hedge, now), Decision::Refused(Refusal::Busy));
    let mut cold = LeafLimiter::new(settings());
    assert_eq!(cold.offer(hedge, now), Decision::Refused(Refusal::Cold));
}

#[test]
fn limiter_full_queue_evicts_lower_priority() {
    let (mut limiter, now) = warm_limiter();
    for id in 0..6 {
        limiter.offer(offer(id, Priority::Bulk, 9_000), now);
    }
    assert_eq!(limiter.waiting(), 4);
    let bulk = limiter.offer(offer(7, Priority::Bulk, 9_000), now);
    assert_eq!(bulk, Decision::Refused(Refusal::Overload));
    assert_eq!(
        limiter.offer(offer(8, Priority::First, 9_000), now),
        Decision::Queued
    );
    assert_eq!(
        limiter.poll(now),
        Some((5, Decision::Refused(Refusal::Overload)))
    );
    limiter.finish(CallFeedback::Answered(Duration::from_millis(1)), now);
    assert_eq!(limiter.poll(now), Some((8, Decision::Start)));
}

#[test]
fn limiter_cancel_reports_whether_started() {
    let (mut limiter, now) = warm_limiter();
    for id in 0..3 {
        limiter.offer(offer(id, Priority::First, 9_000), now);
    }
    assert_eq!(limiter.cancel(2), CancelOutcome::NotRun);
    assert_eq!(limiter.cancel(0), CancelOutcome::TooLate);
    assert_eq!(limiter.cancel(2), CancelOutcome::TooLate);
}

#[test]
fn limiter_refuses_expired_call() {
    let (mut limiter, now) = warm_limiter();
    let late = limiter.offer(offer(1, Priority::First, 1), now);
    assert_eq!(late, Decision::Refused(Refusal::Expired));
}

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Offer {
        priority: usize,
        timeout: u64,
        hedge: bool,
    },
    Finish {
        index: usize,
        outcome: u8,
        millis: u64,
    },
    Cancel {
        index: usize,
    },
    Wait {
        millis: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3_usize, 1..500_u64, any::<bool>()).prop_map(|(priority, timeout, hedge)| {
            Step::Offer { priority, timeout, hedge }
        }),
        3 => (any::<usize>(), 0..4_u8, 0..40_u64).prop_map(|(index, outcome, millis)| {
            Step::Finish { index, outcome, millis }
        }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        3 => (0..60_u64).prop_map(|millis| Step::Wait { millis }),
    ];
    proptest::collection::vec(step, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), cases: 512, ..ProptestConfig::default() })]

    /// Over any interleaving: running calls stay within the limit, starts on a cold leaf are at least
    /// `cold_gap` apart, and each call starts at most once and never after a refusal or a cancellation.
    #[test]
    fn limiter_keeps_limits(steps in steps()) {
        let settings = settings();
        let mut limiter = LeafLimiter::new(settings);
        let mut now = Time::from_millis(1_000);
        let (mut running, mut ended) = (Vec::new(), BTreeSet::new());
        let mut last_cold_start: Option<Time> = None;
        let mut next = 0_u32;
        for step in steps {
            let mut started = Vec::new();
            match step {
                Step::Offer { priority, timeout, hedge } => {
                    next += 1;
                    let deadline = now + Duration::from_millis(timeout);
                    let priority = Priority::ALL[priority];
                    match limiter.offer(Offer { id: next, priority, deadline, hedge }, now) {
                        Decision::Start => started.push(next),
                        Decision::Queued => prop_assert!(!hedge, "a hedge never waits"),
                        Decision::Refused(_) => { ended.insert(next); }
                    }
                }
                Step::Finish { index, outcome, millis } if !running.is_empty() => {
                    let id = running.swap_remove(index % running.len());
                    ended.insert(id);
                    limiter.finish(match outcome {
                        0 => CallFeedback::Shed,
                        1 if millis < 20 => CallFeedback::ConnectionLost,
                        1 => CallFeedback::Unreachable,
                        _ => CallFeedback::Answered(Duration::from_millis(millis)),
                    }, now);
                }
                Step::Cancel { index } if next > 0 => {
                    let id = (index as u32 % next) + 1;
                    if limiter.cancel(id) == CancelOutcome::NotRun {
                        prop_assert!(!running.contains(&id));
                        ended.insert(id);
                    }
                }
                Step::Wait { millis } => now = now + Duration::from_millis(millis),
                _ => {}
            }
            while let Some((id, decision)) = limiter.poll(now) {
                match decision {
                    Decision::Start => started.push(id),
                    _ => { prop_assert!(ended.insert(id), "call {} ends once", id); }
                }
            }
            for id in started {
                prop_assert!(!ended.contains(&id) && !running.contains(&id));
                running.push(id);
                if limiter.is_cold() {
                    if let Some(last) = last_cold_start {
                        prop_assert!(now >= last + settings.cold_gap, "starts on a cold leaf");
                    }
                    last_cold_start = Some(now);
                } else {
                    last_cold_start = None;
                }
            }
            prop_assert!(running.len() <= settings.slots as usize);
            prop_assert_eq!(limiter.running() as usize, running.len());
        }
    }
}
