//! Count of what is open at a time.

use std::cell::Cell;
use std::rc::Rc;

/// `OpenGuard` counts a request or a connection as open for as long as it lives.
#[derive(Debug)]
pub struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    /// Counts one more as open.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
