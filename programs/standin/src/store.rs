//! Stand-in for the platform's object API, in memory.
//!
//! Serves the requests that the node daemon sends to `/v1/objects/{key}`: `GET`, `PUT` and `GET` that waits for
//! a new version. `POST /control` sets the faults, and `GET /stats` returns the numbers of calls.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use compio::time::{sleep, timeout};
use futures_channel::oneshot;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{ETAG, IF_MATCH};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::serve::{self, Body, json, status};

/// `StoreFaults` are the faults that the store simulates.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Close every connection without a response.
    pub down: bool,
    /// Delay before every response, in milliseconds.
    pub slow_ms: u64,
    /// Number of further writes that take effect but get no response.
    pub lose_replies: u32,
    /// Never answer pending and new watches, and leave their connections open.
    pub swallow_watches: bool,
}

/// `StoreStats` are the numbers of calls to the store.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct StoreStats {
    /// Reads that do not wait.
    pub reads: u64,
    /// Writes, including rejected ones.
    pub writes: u64,
    /// Reads that wait for a new version.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
    waiters: Vec<oneshot::Sender<()>>,
    faults: StoreFaults,
    stats: StoreStats,
}

impl State {
    fn wake_watches(&mut self) {
        for waiter in self.waiters.drain(..) {
            let _ = waiter.send(());
        }
    }
}

type SharedState = Rc<RefCell<State>>;

/// Prints the address and serves until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(listen: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("{}", listener.local_addr()?);
    let state = SharedState::default();
    serve::listen(listener, move || {
        let state = state.clone();
        move |request| handle(request, state.clone())
    })
    .await;
    Ok(())
}

async fn handle(request: Request<Incoming>, state: SharedState) -> Option<Response<Body>> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/control" => {
            let body = request.into_body().collect().await.ok()?.to_bytes();
            let Ok(faults) = serde_json::from_slice(&body) else {
                return Some(status(StatusCode::BAD_REQUEST));
            };
            let mut state = state.borrow_mut();
            state.faults = faults;
            if faults.swallow_watches {
                state.wake_watches();
            }
            return Some(status(StatusCode::OK));
        }
        "/stats" => return Some(json(&state.borrow().stats)),
        _ => {}
    }
    let Some(key) = path.strip_prefix("/v1/objects/").map(str::to_owned) else {
        return Some(status(StatusCode::NOT_FOUND));
    };
    let faults = state.borrow().faults;
    if faults.down {
        return None;
    }
    sleep(Duration::from_millis(faults.slow_ms)).await;
    match *request.method() {
        Method::GET => get(&key, request.uri().query().unwrap_or(""), &state).await,
        Method::PUT => put(&key, request, &state).await,
        _ => Some(status(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

async fn get(key: &str, query: &str, state: &SharedState) -> Option<Response<Body>> {
    let param = |name| {
        let mut params = query.split('&').filter_map(|f| f.split_once('='));
        params
            .find(|(n, _)| *n == name)
            .and_then(|(_, v)| v.parse::<u64>().ok())
    };
    let (Some(after), Some(wait)) = (param("after"), param("wait_ms")) else {
        state.borrow_mut().stats.reads += 1;
        return Some(object_response(key, state));
    };
    state.borrow_mut().stats.watches += 1;
    let deadline = Instant::now() + Duration::from_millis(wait);
    while version(key, state) == after {
        if state.borrow().faults.swallow_watches {
            pending::<()>().await;
        }
        let (sender, receiver) = oneshot::channel();
        state.borrow_mut().waiters.push(sender);
        let left = deadline.saturating_duration_since(Instant::now());
        if timeout(left, receiver).await.is_err() {
            return Some(status(StatusCode::NOT_MODIFIED));
        }
        // In an outage, the connection of a pending watch is closed when the watch wakes up.
        if state.borrow().faults.down {
            return None;
        }
    }
    Some(object_response(key, state))
}

async fn put(key: &str, request: Request<Incoming>, state: &SharedState) -> Option<Response<Body>> {
    let expects = expected_version(request.headers());
    let value = request.into_body().collect().await.ok()?.to_bytes();
    let mut state = state.borrow_mut();
    state.stats.writes += 1;
    let current = state.objects.get(key).map_or(0, |(version, _)| *version);
    let Some(expects) = expects else {
        return Some(status(StatusCode::BAD_REQUEST));
    };
    if current != expects {
        return Some(status(StatusCode::PRECONDITION_FAILED));
    }
    state.revision += 1;
    let version = state.revision;
    state.objects.insert(key.to_owned(), (version, value));
    state.wake_watches();
    if state.faults.lose_replies > 0 {
        state.faults.lose_replies -= 1;
        return None;
    }
    let mut response = status(StatusCode::OK);
    set_tag(&mut response, version);
    Some(response)
}

/// Returns the version that a write expects; zero means that the object must not exist.
fn expected_version(headers: &HeaderMap) -> Option<u64> {
    match headers.get(IF_MATCH) {
        Some(tag) => tag.to_str().ok()?.trim_matches('"').parse().ok(),
        None => headers
            .contains_key(hyper::header::IF_NONE_MATCH)
            .then_some(0),
    }
}

fn version(key: &str, state: &SharedState) -> u64 {
    state
        .borrow()
        .objects
        .get(key)
        .map_or(0, |(version, _)| *version)
}

fn object_response(key: &str, state: &SharedState) -> Response<Body> {
    let state = state.borrow();
    let Some((version, value)) = state.objects.get(key) else {
        return status(StatusCode::NOT_FOUND);
    };
    let mut response = Response::new(Full::new(value.clone()));
    set_tag(&mut response, *version);
    response
}

fn set_tag(response: &mut Response<Body>, version: u64) {
    if let Ok(tag) = format!("\"{version}\"").parse() {
        response.headers_mut().insert(ETAG, tag);
    }
}
