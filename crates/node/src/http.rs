//! HTTP server and helper functions shared by the HTTP interfaces.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use futures_channel::oneshot;
use futures_util::future::select;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;

use crate::accept::Acceptor;
use crate::stream::Stream;

/// Maximum time for a client to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of header fields of a request.
const MAX_HEADER_FIELDS: usize = 64;

/// Names of header fields.
pub(crate) mod header {
    /// Version of the data, on calls to leafs and on their answers.
    pub(crate) const INDEX_VERSION: &str = "x-index-version";
    /// Version of the partition map, on calls to leafs and on their answers.
    pub(crate) const MAP_VERSION: &str = "x-partition-map";
    /// Group that the call is for.
    pub(crate) const GROUP: &str = "x-group";
    /// Time left until the deadline, in milliseconds.
    pub(crate) const DEADLINE: &str = "x-deadline-ms";
    /// Idempotency key.
    pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Partition key, which selects the group of an at-most-once request.
    pub(crate) const PARTITION_KEY: &str = "x-partition-key";
    /// Set on a leaf's refusal of a call that it has not run.
    pub(crate) const NOT_RUN: &str = "x-not-run";
}

/// Content type of the metrics in text form.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Body of responses.
pub type Body = Full<Bytes>;

/// Accepts connections and serves each with `handler` until the process ends. If there are more than `max_connections`,
/// the oldest one is closed.
pub async fn listen<F, R>(mut acceptor: Acceptor, max_connections: usize, handler: F)
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let handler = Rc::new(handler);
    // Dropping a sender closes its connection.
    let mut open: VecDeque<oneshot::Sender<()>> = VecDeque::new();
    loop {
        let Ok(stream) = acceptor.accept().await else {
            continue;
        };
        if open.len() >= max_connections {
            open.retain(|connection| !connection.is_canceled());
        }
        if open.len() >= max_connections {
            open.pop_front();
        }
        let (sender, closing) = oneshot::channel();
        open.push_back(sender);
        let handler = handler.clone();
        compio::runtime::spawn(async move {
            select(pin!(serve(stream, handler)), closing).await;
        })
        .detach();
    }
}

async fn serve<F, R>(stream: TcpStream, handler: Rc<F>)
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADER_FIELDS)
        .serve_connection(Stream::new(stream), service);
    if let Err(error) = pin!(connection).await {
        log::debug!("connection ended: {error}");
    }
}

/// Returns a response with a JSON body.
pub fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    respond(status, "application/json", body)
}

/// Returns a response with a body of the given content type.
pub fn respond(status: StatusCode, content_type: &str, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    if let Ok(content_type) = content_type.parse() {
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, content_type);
    }
    response
}

/// Returns a response with the metrics in text form.
pub fn metrics(text: String) -> Response<Body> {
    respond(StatusCode::OK, METRICS_CONTENT_TYPE, text.into_bytes())
}
