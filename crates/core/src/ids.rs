//! Identities and version numbers.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! number {
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

number! {
    /// `NodeId` identifies one incarnation of a node process. A restarted process draws a new one,
    /// so that nothing its predecessor promised is asked of it.
    NodeId
}
number! {
    /// `LeafId` identifies a leaf across services and partition maps.
    LeafId
}
number! {
    /// `CallId` identifies one call to a leaf, unique within the node that issues it.
    CallId
}
number! {
    /// `Epoch` numbers the rosters of a cell; it only grows.
    Epoch
}
number! {
    /// `IndexVersion` is the version of the data that a leaf serves.
    IndexVersion
}
number! {
    /// `MapVersion` is the version of a service's partition map.
    MapVersion
}
number! {
    /// `TreeVersion` is the version of the settings tree; it only grows.
    TreeVersion
}
