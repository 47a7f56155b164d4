//! Connections between a node that reads the store and its followers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::select;
use monsoondeal_node::accept::{Acceptor, LogThrottle};
use monsoondeal_node::frame;
use monsoondeal_node::open_guard::OpenGuard;

use super::{RelayEvent, RelaySender};
use crate::event::Update;

/// Longest time to open a connection, with the WebSocket handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames that may be queued for a follower. A follower further behind is disconnected.
const MAX_QUEUED_FRAMES: usize = 64;

/// Sender of encoded frames to a follower.
pub(super) type FrameSender = mpsc::Sender<Bytes>;

/// Accepts connections of followers until the process ends, at most `limit` at a time. Others are closed: the node
/// at the other end tries its next source.
pub(super) async fn listen(mut acceptor: Acceptor, limit: usize, events: RelaySender) {
    let open: Rc<Cell<usize>> = Rc::default();
    let mut throttle = LogThrottle::default();
    loop {
        let Ok(stream) = acceptor.accept().await else {
            continue;
        };
        if open.get() >= limit {
            if let Some(refused) = throttle.count() {
                log::warn!(limit, refused; "connection closed: there are too many followers");
            }
            continue;
        }
        let guard = OpenGuard::new(&open);
        let events = events.clone();
        spawn(async move {
            serve_follower(stream, events).await;
            drop(guard);
        })
        .detach();
    }
}

/// Registers a follower with the relay, and writes frames to it until either side closes the connection.
async fn serve_follower(stream: TcpStream, events: RelaySender) {
    let limits = Some(frame::websocket_config());
    let handshake = tokio_tungstenite::accept_async_with_config(frame::wrap(stream), limits);
    let Ok(Ok(socket)) = timeout(CONNECT_TIMEOUT, handshake).await else {
        log::debug!("WebSocket handshake with a follower failed or timed out");
        return;
    };
    let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    send(&events, RelayEvent::FollowerConnected(sender));
    let (mut sink, mut stream) = socket.split();
    let reading = std::pin::pin!(frame::read_messages(&mut stream, |_: ()| ()));
    let writing = std::pin::pin!(frame::write_frames(&mut sink, frames));
    select(reading, writing).await;
}

/// Follows a node until the task is dropped or the connection ends. Events carry `source_id`.
pub(super) async fn follow(addr: SocketAddr, source_id: u64, events: RelaySender) {
    let connecting = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let url = format!("ws://{addr}/updates");
        let limits = Some(frame::websocket_config());
        let opened =
            tokio_tungstenite::client_async_with_config(url, frame::wrap(stream), limits).await;
        opened.ok().map(|(socket, _)| socket)
    };
    if let Ok(Some(socket)) = timeout(CONNECT_TIMEOUT, connecting).await {
        let (_sink, mut stream) = socket.split();
        frame::read_messages(&mut stream, |updates: Vec<Update>| {
            send(&events, RelayEvent::SourceUpdates(source_id, updates));
        })
        .await;
    }
    send(&events, RelayEvent::SourceDisconnected(source_id));
}

fn send(events: &RelaySender, event: RelayEvent) {
    if events.unbounded_send(event).is_err() {
        log::debug!("event of a connection between nodes dropped: the relay has ended");
    }
}
