//! What leafs say about themselves in their answers, over real sockets.

mod common;

use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use common::{
    Behaviour, Gateway, Leaf, answer_correctly, exchange, field, reset_on_close, wait_until, write,
};
use monsoondeal_edge::Repeat;
use rstest::rstest;

/// Number of requests at once after the leaf's notice: more than the other leaf accepts connections.
const REQUESTS: usize = 24;

/// Answers with a status and header fields besides the identity of the request.
fn answer_with(stream: &mut TcpStream, head: &str, status: u16, fields: &str, body: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    let length = body.len();
    write(
        stream,
        &format!(
            "HTTP/1.1 {status} Status\r\nx-id: {id}\r\n{fields}content-length: {length}\r\n\r\n{body}"
        ),
    );
}

fn leave_with_success(stream: &mut TcpStream, head: &str) {
    answer_with(stream, head, 200, "x-stamp: s\r\nx-leaving: 1\r\n", "good");
}

fn leave_with_failure(stream: &mut TcpStream, head: &str) {
    answer_with(stream, head, 500, "x-stamp: s\r\nx-leaving: 1\r\n", "bad");
}

fn leave_with_refusal(stream: &mut TcpStream, head: &str) {
    answer_with(stream, head, 503, "x-not-run: 1\r\nx-leaving: 1\r\n", "");
}

fn leave_with_a_cut_body(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\nx-leaving: 1\r\ncontent-length: 9\r\n\r\ncut"
        ),
    );
    sleep(Duration::from_millis(50));
    reset_on_close(stream);
    let _ = stream.shutdown(Shutdown::Read);
}

fn rest_with_refusal(stream: &mut TcpStream, head: &str) {
    answer_with(stream, head, 503, "x-not-run: 1\r\nretry-after: 30\r\n", "");
}

fn rest_with_own_failure(stream: &mut TcpStream, head: &str) {
    answer_with(stream, head, 503, "x-stamp: s\r\nretry-after: 30.5\r\n", "");
}

/// A leaf that said that it is leaving, or that it wants no calls for a time, gets no further ones; another leaf
/// serves the requests.
#[rstest]
#[case::success(leave_with_success)]
#[case::failure(leave_with_failure)]
#[case::refusal(leave_with_refusal)]
#[case::cut_body(leave_with_a_cut_body)]
#[case::rest_with_refusal(rest_with_refusal)]
#[case::rest_with_own_failure(rest_with_own_failure)]
fn leaf_wants_no_calls(#[case] behave: Behaviour) {
    let (quiet, other) = (Leaf::start(behave), Leaf::start(answer_slowly));
    let gateway = Gateway::with_leafs(Repeat::Idempotent, &[&quiet, &other]);
    let mut sent = 0;
    while quiet.arrivals() == 0 {
        gateway.request(&format!("before-{sent}"));
        sent += 1;
        assert!(sent < 100, "the leaf gets no calls");
    }
    wait_until(|| counts(&gateway).0 + counts(&gateway).1 > 0);
    let arrivals = quiet.arrivals();
    request_at_once(&gateway);
    assert_eq!(quiet.arrivals(), arrivals);
}

fn answer_slowly(stream: &mut TcpStream, head: &str) {
    sleep(Duration::from_millis(100));
    answer_correctly(stream, head);
}

/// Sends many requests at once, all of which must be served.
fn request_at_once(gateway: &Gateway) {
    std::thread::scope(|scope| {
        for at in 0..REQUESTS {
            scope.spawn(move || {
                let response = gateway.request(&format!("after-{at}"));
                assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            });
        }
    });
}

/// Returns how many leafs are leaving and how many breaks leafs have asked for, as the operators' page shows them.
fn counts(gateway: &Gateway) -> (u64, u64) {
    let page = exchange(
        gateway.admin,
        "GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
    );
    let value = |name: &str| {
        let line = page.lines().find(|line| {
            !line.starts_with('#')
                && line
                    .split(['{', ' '])
                    .next()
                    .is_some_and(|n| n.contains(name))
        });
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        value.map_or(0, |value| value as u64)
    };
    (value("leaving"), value("breaks"))
}

fn check_refused_with_break(stream: &mut TcpStream, head: &str) {
    if head.starts_with("GET /health ") {
        answer_with(stream, head, 503, "x-not-run: 1\r\nretry-after: 30\r\n", "");
        return;
    }
    answer_correctly(stream, head);
}

fn check_answered_as_leaving(stream: &mut TcpStream, head: &str) {
    if head.starts_with("GET /health ") {
        let name = field(head, "x-instance").unwrap_or_default();
        let fields = format!("x-leaf: {name}\r\nx-leaving: 1\r\n");
        answer_with(stream, head, 503, &fields, "");
        return;
    }
    answer_correctly(stream, head);
}

