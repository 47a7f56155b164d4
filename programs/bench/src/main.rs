//! Benchmarks of the real node code in virtual time, and the slopes behind the capacity page.
//!
//! Results of policies (latency, coverage, extra calls) depend on the seed alone. CPU and memory are those
//! of the machine that runs the benchmark; each is printed with the sizes at which it was measured.

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
    /// Seed of all random draws
    #[arg(long, default_value_t = 1, global = true)]
    seed: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Tail latency, coverage and extra calls with stragglers, compared with three baselines
    Tail {
        /// Queries per run
        #[arg(long, default_value_t = 6_000)]
        queries: usize,
        /// Skip the last two baselines
        #[arg(long)]
        brief: bool,
    },
    /// Throughput compared with an ideal scheduler that keeps all slots busy
    Fair,
    /// Answers by priority while a failure domain is closed at full load, and when it returns cold
    Overload,
    /// Version moves, good and bad: exposed requests, wrong rollbacks, moves done in time
    Moves,
    /// State, messages, bytes and CPU of each role at several sizes
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
