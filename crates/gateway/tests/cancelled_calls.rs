//! Cancelled calls as a leaf sees them, over real sockets.

mod common;

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::{Gateway, read_head, request_text, write};
use monsoondeal_edge::Repeat;

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
