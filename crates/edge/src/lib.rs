//! The direct path of a node: routes, the choice of leafs, hedges, retries and gathered answers.
//!
//! A node calls leafs without a detour through other nodes. What all nodes may use together
//! (connections, repeats) is divided into shares that each node works out by itself from the number
//! of nodes. [`Edge`] is a state machine without I/O: requests, ends of calls and the time go in,
//! [`Action`]s come out.

mod action;
mod admission;
mod config;
mod directory;
mod edge;
mod ledger_client;
mod merge;
mod request;
mod response_tracker;
mod round_robin;
mod segment;
mod selector;
mod shares;
mod version_moves;
mod versions;

pub use action::{
    Action, Answer, CallOutcome, LeafCall, Reply, RequestEvent, RequestHead, Summary, Token,
};
pub use admission::{Admission, LoadSignal};
pub use config::{Config, Gather, Limits, Name, Repeat, Route, Service, Target};
pub use directory::{Directory, LeafEntry, Removal};
pub use edge::{Counts, Edge, EdgeSettings};
pub use ledger_client::MovePost;
pub use merge::{RECORD_BYTES, top_records};
pub use response_tracker::ResponseTracker;
pub use round_robin::WeightedRoundRobin;
pub use segment::{Peer, SegmentCall};
pub use selector::{LeafFeedback, LeafSelector};
pub use shares::Shares;
pub use version_moves::{MoveCause, MoveCount, MoveDecision, MoveOrder, MoveReport, MoveState};
