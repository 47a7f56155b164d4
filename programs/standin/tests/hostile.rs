//! Malformed input on every socket of a node: a clear answer or a closed connection, and it goes on.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use monsoondeal_core::LeafId;
use standin::caller::{Balancer, is_answer_to};
use standin::endless::{EndlessResponse, EndlessServer, max_kernel_buffers};
use standin::system::{ServiceSpec, System};

/// Status of a request whose body ends too early.
const TRUNCATED_BODY_STATUS: &str = "413";
/// Longest wait for a node to answer or to close a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the parts, each after the answer to the one before, and returns what comes back until the
/// node closes the connection or stays silent.
fn exchange(addr: SocketAddr, parts: &[Vec<u8>], close_write: bool) -> String {
    let mut stream = TcpStream::connect(addr).expect("the node listens");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a timeout");
    let mut answer = Vec::new();
    for (at, part) in parts.iter().enumerate() {
        // The node may close before it has read everything.
        let _ = stream.write_all(part);
        if at + 1 < parts.len() {
            let mut chunk = [0; 1_024];
            let count = stream.read(&mut chunk).unwrap_or(0);
            answer.extend(&chunk[..count]);
        }
    }
    if close_write {
        let _ = stream.shutdown(std::net::Shutdown::Write);
    }
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Which socket of a node.
#[derive(Clone, Copy, Debug)]
enum Socket {
    Callers,
    Peers,
    Admin,
}

fn headers(count: usize) -> Vec<u8> {
    let fields: String = (0..count).map(|i| format!("x-field-{i}: 1\r\n")).collect();
    format!("POST /v1/catalogue/lookup HTTP/1.1\r\nhost: a\r\n{fields}\r\n").into_bytes()
}

fn post(fields: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/catalogue/lookup HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{fields}\r\n{body}"
    )
    .into_bytes()
}

/// Opens a WebSocket by hand and sends a frame that is no list of messages.
fn bad_frame() -> Vec<Vec<u8>> {
    let handshake =
        b"GET /peer HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
        sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    // A masked binary frame of three bytes.
    let frame = vec![0x82, 0x83, 0, 0, 0, 0, 0xff, 0xff, 0xff];
    vec![handshake.to_vec(), frame]
}

async fn start(name: &str) -> System {
    let mut system = System::start(name, vec!["p1"]).expect("the store starts");
    let spec = ServiceSpec {
        name: "catalogue",
        owner: "rilegatoria",
        groups: 2,
        replicas: 2,
        leaf_args: Vec::new(),
        settings: vec![("deadline_ms", "5000")],
        kind_settings: Vec::new(),
    };
    system.add_service(spec).await.expect("the service starts");
    for _ in 0..3 {
        system.add_node().expect("a node starts");
    }
    system.wait_ready().await.expect("the nodes are ready");
    system
}

/// Returns each input: its name, where it goes, its parts, and what the answer holds.
fn inputs() -> Vec<(&'static str, Socket, Vec<Vec<u8>>, &'static str)> {
    let long = format!("x-long: {}\r\n", "a".repeat(600_000));
    let twice = "idempotency-key: a\r\nidempotency-key: b\r\n";
    let page = b"GET /etc HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_vec();
    let plain = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec();
    let callers = |name, part, expected| (name, Socket::Callers, vec![part], expected);
    vec![
        callers("garbage", b"\x00\x01garbage\r\n\r\n".to_vec(), "400"),
        callers("too many fields", headers(100), "431"),
        callers("long field", post(&long, ""), "431"),
        callers(
            "bad deadline",
            post("x-deadline-ms: soon\r\n", ""),
            "number of milliseconds",
        ),
        callers("field twice", post(twice, ""), "stands more than once"),
        callers(
            "field not ASCII",
            post("idempotency-key: \u{e9}\r\n", ""),
            "visible ASCII",
        ),
        callers(
            "body cut short",
            post("content-length: 100\r\n", "short"),
            TRUNCATED_BODY_STATUS,
        ),
        ("no WebSocket", Socket::Peers, vec![plain], ""),
        (
            "garbage from a peer",
            Socket::Peers,
            vec![vec![0xff; 4_096]],
            "",
        ),
        ("bad frame from a peer", Socket::Peers, bad_frame(), "101"),
        ("unknown page", Socket::Admin, vec![page], "no page '/etc'"),
    ]
}

#[compio::test]
async fn hostile_input_is_answered() {
    let system = start("hostile").await;
    let node = &system.nodes[0];
    let balancer = Balancer::start(vec![node.addrs]).await;
    for (name, socket, parts, expected) in inputs() {
        let addr = match socket {
            Socket::Callers => node.addrs.callers,
            Socket::Peers => node.peer,
            Socket::Admin => node.addrs.admin,
        };
        let close_write = expected == TRUNCATED_BODY_STATUS || expected.is_empty();
        let answer = exchange(addr, &parts, close_write);
        assert!(answer.contains(expected), "{name}: {answer}");

        // The node goes on.
        let sent = balancer.send("catalogue", "lookup", None, "endband").await;
        let (status, answer) = sent.expect("a response");
        assert_eq!(status, 200, "after {name}: {answer}");
    }
}

