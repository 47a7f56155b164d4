//! Callers that wait for a response, and admission control of their requests.

use bytes::Bytes;
use monsoondeal_core::{DeterministicMap, Priority, Refusal, Time, UnknownReason};
use monsoondeal_limit::Admission;
use monsoondeal_route::{Answer, LossReason};

use crate::context::Context;
use crate::event::QueryId;
use crate::io::{Output, Response, Token};

/// Work in progress for a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PendingWork {
    Query(QueryId),
    AtMostOnce,
}

/// Callers that wait for a response, and admission control by service.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    pub(crate) pending: DeterministicMap<Token, PendingWork>,
    /// Admission control of the services that have been overloaded.
    admission: DeterministicMap<String, Admission>,
}

impl Callers {
    /// Returns the reason to refuse a request, if the node or the service is overloaded for its
    /// priority. `limit` is the maximum number of requests in flight.
    pub(crate) fn check_admission(
        &mut self,
        limit: usize,
        service: &str,
        priority: Priority,
    ) -> Option<Refusal> {
        let max_requests = match priority {
            Priority::First => limit,
            Priority::Normal => limit * 4 / 5,
            Priority::Bulk => limit / 2,
        };
        if self.pending.len() >= max_requests.max(1) {
            return Some(Refusal::Overload);
        }
        let admission = self.admission.get_mut(service)?;
        (!admission.admit(priority)).then_some(Refusal::Overload)
    }

    /// Records for admission control whether a query lost a group to overload.
    pub(crate) fn record_load(
        &mut self,
        service: &str,
        priority: Priority,
        answer: &Answer<Bytes>,
        now: Time,
    ) {
        let overloaded = answer.lost.iter().any(|(_, loss)| is_overload(loss));
        let admission = self.admission.get_mut(service);
        let admission = match admission {
            Some(admission) => admission,
            None if overloaded => self.admission.entry(service.to_owned()).or_default(),
            None => return,
        };
        admission.record(priority, overloaded, now - answer.elapsed, now);
    }

    /// Responds to a caller, and counts the outcome of its request.
    pub(crate) fn respond(
        &mut self,
        cx: &mut Context,
        token: Token,
        response: Response,
        out: &mut Vec<Output>,
    ) {
        self.pending.remove(&token);
        match &response {
            Response::Answered(answer) => {
                cx.counts.answered += 1;
                cx.counts.full += u64::from(answer.coverage.is_full());
            }
            Response::NotRun(_) => cx.counts.not_run += 1,
            Response::Unknown(_) => cx.counts.unknown += 1,
            Response::Invalid(_) => cx.counts.faults += 1,
        }
        out.push(Output::Respond(token, response));
    }
}

/// Returns whether a group was lost because its leafs could not serve the call in time.
fn is_overload(loss: &LossReason) -> bool {
    match loss {
        LossReason::NotRun(reason) => {
            matches!(reason, Refusal::Overload | Refusal::Cold | Refusal::Expired)
        }
        LossReason::Unknown(reason) => *reason == UnknownReason::Timeout,
        LossReason::Deadline => true,
        LossReason::NoLeaf => false,
    }
}
