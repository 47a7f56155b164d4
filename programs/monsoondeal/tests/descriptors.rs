//! The `edge` command as a process that may open few file descriptors, while others hold connections to it.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod process;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

use common::{config, leaf_entry, request_text, start_leaf, wait_until};
use process::NodeProcess;
use rstest::rstest;
use serde_json::{Value, json};
use soak::store::FakeStore;
use standin::endless::read_head;

/// File descriptors that the process may have open.
const MAX_DESCRIPTORS: u32 = 400;
/// Connections that others hold: more than the process may have open.
const HELD: usize = 450;
/// Longest time to a response: as long as callers wait for a connection.
const RESPONSE_TIME: Duration = Duration::from_secs(1);
/// Descriptors of a process among whose callers are some that do not read.
const FEW_DESCRIPTORS: u32 = 260;
/// Connections of callers that such a process has at most: half of its descriptors but 200 for files.
const FEW_CONNECTIONS: usize = 30;
/// Number of such callers, and of requests that each of them sends at once.
const UNREAD: usize = 120;
const UNREAD_REQUESTS: usize = 8;
/// Size of a large answer, in bytes.
const LARGE_BYTES: usize = 900 * 1024;
/// Longest time until connections are closed to make room: well below the idle timeout.
const ROOM_TIME: Duration = Duration::from_secs(5);
/// Work of a slow leaf.
const SLOW_WORK: Duration = Duration::from_secs(2);

fn store_with_leaf(leaf: SocketAddr) -> FakeStore {
    let store = FakeStore::start();
    store.put("servers", "i-1", leaf_entry(leaf, "s", "ready"));
    store.put("config", "main", config(1, "/p/", "s"));
    store
}

fn start_node(name: &str, store: &FakeStore) -> NodeProcess {
    NodeProcess::start_limited(name, store.addr, MAX_DESCRIPTORS, Stdio::null())
}

/// Sends a request on an open connection and returns whether it was served in time.
fn is_served(stream: &mut TcpStream, id: &str, path: &str) -> bool {
    let timeout = Some(RESPONSE_TIME);
    stream.set_read_timeout(timeout).expect("a socket option");
    let text = request_text(id, path, "");
    if stream.write_all(text.as_bytes()).is_err() {
        return false;
    }
    let mut answer = Vec::new();
    let mut part = [0; 1024];
    while !answer.ends_with(b"good") {
        match stream.read(&mut part) {
            Ok(length @ 1..) => answer.extend_from_slice(&part[..length]),
            Ok(0) | Err(_) => return false,
        }
    }
    answer.starts_with(b"HTTP/1.1 200")
}

fn connect(addr: SocketAddr) -> TcpStream {
    TcpStream::connect(addr).expect("the kernel accepts the connection")
}

/// Checks that new requests and the balancer's check are answered in time.
fn assert_serves(node: &NodeProcess, when: &str) {
    let started = Instant::now();
    assert!(
        is_served(&mut connect(node.addrs.front), "new", "/p/x"),
        "{when}"
    );
    assert!(node.addrs.is_ready(), "{when}");
    let elapsed = started.elapsed();
    assert!(elapsed < RESPONSE_TIME, "{when}: {elapsed:?}");
}

/// Guards against a node that has used up its descriptors and answers nothing any more (CONFIG), as when it is the last
/// one of several: each caller sends a request and keeps its connection. Those that it kept before are served, too.
#[test]
fn callers_that_keep_their_connections_are_all_served() {
    let store = store_with_leaf(start_leaf(Duration::ZERO));
    let node = start_node("kept", &store);
    let mut kept: Vec<TcpStream> = (0..5).map(|_| connect(node.addrs.front)).collect();
    let serve_kept = |kept: &mut [TcpStream], when: &str| {
        for (at, stream) in kept.iter_mut().enumerate() {
            assert!(
                is_served(stream, &format!("{when}-{at}"), "/p/x"),
                "{when} {at}"
            );
        }
    };
    serve_kept(&mut kept, "before");
    let mut held = Vec::new();
    for at in 0..HELD {
        let mut stream = connect(node.addrs.front);
        assert!(
            is_served(&mut stream, &format!("held-{at}"), "/p/x"),
            "{at}"
        );
        held.push(stream);
    }
    serve_kept(&mut kept, "beside the others");
    assert_serves(&node, "beside the others");
    drop(held);
    serve_kept(&mut kept, "after the others");
    assert_serves(&node, "after the others");
}

