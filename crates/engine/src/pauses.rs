//! Pauses of the whole process, as when its VM is frozen.

use std::time::Duration;

use monsoondeal_core::Time;

/// A pause of the whole process longer than this makes requests that waited meanwhile suspect.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);
/// How long after such a pause requests count as having waited.
const PAUSE_SHADOW: Duration = Duration::from_secs(2);

/// `Pauses` tell whether requests may have waited out a pause.
#[derive(Debug, Default)]
pub(crate) struct Pauses {
    last_input: Option<Time>,
    /// Until when requests may have waited out a pause.
    suspect_until: Time,
}

impl Pauses {
    /// Notes how long the process stood still before this input.
    pub(crate) fn note_input(&mut self, now: Time) {
        let last = self.last_input.replace(now);
        if last.is_some_and(|last| now.since(last) > PAUSE_LIMIT) {
            self.suspect_until = now + PAUSE_SHADOW;
        }
    }

    /// Returns whether a request that comes now may have waited out a pause.
    pub(crate) fn is_suspect(&self, now: Time) -> bool {
        now < self.suspect_until
    }
}
