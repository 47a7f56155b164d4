//! Runs the direct path, on which a node calls leafs itself instead of through other nodes: network tasks around
//! one [`Edge`](monsoondeal_edge::Edge) state machine.
//!
//! One task, the hub, owns the state machine. `front` serves callers, `leafs` sends calls to leafs,
//! `admin` serves readiness, metrics and the state dump. Configuration, leafs and version moves arrive
//! as [`Update`]s from the platform's adapter, directly or through another node (`relay`).

#![warn(missing_docs)]

mod admin;
mod connections;
mod counters;
mod dial;
mod error;
mod event;
mod front;
mod hub;
mod identity;
mod leafs;
mod logs;
mod notice;
mod relay;
mod segment;
mod settings;

pub use dial::{connect, keep_alive};
pub use error::GatewayError;
pub use event::{
    ReaderMode, ReaderModeSender, StoreCommand, StoreCommandSender, Update, UpdateSender,
};
pub use hub::run;
pub use monsoondeal_member::SourceTiming;
pub use monsoondeal_node::accept::descriptor_limit;
pub use monsoondeal_node::budget::{AnswerMemory, ReadBudget, ReadLimits, Reservation};
pub use monsoondeal_node::client::{Sender, handshake, read_held_body};
pub use monsoondeal_node::signals::{SignalReceiver, Signals};

pub use settings::{GatewaySettings, HeaderNames, StopSettings};
