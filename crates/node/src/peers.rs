//! Connections that this node opens to its peers.

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use monsoondeal_core::NodeId;
use monsoondeal_engine::Input;
use monsoondeal_engine::message::Message;
use rand::RngExt;

use crate::event::{Event, EventSender, MessageSender, send};
use crate::frame;

/// Maximum time to open a connection, with the WebSocket handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Range of the random wait between two attempts to connect, in milliseconds.
const RETRY_WAIT_MILLIS: std::ops::Range<u64> = 100..400;

/// Identity of this node, as sent to its peers.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) node: NodeId,
    pub(crate) cell: String,
}

/// `Outbox` passes messages to the current connection to a peer, if there is one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    sender: std::rc::Rc<std::cell::RefCell<Option<MessageSender>>>,
}

impl Outbox {
    /// Sends a message. Without a connection the message is lost, as on a connection that breaks.
    pub(crate) fn send(&self, message: Message) {
        if let Some(sender) = &*self.sender.borrow() {
            let _ = sender.unbounded_send(message);
        }
    }

    fn set_sender(&self, sender: Option<MessageSender>) {
        *self.sender.borrow_mut() = sender;
    }
}

/// Keeps a connection to a peer open, with reconnects, until the task is dropped.
pub(crate) async fn maintain(
    addr: SocketAddr,
    identity: Identity,
    outbox: Outbox,
    events: EventSender,
) {
    loop {
        if let Some(socket) = connect(addr).await {
            let (sender, receiver) = mpsc::unbounded();
            let hello = Message::Hello {
                node: identity.node,
                cell: identity.cell.clone(),
            };
            let _ = sender.unbounded_send(hello);
            outbox.set_sender(Some(sender));
            send(&events, Event::Input(Input::PeerUp(addr)));
            run_connection(addr, socket, receiver, &events).await;
            outbox.set_sender(None);
            send(&events, Event::Input(Input::PeerDown(addr)));
        }
        let wait = rand::rng().random_range(RETRY_WAIT_MILLIS);
        sleep(Duration::from_millis(wait)).await;
    }
}

async fn run_connection(
    addr: SocketAddr,
    socket: frame::Socket,
    receiver: mpsc::UnboundedReceiver<Message>,
    events: &EventSender,
) {
    let (mut sink, mut stream) = socket.split();
    let reading = std::pin::pin!(frame::read_messages(&mut stream, |message: Message| {
        send(events, Event::Input(Input::FromPeer(addr, message)));
    }));
    let writing = std::pin::pin!(frame::write_messages(&mut sink, receiver));
    match select(reading, writing).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

async fn connect(addr: SocketAddr) -> Option<frame::Socket> {
    let url = format!("ws://{addr}/peer");
    let connecting = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let config = Some(frame::websocket_config());
        let connected =
            tokio_tungstenite::client_async_with_config(url, frame::wrap(stream), config).await;
        connected.ok().map(|(socket, _)| socket)
    };
    timeout(CONNECT_TIMEOUT, connecting).await.ok().flatten()
}
