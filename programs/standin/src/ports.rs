//! Ports for processes whose settings name them before they listen.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, OnceLock};

/// Lowest port handed out. All lie below those that the system gives to connections, so that no
/// connection takes one between the look and its use.
const FIRST_PORT: u16 = 10_000;
/// Ports of one process.
const PORTS_PER_PROCESS: u16 = 400;
/// Processes that use different ports.
const PORT_RANGES: u32 = 55;

/// Returns the lowest port of this process's own ports. It is held, so that no other process hands out
/// ports above it, not even one whose owner does not listen for a moment.
fn reserved_port() -> u16 {
    static RESERVED: OnceLock<(TcpListener, u16)> = OnceLock::new();
    let (_, first) = RESERVED.get_or_init(|| {
        let ranges = (0..PORT_RANGES).map(|at| (std::process::id() + at) % PORT_RANGES);
        let reserved = ranges.into_iter().find_map(|range| {
            let first = FIRST_PORT + range as u16 * PORTS_PER_PROCESS;
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
            Some((listener, first))
        });
        reserved.expect("ports that no other process has")
    });
    *first
}

/// Returns the first of `count` successive loopback addresses that nothing listens on. An address is
/// handed out again only after all others of the process.
///
/// # Panics
///
/// If none are left.
pub fn free_addrs(count: u16) -> SocketAddr {
    static NEXT: Mutex<u16> = Mutex::new(1);
    let first = reserved_port();
    let mut next = NEXT.lock().expect("no panic while locked");
    for _ in 0..PORTS_PER_PROCESS {
        let offset = if *next + count > PORTS_PER_PROCESS {
            1
        } else {
            *next
        };
        *next = offset + count;
        let addr = |at: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, first + offset + at));
        if (0..count).all(|at| TcpListener::bind(addr(at)).is_ok()) {
            return addr(0);
        }
    }
    panic!("no free port is left");
}

/// Returns a loopback address that nothing listens on.
///
/// # Panics
///
/// If none is left.
pub fn free_addr() -> SocketAddr {
    free_addrs(1)
}
