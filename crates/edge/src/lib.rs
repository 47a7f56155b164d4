//! The direct path of a node: routes, the choice of leafs, hedges, retries and gathered answers.
//!
//! A node calls leafs without a detour through other nodes. What all nodes may use together
//! (connections, repeats) is divided into shares that each node works out by itself from the number
//! of nodes. [`Edge`] is a state machine without I/O: requests, ends of calls and the time go in,
//! [`Action`]s come out.

mod action;
mod admit;
mod choice;
mod config;
mod directory;
mod edge;
mod job;
mod merge;
mod pace;
mod segment;
mod share;
mod shift;
mod split;
mod trial;
mod versions;

pub use action::{Action, Answer, CallEnd, Inquiry, Note, Reply, Send, Summary, Token};
pub use admit::{Admission, Sign};
pub use choice::{Choice, Verdict};
pub use config::{Config, Gather, Limits, Name, Repeat, Route, Service, Target};
pub use directory::{Directory, LeafEntry, Removal};
pub use edge::{Counts, Edge, EdgeSettings};
pub use merge::{RECORD_BYTES, top_records};
pub use pace::Pace;
pub use segment::{Peer, SegmentCall};
pub use share::Shares;
pub use shift::{MoveCause, MoveCount, MoveDecision, MoveOrder, MoveReport, MoveState};
pub use split::Splits;
pub use trial::MovePost;
