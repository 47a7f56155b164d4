//! The `edge` command as a process: planned stops, restarts after a kill, logs and reloads of settings.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod process;

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    config, leaf_entry, request_text, send_request, start_leaf, start_leaf_with, status, wait_until,
};
use process::NodeProcess;
use soak::node::SETTINGS_VARIABLE;
use soak::store::FakeStore;

fn store_with_leaf(work: Duration) -> FakeStore {
    let store = FakeStore::start();
    store.put("servers", "i-1", leaf_entry(start_leaf(work), "s", "ready"));
    store.put("config", "main", config(1, "/p/", "s"));
    store
}

/// A planned stop aborts no request: neither one in flight, nor one on a connection that is already open, nor
/// one on a new connection before the balancer has noticed the stop.
#[test]
fn stop_aborts_no_request() {
    let store = store_with_leaf(Duration::from_millis(500));
    let mut process = NodeProcess::start("stop", store.addr);
    let front = process.addrs.front;
    let mut open_connection = TcpStream::connect(front).expect("a connection");
    let in_flight = thread::spawn(move || send_request(front, "/p/x"));
    thread::sleep(Duration::from_millis(200));

    process.signal("TERM");
    wait_until("the end of readiness", || !process.addrs.is_ready());
    let new = thread::spawn(move || send_request(front, "/p/x"));
    open_connection
        .write_all(request_text("kept", "/p/x", "").as_bytes())
        .expect("an open connection");
    let mut answer = String::new();
    open_connection
        .read_to_string(&mut answer)
        .expect("an answer, then the end");
    let answers = [
        answer,
        in_flight.join().expect("an answer"),
        new.join().expect("an answer"),
    ];
    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with("good"), "{answer}");
    }
    let ended = process.child.wait().expect("the process ends");
    assert!(ended.success(), "{ended}");
}

/// A request that arrives late in a stop is not sent to a leaf, since its answer might come after the end of
/// the process. It is rejected at once as not run, even if its first bytes arrived in time.
#[test]
fn stop_rejects_late_requests() {
    let store = FakeStore::start();
    let is_health_check = |line: &str| line.contains("/health");
    let leaf = start_leaf_with(move |line| match is_health_check(line) {
        true => Duration::ZERO,
        false => Duration::from_secs(3),
    });
    store.put("servers", "i-1", leaf_entry(leaf, "s", "ready"));
    store.put("config", "main", config(1, "/p/", "s"));
    let mut process = NodeProcess::start("late", store.addr);
    let text = request_text("late", "/p/x", "");
    let (first_half, rest) = text.split_at(text.len() / 2);
    let mut late = TcpStream::connect(process.addrs.front).expect("a connection");
    late.write_all(first_half.as_bytes())
        .expect("an open connection");
    process.signal("TERM");
    // The node accepts connections for the first 2.6 s of its stop.
    thread::sleep(Duration::from_millis(2_800));
    let sent = Instant::now();
    late.write_all(rest.as_bytes()).expect("an open connection");
    let mut answer = String::new();
    late.read_to_string(&mut answer)
        .expect("an answer, then the end");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    // The leaf would take 3 s.
    assert!(sent.elapsed() < Duration::from_secs(1));
    assert!(process.child.wait().expect("the process ends").success());
}

/// A stop closes idle connections, and the process ends long before the platform would kill it.
#[test]
fn stop_closes_idle_connections() {
    let store = store_with_leaf(Duration::ZERO);
    let mut process = NodeProcess::start("idle", store.addr);
    let mut idle = TcpStream::connect(process.addrs.front).expect("a connection");
    let stop_sent = Instant::now();
    process.signal("TERM");
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).expect("the end");
    assert!(rest.is_empty());
    assert!(process.child.wait().expect("the process ends").success());
    // The platform kills the process after 6 s. Requests may be aborted in the last second of these, but none
    // is in flight here.
    assert!(stop_sent.elapsed() < Duration::from_secs(5));
}

/// Requests are served even if nobody reads the log lines. The pipe is full after 64 KiB, some 200 lines.
#[test]
fn unread_logs_do_not_block_requests() {
    let store = store_with_leaf(Duration::ZERO);
    let process = NodeProcess::start_with_logs("logs", store.addr, Stdio::piped());
    process.wait_until_ready();
    for _ in 0..1_000 {
        assert_eq!(status(process.addrs.front, "/p/x"), 200);
    }
}

#[test]
fn restart_after_kill_serves_again() {
    let store = store_with_leaf(Duration::ZERO);
    let mut process = NodeProcess::start("kill", store.addr);
    process.signal("KILL");
    process.child.wait().expect("the process ends");
    process.restart();
    let front = process.addrs.front;
    wait_until("service", || status(front, "/p/x") == 200);
}

#[test]
fn reload_signal_does_not_interrupt_service() {
    let store = store_with_leaf(Duration::ZERO);
    let process = NodeProcess::start("reload", store.addr);
    for _ in 0..3 {
        process.signal("HUP");
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(status(process.addrs.front, "/p/x"), 200);
}

#[test]
fn settings_with_findings_exit_with_code_2() {
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
