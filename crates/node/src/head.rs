//! The lines of the heads of answers.
//!
//! The HTTP library takes a line feed alone for the end of a line. One at the start of a field's name ends the head
//! there: the rest of the head then passes for the body. RFC 9112 (2.2) ends each line with CR and LF, and lets a
//! recipient refuse others.

use std::cell::RefCell;
use std::rc::Rc;

/// Position of the status code in a status line.
const STATUS_START: usize = "HTTP/1.1 ".len();
/// Position after the status code in a status line.
const STATUS_END: usize = STATUS_START + 3;
/// Status of an answer after which another protocol follows.
const SWITCHING_PROTOCOLS: &[u8] = b"101";

/// `HeadCheck` checks the lines of the head of the answer that a connection reads. Clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadCheck(Rc<RefCell<Scan>>);

impl HeadCheck {
    /// Expects the head of the answer to a new request.
    pub(crate) fn begin(&self) {
        self.0.replace(Scan::default());
    }

    /// Checks bytes that were read. Returns whether all lines of the head end as they must.
    pub(crate) fn accept(&self, bytes: &[u8]) -> bool {
        let mut scan = self.0.borrow_mut();
        for byte in bytes {
            if scan.has_ended {
                return true;
            }
            if !scan.step(*byte) {
                return false;
            }
        }
        true
    }
}

/// What has been read of the head of an answer.
#[derive(Debug, Default)]
struct Scan {
    /// Whether the head is complete, so that the body follows.
    has_ended: bool,
    /// Number of lines that are complete.
    lines: usize,
    /// Number of bytes of the line under way.
    length: usize,
    /// The byte before the next one.
    previous: u8,
    /// Status code.
    status: [u8; STATUS_END - STATUS_START],
}

impl Scan {
    /// Reads the next byte of the head. Returns false for a line feed that ends no line.
    fn step(&mut self, byte: u8) -> bool {
        if byte != b'\n' {
            if self.lines == 0 && (STATUS_START..STATUS_END).contains(&self.length) {
                self.status[self.length - STATUS_START] = byte;
            }
            self.length += 1;
            self.previous = byte;
            return true;
        }
        if self.previous != b'\r' {
            return false;
        }
        let is_empty = self.length == 1;
        if !is_empty {
            self.lines += 1;
        } else if self.lines > 0 {
            self.end();
            return true;
        }
        self.length = 0;
        self.previous = byte;
        true
    }

    /// Ends a head. After the head of an interim answer, another head follows.
    fn end(&mut self) {
        let is_interim = self.status[0] == b'1' && self.status != SWITCHING_PROTOCOLS;
        *self = Self {
            has_ended: !is_interim,
            ..Self::default()
        };
    }
}
