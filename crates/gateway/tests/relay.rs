//! Nodes that receive their updates from another node, over real sockets.

mod common;

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use common::{
    Gateway, config_of_version, exchange, field, free_addr, read_head, vm_name, wait_until,
};
use monsoondeal_core::Revision;
use monsoondeal_edge::{Name, Peer};
use monsoondeal_gateway::{ReaderMode, Update};
use rstest::rstest;
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;

/// Nodes of the domain under test.
const NODES: usize = 6;
/// Checks of a node's state before a test fails, 100 ms apart. How soon the state must change is tested in
/// virtual time.
const MAX_POLLS: usize = 250;

/// Returns the addresses of a fleet in one failure domain.
fn fleet() -> Vec<SocketAddr> {
    (0..NODES).map(|_| free_addr()).collect()
}

/// Returns the list of nodes of a fleet. The first nodes are larger, so that they read the store.
fn peers(fleet: &[SocketAddr]) -> Vec<Peer> {
    let peers = fleet.iter().enumerate().map(|(at, addr)| Peer {
        name: Name::from(vm_name(*addr)),
        domain: Name::from("a"),
        addr: *addr,
        updates: *addr,
        cores: 1.0 / (at + 1) as f64,
    });
    peers.collect()
}

/// Returns the updates that a reader gets when it begins to read the store.
fn initial_updates() -> Vec<Update> {
    vec![
        Update::Leafs(Vec::new()),
        Update::ClosedDomains(HashSet::new()),
        Update::Moves(Vec::new()),
        Update::Config(Rc::new(config_of_version(1, "/r/"))),
    ]
}

/// Starts a node with the list of nodes of the fleet.
fn start(fleet: &[SocketAddr], at: usize) -> Gateway {
    let all = fleet.to_vec();
    Gateway::start_at(fleet[at], move || vec![Update::Peers(peers(&all))])
}

/// Starts a node that reads the store and can reach it.
fn start_reader(fleet: &[SocketAddr], at: usize) -> Gateway {
    let node = start(fleet, at);
    wait_until(|| node.reader_mode() == Some(ReaderMode::On));
    node.send_updates(initial_updates);
    node.send_updates(|| vec![Update::StoreReachable(true)]);
    node.wait_until_ready();
    node
}

/// Lets a reader reach the store, and read all of it again.
fn reconnect_store(node: &Gateway) {
    node.send_updates(|| vec![Update::StoreReachable(true)]);
    node.send_updates(initial_updates);
}

fn status(node: &Gateway, path: &str) -> String {
    node.request_path("a", path)[..12].to_owned()
}

#[test]
fn follower_receives_updates_from_a_reader() {
    let fleet = fleet();
    let reader = start_reader(&fleet, 0);
    let second = start_reader(&fleet, 1);
    let follower = start(&fleet, 5);
    follower.wait_until_ready();
    assert_eq!(
        follower.reader_modes(),
        [],
        "a follower must not read the store"
    );

    // Changes are relayed as well: the new route exists, the old one does not.
    for node in [&reader, &second] {
        node.send_updates(|| vec![Update::Config(Rc::new(config_of_version(2, "/s/")))]);
    }
    wait_until(|| status(&follower, "/s/x") == "HTTP/1.1 503");
    assert_eq!(status(&follower, "/r/x"), "HTTP/1.1 404");
}

