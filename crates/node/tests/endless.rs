//! Answers of the object API that never end: the client must give up in time and close the connection.

use std::time::{Duration, Instant};

use monsoondeal_engine::io::Object;
use monsoondeal_node::store::{Store, StoreError};
use rstest::rstest;
use standin::endless::{EndlessResponse, EndlessServer, max_kernel_buffers};

/// Documented maximum size of an answer of the store with its head, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Documented maximum time for a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a loaded machine to close a connection.
const CLOSE_GRACE: Duration = Duration::from_secs(3);

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n";

fn empty_head(_head: &str) -> String {
    String::new()
}

fn open_header_field(_head: &str) -> String {
    "HTTP/1.1 200 OK\r\nx-long: ".to_owned()
}

fn head_with(fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\netag: \"1\"\r\n{fields}\r\n")
}

fn without_length(_head: &str) -> String {
    head_with("connection: close\r\n")
}

fn huge_length(_head: &str) -> String {
    head_with("content-length: 9000000000000000000\r\n")
}

fn chunked(_head: &str) -> String {
    head_with("transfer-encoding: chunked\r\n")
}

fn not_found(_head: &str) -> String {
    "HTTP/1.1 404 Not Found\r\nconnection: close\r\n\r\n".to_owned()
}

/// A read fails in time and closes the connection.
#[rstest]
#[case::header_line(EndlessResponse::fast(open_header_field, "a"))]
#[case::header_fields(EndlessResponse::fast(open_header_field, "1\r\nx-field: "))]
#[case::no_protocol(EndlessResponse::fast(empty_head, "no answer "))]
#[case::interim(EndlessResponse::fast(empty_head, INTERIM))]
#[case::without_length(EndlessResponse::fast(without_length, "more"))]
#[case::huge_length(EndlessResponse::fast(huge_length, "more"))]
#[case::chunked(EndlessResponse::fast(chunked, "4\r\nmore\r\n"))]
#[case::chunk_size(EndlessResponse::fast(chunked, "0"))]
#[case::slow_header_line(EndlessResponse::slow(open_header_field, "a"))]
#[case::slow_interim(EndlessResponse::slow(empty_head, INTERIM))]
#[case::slow_without_length(EndlessResponse::slow(without_length, "more"))]
fn read_endless_answer(#[case] endless: EndlessResponse) {
    let server = EndlessServer::start(endless);
    let (elapsed, found) = read_object(&server);
    assert!(found.is_err(), "{found:?}");
    assert!(elapsed < READ_TIMEOUT + CLOSE_GRACE, "{elapsed:?}");
    assert_closed(&server);
}

/// The endless body of a "not found" answer is not read beyond the limit either.
#[rstest]
#[case::fast(EndlessResponse::fast(not_found, "more"))]
#[case::slow(EndlessResponse::slow(not_found, "more"))]
fn read_not_found_endless_body(#[case] endless: EndlessResponse) {
    let server = EndlessServer::start(endless);
    // The read may fail or report that the object does not exist; both are correct.
    let _ = read_object(&server);
    assert_closed(&server);
}

/// Reads an object, then gives the client's tasks time to close the connection.
fn read_object(server: &EndlessServer) -> (Duration, Result<Option<Object>, StoreError>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let store = Store::new(&format!("http://{}", server.addr));
    runtime.block_on(async {
        let started = Instant::now();
        let found = store.read("tree").await;
        let elapsed = started.elapsed();
        compio::time::sleep(READ_TIMEOUT).await;
        (elapsed, found)
    })
}

fn assert_closed(server: &EndlessServer) {
    let transfers = server.wait_until_closed();
    assert!(!transfers.is_empty(), "the server sent no answer");
    for transfer in transfers {
        assert!(
            transfer.bytes <= MAX_ANSWER_BYTES + max_kernel_buffers(),
            "{transfer:?}"
        );
        assert!(
            transfer.duration < READ_TIMEOUT + CLOSE_GRACE,
            "{transfer:?}"
        );
    }
}
