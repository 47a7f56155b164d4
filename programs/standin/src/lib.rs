//! Stand-ins for the systems around the query tier: the platform's object API, leafs and callers.
//!
//! For tests and the demo only. Each speaks the published protocol over loopback through the same
//! libraries as the node daemon, and can inject the faults that the real systems show.

pub mod caller;
pub mod endless;
pub mod leaf;
pub mod ports;
pub mod process;
pub mod serve;
pub mod store;
pub mod system;
