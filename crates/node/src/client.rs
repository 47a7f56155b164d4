//! The HTTP client side of a connection, with bounds on what the other side may send.
//!
//! All that is read for one request, with its head, interim responses, framing and trailers, is bounded
//! by [`Stream`]; the head alone is bounded here. The time is bounded by whoever waits.

use std::error::Error;

use bytes::Bytes;
use compio::net::TcpStream;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use quick_error::quick_error;

use crate::stream::{ReadLimitExceeded, Stream};

/// Largest answer of a leaf with its head, in bytes: some thirty times the answers that are usual, and
/// little enough that a hundred endless ones at a time fit into a small VM.
pub const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Largest head of an answer, in bytes. That of a segment of a query names each of its parts.
pub const MAX_HEAD_BYTES: usize = 128 * 1024;
/// Most header fields of an answer.
const HEADER_FIELDS: usize = 100;

/// The side of a connection that sends requests.
pub type Sender = SendRequest<Full<Bytes>>;

quick_error! {
    /// `AnswerError` is why a request that was sent has no whole answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum AnswerError {
        /// The answer was longer than the limit.
        TooLarge {
            display("the answer is over the limit")
        }
        /// The answer broke off, or is malformed.
        Broken(text: String) {
            display("the answer broke off: {text}")
        }
    }
}

impl AnswerError {
    /// Tells from the error of the HTTP library whether the answer was too long.
    pub fn from_hyper(error: &hyper::Error) -> Self {
        if error.is_parse_too_large() || is_over_limit(error) {
            Self::TooLarge
        } else {
            Self::Broken(error.to_string())
        }
    }
}

/// Starts HTTP on an open connection. It reads at most `limit` bytes for each request.
///
/// # Errors
///
/// If the library cannot start.
pub async fn handshake(
    stream: TcpStream,
    limit: usize,
) -> hyper::Result<(Sender, Connection<Stream, Full<Bytes>>)> {
    Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(HEADER_FIELDS)
        .handshake(Stream::limited(stream, limit))
        .await
}

/// Reads the body of an answer. `limit` is that of the connection.
///
/// # Errors
///
/// If it is too long, or broke off.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, AnswerError> {
    // One that says that it will be too long is not read at all.
    if usize::try_from(body.size_hint().lower()).is_ok_and(|least| least <= limit) {
        let body = Limited::new(body, limit).collect().await;
        body.map(|body| body.to_bytes())
            .map_err(|error| match is_over_limit(error.as_ref()) {
                true => AnswerError::TooLarge,
                false => AnswerError::Broken(error.to_string()),
            })
    } else {
        Err(AnswerError::TooLarge)
    }
}

/// Returns whether a limit stands at the beginning of a chain of errors.
fn is_over_limit(error: &(dyn Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        let io = error.downcast_ref::<std::io::Error>();
        let inner = io.and_then(std::io::Error::get_ref);
        if error.is::<LengthLimitError>()
            || inner.is_some_and(|inner| inner.is::<ReadLimitExceeded>())
        {
            return true;
        }
        next = error.source();
    }
    false
}
