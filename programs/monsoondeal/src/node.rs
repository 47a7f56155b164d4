//! The `node` command.

use std::path::Path;
use std::process::ExitCode;

use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use monsoondeal_node::NodeError;

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
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    logforth::starter_log::stdout()
        .layout(JsonLayout::default())
        .filter(filter)
        .apply();

    let ran = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(monsoondeal_node::run(settings)),
        Err(error) => Err(NodeError::Signal(error)),
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
