//! Benchmarks on the real node code in virtual time, and the slopes behind the capacity page.
//!
//! Figures of policy (latency, coverage, extra calls) depend on the seed alone. Figures of CPU and
//! memory are of this machine; each is printed with the sizes that it was measured at.

mod fair;
mod moves;
mod overload;
mod slopes;
mod tail;

use clap::{Parser, Subcommand};

/// Benchmarks of the query tier.
#[derive(Debug, Parser)]
#[command(name = "bench")]
struct Args {
    /// Seed of everything random
    #[arg(long, default_value_t = 1, global = true)]
    seed: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Tail latency, coverage and extra calls with stragglers, against three baselines
    Tail {
        /// Queries a run
        #[arg(long, default_value_t = 6_000)]
        queries: usize,
        /// Leave the last two baselines out
        #[arg(long)]
        brief: bool,
    },
    /// Throughput on the same slots, against a scheduler that knows everything
    Fair,
    /// Answers by priority while a failure domain is out at full load, and when it returns cold
    Overload,
    /// Version moves, good and bad: requests exposed, wrong reversals, moves done in time
    Moves,
    /// State, messages, bytes and CPU of each role over several sizes
    Slopes,
}

fn main() {
    let args = Args::parse();
    match args.command {
        Command::Tail { queries, brief } => tail::run(args.seed, queries, brief),
        Command::Fair => fair::run(args.seed),
        Command::Overload => overload::run(args.seed),
        Command::Moves => moves::run(args.seed),
        Command::Slopes => slopes::run(args.seed),
    }
}
