//! The `edge` command.

use std::process::ExitCode;

use monsoondeal_platform::{read_settings, settings_path};

use crate::node;

/// Runs a node on the platform, with the settings file that the platform provides.
pub(crate) fn run() -> ExitCode {
    let path = settings_path();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: cannot be read: {error}", path.display());
            return ExitCode::from(2);
        }
    };
    let file = match read_settings(&path, &text) {
        Ok(file) => file,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(2);
        }
    };
    node::block_on(|signals| monsoondeal_platform::run(path, file, signals))
}
