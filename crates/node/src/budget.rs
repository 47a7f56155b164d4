//! Memory that answers may take together, from the first byte read until they are used.
//!
//! Load pattern: many servers at once send answers without end, or large ones, each below the limit of one answer.

use std::cell::{Cell, RefCell};
use std::mem;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of each answer that are not taken from the budget, so that usual answers are read even if others have used it
/// up.
const FREE_BYTES: usize = 16 * 1024;

/// `ReadBudget` bounds the bytes of answers over several connections. Clones share the bound.
#[derive(Clone, Debug)]
pub struct ReadBudget {
    left: Arc<AtomicUsize>,
}

impl ReadBudget {
    /// Creates a budget of so many bytes, in addition to 16 KiB for each answer.
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Takes bytes for something else than an answer under way. Returns `None` if there are not enough left.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.take(bytes).then(|| Reservation {
            budget: Some(self.clone()),
            taken: bytes,
        })
    }

    fn take(&self, bytes: usize) -> bool {
        let subtract = |left: usize| left.checked_sub(bytes);
        self.left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract)
            .is_ok()
    }
}

/// `Reservation` is what one answer has taken of a budget. It is returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    /// `None` if the answer is not bounded together with others.
    budget: Option<ReadBudget>,
    taken: usize,
}

impl Reservation {
    /// Returns whether nothing was taken.
    pub fn is_empty(&self) -> bool {
        self.taken == 0
    }

    /// Takes what an answer needs of which `read` bytes have been read. Returns whether there was enough left.
    fn extend(&mut self, read: usize) -> bool {
        let Some(budget) = &self.budget else {
            return true;
        };
        let needed = read.saturating_sub(FREE_BYTES);
        let more = needed.saturating_sub(self.taken);
        if !budget.take(more) {
            return false;
        }
        self.taken += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(budget) = &self.budget {
            budget.left.fetch_add(self.taken, Ordering::Relaxed);
        }
    }
}

/// `AnswerMemory` counts the bytes of the answer that a connection reads. Clones share the count.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    budget: Option<ReadBudget>,
    answer: Rc<RefCell<Reservation>>,
    read: Rc<Cell<usize>>,
}

impl Default for AnswerMemory {
    /// Returns a count without a bound.
    fn default() -> Self {
        Self::new(None)
    }
}

impl AnswerMemory {
    /// Creates the count of a connection.
    pub fn new(budget: Option<ReadBudget>) -> Self {
        let answer = Reservation {
            budget: budget.clone(),
            taken: 0,
        };
        Self {
            budget,
            answer: Rc::new(RefCell::new(answer)),
            read: Rc::default(),
        }
    }

    /// Returns what the answer has taken, which the caller keeps for as long as it keeps the answer. The next answer
    /// begins.
    pub fn take(&self) -> Reservation {
        self.read.set(0);
        let next = Reservation {
            budget: self.budget.clone(),
            taken: 0,
        };
        mem::replace(&mut *self.answer.borrow_mut(), next)
    }

    /// Counts bytes read. Returns whether the budget had enough left.
    pub(crate) fn add(&self, bytes: usize) -> bool {
        let read = self.read.get() + bytes;
        self.read.set(read);
        self.answer.borrow_mut().extend(read)
    }
}

/// `ReadLimits` bound what is read of answers on a connection.
#[derive(Clone, Debug)]
pub struct ReadLimits {
    /// Maximum size of one answer, in bytes.
    pub answer: usize,
    /// Counts the answer against the bound on all answers.
    pub memory: AnswerMemory,
}

impl Default for ReadLimits {
    /// Returns limits that are never reached.
    fn default() -> Self {
        Self {
            answer: usize::MAX,
            memory: AnswerMemory::default(),
        }
    }
}
