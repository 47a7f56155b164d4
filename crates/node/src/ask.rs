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

/// Asks like [`ask`], and sends `gone` if the caller stops waiting before the answer.
pub async fn ask_or_cancel<E, T, F>(
    events: &mpsc::UnboundedSender<E>,
    question: F,
    gone: E,
) -> Option<T>
where
    F: FnOnce(oneshot::Sender<T>) -> E,
{
    let mut waiting = Waiting {
        events,
        gone: Some(gone),
    };
    let answer = ask(events, question).await;
    waiting.gone = None;
    answer
}

/// Tells the task that owns the state of a caller that goes away before its answer.
struct Waiting<'a, E> {
    events: &'a mpsc::UnboundedSender<E>,
    /// What to tell; `None` once the answer is there.
    gone: Option<E>,
}

impl<E> Drop for Waiting<'_, E> {
    fn drop(&mut self) {
        if let Some(gone) = self.gone.take() {
            // The owner of the state outlives all other tasks, so a failure means that the process is
            // ending.
            let _ = self.events.unbounded_send(gone);
        }
    }
}
