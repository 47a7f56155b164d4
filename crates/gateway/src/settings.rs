//! Settings of the gateway.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderName;
use monsoondeal_edge::EdgeSettings;
use monsoondeal_member::SourceTiming;

/// `HeaderNames` are the names of the header fields shared by callers, the node and leafs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller; leafs echo it.
    pub request_id: HeaderName,
    /// How long the sender waits, in milliseconds.
    pub deadline: HeaderName,
    /// Signature of a leaf on its answer.
    pub signature: HeaderName,
    /// Leaf that a call is intended for; any other leaf refuses the call.
    pub instance: HeaderName,
    /// Name of the leaf that answers an identity check, or that refuses a call intended for another leaf.
    pub identity: HeaderName,
    /// Set by a leaf that did not run a call.
    pub not_run: HeaderName,
    /// Set to `1` by a leaf that is leaving.
    pub leaving: HeaderName,
    /// Signatures of the parts of a merged response.
    pub parts: HeaderName,
    /// Number of shards that a merged response leaves out.
    pub missing: HeaderName,
}

/// `StopSettings` are the stages of a planned stop, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// How long new connections are still accepted, so that load balancers notice the withdrawn readiness.
    pub accept_duration: Duration,
    /// Time after which requests still under way are ended and the process exits.
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
    /// Address at which callers connect.
    pub front: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub readiness: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Address at which metrics and the state dump are served.
    pub admin: SocketAddr,
    /// Address at which other nodes request segments of queries.
    pub peers: SocketAddr,
    /// Address at which other nodes follow this one for updates.
    pub updates: SocketAddr,
    /// Names of header fields.
    pub headers: HeaderNames,
    /// Settings of the direct path.
    pub edge: EdgeSettings,
    /// Stages of a planned stop.
    pub stop: StopSettings,
    /// How soon nodes notice that those they follow are lost.
    pub source_timing: SourceTiming,
    /// File descriptors that connections may use.
    pub descriptors: usize,
    /// Failure domain of the VM, for the log.
    pub domain: String,
    /// Name of the VM, for the log.
    pub vm: String,
}
