//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};
use monsoondeal_config::Level;

/// Query tier over many shards: node daemon and operators' commands.
///
/// Exit codes: 0 done; 1 failed, or not known whether a change was accepted; 2 bad input; 3 accepted,
/// but not known to be in force everywhere in time.
#[derive(Debug, Parser)]
#[command(name = "monsoondeal", version)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a node until SIGTERM
    Node {
        /// Settings file, JSON with comments
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Runs a node on the platform until SIGTERM, with the platform's settings file
    Edge,
    /// Checks a node's settings file and prints all findings
    Check {
        /// Settings file, JSON with comments
        file: PathBuf,
        /// Print findings as JSON
        #[arg(long)]
        json: bool,
    },
    /// Reads and changes the configuration in the store, and shows the state of nodes
    Ctl(Ctl),
    /// Prints a completion script for a shell
    Completion {
        /// The shell
        shell: clap_complete::Shell,
    },
}

/// Reads and changes the configuration in the store, and shows the state of nodes.
#[derive(Debug, clap::Args)]
pub(crate) struct Ctl {
    /// Address of the platform's object API
    #[arg(long, env = "MONSOONDEAL_STORE", value_name = "URL")]
    pub(crate) store: String,
    /// Owner on whose behalf to act
    #[arg(long = "as", env = "MONSOONDEAL_OWNER", value_name = "OWNER")]
    pub(crate) actor: Option<String>,
    /// Print JSON
    #[arg(long)]
    pub(crate) json: bool,
    /// Only change the tree if it still has this version
    #[arg(long, value_name = "VERSION")]
    pub(crate) expect: Option<u64>,
    /// After a change, wait until it is in force everywhere, for at most this long
    #[arg(long, value_name = "SECONDS")]
    pub(crate) wait: Option<u64>,
    #[command(subcommand)]
    pub(crate) act: CtlCommand,
}

#[derive(Debug, Subcommand)]
pub(crate) enum CtlCommand {
    /// Creates an owner
    CreateOwner {
        /// Name of the owner
        owner: String,
    },
    /// Creates a service
    CreateService {
        /// Name of the service, unique among all owners
        service: String,
        /// Owner of the service
        #[arg(long)]
        owner: String,
        /// Cell whose nodes serve the service
        #[arg(long, default_value = "main")]
        cell: String,
    },
    /// Overrides a setting at a level
    Set {
        /// Level: /, /owner, /owner/service or /owner/service/kind
        level: Level,
        /// Name of the setting
        setting: String,
        /// Value, as JSON; a bare word is taken as a string
        value: String,
    },
    /// Removes an override, so that the level inherits again
    Unset {
        /// Level
        level: Level,
        /// Name of the setting
        setting: String,
    },
    /// Prints the settings at a level and the level that each is inherited from
    Show {
        /// Level
        level: Level,
    },
    /// Prints the whole tree
    Tree,
    /// Hands the final say over to an owner for a month
    HandOver {
        /// Owner that receives the final say
        owner: String,
        /// Month, as in 2026-12
        #[arg(long)]
        month: String,
    },
    /// Takes a failure domain out of service: its leafs get no new calls
    DomainOut {
        /// The failure domain
        domain: String,
    },
    /// Returns a failure domain to service
    DomainIn {
        /// The failure domain
        domain: String,
    },
    /// Marks a leaf as leaving: it gets no new calls
    LeafOut {
        /// Identity of the leaf
        leaf: u64,
    },
    /// Removes the mark of a leaf as leaving
    LeafIn {
        /// Identity of the leaf
        leaf: u64,
    },
    /// Declares a node permanently gone; only safe once its VM has ended for certain
    NodeGone {
        /// Identity of the node, as in its state dump
        node: u64,
    },
    /// Moves the traffic of a service to the next version of its partition map
    Move {
        /// The service
        service: String,
        /// Seconds until the move must be complete, or else is taken back
        #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u64).range(1..=2_592_000))]
        by: u64,
    },
    /// Takes a version move back
    MoveBack {
        /// The service
        service: String,
    },
    /// Prints the progress of a version move; with --wait, waits for its end
    MoveStatus {
        /// The service
        service: String,
    },
    /// Reports whether a version of the tree is in force everywhere
    InForce {
        /// Version; the latest one by default
        version: Option<u64>,
    },
    /// Prints the state of a node
    Dump {
        /// Address of the node's operator interface
        addr: SocketAddr,
    },
}
