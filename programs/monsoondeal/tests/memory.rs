//! Memory of the `edge` command as a process, while many others at once send it bytes without end.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod process;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{leaf_entry, request_text, start_leaf, status, wait_until};
use process::NodeProcess;
use rstest::rstest;
use serde_json::{Value, json};
use soak::store::FakeStore;
use standin::endless::read_head;

/// Memory of the smallest VM of the deployments, in bytes.
const VM_MEMORY: u64 = 160 * 1024 * 1024;
/// Number of servers whose answers never end.
const SERVERS: usize = 24;
/// Number of connections that each of them accepts.
const CONNECTIONS: usize = 16;
/// Number of calls at once: all that the servers accept.
const CALLS: usize = SERVERS * CONNECTIONS;
/// Bytes of an answer that are sent as fast as they are read. A node reads at most a mebibyte of an answer of a leaf
/// or a node; what follows comes so slowly that it does not get there.
const FAST_BYTES: usize = 960 * 1024;
/// The same for the store, of whose answers a node reads at most 16 MiB.
const FAST_STORE_BYTES: usize = 15 * 1024 * 1024;
/// Size of a write, in bytes.
const WRITE_BYTES: usize = 16 * 1024;
/// Time between two of the chunks that follow.
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the memory is watched after the last call has arrived.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Size of the answer of a sound leaf, in bytes.
const LARGE_BYTES: usize = 500 * 1024;

/// An answer that never ends: a first part, in which `{id}` stands for the request's identity, and chunks.
#[derive(Clone, Copy, Debug)]
struct Endless {
    prefix: &'static str,
    chunk: &'static str,
    /// Bytes that are sent as fast as they are read.
    fast_bytes: usize,
}

impl Endless {
    const fn new(prefix: &'static str, chunk: &'static str) -> Self {
        Self {
            prefix,
            chunk,
            fast_bytes: FAST_BYTES,
        }
    }

    const fn from_store(prefix: &'static str, chunk: &'static str) -> Self {
        Self {
            fast_bytes: FAST_STORE_BYTES,
            ..Self::new(prefix, chunk)
        }
    }

    /// Starts a server whose answers to requests never end. Arrivals are counted.
    fn start(self, arrivals: &Arc<AtomicUsize>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let arrivals = arrivals.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, arrivals) = (stream.expect("a connection"), arrivals.clone());
                thread::spawn(move || self.serve(stream, &arrivals));
            }
        });
        addr
    }

    fn serve(self, mut stream: TcpStream, arrivals: &AtomicUsize) {
        let Some(head) = read_head(&mut stream) else {
            return;
        };
        arrivals.fetch_add(1, Ordering::SeqCst);
        let id = field(&head, "x-monsoondeal-request-id");
        let call = field(&head, "x-segment-call");
        let prefix = self.prefix.replace("{id}", id).replace("{call}", call);
        let chunks = self.chunk.repeat(WRITE_BYTES.div_ceil(self.chunk.len()));
        let mut written = prefix.len();
        if stream.write_all(prefix.as_bytes()).is_err() {
            return;
        }
        while written < self.fast_bytes {
            if stream.write_all(chunks.as_bytes()).is_err() {
                return;
            }
            written += chunks.len();
        }
        while stream.write_all(self.chunk.as_bytes()).is_ok() {
            thread::sleep(CHUNK_INTERVAL);
        }
    }
}

/// Returns the value of a header field.
fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let value = head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    });
    value.unwrap_or_default()
}

/// Returns a configuration with one route to one service, and a query over `shards`.
fn config(shards: &[String], connections: usize) -> Value {
    let spec = |name: &str| {
        json!({
            "name": name, "health_check_path": "/health", "max_connections": connections,
            "protocol": "h1", "tls": false, "warmup_s": 3.0, "cold_per_s": 0.0,
        })
    };
    let mut services: Vec<Value> = shards.iter().map(|shard| spec(shard)).collect();
    services.push(spec("s"));
    services.push(spec("good"));
    services.push(spec("large"));
    let order = |name: &str| {
        json!({
            "name": name, "host": "h.example", "path_prefix": format!("/{name}/"),
            "route_type": "non_idempotent", "timeout_ms": 8000, "target_latency_ms": 800,
            "priority": 1, "service": name, "max_attempts": 2,
        })
    };
    let query = json!({
        "name": "q", "host": "h.example", "path_prefix": "/q/",
        "route_type": "idempotent", "timeout_ms": 8000, "target_latency_ms": 3000,
        "priority": 1, "fanout": shards, "max_attempts": 2, "top_k": 5, "min_coverage": 0.5,
    });
    let mut routes = vec![order("s"), order("good"), order("large")];
    if !shards.is_empty() {
        routes.push(query);
    }
    json!({
        "config_version": 1,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    })
}

