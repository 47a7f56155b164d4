//! Messages of the other tasks to the hub.

use futures_channel::{mpsc, oneshot};
use monsoondeal_engine::Input;
use monsoondeal_engine::io::{LinkId, Request, Response, Token};
use monsoondeal_engine::message::Message;

/// Sender of messages to one connection.
pub type MessageSender = mpsc::UnboundedSender<Message>;

/// `Event` is a message to the hub.
#[derive(Debug)]
pub enum Event {
    /// An input for the engine.
    Input(Input),
    /// A caller's request and the channel for its response.
    Request(Request, oneshot::Sender<Response>),
    /// The caller of a request has disconnected.
    CallerGone(Token),
    /// A peer has opened a connection; messages to it go to the sender.
    LinkUp(LinkId, MessageSender),
    /// Requests the state dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Requests the metrics in text form.
    Metrics(oneshot::Sender<String>),
    /// Requests the readiness: whether load balancers should send callers to this node.
    Ready(oneshot::Sender<bool>),
    /// Requests a planned stop.
    Stop,
}

/// Sender of events to the hub.
pub type EventSender = mpsc::UnboundedSender<Event>;

/// Sends an event. Failures are ignored: the hub outlives all other tasks, so that sending fails only while
/// the process is ending.
pub fn send(events: &EventSender, event: Event) {
    let _ = events.unbounded_send(event);
}
