//! HTTP interface for callers: `POST /v1/{service}/{kind}`.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request as HttpRequest, Response as HttpResponse, StatusCode};
use monsoondeal_core::{Coverage, Findings, Snapshot};
use monsoondeal_engine::BODY_LIMIT;
use monsoondeal_engine::io::{Request, RequestError, Response, Token};
use monsoondeal_route::Answer;
use monsoondeal_route::LossReason;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::accept::Acceptor;
use crate::ask::ask_or_cancel;
use crate::event::{Event, EventSender};
use crate::http::{self, Body, header};
use crate::open_guard::OpenGuard;

/// Prefix of the request path.
const PATH_PREFIX: &str = "/v1/";

/// State shared by the callers' connections and the hub.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerState {
    /// Set while the node stops: responses then close their connection.
    pub(crate) is_stopping: Rc<Cell<bool>>,
    /// Requests whose response has not been handed to the connection yet.
    pub(crate) open_requests: Rc<Cell<usize>>,
    next_token: Rc<Cell<u64>>,
}

/// Serves callers until the process ends.
pub(crate) async fn listen(acceptor: Acceptor, state: CallerState, events: EventSender) {
    // The oldest connection may have a request under way, so none is closed for another one.
    http::listen(acceptor, usize::MAX, move |request| {
        handle(request, state.clone(), events.clone())
    })
    .await;
}

async fn handle(
    request: HttpRequest<Incoming>,
    state: CallerState,
    events: EventSender,
) -> HttpResponse<Body> {
    let _open = OpenGuard::new(&state.open_requests);
    let token = Token(state.next_token.get());
    state.next_token.set(token.0 + 1);
    let mut response = match read_request(request, token).await {
        Ok(request) => {
            let make_event = |sender| Event::Request(request, sender);
            render_response(ask_or_cancel(&events, make_event, Event::CallerGone(token)).await)
        }
        Err((status, findings)) => http::json(status, &Failure::bad_request(&findings)),
    };
    if state.is_stopping.get() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(hyper::header::CONNECTION, close);
    }
    response
}

async fn read_request(
    request: HttpRequest<Incoming>,
    token: Token,
) -> Result<Request, (StatusCode, Findings)> {
    let path = request.uri().path().to_owned();
    let segments = path
        .strip_prefix(PATH_PREFIX)
        .and_then(|rest| rest.split_once('/'));
    let Some((service, kind)) = segments else {
        let text = format!("'{path}' must be {PATH_PREFIX}SERVICE/KIND");
        return Err((
            StatusCode::NOT_FOUND,
            Findings::single("request path", text),
        ));
    };
    if request.method() != Method::POST {
        let text = format!("must be POST, not {}", request.method());
        let findings = Findings::single("request method", text);
        return Err((StatusCode::METHOD_NOT_ALLOWED, findings));
    }

    let mut findings = Findings::default();
    let headers = request.headers();
    let key = read_header(headers, header::IDEMPOTENCY_KEY, &mut findings);
    let partition_key = read_header(headers, header::PARTITION_KEY, &mut findings);
    let deadline = read_deadline(headers, &mut findings);
    findings
        .into_result(())
        .map_err(|f| (StatusCode::BAD_REQUEST, f))?;

    let (service, kind) = (service.to_owned(), kind.to_owned());
    let Ok(body) = Limited::new(request.into_body(), BODY_LIMIT)
        .collect()
        .await
    else {
        let text = format!("must arrive whole and have at most {BODY_LIMIT} bytes");
        let findings = Findings::single("request body", text);
        return Err((StatusCode::PAYLOAD_TOO_LARGE, findings));
    };
    let body = body.to_bytes();
    Ok(Request {
        token,
        service,
        kind,
        key,
        partition_key,
        deadline,
        body,
    })
}

fn read_header(headers: &HeaderMap, name: &str, findings: &mut Findings) -> Option<String> {
    let value = headers.get(name)?;
    if headers.get_all(name).iter().count() > 1 {
        findings
            .0
            .extend(Findings::single(name, "stands more than once").0);
        return None;
    }
    match value.to_str() {
        Ok(text) => Some(text.to_owned()),
        Err(_) => {
            let text = "must consist of visible ASCII characters";
            findings.0.extend(Findings::single(name, text).0);
            None
        }
    }
}

