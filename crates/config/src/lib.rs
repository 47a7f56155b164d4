//! Configuration: the settings file of a node, the operators' tree of owners, services and
//! settings, and the partition maps of services.
//!
//! Queries on the tree are in [`tree`]; every modification of the tree is a [`change::Change`].

pub mod change;
pub mod map;
pub mod node;
pub mod reader;
pub mod setting;
pub mod tree;

pub use change::{Change, ChangeId, Edit};
pub use map::{LeafSpec, NextVersion, ServiceMap};
pub use node::NodeSettings;
pub use setting::{LeafLimits, SETTINGS, Setting, SettingKind};
pub use tree::{FinalSay, Level, Origin, ResolvedSettings, Service, Tree};
