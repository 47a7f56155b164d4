//! Changes to the tree.
//!
//! A change is checked against the very tree that its conditional update replaces, so a write by an
//! owner whose say was handed over meanwhile fails the check or the update, whichever comes first.

use monsoondeal_core::{Findings, LeafId, NodeId, TreeVersion};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::setting::Setting;
use crate::tree::{FinalSay, Level, NAME_RULE, Service, Tree, is_name};

/// How many accepted changes the tree remembers.
const RECENT_CHANGES: usize = 256;

/// `ChangeId` identifies one change for as long as its writer may ask whether it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub u64);

/// `Change` is one act of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identity, drawn by the writer.
    pub id: ChangeId,
    /// Owner in whose name the operator acts; `None` only while nobody has the say.
    pub actor: Option<String>,
    /// Version of the tree that the operator looked at, if the change depends on it.
    pub expects: Option<TreeVersion>,
    /// What to change.
    pub edit: Edit,
}

/// `Edit` is what a change does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "edit", rename_all = "snake_case")]
pub enum Edit {
    /// Creates an owner.
    CreateOwner {
        /// Its name.
        owner: String,
    },
    /// Creates a service.
    CreateService {
        /// Its name, unique in the tree.
        service: String,
        /// Owner that it belongs to.
        owner: String,
        /// Cell whose nodes serve it.
        cell: String,
    },
    /// Overrides a setting at a level.
    Set {
        /// Where.
        level: Level,
        /// Name of the setting.
        setting: String,
        /// New value.
        value: Value,
    },
    /// Removes an override, so that the level inherits again.
    Unset {
        /// Where.
        level: Level,
        /// Name of the setting.
        setting: String,
    },
    /// Hands over the final say.
    HandOver {
        /// Owner who gets it.
        owner: String,
        /// Month for which, as in 2026-12.
        month: String,
    },
    /// Takes a failure domain out.
    DomainOut {
        /// The domain.
        domain: String,
    },
    /// Returns a failure domain.
    DomainIn {
        /// The domain.
        domain: String,
    },
    /// Marks a leaf as leaving.
    LeafOut {
        /// The leaf.
        leaf: LeafId,
    },
    /// Takes the mark back.
    LeafIn {
        /// The leaf.
        leaf: LeafId,
    },
    /// Declares a node gone for good, so that its leases need not be waited for.
    NodeGone {
        /// The node.
        node: NodeId,
    },
}

impl Tree {
    /// Returns whether the change is among the latest accepted ones.
    pub fn has_accepted(&self, id: ChangeId) -> bool {
        self.recent.contains(&id)
    }