/// A listener of the node.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Callers,
    Readiness,
    Operators,
    Nodes,
    Followers,
}

impl Listener {
    fn addr(self, node: &NodeProcess) -> SocketAddr {
        let [nodes, followers] = node.addrs.peer_addrs();
        match self {
            Self::Callers => node.addrs.front,
            Self::Readiness => node.addrs.readiness,
            Self::Operators => node.addrs.admin,
            Self::Nodes => nodes,
            Self::Followers => followers,
        }
    }
}

/// Guards against the same by connections on which nothing is sent, or a part of a request only, on each listener.
#[rstest]
fn silent_connections_leave_room(
    #[values(
        Listener::Callers,
        Listener::Readiness,
        Listener::Operators,
        Listener::Nodes,
        Listener::Followers
    )]
    listener: Listener,
    #[values(
        "",
        "GET / HTT",
        "POST /p/x HTTP/1.1\r\nhost: h.example\r\nx-monsoondeal-request-id: a\r\ncontent-length: 9\r\n\r\nbody"
    )]
    text: &str,
) {
    let store = store_with_leaf(start_leaf(Duration::ZERO));
    let node = start_node("silent", &store);
    let mut held = Vec::new();
    for _ in 0..HELD {
        let mut stream = connect(listener.addr(&node));
        stream
            .write_all(text.as_bytes())
            .expect("an open connection");
        held.push(stream);
    }
    thread::sleep(Duration::from_millis(300));
    assert_serves(&node, "beside silent connections");
    drop(held);
    assert_serves(&node, "after silent connections");
}

/// Starts a leaf whose answers are larger than what the kernel holds for a caller that does not read.
fn start_large_leaf() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let body = "x".repeat(LARGE_BYTES);
        for stream in listener.incoming() {
            let (mut stream, body) = (stream.expect("a connection"), body.clone());
            thread::spawn(move || {
                while let Some(head) = read_head(&mut stream) {
                    let id = head
                        .lines()
                        .find_map(|line| line.strip_prefix("x-monsoondeal-request-id: "));
                    let id = id.unwrap_or_default();
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nx-monsoondeal-request-id: {id}\r\n\
                         x-monsoondeal-server-stamp: s\r\ncontent-length: {LARGE_BYTES}\r\n\r\n{body}"
                    );
                    // The node may have closed the connection.
                    let _ = stream.write_all(text.as_bytes());
                }
            });
        }
    });
    addr
}

/// Returns the number of open connections of callers, as the operators' page shows it.
fn caller_connections(node: &NodeProcess) -> usize {
    let mut stream = connect(node.addrs.admin);
    let text = "GET /state HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    stream
        .write_all(text.as_bytes())
        .expect("an open connection");
    let mut page = String::new();
    stream.read_to_string(&mut page).expect("a page");
    let state = page.split("\r\n\r\n").nth(1).expect("a body");
    let state: Value = serde_json::from_str(state).expect("JSON");
    let count = state["caller_connections"].as_u64().expect("a number");
    usize::try_from(count).expect("a small number")
}

