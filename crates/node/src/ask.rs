//! Questions to the task that owns the state.

use futures_channel::{mpsc, oneshot};

/// Sends an event that carries a question, and waits for the answer; `None` if the task has ended.
pub async fn ask<E, T, F>(events: &mpsc::UnboundedSender<E>, question: F) -> Option<T>
where
    F: FnOnce(oneshot::Sender<T>) -> E,
{
    let (sender, receiver) = oneshot::channel();
    events.unbounded_send(question(sender)).ok()?;
    receiver.await.ok()
}