/// Largest answer of a leaf with its head, as documented, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Most that a node reads from a caller or a peer before it closes the connection, in bytes.
const MAX_INPUT_BYTES: usize = 16 * 1024 * 1024;
/// Identities of leafs in the tests' own maps lie above those of the system's.
const FIRST_TEST_LEAF_ID: u64 = 50_000;
/// Longest time for a call to a leaf, and for a loaded machine to close its connection.
const MAX_CALL_TIME: Duration = Duration::from_secs(8);

fn interim(_head: &str) -> String {
    "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned()
}

fn chunked(_head: &str) -> String {
    "HTTP/1.1 200 OK\r\nx-index-version: 1\r\nx-partition-map: 1\r\n\
     transfer-encoding: chunked\r\n\r\n"
        .to_owned()
}

/// Leafs that answer without end do not keep callers from whole answers, and are cut.
#[compio::test]
async fn endless_responses_of_leafs_are_cut_off() {
    let system = start("endless-leafs").await;
    let balancer = Balancer::start(system.nodes.iter().map(|n| n.addrs).collect()).await;
    let servers = [
        EndlessServer::start(EndlessResponse::fast(
            interim,
            "HTTP/1.1 103 Early Hints\r\n\r\n",
        )),
        EndlessServer::start(EndlessResponse::fast(chunked, "0")),
    ];
    let mut map = system.services[0].map.clone();
    for (at, server) in servers.iter().enumerate() {
        map.groups[at][0].leaf = LeafId(FIRST_TEST_LEAF_ID + at as u64);
        map.groups[at][0].addr = server.addr;
    }
    system.publish_map(&map).await.expect("the map is written");
    let started = Instant::now();
    while servers.iter().any(|server| server.arrivals() == 0) {
        assert!(started.elapsed() < ANSWER_TIMEOUT, "the case was not met");
        let sent = balancer.send("catalogue", "lookup", None, "endband").await;
        let (status, answer) = sent.expect("a response");
        assert_eq!(status, 200, "{answer}");
        assert!(is_answer_to(&answer, "endband"), "{answer}");
    }
    for transfer in servers.iter().flat_map(EndlessServer::wait_until_closed) {
        assert!(
            transfer.bytes <= MAX_ANSWER_BYTES + max_kernel_buffers(),
            "{transfer:?}"
        );
        assert!(transfer.duration < MAX_CALL_TIME, "{transfer:?}");
    }
}

/// A WebSocket by hand, with the head of a frame that has no end.
fn huge_frame() -> Vec<u8> {
    let mut bytes = bad_frame()[0].clone();
    bytes.extend([0x82, 0xff, 0x40, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    bytes
}

/// Input without end on any socket is cut, and the node goes on.
#[compio::test]
async fn endless_input_closes_connection() {
    let system = start("endless-input").await;
    let node = &system.nodes[0];
    let balancer = Balancer::start(vec![node.addrs]).await;
    let line = || b"GET / HTTP/1.1\r\nx-long: ".to_vec();
    let inputs = [
        ("a head from a caller", node.addrs.callers, line()),
        (
            "a body from a caller",
            node.addrs.callers,
            post("content-length: 9000000000000000000\r\n", ""),
        ),
        ("a head from an operator", node.addrs.admin, line()),
        ("a head from a peer", node.peer, line()),
        ("a frame from a peer", node.peer, huge_frame()),
    ];
    for (name, addr, prefix) in inputs {
        let bytes =
            write_endlessly(addr, &prefix).unwrap_or_else(|| panic!("{name} is read without end"));
        assert!(
            bytes <= MAX_INPUT_BYTES + max_kernel_buffers(),
            "{name}: {bytes}"
        );
        let sent = balancer.send("catalogue", "lookup", None, "endband").await;
        let (status, answer) = sent.expect("a response");
        assert_eq!(status, 200, "after {name}: {answer}");
    }
}

/// Writes without end and returns the bytes that were taken until a write failed, if one did.
fn write_endlessly(addr: SocketAddr, prefix: &[u8]) -> Option<usize> {
    let mut stream = TcpStream::connect(addr).expect("the node listens");
    let timeout = Some(ANSWER_TIMEOUT);
    stream.set_write_timeout(timeout).expect("a timeout");
    let started = Instant::now();
    let chunk = [b'a'; 16 * 1_024];
    let mut bytes = 0;
    let mut next = prefix;
    while started.elapsed() < ANSWER_TIMEOUT {
        match stream.write(next) {
            Ok(count) => bytes += count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return None,
            Err(_) => return Some(bytes),
        }
        next = &chunk;
    }
    None
}
