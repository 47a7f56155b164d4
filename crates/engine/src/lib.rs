//! A node of the query tier as one state machine.
//!
//! [`Engine::handle`] takes an [`Input`] and the present time and appends [`Output`]s. It does no
//! I/O and reads no clock, so that the daemon, the tests and the benchmarks drive the same code.
//!
//! The parts of the engine, each in a module of its own:
//!
//! - `placement`: who holds what, from the roster;
//! - `control`: the configuration feed, heartbeats and connections to peers;
//! - `roles`: who watches the store and who writes the roster;
//! - `entry`: requests of callers and the queries made from them;
//! - `orders`: requests that may run at most once, on their way to their home;
//! - `shift`: version moves;
//! - `holder`: calls to leafs whose lease this node holds;
//! - `home`: requests that may run at most once, by idempotency key.

mod control;
mod counts;
mod dump;
mod engine;
mod entry;
mod event;
mod holder;
mod home;
pub mod io;
mod links;
pub mod message;
mod objects;
mod orders;
mod placement;
mod roles;
mod settings;
mod shift;
mod timers;

pub use counts::Counts;
pub use engine::Engine;
pub use entry::BODY_LIMIT;
pub use io::{Input, Output};
pub use message::Message;
pub use objects::{TREE_KEY, VMS_KEY, VmList, map_key, move_key, roster_key};
pub use settings::EngineSettings;
