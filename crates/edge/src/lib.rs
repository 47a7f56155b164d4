//! The direct path of a node: routing, selection of leafs, hedging, retries and merging of answers.
//!
//! A node calls leafs itself instead of forwarding requests through other nodes. Limits that hold for all
//! nodes together (connections to leafs, repeated calls) are divided into shares, which each node computes
//! from the number of nodes. [`Edge`] is a state machine without I/O: its inputs are requests, ends of
//! calls and the current time, its outputs are [`Action`]s.

mod action;
mod admission;
mod config;
mod directory;
mod edge;
mod exchange;
mod leaf_notices;
mod ledger_client;
mod merge;
mod plan;
mod proof;
mod request;
mod response_tracker;
mod round_robin;
mod segment;
mod selector;
mod shares;
mod version_moves;
mod versions;

pub use action::{
    Action, Answer, CallOutcome, LeafCall, PassedAnswer, Reply, RequestEvent, RequestHead,
    SegmentAnswer, SegmentHead, Summary, Token,
};
pub use admission::{Admission, LoadSignal};
pub use config::{Config, Gather, Limits, Name, Repeat, Route, Service, Target};
pub use directory::{Directory, LeafEntry, Removal};
pub use edge::{Counts, Edge, EdgeSettings};
pub use exchange::{AnswerHead, Attribution, Exchanges, OwnAnswer};
pub use leaf_notices::{LeafNotice, NoticeTaken};
pub use ledger_client::MovePost;
pub use merge::{RECORD_BYTES, top_records};
pub use plan::PlanId;
pub use proof::{NeverRan, NotRun, NotRunCause, UnwrittenCause, WriteMark};
pub use response_tracker::ResponseTracker;
pub use round_robin::WeightedRoundRobin;
pub use segment::{Peer, SegmentCall};
pub use selector::{LeafFeedback, LeafSelector};
pub use shares::Shares;
pub use version_moves::{MoveCause, MoveCount, MoveDecision, MoveOrder, MoveReport, MoveState};