fn read_deadline(headers: &HeaderMap, findings: &mut Findings) -> Option<Duration> {
    let text = read_header(headers, header::DEADLINE, findings)?;
    match text.parse() {
        Ok(millis) if millis > 0 => Some(Duration::from_millis(millis)),
        _ => {
            let text = "must be a whole number of milliseconds above 0";
            findings
                .0
                .extend(Findings::single(header::DEADLINE, text).0);
            None
        }
    }
}

/// Body of a response with an answer.
#[derive(Serialize)]
struct Success<'a> {
    outcome: &'static str,
    snapshot: Snapshot,
    coverage: Coverage,
    parts: Vec<Part<'a>>,
    lost: Vec<LostGroup>,
    waited: QueryStats,
}

#[derive(Serialize)]
struct Part<'a> {
    group: u32,
    data: &'a RawValue,
}

#[derive(Serialize)]
struct LostGroup {
    group: u32,
    reason: String,
}

#[derive(Serialize)]
struct QueryStats {
    micros: u64,
    slowest_group: Option<u32>,
    slowest_micros: u64,
    calls: u32,
    hedges: u32,
}

/// Body of a response without an answer.
#[derive(Serialize)]
struct Failure<'a> {
    outcome: &'static str,
    reason: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<&'a Findings>,
}

impl<'a> Failure<'a> {
    fn new(outcome: &'static str, reason: impl ToString) -> Self {
        Self {
            outcome,
            reason: reason.to_string(),
            findings: None,
        }
    }

    fn bad_request(findings: &'a Findings) -> Self {
        Self {
            outcome: "not_run",
            reason: "bad request".to_owned(),
            findings: Some(findings),
        }
    }
}

fn render_response(response: Option<Response>) -> HttpResponse<Body> {
    match response {
        Some(Response::Answered(answer)) => http::json(StatusCode::OK, &success(&answer)),
        Some(Response::NotRun(reason)) => http::json(
            StatusCode::SERVICE_UNAVAILABLE,
            &Failure::new("not_run", reason),
        ),
        Some(Response::Unknown(reason)) => http::json(
            StatusCode::GATEWAY_TIMEOUT,
            &Failure::new("unknown", reason),
        ),
        Some(Response::Invalid(error)) => {
            let (status, findings) = match &error {
                RequestError::NoService(findings) => (StatusCode::NOT_FOUND, findings),
                RequestError::Malformed(findings) => (StatusCode::BAD_REQUEST, findings),
                RequestError::OtherCell(findings) => (StatusCode::MISDIRECTED_REQUEST, findings),
            };
            http::json(status, &Failure::bad_request(findings))
        }
        // The hub has ended, so the outcome of the request is unknown.
        None => http::json(
            StatusCode::GATEWAY_TIMEOUT,
            &Failure::new("unknown", "node stopped"),
        ),
    }
}

fn success(answer: &Answer<bytes::Bytes>) -> Success<'_> {
    let parts = answer.parts.iter().filter_map(|(group, body)| {
        let data = serde_json::from_slice(body).ok()?;
        Some(Part {
            group: *group,
            data,
        })
    });
    let lost = answer.lost.iter().map(|(group, loss)| {
        let reason = match loss {
            LossReason::NotRun(reason) => reason.to_string(),
            LossReason::Unknown(reason) => reason.to_string(),
            LossReason::NoLeaf => "no leaf may be called".to_owned(),
            LossReason::Deadline => "deadline passed".to_owned(),
        };
        LostGroup {
            group: *group,
            reason,
        }
    });
    let (slowest_group, slowest) = answer.slowest.unzip();
    Success {
        outcome: "answered",
        snapshot: answer.snapshot,
        coverage: answer.coverage,
        parts: parts.collect(),
        lost: lost.collect(),
        waited: QueryStats {
            micros: answer.elapsed.as_micros() as u64,
            slowest_group,
            slowest_micros: slowest.unwrap_or_default().as_micros() as u64,
            calls: answer.calls,
            hedges: answer.hedges,
        },
    }
}
