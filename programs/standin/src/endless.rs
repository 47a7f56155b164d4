//! A server whose responses never end, in the head or the body, until the client closes the connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Minimum size of a write without pauses, in bytes.
const WRITE_BYTES: usize = 16 * 1024;
/// Maximum wait until the client has closed all connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// `EndlessResponse` is the response of an [`EndlessServer`] to each request.
#[derive(Clone, Copy, Debug)]
pub struct EndlessResponse {
    /// Creates the first part of the response from the head of the request.
    pub make_prefix: fn(&str) -> String,
    /// Sent repeatedly after the first part, until a write fails.
    pub chunk: &'static str,
    /// Pause after each write.
    pub pause: Duration,
}

/// `Transfer` describes the part of an endless response that was sent before the client closed the
/// connection.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// Bytes written to the connection.
    pub bytes: usize,
    /// Time from the first write until a write failed.
    pub duration: Duration,
}

/// `EndlessServer` is a server whose responses never end until the client closes the connection.
#[derive(Debug)]
pub struct EndlessServer {
    /// Address on which the server listens.
    pub addr: SocketAddr,
    arrivals: Arc<AtomicUsize>,
    transfers: Arc<Mutex<Vec<Transfer>>>,
}

impl EndlessResponse {
    /// Creates a response that is sent as fast as the client reads it.
    pub const fn fast(make_prefix: fn(&str) -> String, chunk: &'static str) -> Self {
        let pause = Duration::ZERO;
        Self {
            make_prefix,
            chunk,
            pause,
        }
    }

    /// Creates a response that sends a chunk every 20 ms.
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
    /// Starts a server on loopback.
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

    /// Returns the number of requests that have arrived.
    pub fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }

    /// Waits until the client has closed all connections, and returns the transfer of each.
    ///
    /// # Panics
    ///
    /// If a connection stays open for 20 s.
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

/// Writes an endless response until a write fails. Without a pause, each write contains many chunks.
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

/// Returns the maximum size of the kernel's buffers of one TCP connection: those of the receiver and of
/// the sender, in bytes.
///
/// # Panics
///
/// If the system settings cannot be read.
pub fn max_kernel_buffers() -> usize {
    ["tcp_rmem", "tcp_wmem"]
        .iter()
        .map(|name| max_size(name))
        .sum()
}

/// Returns the maximum, which is the last of the three sizes in a system setting.
fn max_size(name: &str) -> usize {
    let sizes = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}"));
    let sizes = sizes.expect("a Linux system");
    let size = sizes.split_whitespace().next_back();
    size.and_then(|size| size.parse().ok()).expect("a size")
}

/// Reads the head of a request that has no body. Returns `None` once the connection has ended.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
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
