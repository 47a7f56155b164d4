//! What leafs say about themselves in their answers: that they are leaving, and how long they want no calls.
//!
//! Load pattern: leafs are replaced or removed while the registry is unreachable, and full leafs reject calls and
//! ask for a break. Calls that still go there are wasted, and all nodes returning at once after a break fill the
//! leaf again.

use std::collections::HashMap;
use std::time::Duration;

use monsoondeal_core::Time;

use crate::config::Name;

/// Maximum break that is kept whole. A longer one is taken for this long, and ends earlier if a probe is served.
const MAX_BREAK: Duration = Duration::from_secs(3_600);
/// Time from the start of a break longer than [`MAX_BREAK`] until its only probe.
const PROBE_DELAY: Duration = Duration::from_secs(60);
/// Share of a break by which a node extends it at most, at random, so that nodes return one after the other.
const RETURN_SPREAD: f64 = 0.2;
/// Maximum extension of a break.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Concurrent calls of this node to a leaf right after its break. Grows by one with each served call.
const FIRST_CALLS: usize = 1;
/// Limit on concurrent calls at which a leaf counts as back.
const BACK_CALLS: usize = 8;
/// How long notices of leafs whose entries have vanished are remembered, in case the entries return.
const VANISHED_MEMORY: Duration = Duration::from_secs(600);

/// `LeafNotice` is what an answer of a leaf says about the leaf itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeafNotice {
    /// The leaf is leaving and wants no new calls.
    pub leaving: bool,
    /// The leaf wants no calls from this node for this long.
    pub pause: Option<Duration>,
}

impl LeafNotice {
    /// Returns whether the answer says nothing about the leaf.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// `NoticeTaken` describes a notice that changed which calls a leaf gets, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeTaken {
    /// Name of the leaf.
    pub leaf: Name,
    /// Start of the leaf, in Unix milliseconds.
    pub born: u64,
    /// The notice.
    pub notice: LeafNotice,
    /// How long the leaf gets no calls; `None` if it gets none until it starts again.
    pub no_calls_for: Option<Duration>,
}

/// The single call that a leaf gets during a break that is longer than [`MAX_BREAK`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// No probe is sent, or the probe was not served.
    None,
    /// The probe may be sent from then on.
    From(Time),
    /// The probe was sent then.
    Sent(Time),
}

/// Time in which a leaf gets no calls, and its return afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Break {
    /// The leaf gets no calls until then.
    until: Time,
    probe: Probe,
    /// Concurrent calls allowed after the end.
    limit: usize,
}

impl Break {
    fn new(length: Duration, spread: f64, now: Time) -> Self {
        let kept = length.min(MAX_BREAK);
        let extension = kept.mul_f64(RETURN_SPREAD).min(MAX_RETURN_SPREAD);
        let probe = if length > MAX_BREAK {
            Probe::From(now + PROBE_DELAY)
        } else {
            Probe::None
        };
        Self {
            until: now + kept + extension.mul_f64(spread.clamp(0.0, 1.0)),
            probe,
            limit: FIRST_CALLS,
        }
    }

    fn is_probe_due(&self, now: Time) -> bool {
        matches!(self.probe, Probe::From(at) if at <= now)
    }

    /// Returns whether the leaf gets no calls at present.
    fn is_closed(&self, now: Time) -> bool {
        now < self.until && !self.is_probe_due(now)
    }

    /// Merges a later notice: the latest end counts, and a break gets one probe at most.
    fn extend(&mut self, other: Self, now: Time) -> bool {
        if other.until <= self.until {
            return false;
        }
        let is_over = self.until <= now;
        let probe = if is_over || matches!(self.probe, Probe::From(_)) {
            other.probe
        } else {
            Probe::None
        };
        *self = Self { probe, ..other };
        true
    }
}

/// Notices of one incarnation of a leaf.
#[derive(Clone, Copy, Debug)]
struct Notices {
    /// Start of the incarnation, in Unix milliseconds.
    born: u64,
    is_leaving: bool,
    pause: Option<Break>,
    /// When the leaf's entry vanished from the registry; `None` while it is listed.
    vanished_at: Option<Time>,
}

impl Notices {
    fn new(born: u64) -> Self {
        Self {
            born,
            is_leaving: false,
            pause: None,
            vanished_at: None,
        }
    }
}

/// `LeafNotices` holds the notices of all leafs.
///
/// They belong to an incarnation of a leaf, not to its entry in the registry: an entry that vanishes and returns,
/// or that still names the leaf active, does not revoke them.
#[derive(Debug, Default)]
pub(crate) struct LeafNotices {
    by_leaf: HashMap<Name, Notices>,
}

