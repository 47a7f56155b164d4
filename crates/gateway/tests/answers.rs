//! Truncated, mismatched or malformed answers of leafs, over real sockets.

mod common;

use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use common::{
    Behaviour, Gateway, Leaf, answer_correctly, exchange, field, request_text, reset_on_close,
    write,
};
use monsoondeal_edge::Repeat;
use rstest::rstest;

fn cut_by_reset(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\n\r\npart of the body"),
    );
    // The node must read the first bytes before the reset.
    sleep(Duration::from_millis(50));
    reset_on_close(stream);
    // Dropping the last handle sends the reset; the read loop ends with the error.
    let _ = stream.shutdown(Shutdown::Read);
}

fn cut_short_of_length(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-length: 50\r\n\r\npart"),
    );
    let _ = stream.shutdown(Shutdown::Both);
}

/// Closes the connection in the middle of a header field.
fn cut_in_a_field(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-len"),
    );
    let _ = stream.shutdown(Shutdown::Both);
}

/// Closes the connection between the last header field and the blank line.
fn cut_before_the_blank_line(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\n"),
    );
    let _ = stream.shutdown(Shutdown::Both);
}

/// Closes the connection in the middle of the `content-length` value.
fn cut_in_the_length(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-length: 4"),
    );
    let _ = stream.shutdown(Shutdown::Both);
}

/// Closes the connection in the middle of the status line.
fn cut_in_the_status(stream: &mut TcpStream, _head: &str) {
    write(stream, "HTTP/1.1 200");
    let _ = stream.shutdown(Shutdown::Both);
}

fn answer_with_another_id(stream: &mut TcpStream, _head: &str) {
    write(
        stream,
        "HTTP/1.1 200 OK\r\nx-id: other\r\nx-stamp: s\r\ncontent-length: 4\r\n\r\nbad!",
    );
}

fn without_stamp(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 4\r\n\r\nbad!"),
    );
}

fn encoded(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\nbad!"
        ),
    );
}

fn invalid_http(stream: &mut TcpStream, _head: &str) {
    write(stream, "\u{1}\u{2} this is no answer\r\n\r\n");
    let _ = stream.shutdown(Shutdown::Both);
}

fn refused(stream: &mut TcpStream, _head: &str) {
    write(
        stream,
        "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    );
}

/// An unusable answer never reaches the caller: an idempotent request is retried on another leaf.
#[rstest]
#[case::cut_by_reset(cut_by_reset)]
#[case::cut_short_of_length(cut_short_of_length)]
#[case::cut_in_a_field(cut_in_a_field)]
#[case::cut_before_the_blank_line(cut_before_the_blank_line)]
#[case::cut_in_the_length(cut_in_the_length)]
#[case::cut_in_the_status(cut_in_the_status)]
#[case::answer_with_another_id(answer_with_another_id)]
#[case::without_stamp(without_stamp)]
#[case::encoded(encoded)]
#[case::invalid_http(invalid_http)]
#[case::refused(refused)]
fn idempotent_unusable_answer_is_retried(#[case] behave: Behaviour) {
    let (bad, healthy) = (Leaf::start(behave), Leaf::start(answer_correctly));
    let gateway = Gateway::with_leafs(Repeat::Idempotent, &[&bad, &healthy]);
    for at in 0..6 {
        let response = gateway.request(&format!("id-{at}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("good"), "{response}");
        assert_eq!(field(&response, "x-id"), Some(format!("id-{at}").as_str()));
    }
    assert!(bad.arrivals() >= 1, "no call reached the faulty leaf");
}

/// After an unusable answer an at-most-once request fails as possibly run, and no second leaf is called.
#[rstest]
#[case::cut_by_reset(cut_by_reset)]
#[case::cut_short_of_length(cut_short_of_length)]
#[case::cut_in_a_field(cut_in_a_field)]
#[case::cut_before_the_blank_line(cut_before_the_blank_line)]
#[case::cut_in_the_length(cut_in_the_length)]
#[case::cut_in_the_status(cut_in_the_status)]
#[case::answer_with_another_id(answer_with_another_id)]
#[case::without_stamp(without_stamp)]
#[case::encoded(encoded)]
#[case::invalid_http(invalid_http)]
fn at_most_once_unusable_answer_fails(#[case] behave: Behaviour) {
    let (first, second) = (Leaf::start(behave), Leaf::start(behave));
    let gateway = Gateway::with_leafs(Repeat::AtMostOnce, &[&first, &second]);
    let response = gateway.request("id");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(first.arrivals() + second.arrivals(), 1);
}

#[test]
fn at_most_once_refused_by_all_leafs_is_rejected() {
    let (first, second) = (Leaf::start(refused), Leaf::start(refused));
    let gateway = Gateway::with_leafs(Repeat::AtMostOnce, &[&first, &second]);
    let response = gateway.request("id");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(field(&response, "retry-after").is_some(), "{response}");
}

/// Two pipelined requests on one connection of a caller are answered in order.
#[test]
fn keep_alive_connection_serves_requests_in_order() {
    let leaf = Leaf::start(answer_correctly);
    let gateway = Gateway::with_leafs(Repeat::Idempotent, &[&leaf]);
    let text =
        request_text("one", "/r/x", "") + &request_text("two", "/r/x", "connection: close\r\n");
    let response = exchange(gateway.front, &text);
    let (one, two) = (response.find("x-id: one"), response.find("x-id: two"));
    assert!(one.is_some() && one < two, "{response}");
}

#[rstest]
#[case::no_route("/other/", "404")]
#[case::route("/r/x", "503")]
fn request_without_leafs(#[case] path: &str, #[case] status: &str) {
    let gateway = Gateway::with_leafs(Repeat::Idempotent, &[]);
    let response = exchange(
        gateway.front,
        &request_text("id", path, "connection: close\r\n"),
    );
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status}")),
        "{response}"
    );
}

/// A node without a configuration is not ready, and rejects requests with 503 instead of 404.
#[test]
fn is_not_ready_without_configuration() {
    let gateway = Gateway::start();
    assert!(!gateway.is_ready());
    let response = gateway.request("id");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(field(&response, "retry-after").is_some());
}

#[test]
fn metrics_count_requests() {
    let leaf = Leaf::start(answer_correctly);
    let gateway = Gateway::with_leafs(Repeat::Idempotent, &[&leaf]);
    gateway.request("id");
    let text = exchange(
        gateway.admin,
        "GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
    );
    assert!(text.contains("monsoondeal_requests_total"), "{text}");
    assert!(
        text.contains("monsoondeal_response_time_seconds_count"),
        "{text}"
    );
    let state = exchange(
        gateway.admin,
        "GET /state HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
    );
    assert!(state.contains("\"requests\":1"), "{state}");
}
