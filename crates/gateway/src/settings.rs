//! Settings of the gateway.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderName;
use monsoondeal_edge::EdgeSettings;

/// `HeaderNames` are the header fields that callers, the node and leafs agree on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller; leafs echo it.
    pub request_id: HeaderName,
    /// How long the sender waits, in milliseconds.
    pub deadline: HeaderName,
    /// Signature of a leaf on its answer.
    pub stamp: HeaderName,
    /// Leaf that a call is meant for; any other one refuses it.
    pub instance: HeaderName,
    /// Name of the leaf that answers a check, or that refuses a call meant for another one.
    pub identity: HeaderName,
    /// Set by a leaf that did not run a call.
    pub not_run: HeaderName,
    /// Signatures of the parts of a merged response.
    pub parts: HeaderName,
    /// Number of shards that a merged response leaves out.
    pub missing: HeaderName,
}

/// `StopSettings` are the stages of a planned stop, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// How long new connections are still accepted, until balancers have noticed.
    pub accept_duration: Duration,
    /// When requests still under way are ended and the process exits.
    pub max_duration: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            accept_duration: Duration::from_millis(2_500),
            max_duration: Duration::from_secs(10),
        }
    }
}

/// `GatewaySettings` are the settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Path of the question for readiness.
    pub ready_path: &'static str,
    /// Where metrics and the state dump are served.
    pub admin: SocketAddr,
    /// Where other nodes ask for segments of queries.
    pub peers: SocketAddr,
    /// Where other nodes ask for updates.
    pub updates: SocketAddr,
    /// Names of header fields.
    pub headers: HeaderNames,
    /// The direct path.
    pub edge: EdgeSettings,
    /// Stages of a planned stop.
    pub stop: StopSettings,
    /// Failure domain of the VM, for the log.
    pub domain: String,
    /// Name of the VM, for the log.
    pub vm: String,
}
