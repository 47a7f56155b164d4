//! A TCP stream for the HTTP library that reports read errors and limits the size of answers.
//!
//! The stream adapter of the runtime drops the error of a read and reads again. After a connection reset
//! the next read reports the end of the stream, so that a body without a content length that was cut off by
//! the reset looks complete. [`Stream`] keeps the error and reports it instead.
//!
//! The HTTP library limits the size of the head, but not that of interim responses and of the framing of a
//! body. A stream with a limit reads at most that many bytes for one request, whichever part they belong to. It also
//! checks how the lines of a head end.

use std::cell::Cell;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use compio::BufResult;
use compio::buf::{IoBuf, IoBufMut};
use compio::io::{AsyncRead, AsyncWrite};
use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;

use crate::budget::{AnswerMemory, ReadLimits};
use crate::head::HeadCheck;

/// `ReadLimitExceeded` is the error of a read that exceeds the limit of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimitExceeded;

impl fmt::Display for ReadLimitExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer exceeds the size limit")
    }
}

impl Error for ReadLimitExceeded {}

/// `ReadBudgetExceeded` is the error of a read for which the budget of all answers under way has nothing left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadBudgetExceeded;

impl fmt::Display for ReadBudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answers under way take too much memory")
    }
}

impl Error for ReadBudgetExceeded {}

/// `MalformedHead` is the error of a read that returns a line of an answer's head without its proper end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedHead;

impl fmt::Display for MalformedHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the head of the answer holds a line feed that ends no line")
    }
}

impl Error for MalformedHead {}

/// The reason why a stream has stopped reading.
#[derive(Clone, Copy, Debug)]
enum ReadFailure {
    Io(io::ErrorKind),
    MalformedHead,
    LimitExceeded,
    BudgetExceeded,
}

impl From<ReadFailure> for io::Error {
    fn from(failure: ReadFailure) -> Self {
        match failure {
            ReadFailure::Io(kind) => kind.into(),
            ReadFailure::MalformedHead => Self::other(MalformedHead),
            ReadFailure::LimitExceeded => Self::other(ReadLimitExceeded),
            ReadFailure::BudgetExceeded => Self::other(ReadBudgetExceeded),
        }
    }
}

/// State shared by the two layers of a stream.
struct ReadState {
    /// The first failure of a read.
    failure: Cell<Option<ReadFailure>>,
    /// Bytes that may still be read before the next write.
    remaining: Cell<usize>,
    /// Bytes that may be read between two writes.
    limit: usize,
    /// Counts the bytes read since the latest write against the bound on all answers.
    memory: AnswerMemory,
    /// Checks the heads of answers; `None` on the side that answers.
    head: Option<HeadCheck>,
}

impl ReadState {
    /// Checks the head of an answer in the bytes read, and subtracts them from those that may still be read.
    fn consume(&self, read: &[u8]) -> io::Result<usize> {
        if self.head.as_ref().is_some_and(|head| !head.accept(read)) {
            return Err(self.fail(ReadFailure::MalformedHead));
        }
        let bytes = read.len();
        let Some(remaining) = self.remaining.get().checked_sub(bytes) else {
            return Err(self.fail(ReadFailure::LimitExceeded));
        };
        self.remaining.set(remaining);
        if !self.memory.add(bytes) {
            return Err(self.fail(ReadFailure::BudgetExceeded));
        }
        Ok(bytes)
    }

    fn fail(&self, failure: ReadFailure) -> io::Error {
        self.failure.set(Some(failure));
        failure.into()
    }
}

/// A TCP stream that records the error of a read and counts the bytes read.
struct MonitoredStream {
    stream: TcpStream,
    state: Rc<ReadState>,
}

impl AsyncRead for MonitoredStream {
    async fn read<B>(&mut self, buf: B) -> BufResult<usize, B>
    where
        B: IoBufMut,
    {
        let BufResult(read, buf) = self.stream.read(buf).await;
        let read = match read {
            Ok(bytes) => self.state.consume(&buf.as_init()[..bytes]),
            Err(error) => {
                self.state.fail(ReadFailure::Io(error.kind()));
                Err(error)
            }
        };
        BufResult(read, buf)
    }
}

impl AsyncWrite for MonitoredStream {
    async fn write<B>(&mut self, buf: B) -> BufResult<usize, B>
    where
        B: IoBuf,
    {
        self.stream.write(buf).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        // This call does not block, but the runtime's own method would run it on a thread of its pool.
        SockRef::from(&self.stream).shutdown(Shutdown::Write)
    }
}

/// `Stream` is a TCP stream for the HTTP library.
pub struct Stream {
    inner: HyperStream<MonitoredStream>,
    state: Rc<ReadState>,
}

impl Stream {
    /// Creates a stream over an open connection without a limit on the bytes read, for code that limits them
    /// itself.
    pub fn new(stream: TcpStream) -> Self {
        Self::with(stream, ReadLimits::default(), None)
    }

    /// Creates a stream for the side that sends requests. It reads at most `limits.answer` bytes after each write,
    /// and fails with [`ReadLimitExceeded`] if there are more. It fails with [`ReadBudgetExceeded`] if the bytes read
    /// since the latest write do not fit into the budget of `limits.memory`, and with [`MalformedHead`] if `head`
    /// does not accept the head of an answer.
    pub(crate) fn limited(stream: TcpStream, limits: ReadLimits, head: HeadCheck) -> Self {
        Self::with(stream, limits, Some(head))
    }

    fn with(stream: TcpStream, limits: ReadLimits, head: Option<HeadCheck>) -> Self {
        let state = Rc::new(ReadState {
            failure: Cell::new(None),
            remaining: Cell::new(limits.answer),
            limit: limits.answer,
            memory: limits.memory,
            head,
        });
        let monitored = MonitoredStream {
            stream,
            state: state.clone(),
        };
        Self {
            inner: HyperStream::new(monitored),
            state,
        }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(failure) = self.state.failure.get() {
            return Poll::Ready(Err(failure.into()));
        }
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        match (polled, self.state.failure.get()) {
            // The adapter has dropped the error, and may return bytes that were read beyond the limit.
            (_, Some(failure)) => Poll::Ready(Err(failure.into())),
            (polled, None) => polled,
        }
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Each request permits another answer of up to the limit.
        self.state.remaining.set(self.state.limit);
        drop(self.state.memory.take());
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