/// A leaf that says so when it is asked for its name gets no call, not even the one that the check was for.
#[rstest]
#[case::rests(check_refused_with_break)]
#[case::leaves(check_answered_as_leaving)]
fn checked_leaf_wants_no_calls(#[case] behave: Behaviour) {
    let (quiet, other) = (Leaf::start(behave), Leaf::start(answer_slowly));
    let gateway = Gateway::with_checked_addrs(Repeat::AtMostOnce, vec![quiet.addr, other.addr]);
    while quiet.arrivals() == 0 {
        gateway.request("order");
    }
    wait_until(|| counts(&gateway).0 + counts(&gateway).1 > 0);
    request_at_once(&gateway);
    assert_eq!(quiet.arrivals(), 1);
}

fn leave_in_a_foreign_answer(stream: &mut TcpStream, _head: &str) {
    write(
        stream,
        "HTTP/1.1 200 OK\r\nx-id: other\r\nx-stamp: s\r\nx-leaving: 1\r\ncontent-length: 4\r\n\r\nbad!",
    );
}

fn leave_without_any_mark(stream: &mut TcpStream, _head: &str) {
    write(
        stream,
        "HTTP/1.1 500 Status\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n",
    );
}

fn leave_as_another_leaf(stream: &mut TcpStream, head: &str) {
    answer_with(stream, head, 421, "x-leaf: other\r\nx-leaving: 1\r\n", "");
}

fn leave_with_another_value(stream: &mut TcpStream, head: &str) {
    answer_with(stream, head, 200, "x-stamp: s\r\nx-leaving: 0\r\n", "good");
}

fn rest_with_success(stream: &mut TcpStream, head: &str) {
    answer_with(
        stream,
        head,
        200,
        "x-stamp: s\r\nretry-after: 30\r\n",
        "good",
    );
}

fn rest_for_text(stream: &mut TcpStream, head: &str) {
    answer_with(
        stream,
        head,
        503,
        "x-not-run: 1\r\nretry-after: soon\r\n",
        "",
    );
}

fn rest_for_a_negative_time(stream: &mut TcpStream, head: &str) {
    answer_with(stream, head, 503, "x-not-run: 1\r\nretry-after: -5\r\n", "");
}

fn rest_for_no_number(stream: &mut TcpStream, head: &str) {
    answer_with(
        stream,
        head,
        503,
        "x-not-run: 1\r\nretry-after: NaN\r\n",
        "",
    );
}

/// Answers of others, and values that cannot be read, say nothing about the leaf.
#[rstest]
#[case::foreign_answer(leave_in_a_foreign_answer)]
#[case::no_mark_of_a_leaf(leave_without_any_mark)]
#[case::another_leaf(leave_as_another_leaf)]
#[case::another_value(leave_with_another_value)]
#[case::no_rejection(rest_with_success)]
#[case::text(rest_for_text)]
#[case::negative(rest_for_a_negative_time)]
#[case::no_number(rest_for_no_number)]
fn answer_says_nothing_about_the_leaf(#[case] behave: Behaviour) {
    let leaf = Leaf::start(behave);
    let gateway = Gateway::with_leafs(Repeat::Idempotent, &[&leaf]);
    gateway.request("one");
    assert!(leaf.arrivals() >= 1);
    assert_eq!(counts(&gateway), (0, 0));
}

fn rest_for_half_a_second(stream: &mut TcpStream, head: &str) {
    answer_with(
        stream,
        head,
        503,
        "x-not-run: 1\r\nretry-after: 0.5\r\n",
        "",
    );
}

fn rest_for_ever(stream: &mut TcpStream, head: &str) {
    answer_with(
        stream,
        head,
        503,
        "x-not-run: 1\r\nretry-after: 1e300\r\n",
        "",
    );
}

/// The only leaf wants no calls: the caller learns at once that its request has not run, and when to come back.
#[rstest]
#[case::fraction(rest_for_half_a_second, 0.5, 1.1)]
#[case::absurd(rest_for_ever, 3_590.0, 3_601.0)]
fn rejection_tells_the_end_of_a_break(
    #[case] behave: Behaviour,
    #[case] least: f64,
    #[case] most: f64,
) {
    let leaf = Leaf::start(behave);
    let gateway = Gateway::with_leafs(Repeat::AtMostOnce, &[&leaf]);
    let response = gateway.request("one");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let seconds = field(&response, "retry-after").and_then(|value| value.parse::<f64>().ok());
    assert!(
        seconds.is_some_and(|seconds| seconds >= least && seconds <= most),
        "{response}"
    );
    assert_eq!(counts(&gateway), (0, 1));
}
