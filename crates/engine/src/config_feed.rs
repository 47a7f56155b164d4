//! Fetches from peers and parse errors of the configuration feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoondeal_core::{DeterministicMap, Time};
use serde::de::DeserializeOwned;

use crate::io::Object;

/// `ConfigFeed` keeps the times of fetches from peers, and the errors of invalid objects.
#[derive(Debug, Default)]
pub(crate) struct ConfigFeed {
    /// When the configuration was last fetched from a peer.
    pub(crate) last_fetches: DeterministicMap<SocketAddr, Time>,
    /// Errors of invalid objects, by key.
    pub(crate) errors: BTreeMap<String, String>,
}

impl ConfigFeed {
    /// Parses an object. Records the error and returns `None` if it is invalid.
    pub(crate) fn parse<T>(&mut self, key: &str, object: Option<&Object>) -> Option<T>
    where
        T: DeserializeOwned,
    {
        match serde_json::from_slice(&object?.value) {
            Ok(value) => {
                self.errors.remove(key);
                Some(value)
            }
            Err(error) => {
                self.errors.insert(key.to_owned(), error.to_string());
                None
            }
        }
    }

    /// Records the error of an invalid object.
    pub(crate) fn record_error(&mut self, key: &str, error: &impl ToString) {
        self.errors.insert(key.to_owned(), error.to_string());
    }
}
