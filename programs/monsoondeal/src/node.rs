//! The `node` command.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

use crate::check;

/// Runs a node with the settings in a file.
pub(crate) fn run(config: &Path) -> ExitCode {
    let settings = match check::read(config) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(2);
        }
    };
    start_logs();
    block_on(monsoondeal_node::run(settings))
}

/// Sends log lines as JSON to standard output; `RUST_LOG` sets the level.
pub(crate) fn start_logs() {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    logforth::starter_log::stdout()
        .layout(JsonLayout::default())
        .filter(filter)
        .apply();
}

/// Runs a daemon to its end.
pub(crate) fn block_on<F, E>(daemon: F) -> ExitCode
where
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
    match runtime.block_on(daemon) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
