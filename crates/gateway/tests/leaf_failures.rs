//! Leafs that run a request and fail it, over real sockets: which of their statuses callers get.

mod common;

use std::net::TcpStream;

use common::{Gateway, Leaf, field, write};
use monsoondeal_edge::Repeat;
use rstest::rstest;

/// Answers with a status of the leaf's own, as after a run: signed, and without a statement that nothing ran.
fn fail<const STATUS: u16, const IS_NAMED: bool>(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    let echo = if IS_NAMED {
        format!("x-id: {id}\r\n")
    } else {
        String::new()
    };
    write(
        stream,
        &format!(
            "HTTP/1.1 {STATUS} Own\r\n{echo}x-stamp: s\r\nretry-after: 1\r\ncontent-length: 3\r\n\r\nown"
        ),
    );
}

/// Like [`fail`], unsigned.
fn fail_unsigned<const STATUS: u16>(stream: &mut TcpStream, head: &str) {
    let id = field(head, "x-id").unwrap_or_default();
    write(
        stream,
        &format!("HTTP/1.1 {STATUS} Own\r\nx-id: {id}\r\ncontent-length: 3\r\n\r\nown"),
    );
}

/// Guards against a leaf's own failure that is passed on as a promise: 408, 421, 429 and 503 tell a caller that its
/// request has not run and will not run. Without a proof of that the caller gets 502, which promises nothing.
#[rstest]
#[case::status_408(fail::<408, true>)]
#[case::status_421(fail::<421, true>)]
#[case::status_429(fail::<429, true>)]
#[case::status_503(fail::<503, true>)]
#[case::status_408_unnamed(fail::<408, false>)]
#[case::status_421_unnamed(fail::<421, false>)]
#[case::status_429_unnamed(fail::<429, false>)]
#[case::status_503_unnamed(fail::<503, false>)]
#[case::status_408_unsigned(fail_unsigned::<408>)]
#[case::status_429_unsigned(fail_unsigned::<429>)]
#[case::status_503_unsigned(fail_unsigned::<503>)]
fn status_that_promises_not_run_is_not_passed_on(
    #[case] behave: common::Behaviour,
    #[values(Repeat::AtMostOnce, Repeat::Idempotent)] repeat: Repeat,
) {
    let (first, second) = (Leaf::start(behave), Leaf::start(behave));
    let gateway = Gateway::with_leafs(repeat, &[&first, &second]);
    let response = gateway.request("id");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(field(&response, "x-stamp"), None, "{response}");
    assert_eq!(field(&response, "retry-after"), None, "{response}");
    let runs = first.arrivals() + second.arrivals();
    let most = if repeat == Repeat::AtMostOnce { 1 } else { 2 };
    assert!((1..=most).contains(&runs), "{runs} runs");
}

/// A failure that promises nothing is returned as the leaf gave it.
#[rstest]
#[case::status_400(fail::<400, true>, 400)]
#[case::status_404(fail::<404, true>, 404)]
#[case::status_409(fail::<409, true>, 409)]
#[case::status_500(fail::<500, true>, 500)]
#[case::status_502(fail::<502, true>, 502)]
#[case::status_504(fail::<504, true>, 504)]
fn other_failure_is_returned_unchanged(
    #[case] behave: common::Behaviour,
    #[case] status: u16,
    #[values(Repeat::AtMostOnce, Repeat::Idempotent)] repeat: Repeat,
) {
    let (first, second) = (Leaf::start(behave), Leaf::start(behave));
    let gateway = Gateway::with_leafs(repeat, &[&first, &second]);
    let response = gateway.request("id");
    let expected = format!("HTTP/1.1 {status}");
    assert!(response.starts_with(&expected), "{response}");
    assert_eq!(field(&response, "x-stamp"), Some("s"), "{response}");
    assert!(response.ends_with("own"), "{response}");
}
