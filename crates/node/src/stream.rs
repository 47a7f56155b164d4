//! A TCP stream for the HTTP library that reports read errors.
//!
//! The stream adapter of the runtime drops the error of a read and reads again. After a reset the next
//! read reports the end of the stream, so that a body without a length that was cut by a reset looks
//! complete. [`Stream`] keeps the error and reports it instead.

use std::cell::Cell;
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

/// The first error of a read, shared by the two layers of a stream.
type Failure = Rc<Cell<Option<io::ErrorKind>>>;

/// A stream that notes the error of a read.
struct Noting {
    stream: TcpStream,
    failure: Failure,
}

impl AsyncRead for Noting {
    async fn read<B>(&mut self, buf: B) -> BufResult<usize, B>
    where
        B: IoBufMut,
    {
        let result = self.stream.read(buf).await;
        if let Err(error) = &result.0 {
            self.failure.set(Some(error.kind()));
        }
        result
    }
}

impl AsyncWrite for Noting {
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
        // The runtime would hand this call, which does not block, to a thread of its pool.
        SockRef::from(&self.stream).shutdown(Shutdown::Write)
    }
}

/// `Stream` is a TCP stream for the HTTP library.
pub struct Stream {
    inner: HyperStream<Noting>,
    failure: Failure,
}

impl Stream {
    /// Creates a stream over an open connection.
    pub fn new(stream: TcpStream) -> Self {
        let failure = Failure::default();
        let noting = Noting {
            stream,
            failure: failure.clone(),
        };
        Self {
            inner: HyperStream::new(noting),
            failure,
        }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(kind) = self.failure.get() {
            return Poll::Ready(Err(kind.into()));
        }
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        match (polled, self.failure.get()) {
            // The adapter has dropped the error and begun another read.
            (Poll::Pending, Some(kind)) => Poll::Ready(Err(kind.into())),
            (polled, _) => polled,
        }
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
