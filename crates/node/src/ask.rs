//! Events that carry a channel for their reply, sent to the task that owns the state.

use futures_channel::{mpsc, oneshot};

/// Sends an event with a reply channel, and waits for the reply. Returns `None` if the receiving task
/// has ended.
pub async fn ask<E, T, F>(events: &mpsc::UnboundedSender<E>, make_event: F) -> Option<T>
where
    F: FnOnce(oneshot::Sender<T>) -> E,
{
    let (sender, receiver) = oneshot::channel();
    events.unbounded_send(make_event(sender)).ok()?;
    receiver.await.ok()
}

/// Sends an event like [`ask`], and also sends `cancel` if the future is dropped before the reply arrives.
pub async fn ask_or_cancel<E, T, F>(
    events: &mpsc::UnboundedSender<E>,
    make_event: F,
    cancel: E,
) -> Option<T>
where
    F: FnOnce(oneshot::Sender<T>) -> E,
{
    let mut guard = CancelOnDrop {
        events,
        cancel: Some(cancel),
    };
    let reply = ask(events, make_event).await;
    guard.cancel = None;
    reply
}

/// Sends an event when it is dropped, unless the reply has arrived.
struct CancelOnDrop<'a, E> {
    events: &'a mpsc::UnboundedSender<E>,
    /// Event to send; `None` once the reply has arrived.
    cancel: Option<E>,
}

impl<E> Drop for CancelOnDrop<'_, E> {
    fn drop(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            // The receiving task outlives all others, so sending fails only while the process is ending.
            let _ = self.events.unbounded_send(cancel);
        }
    }
}
