//! Errors of the gateway.

use std::io;
use std::net::SocketAddr;

use monsoondeal_node::metrics::MetricsError;
use quick_error::quick_error;

quick_error! {
    /// `GatewayError` is the reason why a gateway could not start.
    #[derive(Debug)]
    pub enum GatewayError {
        /// A listening address could not be bound.
        Bind(purpose: &'static str, addr: SocketAddr, source: io::Error) {
            display("cannot listen for {purpose} on {addr}: {source}")
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
