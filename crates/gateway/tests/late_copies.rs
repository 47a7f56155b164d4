//! Leafs that send a second copy of an answer, late: where the next answer on the connection is expected.

mod common;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use common::{Gateway, field, read_head, write};
use monsoondeal_edge::Repeat;
use rstest::rstest;

/// Number of requests of a test.
const REQUESTS: usize = 12;

/// Of which answers a leaf sends a second copy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Copied {
    /// Refusals of requests.
    Refusals,
    /// Answers to requests that it ran.
    Answers,
    /// Answers to identity checks, which it refuses while it gives its name.
    Checks,
}

/// How a leaf behaves.
#[derive(Clone, Copy, Debug)]
struct Script {
    copied: Copied,
    /// Whether answers repeat the identity of the request.
    is_named: bool,
    /// How often a leaf refuses each request before it runs it.
    refusals: usize,
}

/// What a request met at all leafs.
#[derive(Default)]
struct Record {
    runs: HashMap<String, usize>,
    refusals: HashMap<(SocketAddr, String), usize>,
    copies: usize,
}

/// Leafs with one script, and what they did.
struct Leafs {
    addrs: Vec<SocketAddr>,
    record: Arc<Mutex<Record>>,
}

impl Leafs {
    fn start(count: usize, script: Script) -> Self {
        let record: Arc<Mutex<Record>> = Arc::default();
        let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
        let listeners: Vec<TcpListener> = listeners.collect();
        let addrs = listeners
            .iter()
            .map(|l| l.local_addr().expect("an address"));
        let addrs: Vec<SocketAddr> = addrs.collect();
        for (listener, addr) in listeners.into_iter().zip(addrs.clone()) {
            let record = record.clone();
            thread::spawn(move || {
                for stream in listener.incoming() {
                    let (stream, record) = (stream.expect("a connection"), record.clone());
                    thread::spawn(move || serve(stream, addr, script, &record));
                }
            });
        }
        Self { addrs, record }
    }

    /// Returns how often a request ran.
    fn runs(&self, id: &str) -> usize {
        let record = self.record.lock().expect("no panic while locked");
        record.runs.get(id).copied().unwrap_or(0)
    }

    fn copies(&self) -> usize {
        self.record.lock().expect("no panic while locked").copies
    }
}

fn serve(mut stream: TcpStream, addr: SocketAddr, script: Script, record: &Mutex<Record>) {
    let mut late: Option<String> = None;
    while let Some(head) = read_head(&mut stream) {
        if let Some(copy) = late.take() {
            record.lock().expect("no panic while locked").copies += 1;
            write(&mut stream, &copy);
        }
        let (answer, kind) = answer(&head, addr, script, record);
        write(&mut stream, &answer);
        late = (kind == script.copied).then_some(answer);
    }
}

/// Returns the answer to a request, and what it is.
fn answer(
    head: &str,
    addr: SocketAddr,
    script: Script,
    record: &Mutex<Record>,
) -> (String, Copied) {
    let id = field(head, "x-id").unwrap_or_default().to_owned();
    if head.starts_with("GET /health ") {
        let name = field(head, "x-instance").unwrap_or_default();
        let answer = match script.copied {
            Copied::Checks => format!(
                "HTTP/1.1 503 Busy\r\nx-leaf: {name}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            ),
            _ => format!("HTTP/1.1 200 OK\r\nx-leaf: {name}\r\ncontent-length: 0\r\n\r\n"),
        };
        return (answer, Copied::Checks);
    }
    let echo = if script.is_named {
        format!("x-id: {id}\r\n")
    } else {
        String::new()
    };
    let mut record = record.lock().expect("no panic while locked");
    let refusals = record.refusals.entry((addr, id.clone())).or_default();
    if *refusals < script.refusals {
        *refusals += 1;
        let answer =
            format!("HTTP/1.1 503 Busy\r\n{echo}x-not-run: 1\r\ncontent-length: 0\r\n\r\n");
        return (answer, Copied::Refusals);
    }
    *record.runs.entry(id.clone()).or_default() += 1;
    let length = id.len();
    let answer =
        format!("HTTP/1.1 200 OK\r\n{echo}x-stamp: s-{id}\r\ncontent-length: {length}\r\n\r\n{id}");
    (answer, Copied::Answers)
}

/// Guards against a copy of an earlier refusal that is taken for the answer to the next call: of the same request, if
/// it bears its identity, or of any other one, if it bears none. Orders then run twice, or are rejected after a run.
#[rstest]
fn copy_of_a_refusal_is_no_answer_to_another_call(
    #[values(true, false)] is_named: bool,
    #[values(true, false)] is_checked: bool,
    #[values(Repeat::AtMostOnce, Repeat::Idempotent)] repeat: Repeat,
    #[values(1, 2)] leaf_count: usize,
) {
    let script = Script {
        copied: Copied::Refusals,
        is_named,
        refusals: 1,
    };
    let leafs = Leafs::start(leaf_count, script);
    let gateway = if is_checked {
        Gateway::with_checked_addrs(repeat, leafs.addrs.clone())
    } else {
        Gateway::with_addrs(repeat, leafs.addrs.clone())
    };
    for at in 0..REQUESTS {
        let id = format!("id-{at}");
        let response = gateway.request(&id);
        let runs = leafs.runs(&id);
        // A copy that names another request leaves the outcome of a call open.
        let is_open = is_named && at > 0 && response.starts_with("HTTP/1.1 502");
        if !is_open {
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            assert!(response.ends_with(&id), "{response}");
        }
        let most = if is_named && repeat == Repeat::Idempotent {
            2
        } else {
            1
        };
        let least = usize::from(!is_open);
        assert!((least..=most).contains(&runs), "{id} ran {runs} times");
    }
}

/// Guards against a copy of an earlier answer that is taken for the answer to another request. A request that may
/// run once and whose answer is not known fails as possibly run; it does not run again and is not said not to have run.
#[rstest]
fn copy_of_an_answer_is_no_answer_to_another_request(
    #[values(true, false)] is_named: bool,
    #[values(Repeat::AtMostOnce, Repeat::Idempotent)] repeat: Repeat,
) {
    let script = Script {
        copied: Copied::Answers,
        is_named,
        refusals: 0,
    };
    let leafs = Leafs::start(2, script);
    let gateway = Gateway::with_addrs(repeat, leafs.addrs.clone());
    for at in 0..REQUESTS {
        let id = format!("id-{at}");
        let response = gateway.request(&id);
        if response.starts_with("HTTP/1.1 200") {
            assert!(response.ends_with(&id), "{response}");
        } else {
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        }
        let most = if repeat == Repeat::AtMostOnce { 1 } else { 2 };
        assert!(
            leafs.runs(&id) <= most,
            "{id} ran {} times",
            leafs.runs(&id)
        );
    }
    assert_eq!(leafs.copies() > 0, is_named, "copies sent");
}

/// Guards against a copy of the answer to an identity check that is taken for a refusal of the request that follows on
/// the connection.
#[test]
fn copy_of_a_refused_check_is_no_refusal_of_a_request() {
    let script = Script {
        copied: Copied::Checks,
        is_named: true,
        refusals: 0,
    };
    let leafs = Leafs::start(2, script);
    let gateway = Gateway::with_checked_addrs(Repeat::AtMostOnce, leafs.addrs.clone());
    for at in 0..REQUESTS {
        let id = format!("id-{at}");
        let response = gateway.request(&id);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with(&id), "{response}");
        assert_eq!(leafs.runs(&id), 1, "{id}");
    }
}
