//! A server that answers without end, in a head or a body, until the other side closes the connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes in one write.
const WRITE_BYTES: usize = 16 * 1024;
/// Longest wait for connections to be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// `EndlessResponse` is what an [`EndlessServer`] sends after it has read a request.
#[derive(Clone, Copy, Debug)]
pub struct EndlessResponse {
    /// Makes the beginning from the head of the request.
    pub make_prefix: fn(&str) -> String,
    /// Sent again and again until a write fails.
    pub chunk: &'static str,
    /// Pause between two writes.
    pub pause: Duration,
}

/// `Transfer` is an answer without end, as far as the other side took it.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// Bytes that went into the connection.
    pub bytes: usize,
    /// Time until a write failed.
    pub duration: Duration,
}

/// `EndlessServer` is a server that answers without end until the other side closes the connection.
#[derive(Debug)]
pub struct EndlessServer {
    /// Where it listens.
    pub addr: SocketAddr,
    arrivals: Arc<AtomicUsize>,
    transfers: Arc<Mutex<Vec<Transfer>>>,
}

impl EndlessResponse {
    /// Sends as fast as the other side takes it.
    pub const fn fast(make_prefix: fn(&str) -> String, chunk: &'static str) -> Self {
        let pause = Duration::ZERO;
        Self {
            make_prefix,
            chunk,
            pause,
        }
    }

    /// Sends a piece each 20 ms.
    pub const fn slow(make_prefix: fn(&str) -> String, chunk: &'static str) -> Self {
        let pause = Duration::from_millis(20);
        Self {
            make_prefix,
            chunk,
            pause,
        }
    }
}

impl EndlessServer {
    /// Starts to listen on loopback.
    ///
    /// # Panics
    ///
    /// If there is no free port.
    pub fn start(response: EndlessResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            addr: listener.local_addr().expect("an address"),
            arrivals: Arc::default(),
            transfers: Arc::default(),
        };
        let (arrivals, transfers) = (server.arrivals.clone(), server.transfers.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let (arrivals, transfers) = (arrivals.clone(), transfers.clone());
                thread::spawn(move || {
                    if let Some(head) = read_head(&mut stream) {
                        arrivals.fetch_add(1, Ordering::SeqCst);
                        let transfer = write_endlessly(&mut stream, &head, response);
                        transfers
                            .lock()
                            .expect("no panic while locked")
                            .push(transfer);
                    }
                });
            }
        });
        server
    }

    /// Returns the requests that have arrived.
    pub fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }

    /// Waits until the other side has closed all connections, and returns what went into each.
    ///
    /// # Panics
    ///
    /// If one stays open.
    pub fn wait_until_closed(&self) -> Vec<Transfer> {
        let started = Instant::now();
        loop {
            let transfers = self
                .transfers
                .lock()
                .expect("no panic while locked")
                .clone();
            if transfers.len() == self.arrivals() {
                return transfers;
            }
            assert!(started.elapsed() < CLOSE_TIMEOUT, "a connection stays open");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Writes an answer without end until a write fails. Pieces that wait go out in writes of many.
fn write_endlessly(stream: &mut TcpStream, head: &str, response: EndlessResponse) -> Transfer {
    let started = Instant::now();
    let copies = if response.pause.is_zero() {
        WRITE_BYTES.div_ceil(response.chunk.len())
    } else {
        1
    };
    let chunks = response.chunk.repeat(copies);
    let mut bytes = 0;
    let mut text = (response.make_prefix)(head);
    loop {
        match stream.write(text.as_bytes()) {
            Ok(count) if count < text.len() => {
                bytes += count;
                text = text.split_off(count);
            }
            Ok(count) => {
                bytes += count;
                text.clone_from(&chunks);
                thread::sleep(response.pause);
            }
            Err(_) => {
                let duration = started.elapsed();
                return Transfer { bytes, duration };
            }
        }
    }
}

/// Returns the bytes that the system may hold between the two ends of a connection.
///
/// # Panics
///
/// If the system does not tell.
pub fn max_kernel_buffers() -> usize {
    ["tcp_rmem", "tcp_wmem"]
        .iter()
        .map(|name| max_size(name))
        .sum()
}

/// Returns the last of the three sizes of a system setting.
fn max_size(name: &str) -> usize {
    let sizes = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}"));
    let sizes = sizes.expect("a Linux system");
    let size = sizes.split_whitespace().next_back();
    size.and_then(|size| size.parse().ok()).expect("a size")
}

/// Reads up to the end of a request's head.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}
