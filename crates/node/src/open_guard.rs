//! A guard that counts open requests or connections.

use std::cell::Cell;
use std::rc::Rc;

/// `OpenGuard` counts a request or a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    /// Adds one to `count` until the guard is dropped.
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