/// A follower reads the store itself when all readers have lost it.
#[test]
fn follower_leaves_readers_that_lost_the_store() {
    let fleet = fleet();
    let readers = [start_reader(&fleet, 0), start_reader(&fleet, 1)];
    let follower = start(&fleet, 5);
    follower.wait_until_ready();
    for reader in &readers {
        reader.send_updates(|| vec![Update::StoreReachable(false)]);
    }
    wait_until(|| follower.reader_mode() == Some(ReaderMode::On));
    assert!(
        follower.is_ready(),
        "the follower must keep serving with its last state"
    );

    // The follower returns to a reader once one can reach the store again.
    for _ in 0..MAX_POLLS {
        readers.iter().for_each(reconnect_store);
        if follower.reader_mode() == Some(ReaderMode::Off) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!(
        "the follower does not return to a reader: {:?}",
        follower.reader_modes()
    );
}

/// A reader that the store answers every 500 ms keeps its followers.
#[test]
fn follower_keeps_a_reader_in_contact_with_the_store() {
    let fleet = fleet();
    let readers = [start_reader(&fleet, 0), start_reader(&fleet, 1)];
    let follower = start(&fleet, 5);
    follower.wait_until_ready();
    for _ in 0..10 {
        thread::sleep(Duration::from_millis(500));
        for reader in &readers {
            reader.send_updates(|| vec![Update::StoreReachable(true)]);
        }
    }
    assert_eq!(
        follower.reader_modes(),
        [],
        "a follower must not read the store"
    );
}

/// A follower leaves readers that the store has not answered for some seconds, even if no request to the store
/// has failed.
#[test]
fn follower_leaves_readers_after_store_contact_timeout() {
    let fleet = fleet();
    let _readers = [start_reader(&fleet, 0), start_reader(&fleet, 1)];
    let follower = start(&fleet, 5);
    follower.wait_until_ready();
    assert_eq!(
        follower.reader_modes(),
        [],
        "a follower must not read the store"
    );
    wait_until(|| follower.reader_mode() == Some(ReaderMode::On));
}

/// Accepts the handshake of a follower, with another status or one more line in the head of the answer.
fn accept_oddly(mut stream: TcpStream, status: &str, line: &str) {
    let head = read_head(&mut stream).expect("a handshake");
    let key = field(&head, "sec-websocket-key").expect("a key");
    let accept = derive_accept_key(key.as_bytes());
    let answer = format!(
        "HTTP/1.1 {status} Switching Protocols\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
         sec-websocket-accept: {accept}\r\n{line}\r\n"
    );
    // The follower may close the connection at once.
    let _ = stream.write_all(answer.as_bytes());
    let _ = stream.read(&mut [0]);
}

/// A node reads the store itself if the readers answer its handshake with an odd head.
#[rstest]
#[case::status("000", "")]
#[case::blank("101", "x odd: 1\r\n")]
#[case::blank_before("101", " x-odd: 1\r\n")]
#[case::blank_after("101", "x-odd : 1\r\n")]
#[case::control("101", "x\u{1}odd: 1\r\n")]
#[case::line_feed("101", "\nx-odd: 1\r\n")]
#[case::carriage_return("101", "\rx-odd: 1\r\n")]
fn follower_leaves_readers_with_odd_handshake(
    #[case] status: &'static str,
    #[case] line: &'static str,
) {
    let fleet = fleet();
    for addr in &fleet[..4] {
        let listener = TcpListener::bind(addr).expect("a free port");
        thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a connection");
                thread::spawn(move || accept_oddly(stream, status, line));
            }
        });
    }
    let follower = start(&fleet, 5);
    wait_until(|| follower.reader_mode() == Some(ReaderMode::On));
    follower.send_updates(initial_updates);
    follower.wait_until_ready();
}

/// A node reads the store itself if the readers accept connections but stay silent, close them at once, or send
/// invalid frames.
#[rstest]
#[case::silent(&[], false)]
#[case::closing(&[], true)]
#[case::garbled(b"HTTP/1.1 200 OK\r\n\r\n", true)]
fn follower_reads_the_store_if_no_reader_answers(
    #[case] bytes: &'static [u8],
    #[case] closes: bool,
) {
    let fleet = fleet();
    for addr in &fleet[..4] {
        let listener = TcpListener::bind(addr).expect("a free port");
        thread::spawn(move || {
            let mut open_connections = Vec::new();
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let mut first = [0];
                stream.read_exact(&mut first).expect("a request");
                stream.write_all(bytes).expect("an open connection");
                if !closes {
                    open_connections.push(stream);
                }
            }
        });
    }
    let follower = start(&fleet, 5);
    wait_until(|| follower.reader_mode() == Some(ReaderMode::On));
    follower.send_updates(initial_updates);
    follower.wait_until_ready();
}

