//! The client side of an HTTP connection, with limits on the size of answers.
//!
//! [`Stream`] limits all bytes that are read for one request: head, interim responses, framing, body and
//! trailers. This module limits the size of the head. Time-outs are up to the code that uses it.

use std::error::Error;

use bytes::Bytes;
use compio::net::TcpStream;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use quick_error::quick_error;

use crate::stream::{ReadLimitExceeded, Stream};

/// Maximum size of a leaf's answer with its head, in bytes: about thirty times the usual size, and small
/// enough that a hundred endless answers at a time fit into the memory of a small VM.
pub const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Maximum size of the head of an answer, in bytes. The head of the answer for a segment of a query names
/// each of its parts.
pub const MAX_HEAD_BYTES: usize = 128 * 1024;
/// Maximum number of header fields of an answer.
const MAX_HEADER_FIELDS: usize = 100;

/// Sends requests on a connection.
pub type Sender = SendRequest<Full<Bytes>>;

quick_error! {
    /// `AnswerError` is the reason why no complete answer to a sent request was received.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum AnswerError {
        /// The answer exceeded the size limit.
        TooLarge {
            display("the answer exceeds the size limit")
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
        if error.is_parse_too_large() || is_size_limit_error(error) {
            Self::TooLarge
        } else {
            Self::Broken(error.to_string())
        }
    }
}

/// Starts HTTP on an open connection, which then reads at most `limit` bytes for each request.
///
/// # Errors
///
/// If the HTTP library cannot set up the connection.
pub async fn handshake(
    stream: TcpStream,
    limit: usize,
) -> hyper::Result<(Sender, Connection<Stream, Full<Bytes>>)> {
    Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADER_FIELDS)
        .handshake(Stream::limited(stream, limit))
        .await
}

/// Reads the body of an answer. `limit` is the limit of the connection, in bytes.
///
/// # Errors
///
/// If the answer is too large, incomplete or malformed.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, AnswerError> {
    // A body that announces a length beyond the limit is not read at all.
    if usize::try_from(body.size_hint().lower()).is_ok_and(|lower| lower <= limit) {
        let body = Limited::new(body, limit).collect().await;
        body.map(|body| body.to_bytes()).map_err(|error| {
            match is_size_limit_error(error.as_ref()) {
                true => AnswerError::TooLarge,
                false => AnswerError::Broken(error.to_string()),
            }
        })
    } else {
        Err(AnswerError::TooLarge)
    }
}

/// Returns whether an error, or one of its sources, is an exceeded size limit.
fn is_size_limit_error(error: &(dyn Error + 'static)) -> bool {
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
