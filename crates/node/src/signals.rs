//! Signals of the operating system as messages.

use std::time::Duration;

use compio::runtime::spawn;
use compio::signal::unix::signal;
use compio::time::sleep;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

/// Asks to read the settings again.
const SIGHUP: i32 = 1;
/// Asks for a planned stop.
const SIGTERM: i32 = 15;
/// Time for the tasks to block their signals.
const BLOCK_TIME: Duration = Duration::from_millis(1);

/// Receives a message for each arrival of a signal.
pub type SignalReceiver = mpsc::UnboundedReceiver<()>;

/// `Signals` are the signals that a node obeys.
#[derive(Debug)]
pub struct Signals {
    /// A planned stop is wanted.
    pub stop: SignalReceiver,
    /// The settings are to be read again.
    pub reload: SignalReceiver,
}

impl Signals {
    /// Begins to wait for signals.
    ///
    /// It must be called before anything else is started: threads inherit the mask of the thread that
    /// starts them, and a thread that does not block a signal lets it end the process.
    pub async fn start() -> Self {
        let signals = Self {
            stop: watch(SIGTERM),
            reload: watch(SIGHUP),
        };
        sleep(BLOCK_TIME).await;
        signals
    }
}

fn watch(number: i32) -> SignalReceiver {
    let (sender, receiver) = mpsc::unbounded();
    spawn(async move {
        // Each listener unblocks the signal when it ends, unless another one is left.
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
