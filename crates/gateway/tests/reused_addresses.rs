//! Addresses of ended leafs that leafs of other services have reused, over real sockets.

mod common;

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{Behaviour, Gateway, Leaf, answer_correctly, exchange, field, read_head, write};
use monsoondeal_edge::Repeat;
use rstest::rstest;

/// Time from the end of a leaf until its address may be reused by another leaf.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// Time that a busy leaf takes for each answer.
const BUSY_TIME: Duration = Duration::from_millis(600);
/// Number of requests sent after another leaf has reused the address.
const REQUESTS: usize = 12;

/// The leaf at an address, and the requests that arrived there for other leafs.
struct Occupant {
    name: &'static str,
    connections: Vec<TcpStream>,
    /// Number of calls intended for another leaf.
    misdirected: usize,
}

/// `ReusedAddress` is an address that one leaf uses after another.
struct ReusedAddress {
    addr: SocketAddr,
    occupant: Arc<Mutex<Occupant>>,
}

impl ReusedAddress {
    fn start(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let occupant = Arc::new(Mutex::new(Occupant {
            name,
            connections: Vec::new(),
            misdirected: 0,
        }));
        let for_thread = occupant.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, occupant) = (stream.expect("a connection"), for_thread.clone());
                thread::spawn(move || serve(stream, &occupant));
            }
        });
        Self { addr, occupant }
    }

    /// Replaces the leaf at the address, and closes connections to the former one.
    fn take_over(&self, name: &'static str) {
        let mut occupant = self.occupant.lock().expect("no panic while locked");
        occupant.name = name;
        for connection in occupant.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn misdirected(&self) -> usize {
        self.occupant
            .lock()
            .expect("no panic while locked")
            .misdirected
    }
}

fn serve(mut stream: TcpStream, occupant: &Mutex<Occupant>) {
    let name = {
        let mut occupant = occupant.lock().expect("no panic while locked");
        let other = stream.try_clone().expect("a handle");
        occupant.connections.push(other);
        occupant.name
    };
    while let Some(head) = read_head(&mut stream) {
        let is_intended = field(&head, "x-instance").is_none_or(|instance| instance == name);
        let is_check = head.starts_with("GET /health ");
        if !is_intended && !is_check {
            occupant.lock().expect("no panic while locked").misdirected += 1;
        }
        match (is_intended, is_check) {
            (false, _) => write(
                &mut stream,
                &format!(
                    "HTTP/1.1 421 Misdirected Request\r\nx-leaf: {name}\r\ncontent-length: 0\r\n\r\n"
                ),
            ),
            (true, true) => write(
                &mut stream,
                &format!("HTTP/1.1 200 OK\r\nx-leaf: {name}\r\ncontent-length: 0\r\n\r\n"),
            ),
            (true, false) => answer_correctly(&mut stream, &head),
        }
    }
}

