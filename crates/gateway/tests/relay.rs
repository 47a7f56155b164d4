//! Nodes that take their updates from another node over real sockets.

mod common;

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use common::{Gateway, config_of_version, free_addr, vm_name, wait_until};
use monsoondeal_edge::{Name, Peer};
use monsoondeal_gateway::{ReaderMode, Update};
use rstest::rstest;

/// Nodes of the domain under test.
const NODES: usize = 6;
/// Looks at whether a node has come to a state, a tenth of a second apart. How soon it must is tested in
/// virtual time.
const MAX_POLLS: usize = 250;

/// A fleet in one failure domain. The first nodes are larger, so that they read the store.
fn fleet() -> Vec<SocketAddr> {
    (0..NODES).map(|_| free_addr()).collect()
}

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

/// What a reader learns of the store at first.
fn initial_updates() -> Vec<Update> {
    vec![
        Update::Leafs(Vec::new()),
        Update::ClosedDomains(HashSet::new()),
        Update::Moves(Vec::new()),
        Update::Config(Rc::new(config_of_version(1, "/r/"))),
    ]
}

/// Starts a node of the fleet that knows the other ones.
fn start(fleet: &[SocketAddr], at: usize) -> Gateway {
    let all = fleet.to_vec();
    Gateway::start_at(fleet[at], move || vec![Update::Peers(peers(&all))])
}

/// Starts a node that reads the store and has its signs of life.
fn start_reader(fleet: &[SocketAddr], at: usize) -> Gateway {
    let node = start(fleet, at);
    wait_until(|| node.reader_mode() == Some(ReaderMode::On));
    node.send_updates(initial_updates);
    node.send_updates(|| vec![Update::StoreReachable(true)]);
    node.wait_until_ready();
    node
}

/// Lets a reader have a sign of life of the store, and read it anew.
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
    assert_eq!(follower.reader_modes(), [], "it leaves the store alone");

    // Changes follow: the new route is known, the old one is not.
    for node in [&reader, &second] {
        node.send_updates(|| vec![Update::Config(Rc::new(config_of_version(2, "/s/")))]);
    }
    wait_until(|| status(&follower, "/s/x") == "HTTP/1.1 503");
    assert_eq!(status(&follower, "/r/x"), "HTTP/1.1 404");
}

/// A reader that the store has lost, or that has lost the store, is not relied on.
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
    assert!(follower.is_ready(), "it serves on with what it knows");

    // It returns to a reader once one can be relied on again.
    for _ in 0..MAX_POLLS {
        readers.iter().for_each(reconnect_store);
        if follower.reader_mode() == Some(ReaderMode::Off) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!(
        "the node does not return to a reader: {:?}",
        follower.reader_modes()
    );
}

/// A reader that hears of the store each second keeps its followers.
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
    assert_eq!(follower.reader_modes(), [], "it leaves the store alone");
}

/// A reader that hears nothing of the store for some seconds is not relied on, though no call has failed.
#[test]
fn follower_leaves_readers_after_store_contact_timeout() {
    let fleet = fleet();
    let _readers = [start_reader(&fleet, 0), start_reader(&fleet, 1)];
    let follower = start(&fleet, 5);
    follower.wait_until_ready();
    assert_eq!(follower.reader_modes(), [], "it leaves the store alone");
    wait_until(|| follower.reader_mode() == Some(ReaderMode::On));
}

/// Nodes that accept connections and are silent, close them at once, or send what is no frame.
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
                "it goes on trying the store"
            );
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the node does not learn of the configuration");
}
