//! A node of the query tier as one state machine.
//!
//! [`Engine::handle`] takes an [`Input`] and the present time and appends [`Output`]s. It does no
//! I/O and reads no clock, so that the daemon, the tests and the benchmarks drive the same code.
//!
//! The modules form layers; each uses only those above it in this list:
//!
//! - `io`, `message`, `objects`, `settings`, `counts`, `timers`, `event`: types that all parts use;
//! - `config`, `placement`, `links`, `moving`, `job`: the configuration in force, who holds what by the
//!   roster, connections to peers, version moves, and queries to start;
//! - `context`: what all parts share;
//! - `beats` and `shift`: heartbeats and version moves, on the context alone;
//! - the parts, each with its own state. What a part wants from another, it returns or leaves as a
//!   local event:
//!   `roles` (who watches the store and who writes the roster),
//!   `callers` (who waits, and admission),
//!   `queries` (queries and their calls),
//!   `orders` (requests that may run at most once, on their way to their home),
//!   `holder` (calls to leafs whose lease this node holds),
//!   `home` (requests that may run at most once, by idempotency key),
//!   `transfers` (what moves between holders and between homes),
//!   `request` (checks of requests, and responses),
//!   `feed` (objects and fetches of the configuration feed),
//!   `pauses` (pauses of the whole process);
//! - `engine`: the parts together;
//! - `serve`, `members`, `learn`, in this order: requests, membership and the configuration feed across
//!   parts;
//! - `dispatch` and `dump`: inputs to the parts, and the state for operators.

mod beats;
mod callers;
mod config;
mod context;
mod counts;
mod dispatch;
mod dump;
mod engine;
mod event;
mod feed;
mod holder;
mod home;
pub mod io;
mod job;
mod learn;
mod links;
mod members;
pub mod message;
mod moving;
mod objects;
mod orders;
mod pauses;
mod placement;
mod queries;
mod request;
mod roles;
mod serve;
mod settings;
mod shift;
mod timers;
mod transfers;

pub use counts::Counts;
pub use engine::Engine;
pub use io::{Input, Output};
pub use message::Message;
pub use objects::{TREE_KEY, VMS_KEY, VmList, map_key, move_key, roster_key};
pub use request::BODY_LIMIT;
pub use settings::EngineSettings;
