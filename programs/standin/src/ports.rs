//! Free ports for processes whose settings must name the ports before the processes listen.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, OnceLock};

/// Start of the first port range. All ranges lie below the system's ephemeral ports, so that no
/// outgoing connection takes a port between the check that it is free and its use.
const FIRST_PORT: u16 = 10_000;
/// Number of ports in the range of one process, including the first, which reserves the range.
const PORTS_PER_PROCESS: u16 = 400;
/// Number of port ranges, and so of processes that can hand out ports at the same time.
const PORT_RANGES: u32 = 55;

/// Reserves a port range for this process and returns its first port. A listener is bound to that port
/// until the process ends, so that no other process hands out ports of the range, even while they are
/// not in use.
fn reserved_port() -> u16 {
    static RESERVED: OnceLock<(TcpListener, u16)> = OnceLock::new();
    let (_, first) = RESERVED.get_or_init(|| {
        let ranges = (0..PORT_RANGES).map(|at| (std::process::id() + at) % PORT_RANGES);
        let reserved = ranges.into_iter().find_map(|range| {
            let first = FIRST_PORT + range as u16 * PORTS_PER_PROCESS;
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
            Some((listener, first))
        });
        reserved.expect("a port range that no other process has reserved")
    });
    *first
}

/// Returns the first of `count` consecutive loopback addresses on which nothing listens. Addresses are
/// handed out in turn, so that one is reused only after all others of the process.
///
/// # Panics
///
/// If no such addresses are left.
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

/// Returns a loopback address on which nothing listens.
///
/// # Panics
///
/// If no such address is left.
pub fn free_addr() -> SocketAddr {
    free_addrs(1)
}
