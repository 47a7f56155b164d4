//! Leafs that send a body without end after a valid head.

mod common;

use common::endless::{
    CHUNK, LARGE_BYTES, check_at_most_once, check_idempotent, chunk_extension, chunked, head_with,
    huge_length, trailers, without_length,
};
use common::{Gateway, Leaf, exchange, request_text};
use monsoondeal_edge::Repeat;
use rstest::rstest;
use standin::endless::EndlessResponse;

#[rstest]
#[case::without_length(EndlessResponse::fast(without_length, "more"))]
#[case::huge_length(EndlessResponse::fast(huge_length, "more"))]
#[case::chunked(EndlessResponse::fast(chunked, CHUNK))]
#[case::chunk_extension(EndlessResponse::fast(chunk_extension, "more"))]
#[case::chunk_size(EndlessResponse::fast(chunked, "0"))]
#[case::trailers(EndlessResponse::fast(trailers, "x-trailer: 1\r\n"))]
#[case::slow_without_length(EndlessResponse::slow(without_length, "more"))]
#[case::slow_chunked(EndlessResponse::slow(chunked, CHUNK))]
#[case::slow_chunk_extension(EndlessResponse::slow(chunk_extension, "more"))]
#[case::slow_trailers(EndlessResponse::slow(trailers, "x-trailer: 1\r\n"))]
fn idempotent_endless_body_is_retried(#[case] endless: EndlessResponse) {
    check_idempotent(endless);
}

#[rstest]
#[case::without_length(EndlessResponse::fast(without_length, "more"))]
#[case::huge_length(EndlessResponse::fast(huge_length, "more"))]
#[case::chunked(EndlessResponse::fast(chunked, CHUNK))]
#[case::chunk_extension(EndlessResponse::fast(chunk_extension, "more"))]
#[case::chunk_size(EndlessResponse::fast(chunked, "0"))]
#[case::trailers(EndlessResponse::fast(trailers, "x-trailer: 1\r\n"))]
#[case::slow_without_length(EndlessResponse::slow(without_length, "more"))]
#[case::slow_chunked(EndlessResponse::slow(chunked, CHUNK))]
#[case::slow_chunk_extension(EndlessResponse::slow(chunk_extension, "more"))]
#[case::slow_trailers(EndlessResponse::slow(trailers, "x-trailer: 1\r\n"))]
fn at_most_once_endless_body_fails(#[case] endless: EndlessResponse) {
    check_at_most_once(endless);
}

/// An answer close to the documented limit is served.
#[test]
fn large_answer_is_served() {
    let leaf = Leaf::start(|stream, head| {
        let body = "a".repeat(LARGE_BYTES);
        let fields = format!("content-length: {}\r\n", body.len());
        common::write(stream, &(head_with(head, &fields) + &body));
    });
    let gateway = Gateway::with_leafs(Repeat::Idempotent, &[&leaf]);
    let response = exchange(
        gateway.front,
        &request_text("id", "/r/x", "connection: close\r\n"),
    );
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.len() > LARGE_BYTES);
}
