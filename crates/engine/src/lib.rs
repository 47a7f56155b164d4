//! A node of the query tier as one state machine.
//!
//! [`Engine::handle`] takes an [`Input`] and the present time and appends [`Output`]s. It does no
//! I/O and reads no clock, so that the daemon, the tests and the benchmarks drive the same code.
//!
//! The modules form layers; each uses only those above it in this list:
//!
//! - `io`, `message`, `objects`, `settings`, `counts`, `timers`, `event`: types that all components use;
//! - `config`, `placement`, `links`, `local_move`, `query`: the configuration in force, the holders of
//!   leafs and idempotency keys, connections to peers, version moves, and start and result of queries;
//! - `context`: state that all components share;
//! - `heartbeats` and `version_moves`: heartbeats and version moves, which need only the context;
//! - the components, each with its own state. They don't call each other: a component returns a result
//!   or queues a local event:
//!   `roles` (which members watch the store and write the roster),
//!   `callers` (requests that wait for a response, and admission control),
//!   `queries` (queries and their calls),
//!   `at_most_once` (at-most-once requests at their entry node),
//!   `holder` (calls to leafs whose lease this node holds),
//!   `home` (at-most-once requests at the home node of their idempotency key),
//!   `transfers` (state handed over to new holders and home nodes),
//!   `request` (validation of requests, and responses),
//!   `config_feed` (fetches and parse errors of the configuration feed),
//!   `pause_detector` (pauses of the whole process);
//! - `engine`: the struct that owns the components;
//! - `serve`, `membership`, `config_updates`, in this order: handling of requests, membership and
//!   configuration updates that involves several components;
//! - `dispatch` and `dump`: routing of inputs to the components, and the state dump for operators.

mod at_most_once;
mod callers;
mod config;
mod config_feed;
mod config_updates;
mod context;
mod counts;
mod dispatch;
mod dump;
mod engine;
mod event;
mod heartbeats;
mod holder;
mod home;
pub mod io;
mod links;
mod local_move;
mod membership;
pub mod message;
mod objects;
mod pause_detector;
mod placement;
mod queries;
mod query;
mod request;
mod roles;
mod serve;
mod settings;
mod timers;
mod transfers;
mod version_moves;

pub use counts::Counts;
pub use engine::Engine;
pub use io::{Input, Output};
pub use message::Message;
pub use objects::{TREE_KEY, VMS_KEY, VmList, map_key, move_key, roster_key};
pub use request::BODY_LIMIT;
pub use settings::EngineSettings;
