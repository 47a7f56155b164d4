//! The `check` command, and the reading of settings files.

use std::path::Path;
use std::process::ExitCode;

use monsoondeal_config::NodeSettings;
use monsoondeal_config::reader::Source;
use monsoondeal_core::Findings;

/// Checks a settings file and prints the findings.
pub(crate) fn run(file: &Path, json: bool) -> ExitCode {
    let findings = match read_settings(file) {
        Ok(_) => Findings::default(),
        Err(findings) => findings,
    };
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&findings).unwrap_or_default()
        );
    } else if findings.0.is_empty() {
        println!("{}: no findings", file.display());
    } else {
        println!("{findings}");
    }
    if findings.0.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(2)
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// All findings in the file.
pub(crate) fn read_settings(file: &Path) -> Result<NodeSettings, Findings> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Findings::single(&name, format!("cannot be read: {error}")))?;
    NodeSettings::parse(Source {
        name: &name,
        text: &text,
    })
}
