//! What tasks tell the hub.

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
    /// A caller's request and where its response goes.
    Request(Request, oneshot::Sender<Response>),
    /// A caller that has gone.
    Gone(Token),
    /// A connection that a peer has opened, and how to send on it.
    LinkUp(LinkId, MessageSender),
    /// A wish for the state dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// A wish for the metrics in text form.
    Metrics(oneshot::Sender<String>),
    /// A wish for readiness: whether callers should be sent here.
    Ready(oneshot::Sender<bool>),
    /// A planned stop is wanted.
    Stop,
}

/// Sender of events to the hub.
pub type EventSender = mpsc::UnboundedSender<Event>;

/// Sends an event. The hub outlives all other tasks, so a failure means that the process is ending.
pub fn send(events: &EventSender, event: Event) {
    let _ = events.unbounded_send(event);
}
