//! Frames on the connections between nodes: one WebSocket message holds a CBOR list of messages.

use bytes::Bytes;
use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_channel::mpsc;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use monsoondeal_engine::message::Message;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Most messages in one frame.
const FRAME_MESSAGES: usize = 128;
/// Largest frame, in bytes.
const FRAME_LIMIT: usize = 16 * 1024 * 1024;

/// A WebSocket over TCP.
pub(crate) type Socket = WebSocketStream<Compat<AsyncStream<TcpStream>>>;

/// Wraps a TCP connection for the WebSocket library.
pub(crate) fn wrap(stream: TcpStream) -> Compat<AsyncStream<TcpStream>> {
    // Small frames must not wait for more data.
    let _ = stream.set_nodelay(true);
    AsyncStream::new(stream).compat()
}

/// Returns the limits of a connection.
pub(crate) fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_LIMIT))
        .max_frame_size(Some(FRAME_LIMIT))
}

/// Writes messages until the sender is dropped or the connection fails.
pub(crate) async fn write_all(
    sink: &mut SplitSink<Socket, tungstenite::Message>,
    messages: mpsc::UnboundedReceiver<Message>,
) {
    let mut batches = messages.ready_chunks(FRAME_MESSAGES);
    while let Some(batch) = batches.next().await {
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(&batch, &mut bytes) {
            log::error!("cannot encode messages: {error}");
            continue;
        }
        let frame = tungstenite::Message::Binary(Bytes::from(bytes));
        if sink.send(frame).await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}

/// Reads messages and hands each to `on_message`, until the connection ends or sends something that
/// is not a list of messages.
pub(crate) async fn read_all<F>(stream: &mut SplitStream<Socket>, mut on_message: F)
where
    F: FnMut(Message),
{
    while let Some(Ok(frame)) = stream.next().await {
        match frame {
            tungstenite::Message::Binary(bytes) => {
                match ciborium::from_reader::<Vec<Message>, _>(bytes.as_ref()) {
                    Ok(messages) => messages.into_iter().for_each(&mut on_message),
                    Err(error) => {
                        log::warn!("closing a connection after a malformed frame: {error}");
                        return;
                    }
                }
            }
            tungstenite::Message::Close(_) => return,
            _ => {}
        }
    }
}
