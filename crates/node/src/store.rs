//! Client of the platform's object API.
//!
//! Objects are read with `GET /v1/objects/{key}`, written with `PUT` under `If-Match` or
//! `If-None-Match: *`, and watched by long polling: a `GET` with `?after=VERSION&wait_ms=N` returns as soon
//! as the object has another version, or `304` after the wait. The version is the entity tag (RFC 9110).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ETAG, HOST, IF_MATCH, IF_NONE_MATCH};
use hyper::{HeaderMap, Request, Response, StatusCode};
use monsoondeal_core::Clock;
use monsoondeal_engine::Input;
use monsoondeal_engine::io::Object;
use quick_error::quick_error;
use rand::RngExt;

use crate::budget::ReadLimits;
use crate::client::{AnswerError, Sender, handshake, read_body};
use crate::event::{Event, EventSender, send};

/// Time for which the store may delay its answer to a watch. A change must be in force everywhere within
/// 8 s. A watch that the store never answers ends after this time and [`WATCH_GRACE`], which leaves two of
/// the 8 s to read the change.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Maximum time for the answer to a watch in addition to [`WATCH_WAIT`].
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// Maximum time for a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for a write, and for the read that follows a failed watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of an answer of the store with its head, in bytes. A value has at most one megabyte.
const MAX_OBJECT_BYTES: usize = 4 * 1024 * 1024;
/// Wait after the first failed watch, in milliseconds. It is doubled with each further failure, with jitter.
const RETRY_INITIAL_MILLIS: u64 = 100;
/// Upper bound of the wait after a failed watch, in milliseconds.
const RETRY_MAX_MILLIS: u64 = 3_000;

quick_error! {
    /// `StoreError` is the reason why a call to the store has no result.
    #[derive(Debug)]
    pub enum StoreError {
        /// The store did not answer in time, or answered with an unexpected status. A write may have taken
        /// effect.
        Unreachable(text: String) {
            display("call to the store failed: {text}")
        }
        /// The object has another version than expected; nothing was written.
        Conflict {
            display("the object has been changed by another writer")
        }
        /// The answer is malformed.
        Malformed(text: String) {
            display("malformed answer from the store: {text}")
        }
    }
}

/// `Store` is a client of the object API. Its clones share connections.
#[derive(Clone, Debug)]
pub struct Store {
    /// Host and port.
    host: String,
    /// Idle connections.
    idle: Rc<RefCell<Vec<Sender>>>,
}

impl Store {
    /// Creates a client for the API at the URL `base`, as in `http://10.0.0.1:9000`.
    pub fn new(base: &str) -> Self {
        let host = base.strip_prefix("http://").unwrap_or(base);
        Self {
            host: host.trim_end_matches('/').to_owned(),
            idle: Rc::default(),
        }
    }

    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// If the store does not answer in time, or its answer is malformed.
    pub async fn read(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.read_within(READ_TIMEOUT, key).await
    }

    async fn read_within(&self, limit: Duration, key: &str) -> Result<Option<Object>, StoreError> {
        let found = with_timeout(limit, self.get(&object_path(key))).await?;
        Ok(found.flatten())
    }

    /// Waits until an object has another version than `after`. Returns `None` if it does not change within
    /// [`WATCH_WAIT`].
    async fn wait_for_change(
        &self,
        key: &str,
        after: Option<u64>,
    ) -> Result<Option<Option<Object>>, StoreError> {
        let after = after.unwrap_or(0);
        let wait = WATCH_WAIT.as_millis();
        let path = format!("{}?after={after}&wait_ms={wait}", object_path(key));
        with_timeout(WATCH_WAIT + WATCH_GRACE, self.get(&path)).await
    }

    /// Writes an object if it has the version `expects`, or for `None` if it does not exist. Returns its new
    /// version.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if the object has another version. With other errors it is unknown whether
    /// the write took effect.
    pub async fn write(
        &self,
        key: &str,
        expects: Option<u64>,
        value: Bytes,
    ) -> Result<u64, StoreError> {
        let writing = async {
            let request = Request::put(object_path(key));
            let request = match expects {
                Some(version) => request.header(IF_MATCH, format!("\"{version}\"")),
                None => request.header(IF_NONE_MATCH, "*"),
            };
            let request = request.header(HOST, &self.host).body(Full::new(value));
            let request = request.map_err(unreachable)?;
            let (status, headers, _) = self.call(request).await?;
            match status {
                StatusCode::OK | StatusCode::CREATED => parse_version(&headers),
                StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
                status => Err(StoreError::Unreachable(format!("status {status}"))),
            }
        };
        with_timeout(CALL_TIMEOUT, writing).await
    }

