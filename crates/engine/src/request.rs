//! Validation of requests, and their responses.

use bytes::Bytes;
use monsoondeal_config::ResolvedSettings;
use monsoondeal_core::{Findings, Refusal, UnknownReason};
use monsoondeal_route::{Answer, LossReason};

use crate::config::Config;
use crate::io::{Request, RequestError, Response};

/// Maximum length of an idempotency or partition key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Maximum length of a request body, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Returns the settings in force for a request, or the error response if it cannot be served.
pub(crate) fn validate(
    request: &Request,
    cell: &str,
    config: &Config,
) -> Result<ResolvedSettings, Response> {
    let Some(tree) = &config.tree else {
        return Err(unconfigured_response(request));
    };
    let Some(service) = tree.services.get(&request.service) else {
        let text = format!("no service '{}'", request.service);
        let findings = Findings::single("request path", text);
        return Err(Response::Invalid(RequestError::NoService(findings)));
    };
    if service.cell != cell {
        let text = format!("service is served by cell '{}'", service.cell);
        let findings = Findings::single("request path", text);
        return Err(Response::Invalid(RequestError::OtherCell(findings)));
    }
    let Some(resolved) = tree.resolve(&request.service, &request.kind) else {
        return Err(unconfigured_response(request));
    };
    let mut findings = Findings::default();
    if !monsoondeal_config::tree::is_name(&request.kind) {
        let rule = monsoondeal_config::tree::NAME_RULE;
        let text = format!("request kind must be {rule}");
        findings.0.extend(Findings::single("request path", text).0);
    }
    if request.body.len() > BODY_LIMIT {
        let text = format!("at most {BODY_LIMIT} bytes are allowed");
        findings.0.extend(Findings::single("request body", text).0);
    }
    for (name, key) in [
        ("idempotency-key", &request.key),
        ("partition-key", &request.partition_key),
    ] {
        if key
            .as_deref()
            .is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES)
        {
            let text = format!("must have 1 to {MAX_KEY_BYTES} bytes");
            findings.0.extend(Findings::single(name, text).0);
        }
    }
    if !resolved.kind.repeatable && request.key.is_none() {
        let text = "is required, since this kind is not repeatable";
        findings
            .0
            .extend(Findings::single("idempotency-key", text).0);
    }
    findings
        .into_result(resolved)
        .map_err(|f| Response::Invalid(RequestError::Malformed(f)))
}

/// Returns the response to a request for which this node has no configuration. This copy of the request
/// was not run, but with an idempotency key another copy may have run.
fn unconfigured_response(request: &Request) -> Response {
    match request.key {
        Some(_) => Response::Unknown(UnknownReason::KeysUnreachable),
        None => Response::NotRun(Refusal::Unreachable),
    }
}

/// Returns the response for the result of a query. If all groups were lost, it is
/// [`Response::Unknown`] if a call may have run, and [`Response::NotRun`] otherwise.
pub(crate) fn query_response(answer: Answer<Bytes>) -> Response {
    if answer.coverage.answered > 0 || answer.lost.is_empty() {
        return Response::Answered(Box::new(answer));
    }
    for (_, loss) in &answer.lost {
        match loss {
            LossReason::Unknown(reason) => return Response::Unknown(*reason),
            LossReason::Deadline => return Response::Unknown(UnknownReason::Timeout),
            LossReason::NotRun(_) | LossReason::NoLeaf => {}
        }
    }
    match answer.lost.first() {
        Some((_, LossReason::NotRun(reason))) => Response::NotRun(*reason),
        _ => Response::NotRun(Refusal::Unreachable),
    }
}
