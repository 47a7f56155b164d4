//! The time that the loss of a reader of the store may cost a change.

use std::time::Duration;

use monsoondeal_core::Time;
use monsoondeal_member::{SourceTiming, StoreContact};
use rstest::rstest;

/// Guards against steps that together take longer than a change may (CONFIG): noticing the loss, looking for another
/// source and reading the store fit into the bound, with a quarter of it for the last step.
#[rstest]
fn steps_fit_into_the_bound(#[values(500, 1_000, 3_000, 5_000, 6_000, 8_000, 60_000)] millis: u64) {
    let bound = Duration::from_millis(millis);
    let timing = SourceTiming::new(bound);
    let noticed = timing.contact().max(timing.silence());
    assert_eq!(noticed + timing.search() + timing.takeover(), bound);
    assert!(timing.takeover() >= bound / 4);
    // An answer that takes its time still comes before the contact ends.
    assert!(timing.probe_interval() + bound / 6 <= timing.contact() + Duration::from_nanos(1));
    assert!(timing.heartbeat() * 3 <= timing.silence());
}

/// Guards against a reader that takes followers although it has lost the store (CONFIG), and against one that turns them
/// away before its first answer.
#[test]
fn followers_are_accepted_while_the_store_answers() {
    let timing = SourceTiming::new(Duration::from_secs(3));
    let at = |millis: u64| Time::from_millis(1_000 + millis);
    let mut contact = StoreContact::new(timing);
    assert!(contact.accepts_followers(at(0)) && !contact.is_recent(at(0)));
    contact.answered(at(0));
    assert!(contact.accepts_followers(at(1_499)) && contact.is_recent(at(1_499)));
    assert_eq!(contact.ends_at(), Some(at(1_500)));
    assert!(!contact.accepts_followers(at(1_500)));
    contact.answered(at(2_000));
    assert!(contact.accepts_followers(at(2_000)));
    contact.lost();
    assert!(!contact.accepts_followers(at(2_000)) && contact.ends_at().is_none());
    contact.reset();
    assert!(contact.accepts_followers(at(2_000)));
}
