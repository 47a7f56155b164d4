//! The `monsoondeal` program: the node daemon and the operators' commands.
//!
//! Exit codes: 0 done; 1 failed, or it is not known whether a change was accepted; 2 bad input, with
//! all findings; 3 accepted, but not known to be in force everywhere in time.

mod args;
mod check;
mod ctl;
mod edge;
mod moves;
mod node;
mod report;
mod submit;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use args::{Args, Command};

fn main() -> ExitCode {
    let args = Args::parse();
    match args.command {
        Command::Node { config } => node::run(&config),
        Command::Edge => edge::run(),
        Command::Check { file, json } => check::run(&file, json),
        Command::Ctl(ctl) => ctl::run(ctl),
        Command::Completion { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "monsoondeal", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}