    /// Gets an object. Returns `None` if it is unchanged, and `Some(None)` if it does not exist.
    async fn get(&self, path: &str) -> Result<Option<Option<Object>>, StoreError> {
        let request = Request::get(path).header(HOST, &self.host);
        let request = request.body(Full::default()).map_err(unreachable)?;
        let (status, headers, value) = self.call(request).await?;
        match status {
            StatusCode::OK => {
                let version = parse_version(&headers)?;
                Ok(Some(Some(Object { version, value })))
            }
            StatusCode::NOT_FOUND => Ok(Some(None)),
            StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(StoreError::Unreachable(format!("status {status}"))),
        }
    }

    /// Sends a request and reads the complete answer. The connection of a call that fails or is cancelled is
    /// closed.
    async fn call(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), StoreError> {
        let (connection, response) = self.send(request).await?;
        let (parts, body) = response.into_parts();
        let body = read_body(body, MAX_OBJECT_BYTES)
            .await
            .map_err(unreachable)?;
        self.idle.borrow_mut().push(connection);
        Ok((parts.status, parts.headers, body))
    }

    async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<Incoming>), StoreError> {
        // If the store has closed the idle connection, the HTTP library returns the request unsent.
        while let Some(mut connection) = self.take_idle() {
            match connection.try_send_request(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(unreachable(AnswerError::from_hyper(error.error()))),
                },
            }
        }
        let mut connection = self.connect().await?;
        match connection.try_send_request(request).await {
            Ok(response) => Ok((connection, response)),
            Err(error) => Err(unreachable(AnswerError::from_hyper(error.error()))),
        }
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(Sender::is_ready);
        idle.pop()
    }

    async fn connect(&self) -> Result<Sender, StoreError> {
        let stream = TcpStream::connect(&self.host).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let limits = ReadLimits {
            answer: MAX_OBJECT_BYTES,
            ..ReadLimits::default()
        };
        let (sender, connection) = handshake(stream, limits).await.map_err(unreachable)?;
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the store ended: {error}");
            }
        })
        .detach();
        Ok(sender)
    }
}

/// Watches one object until the task is dropped.
pub(crate) async fn watch(store: Store, key: String, clock: Clock, events: EventSender) {
    let mut after = None;
    // The first read returns at once, so that the current state is known early.
    let mut read_timeout = Some(READ_TIMEOUT);
    let mut retry = RETRY_INITIAL_MILLIS;
    loop {
        let sent = clock.now();
        let found = match read_timeout {
            Some(limit) => store.read_within(limit, &key).await.map(Some),
            None => store.wait_for_change(&key, after).await,
        };
        match found {
            Ok(found) => {
                read_timeout = None;
                retry = RETRY_INITIAL_MILLIS;
                if let Some(object) = found {
                    after = object.as_ref().map(|o| o.version);
                    let key = key.clone();
                    send(&events, Event::Input(Input::Object { key, object, sent }));
                }
            }
            Err(error) => {
                log::warn!("watch of '{key}' failed: {error}");
                // The failed watch may have missed a change, and unlike a watch a read is answered at once.
                read_timeout = Some(CALL_TIMEOUT);
                let wait = rand::rng().random_range(retry / 2..=retry);
                sleep(Duration::from_millis(wait)).await;
                retry = (retry * 2).min(RETRY_MAX_MILLIS);
            }
        }
    }
}

/// Reads an object once.
pub(crate) async fn read(store: Store, key: String, clock: Clock, events: EventSender) {
    let sent = clock.now();
    match store.read(&key).await {
        Ok(object) => send(&events, Event::Input(Input::Object { key, object, sent })),
        Err(error) => {
            log::warn!("read of '{key}' failed: {error}");
            send(&events, Event::Input(Input::ReadFailed(key)));
        }
    }
}

/// Writes an object once.
pub(crate) async fn write(
    store: Store,
    key: String,
    expects: Option<u64>,
    value: Bytes,
    events: EventSender,
) {
    match store.write(&key, expects, value).await {
        Ok(version) => log::info!("wrote '{key}' as version {version}"),
        Err(error) => log::warn!("write of '{key}' failed: {error}"),
    }
    send(&events, Event::Input(Input::WriteEnded(key)));
}

async fn with_timeout<T, F>(limit: Duration, call: F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    match timeout(limit, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::Unreachable("timeout".to_owned())),
    }
}

fn unreachable<E>(error: E) -> StoreError
where
    E: std::fmt::Display,
{
    StoreError::Unreachable(error.to_string())
}

fn object_path(key: &str) -> String {
    format!("/v1/objects/{key}")
}

fn parse_version(headers: &HeaderMap) -> Result<u64, StoreError> {
    let tag = headers.get(ETAG).and_then(|tag| tag.to_str().ok());
    let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    version.ok_or_else(|| {
        StoreError::Malformed("the entity tag is missing or is not a version".to_owned())
    })
}
