//! The client side of an HTTP connection, with limits on the size of answers.
//!
//! [`Stream`] limits all bytes that are read for one request: head, interim responses, framing, body and
//! trailers. This module limits the size of the head, and has the ends of its lines checked. Time-outs are up to the
//! code that uses it.

use std::error::Error;

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::{Request, Response};
use quick_error::quick_error;

use crate::budget::{AnswerMemory, ReadLimits, Reservation};
use crate::head::HeadCheck;
use crate::stream::{ReadBudgetExceeded, ReadLimitExceeded, Stream};

/// Maximum size of a leaf's answer with its head, in bytes: about thirty times the usual size.
pub const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Memory that the answers of all leafs may take together until they are used, in bytes, beyond 16 KiB for each.
pub const MAX_ANSWERS_BYTES: usize = 32 * 1024 * 1024;
/// Maximum size of the head of an answer, in bytes. The head of the answer for a segment of a query names
/// each of its parts.
pub const MAX_HEAD_BYTES: usize = 128 * 1024;
/// Maximum number of header fields of an answer.
const MAX_HEADER_FIELDS: usize = 100;

/// `Sender` sends requests on a connection, one at a time.
#[derive(Debug)]
pub struct Sender {
    requests: SendRequest<Full<Bytes>>,
    /// Checks the head of the answer to each request.
    head: HeadCheck,
}

impl Sender {
    /// Waits until a request can be sent.
    ///
    /// # Errors
    ///
    /// If the connection is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Returns whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Sends a request and returns the answer, whose body has not been read yet.
    ///
    /// # Errors
    ///
    /// If the connection ends before the head of the answer has been read, or the head is malformed.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.head.begin();
        self.requests.send_request(request).await
    }

    /// Like [`send_request`](Self::send_request); an error holds the request if nothing of it was sent.
    ///
    /// # Errors
    ///
    /// As for [`send_request`](Self::send_request).
    pub async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head.begin();
        self.requests.try_send_request(request).await
    }
}

quick_error! {
    /// `AnswerError` is the reason why no complete answer to a sent request was received.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum AnswerError {
        /// The answer exceeded the size limit.
        TooLarge {
            display("the answer exceeds the size limit")
        }
        /// The answers under way take too much memory together.
        NoMemory {
            display("the answers under way take too much memory")
        }
        /// The answer is incomplete or malformed.
        Broken(text: String) {
            display("the answer is incomplete or malformed: {text}")
        }
    }
}

impl AnswerError {
    /// Converts an error of the HTTP library.
    pub fn from_hyper(error: &hyper::Error) -> Self {
        if error.is_parse_too_large() {
            return Self::TooLarge;
        }
        Self::from_sources(error)
    }

    /// Converts an error, of which a source may be an exceeded limit.
    fn from_sources(error: &(dyn Error + 'static)) -> Self {
        let mut next = Some(error);
        while let Some(source) = next {
            let io = source.downcast_ref::<std::io::Error>();
            let inner = io.and_then(std::io::Error::get_ref);
            if inner.is_some_and(|inner| inner.is::<ReadLimitExceeded>()) {
                return Self::TooLarge;
            }
            if inner.is_some_and(|inner| inner.is::<ReadBudgetExceeded>()) {
                return Self::NoMemory;
            }
            next = source.source();
        }
        Self::Broken(error.to_string())
    }
}

/// Starts HTTP on an open connection, which then reads at most what `limits` allow for each request.
///
/// # Errors
///
/// If the HTTP library cannot set up the connection.
pub async fn handshake(
    stream: TcpStream,
    limits: ReadLimits,
) -> hyper::Result<(Sender, Connection<Stream, Full<Bytes>>)> {
    let head = HeadCheck::default();
    let stream = Stream::limited(stream, limits, head.clone());
    let (requests, connection) = Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADER_FIELDS)
        .handshake(stream)
        .await?;
    Ok((Sender { requests, head }, connection))
}

/// The bytes of an answer, and the part of a budget that they take.
struct HeldBytes {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the body of an answer on the connection that `memory` counts for. The body takes its part of the budget until
/// it is dropped. `limit` is the limit of the connection, in bytes.
///
/// # Errors
///
/// As [`read_body`].
pub async fn read_held_body(
    body: Incoming,
    limit: usize,
    memory: &AnswerMemory,
) -> Result<Bytes, AnswerError> {
    let bytes = collect(body, limit).await?;
    let reservation = memory.take();
    if reservation.is_empty() {
        return Ok(bytes.freeze());
    }
    Ok(Bytes::from_owner(HeldBytes {
        bytes,
        _reservation: reservation,
    }))
}

/// Reads the body of an answer. `limit` is the limit of the connection, in bytes.
///
/// # Errors
///
/// If the answer is too large, incomplete or malformed, or the answers under way take too much memory.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, AnswerError> {
    Ok(collect(body, limit).await?.freeze())
}

async fn collect(mut body: Incoming, limit: usize) -> Result<BytesMut, AnswerError> {
    // A body that announces a length beyond the limit is not read at all.
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(AnswerError::TooLarge);
    }
    // Collected in one buffer: a body may come in chunks that are much smaller than their bookkeeping.
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| AnswerError::from_sources(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.len() > limit - collected.len() {
            return Err(AnswerError::TooLarge);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected)
}
