//! Leafs that send a head without end, or endless bytes after a complete answer.

mod common;

use common::endless::{
    INTERIM, assert_closed, check_at_most_once, check_idempotent, empty, open_field, status_line,
    whole_answer,
};
use common::{Gateway, field};
use monsoondeal_edge::Repeat;
use rstest::rstest;
use standin::endless::{EndlessResponse, EndlessServer};

#[rstest]
#[case::header_line(EndlessResponse::fast(open_field, "a"))]
#[case::header_fields(EndlessResponse::fast(status_line, "x-field: 1\r\n"))]
#[case::no_protocol(EndlessResponse::fast(empty, "\u{1}\u{2} this is no answer "))]
#[case::status_line(EndlessResponse::fast(empty, "HTTP/1.1 200 OK and more "))]
#[case::empty_lines(EndlessResponse::fast(empty, "\r\n"))]
#[case::interim(EndlessResponse::fast(empty, INTERIM))]
#[case::slow_header_line(EndlessResponse::slow(open_field, "a"))]
#[case::slow_interim(EndlessResponse::slow(empty, INTERIM))]
fn idempotent_endless_head_is_retried(#[case] endless: EndlessResponse) {
    check_idempotent(endless);
}

#[rstest]
#[case::header_line(EndlessResponse::fast(open_field, "a"))]
#[case::header_fields(EndlessResponse::fast(status_line, "x-field: 1\r\n"))]
#[case::no_protocol(EndlessResponse::fast(empty, "\u{1}\u{2} this is no answer "))]
#[case::status_line(EndlessResponse::fast(empty, "HTTP/1.1 200 OK and more "))]
#[case::empty_lines(EndlessResponse::fast(empty, "\r\n"))]
#[case::interim(EndlessResponse::fast(empty, INTERIM))]
#[case::slow_header_line(EndlessResponse::slow(open_field, "a"))]
#[case::slow_interim(EndlessResponse::slow(empty, INTERIM))]
fn at_most_once_endless_head_fails(#[case] endless: EndlessResponse) {
    check_at_most_once(endless);
}

/// Bytes after a complete answer close the connection, and are not taken as the answer to the next request.
#[rstest]
#[case::no_protocol(EndlessResponse::fast(whole_answer, "more"))]
#[case::empty_lines(EndlessResponse::fast(whole_answer, "\r\n"))]
#[case::interim(EndlessResponse::fast(whole_answer, INTERIM))]
#[case::slow_interim(EndlessResponse::slow(whole_answer, INTERIM))]
#[case::slow_empty_lines(EndlessResponse::slow(whole_answer, "\r\n"))]
fn keep_alive_connection_endless_bytes(#[case] endless: EndlessResponse) {
    let leaf = EndlessServer::start(endless);
    let gateway = Gateway::with_addrs(Repeat::Idempotent, vec![leaf.addr]);
    for at in 0..3 {
        let id = format!("id-{at}");
        let response = gateway.request(&id);
        let is_whole = response.starts_with("HTTP/1.1 200") && response.ends_with("good");
        let is_own = field(&response, "x-id") == Some(id.as_str());
        assert!(
            is_whole && is_own || response.starts_with("HTTP/1.1 50"),
            "{response}"
        );
    }
    assert_closed(&leaf.wait_until_closed());
}
