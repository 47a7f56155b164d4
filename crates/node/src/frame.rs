//! Frames on the connections between nodes: one WebSocket message holds a CBOR list of messages.

use bytes::Bytes;
use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_channel::mpsc;
use futures_util::future::ready;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Maximum number of messages in one frame.
const MAX_FRAME_MESSAGES: usize = 128;
/// Maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A WebSocket over TCP.
pub type Socket = WebSocketStream<Compat<AsyncStream<TcpStream>>>;

/// Wraps a TCP connection for the WebSocket library.
pub fn wrap(stream: TcpStream) -> Compat<AsyncStream<TcpStream>> {
    // Without this, small frames would be held back until more data is written.
    let _ = stream.set_nodelay(true);
    AsyncStream::new(stream).compat()
}

/// Returns the WebSocket configuration, which limits the size of frames.
pub fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Encodes messages as the content of one frame. Logs a failure and returns `None`.
pub fn encode<M>(batch: &[M]) -> Option<Bytes>
where
    M: Serialize,
{
    let mut bytes = Vec::new();
    match ciborium::into_writer(batch, &mut bytes) {
        Ok(()) => Some(Bytes::from(bytes)),
        Err(error) => {
            log::error!("cannot encode messages: {error}");
            None
        }
    }
}

/// Writes messages until the sender is dropped or the connection fails.
pub async fn write_messages<M>(
    sink: &mut SplitSink<Socket, tungstenite::Message>,
    messages: mpsc::UnboundedReceiver<M>,
) where
    M: Serialize,
{
    let batches = messages.ready_chunks(MAX_FRAME_MESSAGES);
    let frames = batches.filter_map(|batch| ready(encode(&batch)));
    write_frames(sink, frames).await;
}

/// Writes encoded frames until they end or the connection fails.
pub async fn write_frames<F>(sink: &mut SplitSink<Socket, tungstenite::Message>, mut frames: F)
where
    F: Stream<Item = Bytes> + Unpin,
{
    while let Some(bytes) = frames.next().await {
        if sink
            .send(tungstenite::Message::Binary(bytes))
            .await
            .is_err()
        {
            return;
        }
    }
    let _ = sink.close().await;
}

/// Reads messages and passes each to `on_message`, until the connection ends or a frame does not contain
/// a list of messages.
pub async fn read_messages<M, F>(stream: &mut SplitStream<Socket>, mut on_message: F)
where
    M: DeserializeOwned,
    F: FnMut(M),
{
    while let Some(Ok(frame)) = stream.next().await {
        match frame {
            tungstenite::Message::Binary(bytes) => {
                match ciborium::from_reader::<Vec<M>, _>(bytes.as_ref()) {
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
