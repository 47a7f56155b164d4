//! Connections that peers open to this node.

use std::time::Duration;

use compio::net::TcpStream;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use monsoondeal_engine::Input;
use monsoondeal_engine::io::LinkId;
use monsoondeal_engine::message::Message;

use crate::accept::Acceptor;
use crate::event::{Event, EventSender, send};
use crate::frame;

/// Maximum time for a peer to complete the WebSocket handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts connections until the process ends.
pub(crate) async fn listen(mut acceptor: Acceptor, events: EventSender) {
    let mut last_id = 0;
    loop {
        let Ok(stream) = acceptor.accept().await else {
            continue;
        };
        last_id += 1;
        compio::runtime::spawn(serve(stream, LinkId(last_id), events.clone())).detach();
    }
}

async fn serve(stream: TcpStream, link: LinkId, events: EventSender) {
    let config = Some(frame::websocket_config());
    let accepting = tokio_tungstenite::accept_async_with_config(frame::wrap(stream), config);
    let Ok(Ok(socket)) = timeout(HANDSHAKE_TIMEOUT, accepting).await else {
        log::debug!("WebSocket handshake of a peer failed or timed out");
        return;
    };
    let (mut sink, mut stream) = socket.split();
    let (sender, receiver) = mpsc::unbounded();
    send(&events, Event::LinkUp(link, sender));

    let reading = std::pin::pin!(frame::read_messages(&mut stream, |message: Message| {
        send(&events, Event::Input(Input::FromLink(link, message)));
    }));
    let writing = std::pin::pin!(frame::write_messages(&mut sink, receiver));
    match select(reading, writing).await {
        Either::Left(_) | Either::Right(_) => {}
    }
    send(&events, Event::Input(Input::LinkDown(link)));
}
