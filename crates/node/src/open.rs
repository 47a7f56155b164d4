//! Count of what is open at a time.

use std::cell::Cell;
use std::rc::Rc;

/// `Open` counts a request or a connection as open for as long as it lives.
#[derive(Debug)]
pub struct Open(Rc<Cell<usize>>);

impl Open {
    /// Counts one more as open.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
