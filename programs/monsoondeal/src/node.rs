//! The `node` command.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use monsoondeal_node::signals::Signals;

use crate::check;

/// Maximum number of log lines that wait to be written; further ones are dropped.
const MAX_PENDING_LINES: usize = 4_096;

/// Runs a node with the settings in a file.
pub(crate) fn run(config: &Path) -> ExitCode {
    let settings = match check::read_settings(config) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(2);
        }
    };
    block_on(|signals| monsoondeal_node::run(settings, signals.stop))
}

/// Writes log lines as JSON to standard output; `RUST_LOG` sets the level.
///
/// A separate thread writes them, so that a slow reader causes dropped lines but never delays requests.
fn start_logging() {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    let lines = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(MAX_PENDING_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(lines))
        .apply();
}

/// Runs a daemon until it ends, with signals and logs set up.
pub(crate) fn block_on<D, F, E>(daemon: D) -> ExitCode
where
    D: FnOnce(Signals) -> F,
    F: Future<Output = Result<(), E>>,
    E: Display,
{
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async {
        let signals = Signals::start().await;
        start_logging();
        daemon(signals).await
    });
    if let Err(error) = &result {
        log::error!("{error}");
        eprintln!("{error}");
    }
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}
