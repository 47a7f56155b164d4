//! Answers without end, and the checks that a node bears them.

use std::time::{Duration, Instant};

use monsoondeal_edge::Repeat;
use standin::endless::{EndlessResponse, EndlessServer, Transfer, max_kernel_buffers};

use super::{Gateway, Leaf, answer_well, field};

/// Largest answer of a leaf with its head, as documented, in bytes.
pub const ANSWER_BYTES: usize = 1024 * 1024;
/// Body of a large answer that is within the limit, in bytes.
pub const LARGE_BYTES: usize = 900 * 1024;
/// Timeout of the route.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a loaded machine to close a connection.
pub const GRACE: Duration = Duration::from_secs(3);

pub fn nothing(_head: &str) -> String {
    String::new()
}

pub fn status_line(_head: &str) -> String {
    "HTTP/1.1 200 OK\r\n".to_owned()
}

pub fn open_field(head: &str) -> String {
    status_line(head) + "x-long: "
}

/// A good head with further fields, before the body.
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

pub fn whole(head: &str) -> String {
    head_with(head, "content-length: 4\r\n") + "good"
}

pub const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n";
pub const CHUNK: &str = "4\r\nmore\r\n";

pub fn assert_closed(transfers: &[Transfer]) {
    assert!(!transfers.is_empty(), "the case was not met");
    for transfer in transfers {
        assert!(
            transfer.bytes <= ANSWER_BYTES + max_kernel_buffers(),
            "{transfer:?}"
        );
        assert!(transfer.duration <= ROUTE_TIMEOUT + GRACE, "{transfer:?}");
    }
}

/// Checks that a request that may be repeated is served by another leaf, and the endless answer is cut.
pub fn check_idempotent(endless: EndlessResponse) {
    let (bad, well) = (EndlessServer::start(endless), Leaf::start(answer_well));
    let gateway = Gateway::with_addrs(Repeat::Idempotent, vec![bad.addr, well.addr]);
    for at in 0..20 {
        let asked = Instant::now();
        let response = gateway.request(&format!("id-{at}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("good"), "{response}");
        assert!(asked.elapsed() < ROUTE_TIMEOUT + GRACE);
        if bad.arrivals() > 0 {
            break;
        }
    }
    assert_closed(&bad.wait_until_closed());
}

/// Checks that a request that may run once fails honestly, and that no second leaf is asked.
pub fn check_at_most_once(endless: EndlessResponse) {
    let (first, second) = (EndlessServer::start(endless), EndlessServer::start(endless));
    let gateway = Gateway::with_addrs(Repeat::AtMostOnce, vec![first.addr, second.addr]);
    let asked = Instant::now();
    let response = gateway.request("id");
    let is_honest = ["HTTP/1.1 502", "HTTP/1.1 504"];
    let is_honest = is_honest.iter().any(|status| response.starts_with(status));
    assert!(is_honest, "{response}");
    assert!(asked.elapsed() < ROUTE_TIMEOUT + GRACE);
    assert_eq!(first.arrivals() + second.arrivals(), 1);
    let transfers = [first.wait_until_closed(), second.wait_until_closed()].concat();
    assert_closed(&transfers);
}
