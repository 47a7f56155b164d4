//! The command line: checks of settings files, exit codes, and completeness of the operators' page.

use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

fn run(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_monsoondeal");
    Command::new(program)
        .args(args)
        .output()
        .expect("the program runs")
}

/// Writes a settings file for one test.
fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("monsoondeal-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

const VALID_SETTINGS: &str = r#"{
    // A node of the first domain.
    "cell": "main",
    "domain": "p1",
    "vm": "entry-1",
    "listen": {
        "callers": "127.0.0.1:8000",
        "peers": "127.0.0.1:8001",
        "admin": "127.0.0.1:8002",
    },
    "store": "http://127.0.0.1:9000",
    "seeds": ["127.0.0.1:8011"],
}
"#;

#[test]
fn check_valid_file() {
    let path = write_settings("good", VALID_SETTINGS);
    let output = run(&["check", &path.display().to_string()]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn check_reports_all_findings_with_location() {
    let bad = r#"{
    "cell": "Main",
    "domain": 7,
    "listen": { "callers": "localhost:80", "peers": "127.0.0.1:8001" },
    "store": "ftp://127.0.0.1",
    "heartbeat_ms": 5,
    "colour": "red",
}
"#;
    let path = write_settings("bad", bad);
    let name = path.display().to_string();
    let output = run(&["check", &name]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stdout);
    for expected in [
        format!("{name}:2:13: 'cell' must be 1 to 63 lower-case letters"),
        format!("{name}:3:15: 'domain' must be a string"),
        format!("{name}:4:28: 'callers' must be an IP address with a port"),
        format!("{name}:4:15: 'admin' is missing"),
        format!("{name}:5:14: 'store' must be an address"),
        format!("{name}:6:21: 'heartbeat_ms' must be a whole number from 10 to 10000"),
        format!("{name}:7:5: unknown key 'colour'"),
    ] {
        assert!(text.contains(&expected), "{expected} in\n{text}");
    }
}

#[rstest]
#[case::not_an_object("[]", "expected an object")]
#[case::cut_short("{ \"cell\": ", "1:")]
#[case::twice("{ \"cell\": \"a\", \"cell\": \"b\" }", "key 'cell' stands twice")]
#[case::empty("", "expected an object")]
fn check_malformed_file(#[case] text: &str, #[case] expected: &str) {
    let path = write_settings(&format!("malformed-{}", text.len()), text);
    let output = run(&["check", "--json", &path.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let plain = run(&["check", &path.display().to_string()]);
    let shown = String::from_utf8_lossy(&plain.stdout);
    assert!(shown.contains(expected), "{shown}");
}

#[rstest]
#[case::no_file(&["node", "--config", "/nonexistent/file"], 2)]
#[case::no_store(&["ctl", "tree"], 2)]
#[case::unreachable_store(&["ctl", "--store", "http://127.0.0.1:9", "tree"], 1)]
#[case::bad_level(&["ctl", "--store", "http://127.0.0.1:9", "show", "owner"], 2)]
#[case::completion(&["completion", "bash"], 0)]
#[case::help(&["ctl", "--help"], 0)]
fn exit_codes(#[case] args: &[&str], #[case] code: i32) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

/// The operators' page names every setting, key and command of the program.
#[test]
fn operators_page_is_complete() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    for setting in monsoondeal_config::SETTINGS {
        assert!(
            page.contains(&format!("| `{}` |", setting.name)),
            "setting {}",
            setting.name
        );
    }
    // The finding about an unknown key lists the known keys.
    let path = write_settings("keys", "{ \"x\": 1 }");
    let output = run(&["check", &path.display().to_string()]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let known = text
        .split("known here: ")
        .nth(1)
        .and_then(|rest| rest.lines().next());
    for key in known.expect("the keys are listed").split(", ") {
        let names = [format!("| `{key}` |"), format!("| `{key}.callers` |")];
        assert!(names.iter().any(|name| page.contains(name)), "key {key}");
    }
    let help = run(&["ctl", "--help"]);
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    let listed = help
        .split("Commands:")
        .nth(1)
        .and_then(|rest| rest.split("Options:").next());
    let commands = listed.expect("commands are listed").lines();
    for command in commands.filter_map(|line| line.split_whitespace().next()) {
        let is_named =
            page.contains(&format!("ctl {command}")) || page.contains(&format!("{command} "));
        assert!(is_named || command == "help", "command {command}");
    }
}
