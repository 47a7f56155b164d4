//! The `ctl` commands.

use std::process::ExitCode;
use std::time::Duration;

use monsoondeal_config::{Change, ChangeId, Edit, Level, Origin, SETTINGS, Tree};
use monsoondeal_core::{LeafId, NodeId, TreeVersion};
use monsoondeal_node::store::Store;
use rand::RngExt;
use serde::Serialize;
use serde_json::Value;

use crate::args::{Ctl, CtlCommand};
use crate::moves;
use crate::report::{self, ForceStatus, Report};
use crate::submit::{SubmitError, read_tree, submit};

/// Exit code for bad input.
const BAD_INPUT: u8 = 2;
/// Exit code for a change that is not known to be in force.
const NOT_IN_FORCE: u8 = 3;

/// Runs one `ctl` command.
pub(crate) fn run(ctl: Ctl) -> ExitCode {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(execute(&ctl)) {
        Ok(code) => code,
        Err(SubmitError::Refused(findings)) => {
            eprintln!("{findings}");
            ExitCode::from(BAD_INPUT)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn execute(ctl: &Ctl) -> Result<ExitCode, SubmitError> {
    let store = Store::new(&ctl.store);
    match &ctl.act {
        CtlCommand::Show { level } => show(ctl, &store, level).await,
        CtlCommand::Tree => {
            let (tree, _) = read_tree(&store).await?;
            print_json(&tree);
            Ok(ExitCode::SUCCESS)
        }
        CtlCommand::Move { service, by } => moves::begin(ctl, &store, service, *by).await,
        CtlCommand::MoveBack { service } => moves::roll_back(ctl, &store, service).await,
        CtlCommand::MoveStatus { service } => moves::status(ctl, &store, service).await,
        CtlCommand::InForce { version } => in_force(ctl, &store, *version).await,
        CtlCommand::Dump { addr } => match report::node_state(*addr).await {
            Some(state) => {
                print_json(&state);
                Ok(ExitCode::SUCCESS)
            }
            None => {
                eprintln!("no answer from {addr}");
                Ok(ExitCode::FAILURE)
            }
        },
        command => match command.edit() {
            Some(edit) => change_tree(ctl, &store, edit).await,
            None => Ok(ExitCode::SUCCESS),
        },
    }
}

impl CtlCommand {
    /// Returns the edit of a command that changes the tree, or `None` for other commands.
    fn edit(&self) -> Option<Edit> {
        let edit = match self {
            Self::CreateOwner { owner } => Edit::CreateOwner {
                owner: owner.clone(),
            },
            Self::CreateService {
                service,
                owner,
                cell,
            } => Edit::CreateService {
                service: service.clone(),
                owner: owner.clone(),
                cell: cell.clone(),
            },
            Self::Set {
                level,
                setting,
                value,
            } => Edit::Set {
                level: level.clone(),
                setting: setting.clone(),
                value: parse_value(value),
            },
            Self::Unset { level, setting } => Edit::Unset {
                level: level.clone(),
                setting: setting.clone(),
            },
            Self::HandOver { owner, month } => Edit::HandOver {
                owner: owner.clone(),
                month: month.clone(),
            },
            Self::DomainOut { domain } => Edit::DomainOut {
                domain: domain.clone(),
            },
            Self::DomainIn { domain } => Edit::DomainIn {
                domain: domain.clone(),
            },
            Self::LeafOut { leaf } => Edit::LeafOut {
                leaf: LeafId(*leaf),
            },
            Self::LeafIn { leaf } => Edit::LeafIn {
                leaf: LeafId(*leaf),
            },
            Self::NodeGone { node } => Edit::NodeGone {
                node: NodeId(*node),
            },
            Self::Show { .. }
            | Self::Tree
            | Self::Move { .. }
            | Self::MoveBack { .. }
            | Self::MoveStatus { .. }
            | Self::InForce { .. }
            | Self::Dump { .. } => return None,
        };
        Some(edit)
    }
}

async fn change_tree(ctl: &Ctl, store: &Store, edit: Edit) -> Result<ExitCode, SubmitError> {
    let change = Change {
        id: ChangeId(rand::rng().random()),
        actor: ctl.actor.clone(),
        expects: ctl.expect.map(TreeVersion),
        edit,
    };
    let tree = submit(store, &change).await?;
    let version = tree.version.0;
    let Some(seconds) = ctl.wait else {
        if ctl.json {
            print_json(&serde_json::json!({ "accepted": version }));
        } else {
            println!("accepted as version {version}");
        }
        return Ok(ExitCode::SUCCESS);
    };
    let report =
        report::wait_until_in_force(store, &tree, version, Duration::from_secs(seconds)).await;
    Ok(print_report(ctl, &report))
}

async fn in_force(ctl: &Ctl, store: &Store, version: Option<u64>) -> Result<ExitCode, SubmitError> {
    let (tree, _) = read_tree(store).await?;
    let version = version.unwrap_or(tree.version.0);
    let max_wait = Duration::from_secs(ctl.wait.unwrap_or(0));
    let report = report::wait_until_in_force(store, &tree, version, max_wait).await;
    Ok(print_report(ctl, &report))
}

/// A setting at a level, as printed.
#[derive(Serialize)]
struct ShownSetting {
    setting: &'static str,
    #[serde(flatten)]
    origin: Option<Origin>,
}

async fn show(ctl: &Ctl, store: &Store, level: &Level) -> Result<ExitCode, SubmitError> {
    let (tree, _) = read_tree(store).await?;
    if !tree.has_level(level) {
        eprintln!("there is no level {level}");
        return Ok(ExitCode::from(BAD_INPUT));
    }
    let shown: Vec<ShownSetting> = SETTINGS
        .iter()
        .map(|s| ShownSetting {
            setting: s.name,
            origin: tree.origin(level, s.name),
        })
        .collect();
    if ctl.json {
        print_json(&shown);
        return Ok(ExitCode::SUCCESS);
    }
    print_final_say(&tree);
    for line in &shown {
        match &line.origin {
            Some(Origin {
                value,
                level: Some(from),
            }) if from == level => {
                println!("{:<14} {value:<10} set here", line.setting);
            }
            Some(Origin {
                value,
                level: Some(from),
            }) => {
                println!("{:<14} {value:<10} inherited from {from}", line.setting);
            }
            _ => println!("{:<14} {:<10} built-in default", line.setting, "-"),
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_final_say(tree: &Tree) {
    match &tree.final_say {
        Some(final_say) => println!(
            "final say: {} for {} (term {})",
            final_say.owner, final_say.month, final_say.term
        ),
        None => println!("final say: no owner yet"),
    }
}

fn print_report(ctl: &Ctl, report: &Report) -> ExitCode {
    if ctl.json {
        print_json(report);
    } else {
        let summary = match report.force {
            ForceStatus::Everywhere => "in force everywhere",
            ForceStatus::NotYet => "not in force everywhere yet",
            ForceStatus::NotKnown => "not known to be in force everywhere",
        };
        println!("version {}: {summary}", report.version);
        println!("  members that have it: {}", report.have.len());
        report
            .older
            .iter()
            .for_each(|addr| println!("  has an older version: {addr}"));
        report
            .silent
            .iter()
            .for_each(|addr| println!("  did not answer: {addr}"));
        report
            .unread_cells
            .iter()
            .for_each(|cell| println!("  roster could not be read: {cell}"));
    }
    match report.force {
        ForceStatus::Everywhere => ExitCode::SUCCESS,
        ForceStatus::NotYet | ForceStatus::NotKnown => ExitCode::from(NOT_IN_FORCE),
    }
}

pub(crate) fn print_json<T>(value: &T)
where
    T: Serialize,
{
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}

/// Reads a value as JSON; anything else is a string.
fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}
