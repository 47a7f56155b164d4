//! Connections to leafs. One task per leaf owns the connections to it.
//!
//! The engine starts no more calls than the leaf has slots, and each call uses one connection, so a leaf
//! has at most as many connections as slots.

use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use monsoondeal_core::{IndexVersion, MapVersion, Snapshot};
use monsoondeal_engine::Input;
use monsoondeal_engine::io::{LeafCall, LeafCallId, LeafOutcome};
use serde_json::value::RawValue;

use crate::budget::ReadLimits;
use crate::client::{AnswerError, MAX_ANSWER_BYTES, Sender, handshake, read_body};
use crate::event::{Event, EventSender, send};
use crate::http::header;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the calls to one leaf until the sender is dropped and all calls have ended.
pub(crate) async fn serve(mut calls: mpsc::UnboundedReceiver<LeafCall>, events: EventSender) {
    let mut idle: Vec<Sender> = Vec::new();
    let mut running = FuturesUnordered::new();
    loop {
        futures_util::select! {
            call = calls.next() => match call {
                Some(call) => {
                    idle.retain(|c| !c.is_closed());
                    running.push(run(idle.pop(), call, events.clone()));
                }
                None => break,
            },
            (connection, id, outcome) = running.select_next_some() => {
                idle.extend(connection);
                send(&events, Event::Input(Input::LeafCallEnded(id, outcome)));
            }
        }
    }
    drop(idle);
    // Waits for the calls in flight, so that their outcomes are reported.
    while let Some((_, id, outcome)) = running.next().await {
        send(&events, Event::Input(Input::LeafCallEnded(id, outcome)));
    }
}

/// Runs one call. Returns its outcome, and its connection if that can be reused.
async fn run(
    idle: Option<Sender>,
    call: LeafCall,
    events: EventSender,
) -> (Option<Sender>, LeafCallId, LeafOutcome) {
    let id = call.id;
    let call_timeout = call.timeout;
    match timeout(call_timeout, exchange(idle, call, &events)).await {
        Ok((connection, outcome)) => (connection, id, outcome),
        Err(_) => (None, id, LeafOutcome::Broken),
    }
}

async fn exchange(
    idle: Option<Sender>,
    call: LeafCall,
    events: &EventSender,
) -> (Option<Sender>, LeafOutcome) {
    let Some(mut request) = build_request(&call) else {
        return (idle, LeafOutcome::NoConnection);
    };
    // If the leaf has closed the idle connection, the HTTP library returns the request unsent.
    if let Some(mut connection) = idle {
        match connection.try_send_request(request).await {
            Ok(response) => return read_answer(connection, response).await,
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => {
                    return (
                        None,
                        failure_outcome(&AnswerError::from_hyper(error.error())),
                    );
                }
            },
        }
    }
    let Some(mut connection) = connect(&call, events).await else {
        return (None, LeafOutcome::NoConnection);
    };
    match connection.try_send_request(request).await {
        Ok(response) => read_answer(connection, response).await,
        Err(mut error) => match error.take_message() {
            Some(_) => (None, LeafOutcome::NoConnection),
            None => (
                None,
                failure_outcome(&AnswerError::from_hyper(error.error())),
            ),
        },
    }
}

async fn connect(call: &LeafCall, events: &EventSender) -> Option<Sender> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(call.addr))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true);
    let limits = ReadLimits {
        answer: MAX_ANSWER_BYTES,
        ..ReadLimits::default()
    };
    let (sender, connection) = handshake(stream, limits).await.ok()?;
    let (leaf, events) = (call.leaf, events.clone());
    compio::runtime::spawn(async move {
        let _ = connection.await;
        send(&events, Event::Input(Input::LeafClosed(leaf)));
    })
    .detach();
    Some(sender)
}

fn build_request(call: &LeafCall) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::post(format!("/query/{}", call.kind))
        .header(hyper::header::HOST, call.addr.to_string())
        .header(header::INDEX_VERSION, call.snapshot.index.0)
        .header(header::MAP_VERSION, call.snapshot.map.0)
        .header(header::GROUP, call.group)
        .header(header::DEADLINE, call.budget.as_millis().max(1) as u64);
    if let Some(key) = &call.key {
        builder = builder.header(header::IDEMPOTENCY_KEY, key);
    }
    builder.body(Full::new(call.body.clone())).ok()
}

async fn read_answer(
    connection: Sender,
    response: Response<hyper::body::Incoming>,
) -> (Option<Sender>, LeafOutcome) {
    let (parts, body) = response.into_parts();
    let body = match read_body(body, MAX_ANSWER_BYTES).await {
        Ok(body) => body,
        Err(error) => return (None, failure_outcome(&error)),
    };
    let outcome = match parts.status {
        StatusCode::OK => answer_outcome(&parts.headers, body),
        StatusCode::CONFLICT => LeafOutcome::Mismatch,
        StatusCode::SERVICE_UNAVAILABLE if parts.headers.contains_key(header::NOT_RUN) => {
            LeafOutcome::Shed
        }
        _ => LeafOutcome::Failed,
    };
    (Some(connection), outcome)
}

/// Returns the outcome of a call without a complete answer.
fn failure_outcome(error: &AnswerError) -> LeafOutcome {
    match error {
        AnswerError::TooLarge | AnswerError::NoMemory => LeafOutcome::TooLarge,
        AnswerError::Broken(_) => LeafOutcome::Broken,
    }
}

/// Returns the outcome of a call from its answer, which must state its snapshot and have a JSON body.
fn answer_outcome(headers: &hyper::HeaderMap, body: Bytes) -> LeafOutcome {
    let parse_header = |name| headers.get(name)?.to_str().ok()?.parse().ok();
    let (Some(index), Some(map)) = (
        parse_header(header::INDEX_VERSION),
        parse_header(header::MAP_VERSION),
    ) else {
        return LeafOutcome::Failed;
    };
    if serde_json::from_slice::<&RawValue>(&body).is_err() {
        return LeafOutcome::Failed;
    }
    let stamp = Snapshot {
        index: IndexVersion(index),
        map: MapVersion(map),
    };
    LeafOutcome::Data { stamp, body }
}
