//! The direct path as a daemon: tasks that own sockets around one [`Edge`](monsoondeal_edge::Edge).
//!
//! One task, the hub, owns the state machine. `front` serves callers, `leafs` carries calls to leafs,
//! `admin` serves readiness, metrics and the state dump. What the node believes of its surroundings
//! arrives as [`Update`]s from whoever knows the platform.

#![warn(missing_docs)]

mod admin;
mod counters;
mod dial;
mod error;
mod event;
mod front;
mod hub;
mod identity;
mod leafs;
mod logs;
mod relay;
mod segment;
mod settings;

pub use dial::{connect, keep_alive};
pub use error::GatewayError;
pub use event::{
    MoveCommand, MoveCommandSender, ReaderMode, ReaderModeSender, Update, UpdateSender,
};
pub use hub::run;
pub use monsoondeal_node::client::{handshake, read_body};
pub use monsoondeal_node::signals::{SignalReceiver, Signals};

pub use settings::{GatewaySettings, HeaderNames, StopSettings};
