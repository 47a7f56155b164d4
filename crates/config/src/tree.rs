//! The operators' configuration tree: the root, owners, services and request kinds.
//!
//! The whole tree is one object in the platform's store, and its version orders all changes. [`FinalSay`] is
//! handed over by one conditional update, after which concurrent writes of the former holder fail.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::str::FromStr;

use monsoondeal_core::{Findings, LeafId, NodeId, RequestKind, TreeVersion};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::change::ChangeId;
use crate::setting::{LeafLimits, apply_to_kind, apply_to_limits};

/// Rule for names, as in error messages.
pub const NAME_RULE: &str = "1 to 63 lower-case letters, digits and hyphens";
/// Longest name, in characters.
const MAX_NAME_LENGTH: usize = 63;

/// Returns whether `text` is a valid name.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.chars().all(is_allowed)
}

/// Values set at a level itself, by setting name.
pub type Overrides = BTreeMap<String, Value>;

/// `Level` is a node of the tree. It is written as `/`, `/owner`, `/owner/service` or
/// `/owner/service/kind`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Level {
    /// Invariant: at most three names.
    names: Vec<String>,
}

impl Level {
    /// Returns the root of the tree.
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns the level of a request kind.
    pub fn kind(owner: &str, service: &str, kind: &str) -> Self {
        Self {
            names: vec![owner.to_owned(), service.to_owned(), kind.to_owned()],
        }
    }

    /// Returns the names from the owner down.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns the owner that the level belongs to.
    pub fn owner(&self) -> Option<&str> {
        self.names.first().map(String::as_str)
    }

    /// Returns this level and its ancestors, the root first.
    pub fn lineage(&self) -> impl Iterator<Item = Self> + '_ {
        (0..=self.names.len()).map(|n| Self {
            names: self.names[..n].to_vec(),
        })
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "/{}", self.names.join("/"))
    }
}

impl From<Level> for String {
    fn from(level: Level) -> Self {
        level.to_string()
    }
}

impl TryFrom<String> for Level {
    type Error = Findings;

    fn try_from(text: String) -> Result<Self, Findings> {
        text.parse()
    }
}

impl FromStr for Level {
    type Err = Findings;

    fn from_str(text: &str) -> Result<Self, Findings> {
        let message = format!("'{text}' must be /, /owner, /owner/service or /owner/service/kind");
        let Some(rest) = text.strip_prefix('/') else {
            return Err(Findings::single("level", message));
        };
        if rest.is_empty() {
            return Ok(Self::root());
        }
        let names: Vec<String> = rest.split('/').map(str::to_owned).collect();
        if names.len() > 3 || !names.iter().all(|n| is_name(n)) {
            return Err(Findings::single(
                "level",
                format!("{message}; a name is {NAME_RULE}"),
            ));
        }
        Ok(Self { names })
    }
}

/// `Service` is a service of one owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Owner that the service belongs to.
    pub owner: String,
    /// Cell whose nodes serve requests to it.
    pub cell: String,
}

/// `FinalSay` is the right of one owner to change the whole tree, handed over for a month at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalSay {
    /// Owner who has the final say.
    pub owner: String,
    /// Month for which it was handed over, as in 2026-12.
    pub month: String,
    /// Number of handovers so far.
    pub term: u64,
}

/// `Tree` is the operators' configuration.
///
/// Invariants: every override names an existing setting and has a valid value; every service's owner
/// exists; overrides exist only at existing levels, as [`Tree::has_level`] defines them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    /// Version, incremented by one with each accepted change.
    pub version: TreeVersion,
    /// All owners.
    pub owners: BTreeSet<String>,
    /// All services by name.
    pub services: BTreeMap<String, Service>,
    /// Overrides by level.
    pub overrides: BTreeMap<Level, Overrides>,
    /// Holder of the final say; none until the first handover.
    #[serde(rename = "say")]
    pub final_say: Option<FinalSay>,
    /// Failure domains taken out of service.
    pub domains_out: BTreeSet<String>,
    /// Leafs that are leaving.
    pub leaving: BTreeSet<LeafId>,
    /// Nodes that operators have declared permanently gone.
    #[serde(default)]
    pub gone: BTreeSet<NodeId>,
    /// The latest accepted changes, newest last. A writer whose reply was lost finds its change here.
    pub recent: VecDeque<ChangeId>,
}

/// `Origin` is a value and the level that sets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Origin {
    /// The value in force.
    pub value: Value,
    /// Level that sets it. [`Tree::origin`] always returns one.
    pub level: Option<Level>,
}

/// `ResolvedSettings` are the settings in force for one request kind of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResolvedSettings {
    /// Settings of requests.
    pub kind: RequestKind,
    /// Limits of leafs. Overrides at the kind level do not apply to them.
    pub limits: LeafLimits,
}

impl Tree {
    /// Returns the settings of a request kind of a service, or `None` if the service does not exist.
    ///
    /// A kind without overrides of its own inherits everything from its service.
    pub fn resolve(&self, service: &str, kind: &str) -> Option<ResolvedSettings> {
        let owner = &self.services.get(service)?.owner;
        let level = Level::kind(owner, service, kind);
        let mut resolved = ResolvedSettings {
            kind: RequestKind::default(),
            limits: LeafLimits::default(),
        };
        for (depth, level) in level.lineage().enumerate() {
            for (name, value) in self.overrides.get(&level).into_iter().flatten() {
                apply_to_kind(&mut resolved.kind, name, value);
                // A leaf serves all kinds, so overrides of its limits end at the service level.
                if depth <= 2 {
                    apply_to_limits(&mut resolved.limits, name, value);
                }
            }
        }
        Some(resolved)
    }

    /// Returns the value of a setting at a level and the level that sets it, or `None` if no level sets
    /// it.
    pub fn origin(&self, level: &Level, setting: &str) -> Option<Origin> {
        let mut found = None;
        for level in level.lineage() {
            let value = self.overrides.get(&level).and_then(|o| o.get(setting));
            if let Some(value) = value {
                found = Some(Origin {
                    value: value.clone(),
                    level: Some(level),
                });
            }
        }
        found
    }

    /// Returns whether the level exists. A kind exists wherever its service does.
    pub fn has_level(&self, level: &Level) -> bool {
        match level.names() {
            [] => true,
            [owner] => self.owners.contains(owner),
            [owner, service, ..] => self
                .services
                .get(service)
                .is_some_and(|s| s.owner == *owner),
        }
    }

    /// Iterates over the services of a cell.
    pub fn cell_services<'a>(&'a self, cell: &'a str) -> impl Iterator<Item = &'a str> {
        let services = self.services.iter().filter(move |(_, s)| s.cell == cell);
        services.map(|(name, _)| name.as_str())
    }
}
