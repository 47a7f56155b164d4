//! The node daemon: tasks that own sockets around one [`Engine`](monsoondeal_engine::Engine).
//!
//! One task, the hub, owns the engine. All others own a socket each and talk to the hub by
//! [`event::Event`]s:
//!
//! - `callers` serves requests over HTTP;
//! - `admin` serves metrics, the state dump and the readiness check;
//! - `links` accepts connections of peers, `peers` opens them;
//! - `leafs` keeps the connections to leafs;
//! - `store` reads, watches and writes objects of the platform.
//!
//! Everything runs on one thread.

mod admin;
pub mod ask;
mod callers;
pub mod client;
mod counters;
mod error;
pub mod event;
pub mod frame;
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
