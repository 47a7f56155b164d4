//! Answers without end, and checks that a node cuts them off.

use std::time::{Duration, Instant};

use monsoondeal_edge::Repeat;
use standin::endless::{EndlessResponse, EndlessServer, Transfer, max_kernel_buffers};

use super::{Gateway, Leaf, answer_correctly, field};

/// Largest answer of a leaf with its head, as documented, in bytes.
pub const ANSWER_BYTES: usize = 1024 * 1024;
/// Size of the body of a large answer within the limit, in bytes.
pub const LARGE_BYTES: usize = 900 * 1024;
/// Timeout of the route.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Extra time for a loaded machine to close a connection.
pub const GRACE: Duration = Duration::from_secs(3);

pub fn empty(_head: &str) -> String {
    String::new()
}

pub fn status_line(_head: &str) -> String {
    "HTTP/1.1 200 OK\r\n".to_owned()
}

pub fn open_field(head: &str) -> String {
    status_line(head) + "x-long: "
}

/// Returns a valid head with further fields.
pub fn head_with(head: &str, fields: &str) -> String {
    let id = field(head, "x-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\n{fields}\r\n")
}

pub fn without_length(head: &str) -> String {
    head_with(head, "connection: close\r\n")
}

pub fn huge_length(head: &str) -> String {
    head_with(head, "content-length: 9000000000000000000\r\n")
}

pub fn chunked(head: &str) -> String {
    head_with(head, "transfer-encoding: chunked\r\n")
}

pub fn chunk_extension(head: &str) -> String {
    chunked(head) + "4;x="
}

pub fn trailers(head: &str) -> String {
    chunked(head) + "4\r\ngood\r\n0\r\n"
}

pub fn whole_answer(head: &str) -> String {
    head_with(head, "content-length: 4\r\n") + "good"
}

pub const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n";
pub const CHUNK: &str = "4\r\nmore\r\n";

pub fn assert_closed(transfers: &[Transfer]) {
    assert!(!transfers.is_empty(), "no endless answer was requested");
    for transfer in transfers {
        assert!(
            transfer.bytes <= ANSWER_BYTES + max_kernel_buffers(),
            "{transfer:?}"
        );
        assert!(transfer.duration <= ROUTE_TIMEOUT + GRACE, "{transfer:?}");
    }
}

/// Checks that an idempotent request is served by another leaf, and that the endless answer is cut off.
pub fn check_idempotent(endless: EndlessResponse) {
    let (bad, healthy) = (EndlessServer::start(endless), Leaf::start(answer_correctly));
    let gateway = Gateway::with_addrs(Repeat::Idempotent, vec![bad.addr, healthy.addr]);
    for at in 0..20 {
        let started = Instant::now();
        let response = gateway.request(&format!("id-{at}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("good"), "{response}");
        assert!(started.elapsed() < ROUTE_TIMEOUT + GRACE);
        if bad.arrivals() > 0 {
            break;
        }
    }
    assert_closed(&bad.wait_until_closed());
}

/// Checks that an at-most-once request fails with status 502 or 504, and that no second leaf is called.
pub fn check_at_most_once(endless: EndlessResponse) {
    let (first, second) = (EndlessServer::start(endless), EndlessServer::start(endless));
    let gateway = Gateway::with_addrs(Repeat::AtMostOnce, vec![first.addr, second.addr]);
    let started = Instant::now();
    let response = gateway.request("id");
    let statuses = ["HTTP/1.1 502", "HTTP/1.1 504"];
    let is_failure = statuses.iter().any(|status| response.starts_with(status));
    assert!(is_failure, "{response}");
    assert!(started.elapsed() < ROUTE_TIMEOUT + GRACE);
    assert_eq!(first.arrivals() + second.arrivals(), 1);
    let transfers = [first.wait_until_closed(), second.wait_until_closed()].concat();
    assert_closed(&transfers);
}
