//! Malformed and endless input on every socket of a node: the node answers with a clear error or closes
//! the connection, and continues to serve.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use monsoondeal_core::LeafId;
use standin::caller::{Balancer, is_answer_to};
use standin::endless::{EndlessResponse, EndlessServer, max_kernel_buffers};
use standin::system::{ServiceSpec, System};

/// Status of the response to a request with a truncated body.
const TRUNCATED_BODY_STATUS: &str = "413";
/// Maximum wait until a node answers or closes a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the parts, each after an answer to the previous one, and returns what the node sends until it
/// closes the connection or sends nothing for 20 s.
fn exchange(addr: SocketAddr, parts: &[Vec<u8>], close_write: bool) -> String {
    let mut stream = TcpStream::connect(addr).expect("the node listens");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a timeout");
    let mut answer = Vec::new();
    for (at, part) in parts.iter().enumerate() {
        // The node may close the connection before it has read everything.
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

/// Socket of a node.
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

/// Returns a WebSocket handshake and a frame that cannot be decoded as a list of messages.
fn bad_frame() -> Vec<Vec<u8>> {
    let handshake =
        b"GET /peer HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
        sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    // A masked binary frame with a payload of three bytes.
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

/// Returns the inputs: name, socket, parts to send and a text that the answer must contain.
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

        // The node continues to serve.
        let sent = balancer.send("catalogue", "lookup", None, "endband").await;
        let (status, answer) = sent.expect("a response");
        assert_eq!(status, 200, "after {name}: {answer}");
    }
}

/// Documented limit of a leaf's answer with its head, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Maximum that a node reads from a caller or a peer before it closes the connection, in bytes.
const MAX_INPUT_BYTES: usize = 16 * 1024 * 1024;
/// First identifier of the leafs that the tests add to maps; above those of the system's leafs.
const FIRST_TEST_LEAF_ID: u64 = 50_000;
/// Maximum duration of a call to a leaf, including the time that a loaded machine needs to close the connection.
const MAX_CALL_TIME: Duration = Duration::from_secs(8);

fn interim(_head: &str) -> String {
    "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned()
}

fn chunked(_head: &str) -> String {
    "HTTP/1.1 200 OK\r\nx-index-version: 1\r\nx-partition-map: 1\r\n\
     transfer-encoding: chunked\r\n\r\n"
        .to_owned()
}

/// Guards against leafs whose responses never end: callers still get full answers, and the node closes
/// the connections to such leafs in time.
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
        assert!(started.elapsed() < ANSWER_TIMEOUT, "a leaf was not called");
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

/// Returns a WebSocket handshake and the head of a frame with 2^62 bytes.
fn huge_frame() -> Vec<u8> {
    let mut bytes = bad_frame()[0].clone();
    bytes.extend([0x82, 0xff, 0x40, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    bytes
}

/// Guards against endless input: the node closes the connection, whatever the socket, and continues to
/// serve.
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

/// Writes to a socket until a write fails, and returns the number of bytes written; returns `None` if no
/// write fails for 20 s.
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
