//! Which call on a connection an answer belongs to.
//!
//! A leaf may send a second copy of an answer, late: where the next answer on the connection is expected. Answers
//! name the request that they belong to, but a request may be sent to the same leaf again, and some answers name
//! none. An answer is used only if it cannot be the copy of an earlier one.

use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::proof::{NotRun, NotRunCause};

/// Number of requests of a connection that are remembered. Within the life of one request a connection carries far
/// fewer calls.
const MAX_REMEMBERED: usize = 64;
/// Status with which a leaf answers a call that is intended for another one.
const MISDIRECTED: u16 = 421;

/// `AnswerHead` holds the parts of an answer's head that tell where it belongs and what it states.
#[derive(Clone, Copy, Debug)]
pub struct AnswerHead<'a> {
    /// Status code.
    pub status: u16,
    /// Identity of the request that the answer names, if it names one.
    pub id: Option<&'a [u8]>,
    /// Whether the answer states that the request was not run.
    pub is_marked: bool,
    /// Whether the answer bears a leaf's signature.
    pub is_signed: bool,
}

impl AnswerHead<'_> {
    /// Returns whether an answer to something else than a call could be taken for an unnamed answer to a call. No
    /// call must follow it on its connection.
    pub fn resembles_call_answer(&self) -> bool {
        self.is_marked || self.is_signed || self.status == MISDIRECTED
    }
}

/// `Exchanges` is what one connection has carried.
#[derive(Clone, Debug, Default)]
pub struct Exchanges {
    /// Digests of the identities of the latest requests, oldest first. At most [`MAX_REMEMBERED`].
    requests: VecDeque<u64>,
}

/// `Attribution` tells which call an answer belongs to.
#[derive(Debug, PartialEq, Eq)]
pub enum Attribution {
    /// The answer belongs to the latest call.
    Own(OwnAnswer),
    /// The answer names another request. The answer to the latest call is unknown.
    Foreign,
    /// The answer may be the copy of an earlier one. The answer to the latest call is unknown.
    Ambiguous,
}

/// `OwnAnswer` is the head of an answer that belongs to the latest call on its connection.
#[derive(Debug, PartialEq, Eq)]
pub struct OwnAnswer {
    status: u16,
    is_named: bool,
    is_marked: bool,
    is_signed: bool,
}

impl Exchanges {
    /// Returns whether a call of a request may be sent: no other call of that request was sent before, so the
    /// request's identity tells the answers of the connection apart.
    pub fn may_carry(&self, id: &[u8]) -> bool {
        !self.requests.contains(&digest(id))
    }

    /// Records that a call of a request is sent.
    pub fn begin(&mut self, id: &[u8]) {
        if self.requests.len() == MAX_REMEMBERED {
            self.requests.pop_front();
        }
        self.requests.push_back(digest(id));
    }

    /// Returns where an answer belongs that arrives after a call of the request `id` was sent. A connection must not
    /// be used again after an answer that is not [`Own`](Attribution::Own), or that is unnamed.
    pub fn attribute(&self, id: &[u8], head: AnswerHead<'_>) -> Attribution {
        let is_only = self.requests.iter().filter(|sent| **sent == digest(id));
        let is_only = is_only.count() <= 1;
        let own = match head.id {
            Some(named) if named != id => return Attribution::Foreign,
            Some(_) => is_only,
            // Earlier answers to calls were named, and the copy of an identity check's is no answer to a call.
            None => true,
        };
        if !own {
            return Attribution::Ambiguous;
        }
        Attribution::Own(OwnAnswer {
            status: head.status,
            is_named: head.id.is_some(),
            is_marked: head.is_marked,
            is_signed: head.is_signed,
        })
    }
}

impl OwnAnswer {
    /// Returns whether the answer names its request. If not, a copy of it could not be told from the answer to the
    /// next call on the connection.
    pub fn is_named(&self) -> bool {
        self.is_named
    }

    /// Returns whether the answer comes from the intended leaf.
    pub fn is_from_leaf(&self) -> bool {
        self.status != MISDIRECTED && (self.is_named || self.is_marked || self.is_signed)
    }

    /// Returns the proof that the call has not run, if the answer states it: it is marked so, or it is an unsigned
    /// answer of another leaf. A status alone proves nothing: leafs also fail calls that they have run.
    pub fn refusal(&self) -> Option<NotRun> {
        if self.status == MISDIRECTED && (self.is_marked || !self.is_signed) {
            return Some(NotRun::answered(NotRunCause::Misdirected));
        }
        self.is_marked
            .then(|| NotRun::answered(NotRunCause::Refused))
    }
}

fn digest(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
