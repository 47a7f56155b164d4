//! State of the configuration feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoondeal_core::{DeterministicMap, Time};
use serde::de::DeserializeOwned;

use crate::io::Object;

/// `Feed` remembers fetches from peers, and objects that could not be read.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    /// Last fetch from a peer.
    pub(crate) fetched: DeterministicMap<SocketAddr, Time>,
    /// Objects that could not be read.
    pub(crate) faults: BTreeMap<String, String>,
}

impl Feed {
    /// Returns the content of an object, or notes its fault.
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

    /// Notes what is wrong with an object.
    pub(crate) fn note_fault(&mut self, key: &str, fault: &impl ToString) {
        self.faults.insert(key.to_owned(), fault.to_string());
    }
}
