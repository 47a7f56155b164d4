//! The node daemon: an [`Engine`](monsoondeal_engine::Engine) and the tasks that do its I/O.
//!
//! One task, the hub, owns the engine. The other tasks own sockets and send [`event::Event`]s to the hub:
//!
//! - `callers` serves requests over HTTP;
//! - `admin` serves metrics, the state dump and the readiness check;
//! - `links` accepts connections from peers, `peers` opens connections to them;
//! - `leafs` opens connections to leafs and runs the calls to them;
//! - `store` reads, watches and writes objects in the platform's store.
//!
//! Everything runs on one thread.

pub mod accept;
mod admin;
pub mod ask;
pub mod budget;
mod callers;
pub mod client;
mod counters;
mod error;
pub mod event;
pub mod frame;
mod head;
pub mod http;
mod hub;
mod leafs;
mod links;
pub mod metrics;
pub mod open_guard;
pub mod pages;
mod peers;
pub mod signals;
pub mod store;
pub mod stream;

pub use error::NodeError;
pub use hub::run;