/// Guards against callers that never read their answers: their connections are closed to make room, too.
#[test]
fn callers_that_do_not_read_leave_room() {
    let store = store_with_leaf(start_large_leaf());
    let free = leaf_entry(start_leaf(Duration::ZERO), "free", "ready");
    store.put("servers", "i-free", free);
    store.put("config", "main", config_with_free_route());
    let node = NodeProcess::start_limited("unread", store.addr, FEW_DESCRIPTORS, Stdio::null());
    let front = node.addrs.front;
    let is_free_served = |id: &str| is_served(&mut connect(front), id, "/free/x");
    wait_until("the free service", || is_free_served("first"));
    let mut held = Vec::new();
    for at in 0..UNREAD {
        let mut stream = connect(front);
        for part in 0..UNREAD_REQUESTS {
            let text = request_text(&format!("unread-{at}-{part}"), "/p/x", "");
            // The node may have closed the connection.
            let _ = stream.write_all(text.as_bytes());
        }
        held.push(stream);
        thread::sleep(Duration::from_millis(20));
    }
    // Those that are not read are the first to be closed for these.
    held.extend((0..FEW_CONNECTIONS).map(|_| connect(front)));
    let started = Instant::now();
    wait_until("the end of connections that are not read", || {
        caller_connections(&node) <= FEW_CONNECTIONS
    });
    assert!(started.elapsed() < ROOM_TIME, "{:?}", started.elapsed());
    wait_until("service", || is_free_served("beside"));
}

/// Returns a configuration with one more route, to a service of its own.
fn config_with_free_route() -> Value {
    let mut config = config(1, "/p/", "s");
    let free = config_of_free();
    for list in ["routes", "services"] {
        let added = free[list][0].clone();
        config[list].as_array_mut().expect("a list").push(added);
    }
    config
}

fn config_of_free() -> Value {
    let mut config = config(1, "/free/", "free");
    config["routes"][0]["name"] = json!("r-2");
    config
}

/// A caller that comes while others have requests under way learns at once what becomes of its own, for a service that is
/// free: it is served, or its connection is closed unread, as there is no room. The node serves again when the others
/// have their answers.
#[test]
fn busy_connections_leave_room_or_turn_others_away_at_once() {
    let store = store_with_leaf(start_leaf(SLOW_WORK));
    let free = leaf_entry(start_leaf(Duration::ZERO), "free", "ready");
    store.put("servers", "i-free", free);
    store.put("config", "main", config_with_free_route());
    let node = start_node("busy", &store);
    let front = node.addrs.front;
    wait_until("the free service", || {
        is_served(&mut connect(front), "first", "/free/x")
    });
    let mut busy = Vec::new();
    for at in 0..HELD {
        let mut stream = connect(front);
        let text = request_text(&format!("busy-{at}"), "/p/slow", "");
        // The node may have closed the connection.
        let _ = stream.write_all(text.as_bytes());
        busy.push(stream);
    }
    let started = Instant::now();
    is_served(&mut connect(front), "beside", "/free/x");
    assert!(started.elapsed() < RESPONSE_TIME, "{:?}", started.elapsed());
    assert!(node.addrs.is_ready());
    wait_until("room", || {
        is_served(&mut connect(front), "after", "/free/x")
    });
}

/// Guards against a node that spends its time on failing calls, and fills its log with them.
#[test]
fn log_stays_short_without_descriptors() {
    let store = store_with_leaf(start_leaf(Duration::ZERO));
    let path = std::env::temp_dir().join(format!("descriptors-{}.log", std::process::id()));
    let file = std::fs::File::create(&path).expect("a log file");
    let name = "log";
    let node = NodeProcess::start_limited(name, store.addr, MAX_DESCRIPTORS, file.into());
    let held: Vec<TcpStream> = (0..HELD).map(|_| connect(node.addrs.front)).collect();
    thread::sleep(Duration::from_secs(2));
    assert_serves(&node, "beside silent connections");
    drop((held, node));
    let log = std::fs::read_to_string(&path).expect("a log");
    let _ = std::fs::remove_file(&path);
    let lines = log.lines().count();
    assert!(lines < 200, "{lines} lines");
}
