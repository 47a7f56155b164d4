//! Cancelled calls as a leaf sees them, over real sockets.

mod common;

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    Gateway, Leaf, answer_correctly, read_head, request_text, reset_on_close, wait_until, write,
};
use monsoondeal_edge::Repeat;
use rstest::rstest;

/// Longest wait for the end of a connection, and for its reset after that.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a leaf that never answers, and reports for each connection whether it ends by a reset.
fn silent_leaf() -> (SocketAddr, Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (sender, resets) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, sender) = (stream.expect("a connection"), sender.clone());
            thread::spawn(move || {
                if read_head(&mut stream).is_some() {
                    // The test may have ended.
                    let _ = sender.send(ends_by_reset(&mut stream));
                }
            });
        }
    });
    (addr, resets)
}

/// Waits until the other side closes a connection and returns whether it is also reset.
fn ends_by_reset(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0]) {
        Ok(0) => {}
        Ok(_) => panic!("bytes after the request"),
        Err(_) => return true,
    }
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        let error = stream.take_error().expect("an open socket");
        if error.is_some() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// A cancelled call must reset its connection. Otherwise data held up by a network partition is delivered when
/// the partition heals, as additional load on the leaf.
#[test]
fn cancelled_call_resets_its_connection() {
    let (addr, resets) = silent_leaf();
    let gateway = Gateway::with_addrs(Repeat::Idempotent, vec![addr]);
    let mut caller = TcpStream::connect(gateway.front).expect("a gateway");
    write(&mut caller, &request_text("id", "/r/x", ""));
    // The call must be under way before the caller disconnects.
    thread::sleep(Duration::from_millis(200));
    caller.shutdown(Shutdown::Both).expect("an open connection");
    let is_reset = resets.recv_timeout(WAIT_TIMEOUT * 2);
    assert!(is_reset.expect("the call is cancelled"));
}

/// Time after which a busy leaf tells its name.
const CHECK_TIME: Duration = Duration::from_millis(700);

/// Tells its name late, as a leaf whose slots are busy does, and answers calls at once.
fn tell_name_late(stream: &mut TcpStream, head: &str) {
    if head.starts_with("GET /health ") {
        thread::sleep(CHECK_TIME);
    }
    answer_correctly(stream, head);
}

/// Guards against orders that reach a leaf long after their caller has left (GONE): the call waits for the leaf to tell
/// its name when the caller leaves, by a reset or by a close. The identity check is the only thing that arrives.
#[rstest]
#[case::closes(false, "")]
#[case::resets(true, "")]
#[case::closes_without_an_answer_to_come(false, "connection: close\r\n")]
fn unwritten_order_of_a_gone_caller_is_taken_back(#[case] resets: bool, #[case] fields: &str) {
    let leaf = Leaf::start(tell_name_late);
    let gateway = Gateway::with_checked_addrs(Repeat::AtMostOnce, vec![leaf.addr]);
    let mut caller = TcpStream::connect(gateway.front).expect("a gateway");
    if resets {
        reset_on_close(&caller);
    }
    write(&mut caller, &request_text("order", "/r/x", fields));
    wait_until(|| leaf.arrivals() == 1);
    drop(caller);
    thread::sleep(CHECK_TIME * 2);
    assert_eq!(leaf.arrivals(), 1, "the order arrived");
    // The leaf serves the next order.
    assert!(gateway.request("next").starts_with("HTTP/1.1 200"));
}

/// An order that has been written may run: its connection stays open for the answer after the caller has left.
#[test]
fn written_order_of_a_gone_caller_runs_on() {
    let (addr, resets) = silent_leaf();
    let gateway = Gateway::with_addrs(Repeat::AtMostOnce, vec![addr]);
    let mut caller = TcpStream::connect(gateway.front).expect("a gateway");
    write(&mut caller, &request_text("id", "/r/x", ""));
    thread::sleep(Duration::from_millis(200));
    drop(caller);
    assert!(resets.recv_timeout(Duration::from_millis(800)).is_err());
}