impl LeafNotices {
    /// Records a notice of the incarnation of a leaf that started at `born`. `spread`, from 0 to 1, places this
    /// node's return after a break among those of other nodes. Returns what changed, if anything did.
    pub(crate) fn record(
        &mut self,
        leaf: &Name,
        born: u64,
        notice: LeafNotice,
        spread: f64,
        now: Time,
    ) -> Option<NoticeTaken> {
        let known = self
            .by_leaf
            .entry(leaf.clone())
            .or_insert_with(|| Notices::new(born));
        if born < known.born {
            return None;
        }
        if born > known.born {
            *known = Notices::new(born);
        }
        let leaves_now = notice.leaving && !known.is_leaving;
        known.is_leaving |= notice.leaving;
        let extended = match (&mut known.pause, notice.pause) {
            (_, None) => false,
            (Some(pause), Some(length)) => pause.extend(Break::new(length, spread, now), now),
            (pause @ None, Some(length)) => {
                *pause = Some(Break::new(length, spread, now));
                true
            }
        };
        if !leaves_now && !extended {
            return None;
        }
        let until = known
            .pause
            .filter(|_| !known.is_leaving)
            .map(|pause| pause.until);
        Some(NoticeTaken {
            leaf: leaf.clone(),
            born,
            notice,
            no_calls_for: until.map(|until| until.since(now)),
        })
    }

    /// Returns whether an incarnation of a leaf is leaving.
    pub(crate) fn is_leaving(&self, leaf: &str, born: u64) -> bool {
        self.get(leaf, born).is_some_and(|known| known.is_leaving)
    }

    /// Returns when the break of a leaf ends, if it is to get no calls now.
    pub(crate) fn break_end(&self, leaf: &str, born: u64, now: Time) -> Option<Time> {
        let pause = self.get(leaf, born)?.pause?;
        pause.is_closed(now).then_some(pause.until)
    }

    /// Returns how many concurrent calls a leaf may get from this node while it returns from a break; `None` if
    /// that is not limited.
    pub(crate) fn call_limit(&self, leaf: &str, born: u64) -> Option<usize> {
        Some(self.get(leaf, born)?.pause?.limit)
    }

    /// Records a call sent to a leaf. Returns whether it is the probe of a break.
    pub(crate) fn call_sent(&mut self, leaf: &str, born: u64, now: Time) -> bool {
        let pause = self
            .get_mut(leaf, born)
            .and_then(|known| known.pause.as_mut());
        let Some(pause) = pause.filter(|pause| now < pause.until && pause.is_probe_due(now)) else {
            return false;
        };
        pause.probe = Probe::Sent(now);
        true
    }

    /// Records that a leaf served a call that was sent at `sent_at`.
    pub(crate) fn call_served(&mut self, leaf: &str, born: u64, sent_at: Time, now: Time) {
        let Some(known) = self.get_mut(leaf, born) else {
            return;
        };
        let Some(pause) = &mut known.pause else {
            return;
        };
        if pause.probe == Probe::Sent(sent_at) {
            // A leaf that serves calls cannot mean a break this long.
            pause.until = pause.until.min(now);
            pause.probe = Probe::None;
        } else if sent_at >= pause.until {
            pause.limit += 1;
        }
        if pause.limit >= BACK_CALLS {
            known.pause = None;
        }
    }

    /// Records that the entry of a leaf is in the registry.
    pub(crate) fn listed(&mut self, leaf: &str) {
        if let Some(known) = self.by_leaf.get_mut(leaf) {
            known.vanished_at = None;
        }
    }

    /// Records that the entry of a leaf vanished, and forgets leafs whose entries vanished long ago.
    pub(crate) fn vanished(&mut self, leaf: &str, now: Time) {
        if let Some(known) = self.by_leaf.get_mut(leaf) {
            known.vanished_at = Some(now);
        }
        let is_recent = |at: Time| now.since(at) < VANISHED_MEMORY;
        self.by_leaf
            .retain(|_, known| known.vanished_at.is_none_or(is_recent));
    }

    fn get(&self, leaf: &str, born: u64) -> Option<&Notices> {
        self.by_leaf.get(leaf).filter(|known| known.born == born)
    }

    fn get_mut(&mut self, leaf: &str, born: u64) -> Option<&mut Notices> {
        self.by_leaf
            .get_mut(leaf)
            .filter(|known| known.born == born)
    }
}
