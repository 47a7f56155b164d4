//! Fetches from peers and parse errors of the configuration feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoondeal_core::{DeterministicMap, Time};
use serde::de::DeserializeOwned;

use crate::io::Object;

/// `Feed` keeps the times of fetches from peers, and the errors of invalid objects.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    /// When the configuration was last fetched from a peer.
    pub(crate) fetched: DeterministicMap<SocketAddr, Time>,
    /// Errors of invalid objects, by key.
    pub(crate) faults: BTreeMap<String, String>,
}

impl Feed {
    /// Parses an object. Records the error and returns `None` if it is invalid.
    pub(crate) fn parse<T>(&mut self, key: &str, object: Option<&Object>) -> Option<T>
    where
        T: DeserializeOwned,
    {
        match serde_json::from_slice(&object?.value) {
            Ok(value) => {
                self.faults.remove(key);
                Some(value)
            }
            Err(error) => {
                self.faults.insert(key.to_owned(), error.to_string());
                None
            }
        }
    }

    /// Records the error of an invalid object.
    pub(crate) fn note_fault(&mut self, key: &str, fault: &impl ToString) {
        self.faults.insert(key.to_owned(), fault.to_string());
    }
}
