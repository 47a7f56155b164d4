//! Command line of the stand-ins.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use standin::leaf::LeafOptions;
use standin::{leaf, store};

mod demo;
mod measure;

/// Stand-ins for the systems around the query tier, for tests and the demo.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serves the platform's object API from memory
    Store {
        /// Address to listen on
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// Serves leafs
    Leafs(LeafOptions),
    /// Measures CPU and memory of real node processes at several cell sizes and loads
    Measure,
    /// Starts stand-ins and nodes as separate processes and shows them under load
    Demo {
        /// Seconds of load
        #[arg(long, default_value_t = 8)]
        seconds: u64,
    },
}

fn main() -> ExitCode {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = match Args::parse().command {
        Command::Store { listen } => runtime.block_on(store::run(listen)),
        Command::Leafs(options) => runtime.block_on(leaf::run(options)),
        Command::Measure => runtime.block_on(measure::run()),
        Command::Demo { seconds } => runtime.block_on(demo::run(seconds)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
