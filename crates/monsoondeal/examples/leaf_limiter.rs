//! Embeds the leaf limiter and the idempotency table in a program.
//!
//! Run with `cargo run -p monsoondeal --example leaf_limiter`.

use std::time::Duration;

use monsoondeal::core::{Clock, Priority};
use monsoondeal::limit::{
    CallFeedback, Decision, IdempotencySettings, IdempotencyTable, KeyState, LeafLimiter,
    LeafLimiterSettings, Offer,
};

fn main() {
    // The embedding program owns the clock; the state machines take the current time as an argument.
    let clock = Clock::start();
    let settings = LeafLimiterSettings {
        slots: 2,
        warm_after: 1,
        ..LeafLimiterSettings::default()
    };
    let mut limiter = LeafLimiter::new(settings);
    let mut keys = IdempotencyTable::new(IdempotencySettings::default());

    for id in 0..4_u32 {
        let key = format!("order-{}", id / 2);
        let now = clock.now();
        match keys.admit(&key, now) {
            KeyState::New => {}
            state => {
                println!("call {id}: key {key} was seen before: {state:?}");
                continue;
            }
        }
        let deadline = now + Duration::from_millis(100);
        let offer = Offer {
            id,
            priority: Priority::Normal,
            deadline,
            hedge: false,
        };
        match limiter.offer(offer, now) {
            Decision::Start => {
                // A real program would send the call here and wait for its answer.
                limiter.finish(
                    CallFeedback::Answered(Duration::from_millis(2)),
                    clock.now(),
                );
                keys.record_answer(&key, id);
                println!("call {id}: ran for key {key}");
            }
            Decision::Queued => println!("call {id}: queued; LeafLimiter::poll will start it"),
            Decision::Refused(reason) => {
                keys.record_not_run(&key, reason);
                println!("call {id}: not run, {reason}");
            }
        }
    }
}
