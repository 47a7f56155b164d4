//! Keys of the objects in the store, and the list of VMs.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Key of the configuration tree in the store.
pub const TREE_KEY: &str = "tree";

/// Key of the platform's list of VMs in the store.
pub const VMS_KEY: &str = "vms";

/// Prefix of the keys of version moves in the store.
pub(crate) const MOVE_PREFIX: &str = "move/";

/// `VmList` is the platform's list of VMs, by name. It may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Running VMs.
    pub live: BTreeSet<String>,
    /// VMs that are being shut down.
    #[serde(default)]
    pub leaving: BTreeSet<String>,
}

/// Returns the key of a cell's roster in the store.
pub fn roster_key(cell: &str) -> String {
    format!("roster/{cell}")
}

/// Returns the key of a service's partition map in the store.
pub fn map_key(service: &str) -> String {
    format!("map/{service}")
}

/// Returns the key of a service's version move in the store.
pub fn move_key(service: &str) -> String {
    format!("{MOVE_PREFIX}{service}")
}