/// No call reaches a leaf that it is not intended for, since its load would not be charged to any budget.
#[rstest]
#[case::idempotent(Repeat::Idempotent, false, "503")]
#[case::idempotent_with_replica(Repeat::Idempotent, true, "200")]
#[case::at_most_once(Repeat::AtMostOnce, false, "503")]
#[case::at_most_once_with_replica(Repeat::AtMostOnce, true, "200")]
fn reused_address_gets_no_calls(
    #[case] repeat: Repeat,
    #[case] with_replica: bool,
    #[case] status: &str,
) {
    let (reused, replica) = (
        ReusedAddress::start("leaf-0"),
        Leaf::start(answer_correctly),
    );
    let mut addrs = vec![reused.addr];
    addrs.extend(with_replica.then_some(replica.addr));
    let gateway = Gateway::with_checked_addrs(repeat, addrs);
    for at in 0..6 {
        let response = gateway.request(&format!("before-{at}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    thread::sleep(ADDRESS_REUSE);
    reused.take_over("another");
    for at in 0..REQUESTS {
        let response = gateway.request(&format!("after-{at}"));
        let expected = format!("HTTP/1.1 {status}");
        assert!(response.starts_with(&expected), "{response}");
    }
    assert_eq!(reused.misdirected(), 0);
}

/// Answers an identity check with a status, a name and further header fields.
fn answer_check(stream: &mut TcpStream, status: &str, name: Option<&str>, fields: &str) {
    let name = name.map_or(String::new(), |name| format!("x-leaf: {name}\r\n"));
    write(
        stream,
        &format!("HTTP/1.1 {status}\r\n{name}{fields}content-length: 0\r\n\r\n"),
    );
}

fn is_check(head: &str) -> bool {
    head.starts_with("GET /health ")
}

fn requested_name(head: &str) -> Option<&str> {
    field(head, "x-instance")
}

fn is_leaving(stream: &mut TcpStream, head: &str) {
    if is_check(head) {
        answer_check(stream, "503 Service Unavailable", requested_name(head), "");
    } else {
        answer_correctly(stream, head);
    }
}

fn closes_after_the_check(stream: &mut TcpStream, head: &str) {
    if is_check(head) {
        answer_check(
            stream,
            "200 OK",
            requested_name(head),
            "connection: close\r\n",
        );
        let _ = stream.shutdown(Shutdown::Both);
    } else {
        answer_correctly(stream, head);
    }
}

fn omits_its_name(stream: &mut TcpStream, head: &str) {
    if is_check(head) {
        answer_check(stream, "200 OK", None, "");
    } else {
        answer_correctly(stream, head);
    }
}

fn gives_another_name(stream: &mut TcpStream, head: &str) {
    assert!(is_check(head), "a call was sent");
    answer_check(stream, "200 OK", Some("another"), "");
}

fn is_full(stream: &mut TcpStream, head: &str) {
    assert!(is_check(head), "a call was sent");
    answer_check(stream, "503 Service Unavailable", None, "x-not-run: 1\r\n");
}

fn closes_during_the_check(stream: &mut TcpStream, head: &str) {
    assert!(is_check(head), "a call was sent");
    let _ = stream.shutdown(Shutdown::Both);
}

fn is_silent(_stream: &mut TcpStream, head: &str) {
    assert!(is_check(head), "a call was sent");
}

/// A leaf that passes the identity check is called, also if it is leaving or closes the connection afterwards.
#[rstest]
#[case::answer_correctly(answer_correctly)]
#[case::is_leaving(is_leaving)]
#[case::closes_after_the_check(closes_after_the_check)]
#[case::omits_its_name(omits_its_name)]
fn checked_leaf_is_called(
    #[case] behave: Behaviour,
    #[values(Repeat::Idempotent, Repeat::AtMostOnce)] repeat: Repeat,
) {
    let leaf = Leaf::start(behave);
    let gateway = Gateway::with_checked_addrs(repeat, vec![leaf.addr]);
    for at in 0..4 {
        let response = gateway.request(&format!("id-{at}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("good"), "{response}");
    }
    let arrivals = leaf.arrivals();
    assert!(
        (5..=8).contains(&arrivals),
        "four calls and {arrivals} requests"
    );
}

/// A leaf that fails the identity check is not called: the request is served by another leaf, or rejected.
#[rstest]
#[case::gives_another_name(gives_another_name)]
#[case::is_full(is_full)]
#[case::closes_during_the_check(closes_during_the_check)]
#[case::is_silent(is_silent)]
fn leaf_with_failed_check_is_not_called(
    #[case] behave: Behaviour,
    #[values(Repeat::Idempotent, Repeat::AtMostOnce)] repeat: Repeat,
) {
    let (bad, healthy) = (Leaf::start(behave), Leaf::start(answer_correctly));
    let gateway = Gateway::with_checked_addrs(repeat, vec![bad.addr, healthy.addr]);
    for at in 0..8 {
        let response = gateway.request(&format!("id-{at}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert!(bad.arrivals() >= 1, "the faulty leaf was not checked");
    let alone = Gateway::with_checked_addrs(repeat, vec![bad.addr]);
    let response = alone.request("id");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(field(&response, "retry-after").is_some(), "{response}");
}

/// Without an identity check, the first call that reaches another leaf stops further calls to the address.
#[test]
fn misdirected_call_is_counted_and_stops_calls_to_its_leaf() {
    let reused = ReusedAddress::start("leaf-0");
    let gateway = Gateway::with_addrs(Repeat::Idempotent, vec![reused.addr]);
    let response = gateway.request("before");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    reused.take_over("another");
    for at in 0..REQUESTS {
        let response = gateway.request(&format!("after-{at}"));
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }
    assert_eq!(reused.misdirected(), 1);
    let request = "GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    let metrics = exchange(gateway.admin, request);
    let is_counted = |line: &str| {
        let is_counter = line.starts_with("monsoondeal_misdirected_total");
        is_counter && line.ends_with(" 1")
    };
    assert!(metrics.lines().any(is_counted), "{metrics}");
}

fn is_busy(stream: &mut TcpStream, head: &str) {
    thread::sleep(BUSY_TIME);
    answer_correctly(stream, head);
}

/// A busy leaf queues an identity check like any request. The node waits for the answer while time is left.
#[rstest]
fn busy_leaf_check_is_awaited(#[values(Repeat::Idempotent, Repeat::AtMostOnce)] repeat: Repeat) {
    let leaf = Leaf::start(is_busy);
    let gateway = Gateway::with_checked_addrs(repeat, vec![leaf.addr]);
    let response = gateway.request("id");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
