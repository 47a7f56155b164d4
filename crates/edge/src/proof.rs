//! Proofs that a call, or a whole request, has not run.
//!
//! A call counts as not run only with a [`NotRun`], and that is made from evidence alone: the leaf's own refusal in
//! an answer that is known to belong to the call, or a [`WriteMark`] that shows that nothing of the call was written.
//! A caller is told so only with a [`NeverRan`], for which all calls of its request need such a proof.

use std::cell::Cell;
use std::rc::Rc;

/// `NotRun` proves that a call has not run and will not run.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun {
    cause: NotRunCause,
}

/// `NotRunCause` is why a call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// The leaf stated that it did not run the call.
    Refused,
    /// Another leaf answered at the address.
    Misdirected,
    /// Nothing of the call was written.
    Unsent,
    /// Nothing of the call was written: the process that accepted the connection did not report its name in
    /// time.
    Unchecked,
    /// Nothing of the call was written: another leaf has the address.
    Displaced,
    /// Nothing of the call was written: it was taken back, for no fault of the leaf.
    Withdrawn,
}

impl NotRunCause {
    /// Returns the name for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Unsent => "unsent",
            Self::Unchecked => "unchecked",
            Self::Displaced => "displaced",
            Self::Withdrawn => "withdrawn",
        }
    }

    /// Returns whether the call arrived at some leaf.
    pub(crate) fn has_arrived(self) -> bool {
        match self {
            Self::Refused | Self::Misdirected => true,
            Self::Unsent | Self::Unchecked | Self::Displaced | Self::Withdrawn => false,
        }
    }
}

impl NotRun {
    /// Returns the proof of a leaf's answer that refuses the call it belongs to.
    pub(crate) fn answered(cause: NotRunCause) -> Self {
        debug_assert!(cause.has_arrived());
        Self { cause }
    }

    /// Returns why the call has not run.
    pub fn cause(&self) -> NotRunCause {
        self.cause
    }
}

/// `UnwrittenCause` is why nothing of a call was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnwrittenCause {
    /// There was no connection, or it closed before.
    Unsent,
    /// The process at the address did not report its name in time.
    Unchecked,
    /// Another leaf has the address.
    Displaced,
}

/// `WriteMark` tells whether any of a call may have been written, and whether it still may be. Clones share the mark.
#[derive(Clone, Debug, Default)]
pub struct WriteMark(Rc<WriteState>);

#[derive(Debug, Default)]
struct WriteState {
    has_begun: Cell<bool>,
    /// Never reset: a call that was taken back is not written any more.
    is_withdrawn: Cell<bool>,
}

impl WriteMark {
    /// Records that writing the call begins. Returns `false`, and records nothing, if it was taken back: then none of
    /// it may be written.
    #[must_use]
    pub fn begin(&self) -> bool {
        if self.is_withdrawn() {
            return false;
        }
        self.0.has_begun.set(true);
        true
    }

    /// Records that the whole call was handed back unwritten.
    pub fn take_back<M>(&self, _message: &M) {
        self.0.has_begun.set(false);
    }

    /// Takes the call back: writing it cannot begin any more. What has begun goes on.
    pub fn withdraw(&self) {
        self.0.is_withdrawn.set(true);
    }

    /// Returns whether the call was taken back.
    pub fn is_withdrawn(&self) -> bool {
        self.0.is_withdrawn.get()
    }

    /// Returns the proof that the call has not run, unless some of it may have been written. Whoever holds the proof
    /// must not write the call any more.
    pub fn unwritten(&self, cause: UnwrittenCause) -> Option<NotRun> {
        let cause = match cause {
            _ if self.is_withdrawn() => NotRunCause::Withdrawn,
            UnwrittenCause::Unsent => NotRunCause::Unsent,
            UnwrittenCause::Unchecked => NotRunCause::Unchecked,
            UnwrittenCause::Displaced => NotRunCause::Displaced,
        };
        (!self.0.has_begun.get()).then_some(NotRun { cause })
    }
}

/// `NeverRan` proves that no call of a request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverRan(());

impl NeverRan {
    /// Returns the proof of a request for which no call was sent.
    pub(crate) fn before_any_call() -> Self {
        Self(())
    }

    /// Returns the proof of a request from the calls for all its shards, unless one of them may have run.
    pub(crate) fn of<'a, R>(runs: R) -> Option<Self>
    where
        R: IntoIterator<Item = &'a PossibleRuns>,
    {
        runs.into_iter()
            .all(PossibleRuns::is_none)
            .then_some(Self(()))
    }
}

/// `PossibleRuns` counts the calls for a shard that have run or may have run.
#[derive(Clone, Debug, Default)]
pub(crate) struct PossibleRuns(usize);

impl PossibleRuns {
    /// Counts a call that is sent.
    pub(crate) fn add(&mut self) {
        self.0 += 1;
    }

    /// Takes back a call that has not run.
    pub(crate) fn disprove(&mut self, proof: &NotRun) {
        let _ = proof;
        debug_assert!(self.0 > 0);
        self.0 = self.0.saturating_sub(1);
    }

    pub(crate) fn count(&self) -> usize {
        self.0
    }

    /// Returns whether no call can have run.
    pub(crate) fn is_none(&self) -> bool {
        self.0 == 0
    }
}
