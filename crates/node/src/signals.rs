//! Delivers signals of the operating system as messages.

use std::time::Duration;

use compio::runtime::spawn;
use compio::signal::unix::signal;
use compio::time::sleep;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

/// Requests a reload of the settings.
const SIGHUP: i32 = 1;
/// Requests a planned stop.
const SIGTERM: i32 = 15;
/// Time for the spawned tasks to block their signals.
const BLOCK_TIME: Duration = Duration::from_millis(1);

/// Receives a message each time that a signal arrives.
pub type SignalReceiver = mpsc::UnboundedReceiver<()>;

/// `Signals` are the receivers of the signals that a node handles.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM, which requests a planned stop.
    pub stop: SignalReceiver,
    /// SIGHUP, which requests a reload of the settings.
    pub reload: SignalReceiver,
}

impl Signals {
    /// Starts to listen for signals.
    ///
    /// This must be called before anything else is started: threads inherit the signal mask of the thread
    /// that starts them, and a signal that is delivered to a thread that does not block it ends the process.
    pub async fn start() -> Self {
        let signals = Self {
            stop: listen(SIGTERM),
            reload: listen(SIGHUP),
        };
        sleep(BLOCK_TIME).await;
        signals
    }
}

fn listen(number: i32) -> SignalReceiver {
    let (sender, receiver) = mpsc::unbounded();
    spawn(async move {
        // A listener unblocks the signal when it ends, unless there is another one, so two are kept.
        let mut listeners = FuturesUnordered::new();
        listeners.push(signal(number));
        listeners.push(signal(number));
        while let Some(arrival) = listeners.next().await {
            match arrival {
                Ok(()) => listeners.push(signal(number)),
                Err(error) => log::error!("cannot wait for signal {number}: {error}"),
            }
            if sender.unbounded_send(()).is_err() {
                return;
            }
        }
    })
    .detach();
    receiver
}
