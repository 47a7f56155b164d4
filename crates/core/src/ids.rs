//! Identities and version numbers.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

numeric_id! {
    /// `NodeId` identifies one incarnation of a node process. A restarted process draws a new
    /// identity, so that what its predecessor reported to other nodes does not bind it.
    NodeId
}
numeric_id! {
    /// `LeafId` identifies a leaf across services and partition maps.
    LeafId
}
numeric_id! {
    /// `CallId` identifies one call to a leaf or one at-most-once request, unique within the node that
    /// issues it.
    CallId
}
numeric_id! {
    /// `Epoch` is the version of a cell's roster; it only grows.
    Epoch
}
numeric_id! {
    /// `IndexVersion` is the version of the data that a leaf serves.
    IndexVersion
}
numeric_id! {
    /// `MapVersion` is the version of a service's partition map.
    MapVersion
}
numeric_id! {
    /// `TreeVersion` is the version of the settings tree; it only grows.
    TreeVersion
}