/// A reader that cannot reach the store learns of a new configuration from a reader that can.
#[test]
fn reader_that_lost_the_store_follows_another_reader() {
    let fleet = fleet();
    let isolated = start_reader(&fleet, 0);
    let healthy = start_reader(&fleet, 1);
    isolated.send_updates(|| vec![Update::StoreReachable(false)]);
    healthy.send_updates(|| vec![Update::Config(Rc::new(config_of_version(2, "/s/")))]);
    for _ in 0..MAX_POLLS {
        healthy.send_updates(|| vec![Update::StoreReachable(true)]);
        if status(&isolated, "/s/x") == "HTTP/1.1 503" {
            assert_eq!(
                isolated.reader_mode(),
                Some(ReaderMode::On),
                "the node must keep trying the store"
            );
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the node does not receive the new configuration");
}

/// First byte of the frame that closes a WebSocket connection.
const CLOSE_FRAME: u8 = 0x88;

/// Connects to a node as a follower, and returns whether the node closes the connection.
fn is_turned_away(node: &Gateway) -> bool {
    let mut stream = TcpStream::connect(node.updates).expect("a node");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("a socket option");
    let handshake = "GET /updates HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
                     sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    stream
        .write_all(handshake.as_bytes())
        .expect("an open connection");
    read_head(&mut stream).expect("an answer");
    // A node that takes the follower sends nothing until it has reached the store.
    let mut first = [0];
    let read = stream.read(&mut first);
    matches!(read, Ok(0)) || (read.is_ok() && first[0] == CLOSE_FRAME)
}

/// Guards against a reader that keeps nodes waiting although it has lost the store (CONFIG): by the calls that failed, or
/// by the time since the last answer.
#[rstest]
#[case::calls_failed(true)]
#[case::no_answer_for_long(false)]
fn reader_that_lost_the_store_turns_followers_away(#[case] is_reported: bool) {
    let fleet = fleet();
    let reader = start_reader(&fleet, 0);
    if is_reported {
        reader.send_updates(|| vec![Update::StoreReachable(false)]);
    } else {
        thread::sleep(Duration::from_secs(3));
    }
    wait_until(|| is_turned_away(&reader));
}

/// A reader that has not reached the store yet keeps its first followers: all nodes start at the same time.
#[test]
fn reader_that_starts_keeps_followers() {
    let fleet = fleet();
    let reader = start(&fleet, 0);
    wait_until(|| reader.reader_mode() == Some(ReaderMode::On));
    assert!(!is_turned_away(&reader));
}

/// Returns a number in the state dump of a node.
fn dumped(node: &Gateway, name: &str) -> Option<u64> {
    let answer = exchange(
        node.admin,
        "GET /state HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
    );
    let (_, rest) = answer.split_once(&format!("\"{name}\":"))?;
    let digits = rest.chars().take_while(char::is_ascii_digit);
    digits.collect::<String>().parse().ok()
}

/// Returns the configuration as it was read in an era of the store.
fn config_in_era(era: u64) -> Update {
    let mut config = config_of_version(1, "/r/");
    config.listed = Revision::new(era, 7);
    Update::Config(Rc::new(config))
}

/// Guards against followers that take no notice of a return of the store (FAILBACK, missed moves): they are told by the
/// node that they follow, also if the store holds an older configuration or the same one, and once by each return.
#[test]
fn follower_learns_that_the_store_was_restored() {
    let fleet = fleet();
    let readers = [start_reader(&fleet, 0), start_reader(&fleet, 1)];
    let follower = start(&fleet, 5);
    for reader in &readers {
        reader.send_updates(|| vec![config_in_era(4)]);
    }
    follower.wait_until_ready();
    wait_until(|| dumped(&follower, "store_era") == Some(4));
    assert_eq!(follower.registrations(), 0);
    for (era, count) in [(5, 1), (6, 2)] {
        for reader in &readers {
            reader.send_updates(move || vec![Update::StoreRestored(era), config_in_era(era)]);
        }
        let nodes = readers.iter().chain([&follower]);
        for node in nodes {
            wait_until(|| node.registrations() == count);
            assert_eq!(dumped(node, "store_era"), Some(era));
        }
    }
    thread::sleep(Duration::from_millis(300));
    assert_eq!(follower.registrations(), 2);
}

/// A node that follows another one, and finds the store restored before that one does, registers again as well.
#[test]
fn follower_that_finds_the_store_restored_registers_again() {
    let fleet = fleet();
    let readers = [start_reader(&fleet, 0), start_reader(&fleet, 1)];
    for reader in &readers {
        reader.send_updates(|| vec![config_in_era(4)]);
    }
    let follower = start(&fleet, 5);
    follower.wait_until_ready();
    wait_until(|| dumped(&follower, "store_era") == Some(4));
    follower.send_updates(|| vec![Update::StoreRestored(5)]);
    wait_until(|| follower.registrations() == 1);
    assert!(readers.iter().all(|reader| reader.registrations() == 0));
    // What its source says later of the era before changes nothing.
    readers[0].send_updates(|| vec![config_in_era(4)]);
    readers[1].send_updates(|| vec![config_in_era(4)]);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(dumped(&follower, "store_era"), Some(5));
}

/// Guards against nodes that take the share of others whose entries the store has lost (FAILBACK): they count all nodes
/// that were ever listed, whether they read the store or follow another node.
#[test]
fn nodes_whose_entries_were_lost_are_counted() {
    let fleet = fleet();
    let readers = [start_reader(&fleet, 0), start_reader(&fleet, 1)];
    let follower = start(&fleet, 5);
    follower.wait_until_ready();
    let nodes = || readers.iter().chain([&follower]);
    for reader in &readers {
        let rest = fleet[..2].to_vec();
        reader.send_updates(move || vec![Update::Peers(peers(&rest))]);
    }
    thread::sleep(Duration::from_millis(300));
    for node in nodes() {
        assert_eq!(dumped(node, "nodes"), Some(NODES as u64));
    }
    // A node that is new is counted, too.
    let more: Vec<SocketAddr> = (0..2).map(|_| free_addr()).collect();
    for reader in &readers {
        let more = more.clone();
        reader.send_updates(move || vec![Update::Peers(peers(&more))]);
    }
    for node in nodes() {
        wait_until(|| dumped(node, "nodes") == Some(NODES as u64 + 2));
    }
}
