//! Detection of pauses of the whole process, for example while its VM is frozen.

use std::time::Duration;

use monsoondeal_core::Time;

/// After a pause of the whole process that is longer than this, requests that waited in its sockets may
/// be copies of requests that their home node has already forgotten.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// For this long after such a pause, requests that arrive may have waited in the sockets.
const SUSPECT_PERIOD: Duration = Duration::from_secs(2);

/// `PauseDetector` detects pauses, after which arriving requests may be old.
#[derive(Debug, Default)]
pub(crate) struct PauseDetector {
    last_input: Option<Time>,
    /// Until when arriving requests may have waited during a pause.
    suspect_until: Time,
}

impl PauseDetector {
    /// Records an input, and detects a pause before it.
    pub(crate) fn record_input(&mut self, now: Time) {
        let last = self.last_input.replace(now);
        if last.is_some_and(|last| now.since(last) > MAX_PAUSE) {
            self.suspect_until = now + SUSPECT_PERIOD;
        }
    }

    /// Returns whether a request that arrives now may have waited during a pause.
    pub(crate) fn is_suspect(&self, now: Time) -> bool {
        now < self.suspect_until
    }
}
