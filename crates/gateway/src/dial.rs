//! Opening connections that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use compio::time::timeout;
use socket2::{SockRef, TcpKeepalive};

/// Time without an acknowledgement after which a peer counts as lost.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first keep-alive probe, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const MAX_PROBES: u32 = 2;

/// Opens a connection within `limit`.
///
/// # Errors
///
/// If it is refused, or not open in time.
pub async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let opened = timeout(limit, TcpStream::connect(addr)).await;
    let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Lets the end of a connection reset it, so that bytes which have not arrived never do.
///
/// # Errors
///
/// If the system refuses an option.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    let file = stream.to_poll_fd()?;
    SockRef::from(&file).set_linger(Some(Duration::ZERO))
}

/// Lets the system probe an idle connection, and close it when the peer is silent.
///
/// # Errors
///
/// If the system refuses an option.
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