/// Starts a leaf whose answers are large.
fn start_large_leaf() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                while let Some(head) = read_head(&mut stream) {
                    let id = field(&head, "x-monsoondeal-request-id");
                    let body = "x".repeat(LARGE_BYTES);
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

/// Sends `count` requests at once, without waiting for the answers.
fn send_requests(front: SocketAddr, path: &'static str, count: usize) {
    for at in 0..count {
        thread::spawn(move || {
            let mut stream = TcpStream::connect(front).expect("a connection");
            let text = request_text(&format!("id-{at}"), path, "connection: close\r\n");
            // The node may close the connection.
            let _ = stream.write_all(text.as_bytes());
            let _ = stream.read_to_end(&mut Vec::new());
        });
    }
}

/// Checks that the memory stays within that of the smallest VM for some time, and that the node goes on serving.
fn assert_bounded(node: &NodeProcess, what: &str) {
    let started = Instant::now();
    while started.elapsed() < WATCH_TIME {
        let peak = node.peak_memory();
        assert!(peak <= VM_MEMORY, "{what}: {} MiB", peak >> 20);
        thread::sleep(Duration::from_millis(20));
    }
    eprintln!("{what}: peak {} MiB", node.peak_memory() >> 20);
}

/// Guards against a node that runs out of memory since many leafs at once send answers without end: requests for
/// other services end with the process then.
#[rstest]
#[case::body_without_length(Endless::new(
    "HTTP/1.1 200 OK\r\nx-monsoondeal-request-id: {id}\r\nx-monsoondeal-server-stamp: s\r\n\r\n",
    "0123456789abcdef"
))]
#[case::body_in_small_chunks(Endless::new(
    "HTTP/1.1 200 OK\r\nx-monsoondeal-request-id: {id}\r\nx-monsoondeal-server-stamp: s\r\n\
     transfer-encoding: chunked\r\n\r\n",
    "1\r\na\r\n"
))]
#[case::chunk_extension(Endless::new(
    "HTTP/1.1 200 OK\r\nx-monsoondeal-request-id: {id}\r\nx-monsoondeal-server-stamp: s\r\n\
     transfer-encoding: chunked\r\n\r\n4;x=",
    "x"
))]
#[case::trailers(Endless::new(
    "HTTP/1.1 200 OK\r\nx-monsoondeal-request-id: {id}\r\nx-monsoondeal-server-stamp: s\r\n\
     transfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n",
    "x-t: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"
))]
#[case::long_field(Endless::new("HTTP/1.1 200 OK\r\nx-long: ", "aaaaaaaa"))]
#[case::many_fields(Endless::new("HTTP/1.1 200 OK\r\n", "x: 0123456789\r\n"))]
#[case::interim_answers(Endless::new("", "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n"))]
#[case::no_protocol(Endless::new("", "no answer "))]
fn memory_is_bounded_with_endless_leafs(#[case] endless: Endless) {
    let arrivals = Arc::default();
    let store = FakeStore::start();
    store.put("config", "main", config(&[], CONNECTIONS));
    for at in 0..SERVERS {
        let addr = endless.start(&arrivals);
        store.put(
            "servers",
            &format!("i-{at}"),
            leaf_entry(addr, "s", "ready"),
        );
    }
    let good = leaf_entry(start_leaf(Duration::ZERO), "good", "ready");
    store.put("servers", "i-good", good);
    let large = leaf_entry(start_large_leaf(), "large", "ready");
    store.put("servers", "i-large", large);
    let node = NodeProcess::start("endless-leafs", store.addr);
    let front = node.addrs.front;
    wait_until("the good leaf", || status(front, "/good/x") == 200);
    send_requests(front, "/s/x", CALLS);
    wait_until("the calls", || arrivals.load(Ordering::SeqCst) >= CALLS / 2);
    assert_bounded(&node, &format!("{endless:?}"));
    assert_eq!(status(front, "/good/x"), 200);
    // Once the calls have ended, large answers are read again: a hundred of them have more bytes than the bound.
    wait_until("a large answer", || status(front, "/large/x") == 200);
    for _ in 0..100 {
        assert_eq!(status(front, "/large/x"), 200);
    }
}

