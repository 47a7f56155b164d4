//! Queries split between nodes whose configurations differ for a moment, over real sockets.

mod common;

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread::sleep;
use std::time::Duration;

use common::{
    Gateway, Leaf, exchange, field, free_addr, leaf_entry, request_text, vm_name, wait_until, write,
};
use monsoondeal_edge::{Config, Gather, Limits, Name, Peer, Repeat, Route, Service, Target};
use monsoondeal_gateway::Update;
use rstest::rstest;

/// Number of shards, all of which belong to one segment.
const SHARDS: usize = 4;
/// Number of records in the answer of a shard's leaf.
const PART_RECORDS: usize = 3;
/// Number of records that the outer route asks for.
const OUTER_RECORDS: usize = 8;
/// Number of records that the inner route asks for.
const INNER_RECORDS: usize = 2;
/// Number of queries of a test.
const QUERIES: usize = 12;

/// Answers the query with the shard's records.
fn serve_shard<const SHARD: usize>(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    let body: String = shard_records(SHARD).concat();
    let length = body.len();
    write(
        stream,
        &format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s{SHARD}-{id}\r\ncontent-length: {length}\r\n\r\n{body}"
        ),
    );
}

/// Runs an order.
fn serve_order(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: order-{id}\r\ncontent-length: 5\r\n\r\norder"
        ),
    );
}

/// Returns the records of a shard, each of 16 bytes.
fn shard_records(shard: usize) -> Vec<String> {
    let record = |index| format!("{:016}", index * SHARDS + shard);
    (0..PART_RECORDS).map(record).collect()
}

/// Returns the greatest `count` records of all shards.
fn greatest(count: usize) -> String {
    let mut records: Vec<String> = (0..SHARDS).flat_map(shard_records).collect();
    records.sort();
    records.into_iter().rev().take(count).collect()
}

fn shard_names() -> Vec<Name> {
    let names = (0..SHARDS).map(|shard| Name::from(format!("shard-{shard}")));
    names.collect()
}

fn route(prefix: &str, target: Target, repeat: Repeat) -> Route {
    Route {
        name: Name::from(prefix),
        host: "h.example".to_owned(),
        prefix: prefix.to_owned(),
        target,
        repeat,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(800),
        attempts: 2,
        priority: 0,
    }
}

fn query(prefix: &str, shards: Vec<Name>, top_k: usize) -> Route {
    let gather = Gather {
        top_k,
        min_coverage: 0.5,
    };
    route(prefix, Target::FanOut(shards, gather), Repeat::Idempotent)
}

/// What serves the path `/r/in/x`.
#[derive(Clone, Copy, Debug)]
enum Inner {
    /// The outer route `/r/`, a query.
    Outer,
    /// A route of its own: a query that asks for this many records.
    Query(usize),
    /// A route of its own: a query to the shards in reverse order.
    Reversed,
    /// The outer route, which is an order here.
    OuterOrder,
    /// A route of its own: a service whose requests may be repeated.
    Service,
    /// A route of its own: orders, split between two services.
    Split,
    /// No route at all.
    Nothing,
}

impl Inner {
    fn routes(self) -> Vec<Route> {
        let ledger = || Name::from("ledger");
        let order = |prefix| route(prefix, Target::Service(ledger()), Repeat::AtMostOnce);
        let outer = query("/r/", shard_names(), OUTER_RECORDS);
        let inner = match self {
            Self::Nothing => return vec![query("/q/", shard_names(), OUTER_RECORDS)],
            Self::Outer => return vec![outer],
            Self::OuterOrder => return vec![order("/r/")],
            Self::Query(top_k) => query("/r/in/", shard_names(), top_k),
            Self::Reversed => {
                let shards = shard_names().into_iter().rev().collect();
                query("/r/in/", shards, OUTER_RECORDS)
            }
            Self::Service => route("/r/in/", Target::Service(ledger()), Repeat::Idempotent),
            Self::Split => {
                let parts = vec![(ledger(), 1.0)];
                route("/r/in/", Target::Split(parts), Repeat::AtMostOnce)
            }
        };
        vec![outer, inner]
    }

    fn config(self, version: u64) -> Config {
        // Leafs accept fewer connections than there are nodes, so that queries are split.
        let service = Service {
            connections: 1,
            cold_rate: None,
            warmup: Duration::ZERO,
            check_path: None,
        };
        let names = shard_names().into_iter().chain([Name::from("ledger")]);
        let services: HashMap<Name, Service> = names.map(|name| (name, service.clone())).collect();
        Config::new(version, self.routes(), services, Limits::default())
    }
}

/// Two nodes, one leaf for each shard, and one for orders.
struct Fleet {
    nodes: Vec<Gateway>,
    orders: Leaf,
}

impl Fleet {
    /// Starts a fleet of which each node has a configuration of its own.
    fn start(configs: [(u64, Inner); 2]) -> Self {
        let leafs = [
            Leaf::start(serve_shard::<0>),
            Leaf::start(serve_shard::<1>),
            Leaf::start(serve_shard::<2>),
            Leaf::start(serve_shard::<3>),
        ];
        let orders = Leaf::start(serve_order);
        let mut entries: Vec<(String, SocketAddr)> = Vec::new();
        for (leaf, shard) in leafs.iter().zip(shard_names()) {
            entries.push((shard.to_string(), leaf.addr));
        }
        entries.push(("ledger".to_owned(), orders.addr));
        let nodes: Vec<Gateway> = configs
            .into_iter()
            .map(|(version, inner)| start_node(version, inner, entries.clone()))
            .collect();
        // All segments are asked of the second node.
        let asked = nodes[1].peers;
        let addrs: Vec<(SocketAddr, SocketAddr)> =
            nodes.iter().map(|node| (asked, node.updates)).collect();
        for node in &nodes {
            let addrs = addrs.clone();
            node.send_updates(move || vec![Update::Peers(addrs.iter().map(peer).collect())]);
            wait_until(|| state(node).contains("\"nodes\":2"));
        }
        Self { nodes, orders }
    }
}

