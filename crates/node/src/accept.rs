//! Accepting connections, also while the process has no file descriptor left for them.
//!
//! A listener that fails for want of a descriptor fails again at once. The process must go on with its other tasks
//! meanwhile: they close the connections whose descriptors are needed.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use compio::time::sleep;
use rustix::io::Errno;
use rustix::process::{Resource, getrlimit};

/// Pause after a failure. It doubles with each further failure in a row.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause, so that a waiting connection is accepted well within a second of the first free descriptor.
const MAX_PAUSE: Duration = Duration::from_millis(160);
/// Shortest time between two log lines of the same kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Returns how many file descriptors the process may have open; `usize::MAX` without a limit.
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}

/// Returns whether a call failed for want of a descriptor or of memory for one.
pub fn is_shortage(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)
    )
}

/// `LogThrottle` bounds the log lines of one kind to one in [`LOG_INTERVAL`], and counts the events of each.
#[derive(Debug, Default)]
pub struct LogThrottle {
    next: Option<Instant>,
    events: u64,
}

impl LogThrottle {
    /// Counts an event. Returns the number of events since the last line if a line is due.
    pub fn count(&mut self) -> Option<u64> {
        self.events += 1;
        let now = Instant::now();
        if self.next.is_some_and(|next| now < next) {
            return None;
        }
        self.next = Some(now + LOG_INTERVAL);
        Some(std::mem::take(&mut self.events))
    }
}

/// `Acceptor` accepts the connections of a listener, and pauses after failures.
#[derive(Debug)]
pub struct Acceptor {
    /// Purpose of the listener, for the log.
    purpose: &'static str,
    listener: TcpListener,
    /// Pause before the next call; zero after a success.
    pause: Duration,
    /// Failures of all acceptors that share the count.
    failures: Rc<Cell<u64>>,
    throttle: LogThrottle,
}

impl Acceptor {
    /// Creates an acceptor that adds its failures to `failures`.
    pub fn new(purpose: &'static str, listener: TcpListener, failures: Rc<Cell<u64>>) -> Self {
        Self {
            purpose,
            listener,
            pause: Duration::ZERO,
            failures,
            throttle: LogThrottle::default(),
        }
    }

    /// Waits for the next connection. After a failure the next call begins with a pause, so that other tasks run.
    ///
    /// # Errors
    ///
    /// If the connection cannot be accepted. The failure has been logged, and the call may be repeated at once.
    pub async fn accept(&mut self) -> io::Result<TcpStream> {
        if !self.pause.is_zero() {
            sleep(self.pause).await;
        }
        match self.listener.accept().await {
            Ok((stream, _)) => {
                self.pause = Duration::ZERO;
                Ok(stream)
            }
            Err(error) => {
                self.note_failure(&error);
                Err(error)
            }
        }
    }

    fn note_failure(&mut self, error: &io::Error) {
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.failures.set(self.failures.get() + 1);
        if let Some(failures) = self.throttle.count() {
            log::warn!(listener = self.purpose, failures; "cannot accept a connection: {error}");
        }
    }
}
