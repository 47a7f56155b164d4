//! Leafs whose answers have a head that no HTTP server may send: an impossible status, or a name of a field with a blank
//! or a control byte. Such an answer belongs to no request.

mod common;

use std::collections::{HashMap, HashSet};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use common::{Gateway, Leaf, answer_correctly, field, leaf_entry, request_text, write};
use monsoondeal_edge::{Config, Gather, Limits, Name, Peer, Repeat, Route, Service, Target};
use monsoondeal_gateway::Update;
use rstest::rstest;

/// Names of fields in which an odd byte is put at each position. The HTTP library reads long names in blocks.
const NAMES: [&str; 3] = [
    "",
    "x-odd",
    "x-odd-name-of-a-field-longer-than-a-block-of-32-bytes",
];

/// Place of the odd line among the others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Line {
    /// After the status line.
    First,
    /// Before the line with the length of the body.
    BeforeLength,
    /// Before the end of the head.
    Last,
}

/// Stands for the identity of the request in the texts of answers.
const ID: &str = "{id}";

/// Returns the name with the byte at its start, inside and at its end.
fn odd_names(name: &str, byte: char) -> Vec<String> {
    let at = |position: usize| {
        let (before, after) = name.split_at(position);
        format!("{before}{byte}{after}")
    };
    let mut names = vec![at(0), at(name.len() / 2), at(name.len())];
    names.dedup();
    names
}

/// Returns a good answer with one more line in its head.
fn answer_with_line(line: Line, odd: &str) -> String {
    let odd = format!("{odd}\r\n");
    let place = |at: Line| if at == line { odd.as_str() } else { "" };
    format!(
        "HTTP/1.1 200 OK\r\n{}x-id: {ID}\r\nx-stamp: s\r\nx-leaf: leaf-0\r\n{}content-length: 4\r\n{}\r\ngood",
        place(Line::First),
        place(Line::BeforeLength),
        place(Line::Last)
    )
}