fn start_node(version: u64, inner: Inner, leafs: Vec<(String, SocketAddr)>) -> Gateway {
    let node = Gateway::start_at(free_addr(), move || {
        let entries = leafs
            .iter()
            .map(|(service, addr)| leaf_entry(&format!("leaf-of-{service}"), service, *addr));
        vec![
            Update::Leafs(entries.collect()),
            Update::ClosedDomains(HashSet::new()),
            Update::Moves(Vec::new()),
            Update::Config(Rc::new(inner.config(version))),
        ]
    });
    node.wait_until_ready();
    node
}

fn peer((peers, updates): &(SocketAddr, SocketAddr)) -> Peer {
    Peer {
        name: Name::from(vm_name(*updates)),
        domain: Name::from("a"),
        addr: *peers,
        updates: *updates,
        cores: 1.0,
    }
}

fn state(node: &Gateway) -> String {
    exchange(
        node.admin,
        "GET /state HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
    )
}

/// Returns the body of a response.
fn body(response: &str) -> &str {
    response.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// Guards against answers merged, or orders run, under another version: a query whose segment is asked of a node with
/// another configuration is answered as the asking node's version says if the asked one has the same query in force,
/// and rejected otherwise, whichever of the two is behind.
#[rstest]
#[case::route_added(Inner::Outer, Inner::Query(INNER_RECORDS), Some(OUTER_RECORDS))]
#[case::route_added_here(Inner::Query(INNER_RECORDS), Inner::Outer, None)]
#[case::records_changed(Inner::Query(INNER_RECORDS), Inner::Query(5), None)]
#[case::shards_changed(Inner::Reversed, Inner::Query(OUTER_RECORDS), None)]
#[case::removed_below_an_order(Inner::Query(INNER_RECORDS), Inner::OuterOrder, None)]
#[case::changed_to_a_service(Inner::Query(INNER_RECORDS), Inner::Service, None)]
#[case::changed_to_a_split(Inner::Query(INNER_RECORDS), Inner::Split, None)]
#[case::removed(Inner::Outer, Inner::Nothing, None)]
#[case::unchanged(
    Inner::Query(INNER_RECORDS),
    Inner::Query(INNER_RECORDS),
    Some(INNER_RECORDS)
)]
fn segment_is_run_as_its_query_says(
    #[case] asking: Inner,
    #[case] asked: Inner,
    #[case] records: Option<usize>,
    #[values(true, false)] is_asking_behind: bool,
) {
    let versions = if is_asking_behind { [7, 8] } else { [8, 7] };
    let fleet = Fleet::start([(versions[0], asking), (versions[1], asked)]);
    for at in 0..QUERIES {
        let response = fleet.nodes[0].request_path(&format!("id-{at}"), "/r/in/x");
        match records {
            Some(records) => {
                assert!(response.starts_with("HTTP/1.1 200"), "{response}");
                assert_eq!(body(&response), greatest(records), "{response}");
            }
            None => assert!(response.starts_with("HTTP/1.1 503"), "{response}"),
        }
    }
    assert_eq!(fleet.orders.arrivals(), 0, "a segment was run as an order");
}

/// Guards against guessing at segment calls of other versions of the program: a node runs nothing for a call that
/// does not name a plan, and states so.
#[rstest]
#[case::older_form("x-segment: 0/1/0/100000\r\n")]
#[case::plain_request("")]
#[case::unreadable_call("x-segment-call: 3/what\r\n")]
#[case::unknown_plan("x-segment-call: 2/1f/7/0/1/100000/5\r\nx-segment-host: h.example\r\n")]
fn segment_call_without_a_known_plan_is_refused(#[case] fields: &str) {
    let fleet = Fleet::start([(7, Inner::OuterOrder), (7, Inner::OuterOrder)]);
    let text = request_text("id", "/r/in/x", &format!("connection: close\r\n{fields}"));
    let response = exchange(fleet.nodes[0].peers, &text);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(field(&response, "x-not-run").is_some(), "{response}");
    sleep(Duration::from_millis(50));
    assert_eq!(
        fleet.orders.arrivals(),
        0,
        "the call was taken for an order"
    );
}

/// Answers as an older version of the program does: it routes the request by host and path, and finds no route for
/// the host. Panics in its thread, without an answer, if it would find one.
fn answer_as_an_older_version(stream: &mut TcpStream, head: &str) {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let host = field(head, "host").unwrap_or_default();
    let config = Inner::OuterOrder.config(7);
    assert!(config.route("h.example", path).is_some());
    assert!(
        config.route(host, path).is_none(),
        "{head} is run as an order"
    );
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!(
            "HTTP/1.1 404 Not Found\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
        ),
    );
}

/// Guards against a segment call that an older version of the program runs as something else, in a rolling restart:
/// it finds no route for the call, and the query is asked of another node.
#[test]
fn segment_call_has_no_route_in_an_older_version() {
    let older = Leaf::start(answer_as_an_older_version);
    let fleet = Fleet::start([(7, Inner::Outer), (7, Inner::Outer)]);
    let asking = &fleet.nodes[0];
    let addrs = [
        (older.addr, asking.updates),
        (fleet.nodes[1].peers, fleet.nodes[1].updates),
    ];
    asking.send_updates(move || vec![Update::Peers(addrs.iter().map(peer).collect())]);
    wait_until(|| {
        let response = asking.request_path("id", "/r/x");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!(body(&response), greatest(OUTER_RECORDS), "{response}");
        older.arrivals() > 0
    });
}
