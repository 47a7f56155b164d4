//! Client of the platform's object API.
//!
//! Objects are read with `GET /v1/objects/{key}`, written with `PUT` under `If-Match` or
//! `If-None-Match: *`, and watched by a `GET` that waits: `?after=VERSION&wait_ms=N` returns as soon
//! as the version differs, or `304` after the wait. The version is the entity tag (RFC 9110).

use std::time::Duration;

use bytes::Bytes;
use compio::time::{sleep, timeout};
use cyper::Client;
use hyper::StatusCode;
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use monsoondeal_core::Clock;
use monsoondeal_engine::Input;
use monsoondeal_engine::io::Object;
use quick_error::quick_error;
use rand::RngExt;

use crate::event::{Event, EventSender, send};

/// How long a watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Longest time for a read.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// Longest time for a write, and for a watch beyond its wait.
const CALL_LIMIT: Duration = Duration::from_secs(3);
/// Wait after a failed watch, in milliseconds; doubled up to the limit, with jitter.
const RETRY_FIRST_MILLIS: u64 = 100;
const RETRY_LIMIT_MILLIS: u64 = 3_000;

quick_error! {
    /// `StoreError` is why a call to the store has no result.
    #[derive(Debug)]
    pub enum StoreError {
        /// No answer, or none in time. A write may have taken effect.
        Unreachable(text: String) {
            display("no answer from the store: {text}")
        }
        /// The object had another version; nothing was written.
        Conflict {
            display("the object was changed meanwhile")
        }
        /// An answer that cannot be read.
        Malformed(text: String) {
            display("malformed answer from the store: {text}")
        }
    }
}

/// `Store` is a client of the object API.
#[derive(Clone, Debug)]
pub struct Store {
    base: String,
    client: Client,
}

impl Store {
    /// Creates a client for the API at `base`, as in `http://10.0.0.1:9000`.
    pub fn new(base: &str) -> Self {
        Self {
            base: base.to_owned(),
            client: Client::new(),
        }
    }

    /// Reads an object; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// If there is no answer in time, or none that can be read.
    pub async fn read(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let url = format!("{}/v1/objects/{key}", self.base);
        let found = within(READ_LIMIT, self.get(&url)).await?;
        Ok(found.flatten())
    }

    /// Waits until an object has another version than `after`; `None` if nothing came in time.
    async fn wait(
        &self,
        key: &str,
        after: Option<u64>,
    ) -> Result<Option<Option<Object>>, StoreError> {
        let after = after.unwrap_or(0);
        let wait = WATCH_WAIT.as_millis();
        let url = format!(
            "{}/v1/objects/{key}?after={after}&wait_ms={wait}",
            self.base
        );
        within(WATCH_WAIT + CALL_LIMIT, self.get(&url)).await
    }

    /// Writes an object if it has the version `expects`, or if it is absent. Returns its new version.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if it has another version; otherwise it is unknown whether the write
    /// took effect.
    pub async fn write(
        &self,
        key: &str,
        expects: Option<u64>,
        value: Bytes,
    ) -> Result<u64, StoreError> {
        let url = format!("{}/v1/objects/{key}", self.base);
        let writing = async {
            let request = self.client.put(url.as_str()).map_err(unreachable)?;
            let request = match expects {
                Some(version) => request.header(IF_MATCH, format!("\"{version}\"")),
                None => request.header(IF_NONE_MATCH, "*"),
            };
            let request = request.map_err(unreachable)?.body(value);
            let response = request.send().await.map_err(unreachable)?;
            match response.status() {
                StatusCode::OK | StatusCode::CREATED => version(response.headers()),
                StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
                status => Err(StoreError::Unreachable(format!("status {status}"))),
            }
        };
        within(CALL_LIMIT, writing).await
    }

    /// Gets an object: `None` if it is unchanged, `Some(None)` if it is absent.
    async fn get(&self, url: &str) -> Result<Option<Option<Object>>, StoreError> {
        let request = self.client.get(url).map_err(unreachable)?;
        let response = request.send().await.map_err(unreachable)?;
        match response.status() {
            StatusCode::OK => {
                let version = version(response.headers())?;
                let value = response.bytes().await.map_err(unreachable)?;
                Ok(Some(Some(Object { version, value })))
            }
            StatusCode::NOT_FOUND => Ok(Some(None)),
            StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(StoreError::Unreachable(format!("status {status}"))),
        }
    }
}

/// Watches one object until the task is dropped.
pub(crate) async fn watch(store: Store, key: String, clock: Clock, events: EventSender) {
    let mut after = None;
    let mut first = true;
    let mut retry = RETRY_FIRST_MILLIS;
    loop {
        let asked = clock.now();
        // The first read does not wait, so that the state is known at once.
        let found = match first {
            true => store.read(&key).await.map(Some),
            false => store.wait(&key, after).await,
        };
        match found {
            Ok(found) => {
                first = false;
                retry = RETRY_FIRST_MILLIS;
                if let Some(object) = found {
                    after = object.as_ref().map(|o| o.version);
                    let key = key.clone();
                    send(&events, Event::Input(Input::Object { key, object, asked }));
                }
            }
            Err(error) => {
                log::warn!("watch of '{key}' failed: {error}");
                let wait = rand::rng().random_range(retry / 2..=retry);
                sleep(Duration::from_millis(wait)).await;
                retry = (retry * 2).min(RETRY_LIMIT_MILLIS);
            }
        }
    }
}

/// Reads an object once.
pub(crate) async fn read(store: Store, key: String, clock: Clock, events: EventSender) {
    let asked = clock.now();
    match store.read(&key).await {
        Ok(object) => send(&events, Event::Input(Input::Object { key, object, asked })),
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
        Err(error) => log::warn!("write of '{key}': {error}"),
    }
    send(&events, Event::Input(Input::Written(key)));
}

async fn within<T, F>(limit: Duration, call: F) -> Result<T, StoreError>
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

fn version(headers: &hyper::HeaderMap) -> Result<u64, StoreError> {
    let tag = headers.get(ETAG).and_then(|tag| tag.to_str().ok());
    let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    version.ok_or_else(|| StoreError::Malformed("entity tag is no version".to_owned()))
}
