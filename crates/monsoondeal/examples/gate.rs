//! Embeds the gate and the at-most-once table in a program of its own.
//!
//! Run with `cargo run -p monsoondeal --example gate`.

use std::time::Duration;

use monsoondeal::core::{Clock, Priority};
use monsoondeal::limit::{Decision, Gate, GateSettings, Offer, Once, OnceSettings, Seen, Verdict};

fn main() {
    // The embedder owns the clock; the parts only take times.
    let clock = Clock::start();
    let settings = GateSettings {
        slots: 2,
        warm_after: 1,
        ..GateSettings::default()
    };
    let mut gate = Gate::new(settings);
    let mut keys = Once::first(OnceSettings::default());

    for id in 0..4_u32 {
        let key = format!("order-{}", id / 2);
        let now = clock.now();
        match keys.admit(&key, now) {
            Seen::New => {}
            seen => {
                println!("call {id}: key {key} was seen before: {seen:?}");
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
        match gate.offer(offer, now) {
            Decision::Start => {
                // Here the call would be sent and its answer awaited.
                gate.finish(Verdict::Good(Duration::from_millis(2)), clock.now());
                keys.answer(&key, id);
                println!("call {id}: ran for key {key}");
            }
            Decision::Queued => println!("call {id}: waits; Gate::poll will start it"),
            Decision::Refused(reason) => {
                keys.refuse(&key, reason);
                println!("call {id}: not run, {reason}");
            }
        }
    }
}