/// Guards against the same from nodes that are asked for segments of queries.
#[rstest]
#[case::body_without_length(Endless::new(
    "HTTP/1.1 200 OK\r\nx-monsoondeal-request-id: {id}\r\nx-segment-call: {call}\r\n\
     x-monsoondeal-part-stamps: s\r\n\r\n",
    "0123456789abcdef"
))]
#[case::body_in_small_chunks(Endless::new(
    "HTTP/1.1 200 OK\r\nx-monsoondeal-request-id: {id}\r\nx-segment-call: {call}\r\n\
     x-monsoondeal-part-stamps: s\r\ntransfer-encoding: chunked\r\n\r\n",
    "1\r\na\r\n"
))]
#[case::long_field(Endless::new("HTTP/1.1 200 OK\r\nx-monsoondeal-part-stamps: ", "aaaaaaaa"))]
#[case::no_protocol(Endless::new("", "no answer "))]
fn memory_is_bounded_with_endless_nodes(#[case] endless: Endless) {
    let arrivals = Arc::default();
    let shards: Vec<String> = (0..20).map(|at| format!("shard-{at}")).collect();
    let store = FakeStore::start();
    store.put("config", "main", config(&shards, 1));
    for at in 0..SERVERS {
        let addr = endless.start(&arrivals);
        let member = json!({
            "addr": addr, "updates": "127.0.0.1:9", "domain": format!("z-{at}"), "cores": 1.0,
        });
        store.put("monsoondeal-members", &format!("vm-endless-{at}"), member);
    }
    let good = leaf_entry(start_leaf(Duration::ZERO), "good", "ready");
    store.put("servers", "i-good", good);
    let node = NodeProcess::start("endless-nodes", store.addr);
    let front = node.addrs.front;
    wait_until("the good leaf", || status(front, "/good/x") == 200);
    send_requests(front, "/q/x", CALLS);
    // Admission bounds the queries at once.
    wait_until("the calls", || arrivals.load(Ordering::SeqCst) > 0);
    assert_bounded(&node, &format!("{endless:?}"));
    assert_eq!(status(front, "/good/x"), 200);
}

/// Guards against the same from the store: all calls of the node at once.
#[rstest]
#[case::body_without_length(Endless::from_store("HTTP/1.1 200 OK\r\n\r\n{\"items\":[", "{},"))]
#[case::body_in_small_chunks(Endless::from_store(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "1\r\n \r\n"
))]
#[case::long_field(Endless::from_store("HTTP/1.1 200 OK\r\nx-long: ", "aaaaaaaa"))]
#[case::interim_answers(Endless::from_store("", "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n"))]
#[case::no_protocol(Endless::from_store("", "no answer "))]
fn memory_is_bounded_with_an_endless_store(#[case] endless: Endless) {
    let arrivals = Arc::default();
    let store = endless.start(&arrivals);
    let node = NodeProcess::start_with_logs("endless-store", store, Stdio::null());
    wait_until("a call", || arrivals.load(Ordering::SeqCst) > 0);
    assert_bounded(&node, &format!("{endless:?}"));
}

/// Guards against the same from a store whose listings have pages without end: of one kind of objects after the other
/// at the start of a node, of all kinds at once later.
#[rstest]
#[case::from_the_start(true)]
#[case::later(false)]
fn memory_is_bounded_with_endless_listings(#[case] from_start: bool) {
    let healthy = FakeStore::start();
    healthy.put("config", "main", config(&[], CONNECTIONS));
    let store = ChangingStore::start(healthy.addr, from_start);
    let node = NodeProcess::start_with_logs("endless-pages", store.addr, Stdio::null());
    if !from_start {
        node.wait_until_ready();
        store.turn_endless();
    }
    wait_until("a call", || store.pages.load(Ordering::SeqCst) > 0);
    assert_bounded(&node, "endless listings");
}

/// A store that passes calls on to a healthy one, until its listings turn endless.
struct ChangingStore {
    addr: SocketAddr,
    is_endless: Arc<AtomicBool>,
    /// Connections to the healthy store.
    passed: Arc<Mutex<Vec<TcpStream>>>,
    /// Number of endless pages sent.
    pages: Arc<AtomicUsize>,
}

impl ChangingStore {
    fn start(healthy: SocketAddr, is_endless: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            is_endless: Arc::new(AtomicBool::new(is_endless)),
            passed: Arc::default(),
            pages: Arc::default(),
        };
        let (is_endless, passed) = (store.is_endless.clone(), store.passed.clone());
        let pages = store.pages.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a connection");
                if is_endless.load(Ordering::SeqCst) {
                    let pages = pages.clone();
                    thread::spawn(move || serve_pages(stream, &pages));
                    continue;
                }
                let other = TcpStream::connect(healthy).expect("a healthy store");
                let mut held = passed.lock().expect("no panic while locked");
                held.push(stream.try_clone().expect("a second handle"));
                pass(&stream, &other);
                pass(&other, &stream);
            }
        });
        store
    }

    fn turn_endless(&self) {
        self.is_endless.store(true, Ordering::SeqCst);
        for stream in self.passed.lock().expect("no panic while locked").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Passes bytes on in one direction until the connection ends.
fn pass(from: &TcpStream, to: &TcpStream) {
    let mut from = from.try_clone().expect("a second handle");
    let mut to = to.try_clone().expect("a second handle");
    thread::spawn(move || {
        let _ = std::io::copy(&mut from, &mut to);
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// Answers each request with a page of a megabyte, and the flag that more pages follow.
fn serve_pages(mut stream: TcpStream, arrivals: &AtomicUsize) {
    let spec = "a".repeat(1_000_000);
    while read_head(&mut stream).is_some() {
        let name = format!("n-{:09}", arrivals.fetch_add(1, Ordering::SeqCst));
        let item = json!({ "meta": { "name": name }, "spec": spec });
        let page = json!({ "items": [item], "has_more": true, "current_rev": 1 }).to_string();
        let length = page.len();
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{page}");
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
