//! Opening TCP connections, and options that detect lost peers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use compio::time::timeout;
use socket2::{SockRef, TcpKeepalive};

/// Time without an acknowledgement after which a connection is closed.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first keep-alive probe, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const MAX_PROBES: u32 = 2;

/// Opens a connection within `limit`.
///
/// # Errors
///
/// If the connection is refused, or not open in time.
pub async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let opened = timeout(limit, TcpStream::connect(addr)).await;
    let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Makes closing a connection reset it, so that bytes not delivered yet are discarded.
///
/// # Errors
///
/// If a socket option cannot be set.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    let file = stream.to_poll_fd()?;
    SockRef::from(&file).set_linger(Some(Duration::ZERO))
}

/// Enables keep-alive probes on an idle connection, and closes it if the peer does not answer them.
///
/// # Errors
///
/// If a socket option cannot be set.
pub fn keep_alive(stream: &TcpStream) -> io::Result<()> {
    let file = stream.to_poll_fd()?;
    let socket = SockRef::from(&file);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