    /// Returns the tree with the change applied.
    ///
    /// # Errors
    ///
    /// All findings against the change; the tree stays as it is.
    pub fn apply(&self, change: &Change) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        self.check_expected_version(change, &mut findings);
        self.check_permission(change, &mut findings);
        let mut next = self.clone();
        if let Err(edit_findings) = next.apply_edit(&change.edit) {
            findings.0.extend(edit_findings.0);
        }
        next.version = TreeVersion(self.version.0 + 1);
        next.recent.push_back(change.id);
        while next.recent.len() > RECENT_CHANGES {
            next.recent.pop_front();
        }
        findings.into_result(next)
    }

    fn check_expected_version(&self, change: &Change, findings: &mut Findings) {
        let Some(expected) = change.expects else {
            return;
        };
        if expected != self.version {
            let text = format!(
                "tree is at version {}, not {expected}; look again",
                self.version
            );
            findings
                .0
                .extend(Findings::single("expected version", text).0);
        }
    }

    /// Checks that the actor may make the change: the holder of the say may make any, another owner
    /// those at levels of its own.
    fn check_permission(&self, change: &Change, findings: &mut Findings) {
        let owner = match &change.edit {
            Edit::Set { level, .. } | Edit::Unset { level, .. } => level.owner(),
            Edit::CreateService { owner, .. } => Some(owner.as_str()),
            _ => None,
        };
        if let Err(denied) = self.check_actor(change.actor.as_deref(), owner) {
            findings.0.extend(denied.0);
        }
    }

    /// Checks that the actor may act on what belongs to `owner`, or to nobody.
    ///
    /// # Errors
    ///
    /// If somebody else has the say.
    pub fn check_actor(&self, actor: Option<&str>, owner: Option<&str>) -> Result<(), Findings> {
        let Some(holder) = &self.final_say else {
            return Ok(());
        };
        let is_holder = actor == Some(holder.owner.as_str());
        if is_holder || (owner.is_some() && owner == actor) {
            return Ok(());
        }
        let text = format!(
            "'{}' may not do this: '{}' has the final say (month {}, term {})",
            actor.unwrap_or("nobody"),
            holder.owner,
            holder.month,
            holder.term
        );
        Err(Findings::single("actor", text))
    }

    fn apply_edit(&mut self, edit: &Edit) -> Result<(), Findings> {
        match edit {
            Edit::CreateOwner { owner } => self.create_owner(owner),
            Edit::CreateService {
                service,
                owner,
                cell,
            } => self.create_service(service, owner, cell),
            Edit::Set {
                level,
                setting,
                value,
            } => self.set(level, setting, value),
            Edit::Unset { level, setting } => self.unset(level, setting),
            Edit::HandOver { owner, month } => self.hand_over(owner, month),
            Edit::DomainOut { domain } => {
                name_findings("domain", domain).into_result(())?;
                ensure_changed(
                    self.domains_out.insert(domain.clone()),
                    "domain is out already",
                )
            }
            Edit::DomainIn { domain } => {
                ensure_changed(self.domains_out.remove(domain), "domain is not out")
            }
            Edit::LeafOut { leaf } => {
                ensure_changed(self.leaving.insert(*leaf), "leaf is leaving already")
            }
            Edit::NodeGone { node } => {
                ensure_changed(self.gone.insert(*node), "node is gone already")
            }
            Edit::LeafIn { leaf } => {
                ensure_changed(self.leaving.remove(leaf), "leaf is not leaving")
            }
        }
    }

    fn create_owner(&mut self, owner: &str) -> Result<(), Findings> {
        name_findings("owner", owner).into_result(())?;
        let is_new = self.owners.insert(owner.to_owned());
        ensure_changed(is_new, &format!("owner '{owner}' exists already"))
    }

    fn create_service(&mut self, service: &str, owner: &str, cell: &str) -> Result<(), Findings> {
        let mut findings = name_findings("service", service);
        findings.0.extend(name_findings("cell", cell).0);
        if !self.owners.contains(owner) {
            findings
                .0
                .extend(Findings::single("owner", format!("no owner '{owner}'")).0);
        }
        if self.services.contains_key(service) {
            let text = format!("service '{service}' exists already");
            findings.0.extend(Findings::single("service", text).0);
        }
        findings.into_result(())?;
        let entry = Service {
            owner: owner.to_owned(),
            cell: cell.to_owned(),
        };
        self.services.insert(service.to_owned(), entry);
        Ok(())
    }

    fn set(&mut self, level: &Level, setting: &str, value: &Value) -> Result<(), Findings> {
        let mut findings = self.level_findings(level);
        match Setting::find(setting) {
            None => findings.0.extend(unknown_setting(setting).0),
            Some(known) => {
                if let Some(message) = known.value_error(value) {
                    findings.0.extend(Findings::single("value", message).0);
                }
            }
        }
        findings.into_result(())?;
        let overrides = self.overrides.entry(level.clone()).or_default();
        overrides.insert(setting.to_owned(), value.clone());
        Ok(())
    }

    fn unset(&mut self, level: &Level, setting: &str) -> Result<(), Findings> {
        let mut findings = self.level_findings(level);
        if Setting::find(setting).is_none() {
            findings.0.extend(unknown_setting(setting).0);
        }
        findings.into_result(())?;
        let removed = self
            .overrides
            .get_mut(level)
            .and_then(|o| o.remove(setting));
        self.overrides.retain(|_, o| !o.is_empty());
        ensure_changed(
            removed.is_some(),
            &format!("{level} does not override '{setting}'"),
        )
    }

    fn hand_over(&mut self, owner: &str, month: &str) -> Result<(), Findings> {
        let mut findings = Findings::default();
        if !self.owners.contains(owner) {
            findings
                .0
                .extend(Findings::single("owner", format!("no owner '{owner}'")).0);
        }
        if !is_month(month) {
            let text = format!("'{month}' must be a month, as in 2026-12");
            findings.0.extend(Findings::single("month", text).0);
        }
        findings.into_result(())?;
        let term = self.final_say.as_ref().map_or(0, |say| say.term) + 1;
        self.final_say = Some(FinalSay {
            owner: owner.to_owned(),
            month: month.to_owned(),
            term,
        });
        Ok(())
    }

    fn level_findings(&self, level: &Level) -> Findings {
        if self.has_level(level) {
            return Findings::default();
        }
        Findings::single("level", format!("no level {level}"))
    }
}

fn ensure_changed(changed: bool, message: &str) -> Result<(), Findings> {
    if changed {
        Ok(())
    } else {
        Err(Findings::single("edit", message))
    }
}

fn name_findings(what: &str, name: &str) -> Findings {
    if is_name(name) {
        return Findings::default();
    }
    Findings::single(what, format!("'{name}' must be {NAME_RULE}"))
}

fn unknown_setting(name: &str) -> Findings {
    let known: Vec<&str> = crate::setting::SETTINGS.iter().map(|s| s.name).collect();
    Findings::single(
        "setting",
        format!("unknown setting '{name}'; known: {}", known.join(", ")),
    )
}

/// Returns whether `text` is a month as in 2026-12.
fn is_month(text: &str) -> bool {
    let Some((year, month)) = text.split_once('-') else {
        return false;
    };
    let digits = |part: &str, len| part.len() == len && part.chars().all(|c| c.is_ascii_digit());
    let is_valid = month.parse::<u8>().is_ok_and(|m| (1..=12).contains(&m));
    digits(year, 4) && digits(month, 2) && is_valid
}
