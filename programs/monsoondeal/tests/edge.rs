//! The `edge` command as a process: planned stops, kills, and settings that change.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    config, leaf_entry, request_text, send_request, start_leaf, start_leaf_with, status, wait_until,
};
use soak::node::{NodeAddrs, SETTINGS_VARIABLE};
use soak::store::FakeStore;

/// A node process. It is killed when the test ends.
struct Process {
    child: Child,
    addrs: NodeAddrs,
    settings: PathBuf,
}

impl Process {
    fn start(name: &str, store: &FakeStore) -> Self {
        Self::start_with_logs(name, store, Stdio::null())
    }

    fn start_with_logs(name: &str, store: &FakeStore, logs: Stdio) -> Self {
        let addrs = NodeAddrs::free();
        let file = format!("monsoondeal-{name}-{}.conf", std::process::id());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, addrs.settings(store.addr)).expect("a settings file");
        let child = spawn(&settings, logs);
        let process = Self {
            child,
            addrs,
            settings,
        };
        wait_until("readiness", || process.addrs.is_ready());
        process
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("the kill command").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &PathBuf, logs: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_monsoondeal"))
        .arg("edge")
        .env(SETTINGS_VARIABLE, settings)
        .stdout(logs)
        .spawn()
        .expect("the program starts")
}

fn store_with_leaf(work: Duration) -> FakeStore {
    let store = FakeStore::start();
    store.put("servers", "i-1", leaf_entry(start_leaf(work), "s", "ready"));
    store.put("config", "main", config(1, "/p/", "s"));
    store
}

/// A planned stop cuts no request: not one under way, not one on a connection that was open before, and
/// not one on a new connection while the balancer has yet to notice.
#[test]
fn stop_cuts_no_request() {
    let store = store_with_leaf(Duration::from_millis(500));
    let mut process = Process::start("stop", &store);
    let front = process.addrs.front;
    let mut kept = TcpStream::connect(front).expect("a connection");
    let under_way = thread::spawn(move || send_request(front, "/p/x"));
    thread::sleep(Duration::from_millis(200));

    process.signal("TERM");
    wait_until("the end of readiness", || !process.addrs.is_ready());
    let new = thread::spawn(move || send_request(front, "/p/x"));
    kept.write_all(request_text("kept", "/p/x", "").as_bytes())
        .expect("an open connection");
    let mut answer = String::new();
    kept.read_to_string(&mut answer)
        .expect("an answer, then the end");
    let answers = [
        answer,
        under_way.join().expect("an answer"),
        new.join().expect("an answer"),
    ];
    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with("good"), "{answer}");
    }
    let ended = process.child.wait().expect("the process ends");
    assert!(ended.success(), "{ended}");
}

/// A request that comes late in a stop is not passed on: its answer might not come before the end. It is told
/// at once that it has not run, also one that began to come in time.
#[test]
fn stop_rejects_late_requests() {
    let store = FakeStore::start();
    let is_check = |line: &str| line.contains("/health");
    let leaf = start_leaf_with(move |line| match is_check(line) {
        true => Duration::ZERO,
        false => Duration::from_secs(3),
    });
    store.put("servers", "i-1", leaf_entry(leaf, "s", "ready"));
    store.put("config", "main", config(1, "/p/", "s"));
    let mut process = Process::start("late", &store);
    let text = request_text("late", "/p/x", "");
    let (begun, rest) = text.split_at(text.len() / 2);
    let mut late = TcpStream::connect(process.addrs.front).expect("a connection");
    late.write_all(begun.as_bytes())
        .expect("an open connection");
    process.signal("TERM");
    // The node accepts connections for 2.6 s of the grace.
    thread::sleep(Duration::from_millis(2_800));
    let sent = Instant::now();
    late.write_all(rest.as_bytes()).expect("an open connection");
    let mut answer = String::new();
    late.read_to_string(&mut answer)
        .expect("an answer, then the end");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    // Far below the time that the leaf takes.
    assert!(sent.elapsed() < Duration::from_secs(1));
    assert!(process.child.wait().expect("the process ends").success());
}

/// A stop ends idle connections and leaves long before it would be killed.
#[test]
fn stop_ends_idle_connections() {
    let store = store_with_leaf(Duration::ZERO);
    let mut process = Process::start("idle", &store);
    let mut idle = TcpStream::connect(process.addrs.front).expect("a connection");
    let asked = Instant::now();
    process.signal("TERM");
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).expect("the end");
    assert!(rest.is_empty());
    assert!(process.child.wait().expect("the process ends").success());
    // Requests may be cut in the last sixth of the six seconds before the kill, and none is left then.
    assert!(asked.elapsed() < Duration::from_secs(5));
}

/// Nobody reads the log lines: requests are served all the same. A pipe holds 64 KiB, some 200 lines.
#[test]
fn logs_without_a_reader_block_nothing() {
    let store = store_with_leaf(Duration::ZERO);
    let process = Process::start_with_logs("logs", &store, Stdio::piped());
    for _ in 0..1_000 {
        assert_eq!(status(process.addrs.front, "/p/x"), 200);
    }
}

#[test]
fn kill_and_restart_serves_again() {
    let store = store_with_leaf(Duration::ZERO);
    let mut process = Process::start("kill", &store);
    process.signal("KILL");
    process.child.wait().expect("the process ends");
    process.child = spawn(&process.settings, Stdio::null());
    let front = process.addrs.front;
    wait_until("service", || status(front, "/p/x") == 200);
}

#[test]
fn reload_signal_is_survived() {
    let store = store_with_leaf(Duration::ZERO);
    let process = Process::start("reload", &store);
    for _ in 0..3 {
        process.signal("HUP");
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(status(process.addrs.front, "/p/x"), 200);
}

#[test]
fn settings_with_findings_end_the_program() {
    let file = format!("monsoondeal-findings-{}.conf", std::process::id());
    let settings = std::env::temp_dir().join(file);
    fs::write(&settings, "ip=nowhere\n").expect("a settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_monsoondeal"))
        .arg("edge")
        .env(SETTINGS_VARIABLE, &settings)
        .output()
        .expect("the program starts");
    let _ = fs::remove_file(&settings);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(":1:1: ip must be an IP address"), "{text}");
}
