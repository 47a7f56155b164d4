//! Leafs whose heads do not end, and bytes without end where no answer is due.

mod common;

use common::endless::{
    INTERIM, assert_closed, check_at_most_once, check_idempotent, nothing, open_field, status_line,
    whole,
};
use common::{Gateway, field};
use monsoondeal_edge::Repeat;
use rstest::rstest;
use standin::endless::{EndlessResponse, EndlessServer};

#[rstest]
#[case::header_line(EndlessResponse::fast(open_field, "a"))]
#[case::header_fields(EndlessResponse::fast(status_line, "x-field: 1\r\n"))]
#[case::no_protocol(EndlessResponse::fast(nothing, "\u{1}\u{2} this is no answer "))]
#[case::status_line(EndlessResponse::fast(nothing, "HTTP/1.1 200 OK and more "))]
#[case::empty_lines(EndlessResponse::fast(nothing, "\r\n"))]
#[case::interim(EndlessResponse::fast(nothing, INTERIM))]
#[case::slow_header_line(EndlessResponse::slow(open_field, "a"))]
#[case::slow_interim(EndlessResponse::slow(nothing, INTERIM))]
fn idempotent_endless_answer(#[case] endless: EndlessResponse) {
    check_idempotent(endless);
}

#[rstest]
#[case::header_line(EndlessResponse::fast(open_field, "a"))]
#[case::header_fields(EndlessResponse::fast(status_line, "x-field: 1\r\n"))]
#[case::no_protocol(EndlessResponse::fast(nothing, "\u{1}\u{2} this is no answer "))]
#[case::status_line(EndlessResponse::fast(nothing, "HTTP/1.1 200 OK and more "))]
#[case::empty_lines(EndlessResponse::fast(nothing, "\r\n"))]
#[case::interim(EndlessResponse::fast(nothing, INTERIM))]
#[case::slow_header_line(EndlessResponse::slow(open_field, "a"))]
#[case::slow_interim(EndlessResponse::slow(nothing, INTERIM))]
fn at_most_once_endless_answer(#[case] endless: EndlessResponse) {
    check_at_most_once(endless);
}

/// Bytes after a whole answer are no answer to the next request, and end the connection.
#[rstest]
#[case::no_protocol(EndlessResponse::fast(whole, "more"))]
#[case::empty_lines(EndlessResponse::fast(whole, "\r\n"))]
#[case::interim(EndlessResponse::fast(whole, INTERIM))]
#[case::slow_interim(EndlessResponse::slow(whole, INTERIM))]
#[case::slow_empty_lines(EndlessResponse::slow(whole, "\r\n"))]
fn kept_connection_endless_bytes(#[case] endless: EndlessResponse) {
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
