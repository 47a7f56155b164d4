//! Errors of the daemon.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use crate::metrics::MetricsError;

quick_error! {
    /// `NodeError` is the reason why a node could not start or continue.
    #[derive(Debug)]
    pub enum NodeError {
        /// A listening address could not be bound.
        Bind(purpose: &'static str, addr: SocketAddr, source: io::Error) {
            display("cannot listen for {purpose} on {addr}: {source}")
            source(source)
        }
        /// The signal handler could not be installed.
        Signal(source: io::Error) {
            display("cannot wait for signals: {source}")
            source(source)
        }
        /// The metrics could not be set up.
        Metrics(source: MetricsError) {
            from()
            display("{source}")
            source(source)
        }
    }
}