/// Sends an answer and ends the connection, which ends a body without a length.
fn send_last(stream: &mut TcpStream, head: &str, answer: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(stream, &answer.replace(ID, id));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Starts a leaf that answers the request with the identity `N` by the answer with this index.
fn start_leaf(answers: &[String]) -> Leaf {
    let answers = answers.to_vec();
    Leaf::start(move |stream: &mut TcpStream, head: &str| {
        let index: Option<usize> = field(head, "x-id").and_then(|id| id.parse().ok());
        send_last(stream, head, &answers[index.expect("an index")]);
    })
}

/// Checks that none of the answers reaches a caller, nor a part of one. The outcome of the request is unknown: it may
/// have run.
fn check_unusable(repeat: Repeat, answers: &[String]) {
    let leafs = [start_leaf(answers), start_leaf(answers)];
    let gateway = Gateway::with_leafs(repeat, &[&leafs[0], &leafs[1]]);
    for (index, answer) in answers.iter().enumerate() {
        let response = gateway.request(&index.to_string());
        assert!(
            response.starts_with("HTTP/1.1 502"),
            "{answer:?} gives {response:?}"
        );
        assert_eq!(
            field(&response, "x-stamp"),
            None,
            "{answer:?} gives {response:?}"
        );
    }
    // Each answer was sent, and no order twice.
    let calls = leafs[0].arrivals() + leafs[1].arrivals();
    let is_idempotent = repeat == Repeat::Idempotent;
    assert!(
        calls == answers.len() || is_idempotent && calls > answers.len(),
        "{calls} calls"
    );
}

/// No answer with an impossible status reaches a caller.
#[rstest]
fn answer_of_impossible_status_is_not_passed_on(
    #[values(Repeat::AtMostOnce, Repeat::Idempotent)] repeat: Repeat,
) {
    const STATUSES: [&str; 16] = [
        "000",
        "001",
        "099",
        "00",
        "0",
        "",
        "0200",
        "1000",
        "20",
        "2000",
        "-20",
        "+20",
        "2 0",
        "20x",
        "0x1",
        "\u{662}00",
    ];
    let lines = STATUSES
        .iter()
        .flat_map(|status| [" OK", " ", ""].map(|reason| format!("HTTP/1.1 {status}{reason}\r\n")));
    let answer = |line: String| {
        answer_with_line(Line::Last, "x-odd: 1").replace("HTTP/1.1 200 OK\r\n", &line)
    };
    let answers: Vec<String> = lines.map(answer).collect();
    check_unusable(repeat, &answers);
}

/// No answer reaches a caller if the name of a field holds a blank or a control byte.
#[rstest]
fn answer_with_impossible_field_name_is_not_passed_on(
    #[values(Repeat::AtMostOnce, Repeat::Idempotent)] repeat: Repeat,
    #[values(Line::First, Line::BeforeLength, Line::Last)] line: Line,
) {
    let bytes = ('\0'..=' ').chain(['\u{7f}']);
    let names = bytes.flat_map(|byte| NAMES.iter().flat_map(move |name| odd_names(name, byte)));
    let answers: Vec<String> = names
        .map(|name| answer_with_line(line, &format!("{name}: 1")))
        .collect();
    check_unusable(repeat, &answers);
}

/// A request that may be repeated is served by another leaf after an answer with an odd head.
#[rstest]
fn answer_with_odd_head_is_retried(#[values(0, 1, 2, 3, 4, 5, 6)] variant: usize) {
    let bad = Leaf::start(move |stream: &mut TcpStream, head: &str| {
        send_last(stream, head, &odd_answer(variant));
    });
    let healthy = Leaf::start(answer_correctly);
    let gateway = Gateway::with_leafs(Repeat::Idempotent, &[&bad, &healthy]);
    for at in 0..6 {
        let response = gateway.request(&format!("id-{at}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert!(response.ends_with("\r\n\r\ngood"), "{response:?}");
        assert!(!response.contains("odd"), "{response:?}");
    }
    assert!(bad.arrivals() >= 1, "no call reached the faulty leaf");
}

/// The answers of these tests are good ones but for the odd line.
#[test]
fn answer_with_another_line_is_passed_on() {
    for line in [Line::First, Line::BeforeLength, Line::Last] {
        let leaf = Leaf::start(move |stream: &mut TcpStream, head: &str| {
            send_last(stream, head, &answer_with_line(line, "x-even: 1"));
        });
        let gateway = Gateway::with_leafs(Repeat::AtMostOnce, &[&leaf]);
        let response = gateway.request("id");
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert_eq!(field(&response, "x-even"), Some("1"), "{response:?}");
        assert!(response.ends_with("good"), "{response:?}");
    }
}

/// Odd lines of the tests that follow: one for each way in which a parser may go on after it.
const ODD_LINES: [&str; 6] = [
    "x odd: 1",
    " x-odd: 1",
    "x-odd : 1",
    "x\u{1}odd: 1",
    "\nx-odd: 1",
    "\rx-odd: 1",
];

/// Returns an answer whose head is odd: its status in variant 0, a line of it in the others.
fn odd_answer(variant: usize) -> String {
    match variant.checked_sub(1) {
        None => answer_with_line(Line::Last, "x-odd: 1").replace("200 OK", "000 OK"),
        Some(at) => answer_with_line(Line::Last, ODD_LINES[at]),
    }
}

fn service(check_path: Option<Name>) -> Service {
    Service {
        connections: 1,
        cold_rate: None,
        warmup: Duration::ZERO,
        check_path,
    }
}

/// Returns a configuration with one query, `/r/`, over two shards.
fn query_config() -> Config {
    let shards = ["shard-0", "shard-1"].map(Name::from).to_vec();
    let gather = Gather {
        top_k: 4,
        min_coverage: 0.5,
    };
    let route = Route {
        name: Name::from("r"),
        host: "h.example".to_owned(),
        prefix: "/r/".to_owned(),
        target: Target::FanOut(shards.clone(), gather),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(800),
        attempts: 1,
        priority: 0,
    };
    let services: HashMap<Name, Service> = shards
        .into_iter()
        .map(|name| (name, service(None)))
        .collect();
    Config::new(1, [route], services, Limits::default())
}

/// Answers a query with one record.
fn answer_part(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: part\r\ncontent-length: 16\r\n\r\nrecord-of-16-byt"
        ),
    );
}

/// An answer with an odd head is no part of a query.
#[rstest]
fn answer_with_odd_head_is_no_part(#[values(0, 1, 2, 3, 4, 5, 6)] variant: usize) {
    let good = Leaf::start(answer_part);
    let bad = Leaf::start(move |stream: &mut TcpStream, head: &str| {
        send_last(stream, head, &odd_answer(variant));
    });
    let (good_addr, bad_addr) = (good.addr, bad.addr);
    let gateway = Gateway::start_with(move || {
        let entries = vec![
            leaf_entry("leaf-0", "shard-0", good_addr),
            leaf_entry("leaf-1", "shard-1", bad_addr),
        ];
        vec![
            Update::Leafs(entries),
            Update::ClosedDomains(HashSet::new()),
            Update::Moves(Vec::new()),
            Update::Config(Rc::new(query_config())),
        ]
    });
    gateway.wait_until_ready();
    let response = gateway.request("id");
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert_eq!(field(&response, "x-parts"), Some("part"), "{response:?}");
    assert_eq!(field(&response, "x-missing"), Some("1"), "{response:?}");
    assert!(
        response.ends_with("\r\n\r\nrecord-of-16-byt"),
        "{response:?}"
    );
    assert_eq!(bad.arrivals(), 1);
}

/// An answer with an odd head tells no identity: no request follows an identity check with such an answer.
#[rstest]
fn check_with_odd_head_tells_nothing(#[values(0, 1, 2, 3, 4, 5, 6)] variant: usize) {
    let bad = Leaf::start(move |stream: &mut TcpStream, head: &str| {
        assert!(head.starts_with("GET /health "), "{head}");
        send_last(stream, head, &odd_answer(variant));
    });
    let gateway = Gateway::with_checked_addrs(Repeat::AtMostOnce, vec![bad.addr]);
    let response = gateway.request("id");
    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    assert!(bad.arrivals() >= 1, "no check reached the leaf");
}

/// Sends a query whose segments other nodes answer with `answer`, and checks that nothing of that is passed on.
fn check_no_segment(answer: String) {
    let node = Leaf::start(move |stream: &mut TcpStream, head: &str| {
        let call = field(head, "x-segment-call").unwrap_or_default();
        let repeated =
            format!("x-parts: odd-0, odd-1\r\nx-segment-call: {call}\r\ncontent-length:");
        send_last(stream, head, &answer.replace("content-length:", &repeated));
    });
    let (shard, other) = (Leaf::start(answer_part), Leaf::start(answer_part));
    let (shard_addr, other_addr, node_addr) = (shard.addr, other.addr, node.addr);
    let gateway = Gateway::start_with(move || {
        let peers = ["vm-1", "vm-2"].map(|name| Peer {
            name: Name::from(name),
            domain: Name::from("a"),
            addr: node_addr,
            updates: node_addr,
            cores: 1.0,
        });
        let entries = vec![
            leaf_entry("leaf-0", "shard-0", shard_addr),
            leaf_entry("leaf-1", "shard-1", other_addr),
        ];
        vec![
            Update::Leafs(entries),
            Update::ClosedDomains(HashSet::new()),
            Update::Moves(Vec::new()),
            Update::Config(Rc::new(query_config())),
            Update::Peers(peers.to_vec()),
        ]
    });
    gateway.wait_until_ready();
    let response = common::exchange(
        gateway.front,
        &request_text("id", "/r/x", "connection: close\r\n"),
    );
    assert!(!response.contains("odd"), "{response:?}");
    assert!(node.arrivals() >= 1, "no call reached the node");
}

/// An answer of another node with an odd head is no segment of a query.
#[rstest]
fn answer_with_odd_head_is_no_segment(#[values(0, 1, 2, 3, 4, 5, 6)] variant: usize) {
    check_no_segment(odd_answer(variant));
}

/// An answer of another node with an impossible status, or with one that no node gives to a segment that it has served,
/// is no segment of a query.
#[rstest]
fn answer_of_another_status_is_no_segment(
    #[values(
        "000 OK", "000", "000 ", "099 OK", "00 OK", "0200 OK", "1000 OK", "20 OK", "20x OK", " OK",
        "201 OK", "206 OK", "299 OK", "304 OK", "500 OK", "600 OK", "999 OK"
    )]
    status: &str,
) {
    check_no_segment(answer_with_line(Line::Last, "x-odd: 1").replace("200 OK", status));
}
