//! Calls to leafs. Each call has a task of its own; between calls the hub keeps the connections.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use monsoondeal_edge::{
    Answer, AnswerHead, Attribution, CallOutcome, Exchanges, LeafCall, LeafNotice, NotRunCause,
    OwnAnswer, SegmentAnswer, UnwrittenCause, WriteMark,
};
use monsoondeal_node::accept::is_shortage;
use monsoondeal_node::budget::{AnswerMemory, ReadBudget, ReadLimits};
use monsoondeal_node::client::{AnswerError, MAX_ANSWER_BYTES, Sender, handshake, read_held_body};

use crate::dial;
use crate::event::{Event, EventSender, InboundRequest, send};
use crate::identity::{Identity, identify};
use crate::notice::leaf_notice;
use crate::segment;
use crate::settings::HeaderNames;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection may be idle if the leaf sends no `Keep-Alive` field.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the leaf's idle timeout within which a connection is reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// How long a connection may have been idle for a call that may run only once. If the leaf closed the idle
/// connection while the call is sent, the outcome would be unknown.
const AT_MOST_ONCE_IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Header fields that concern one connection only.
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "upgrade",
    "expect",
];

/// `Connection` is an open connection to a leaf without a call on it.
#[derive(Debug)]
pub(crate) struct Connection {
    link: Link,
    idle_since: Instant,
    idle_timeout: Duration,
}

/// The sending side of a connection, and what the connection has carried.
#[derive(Debug)]
struct Link {
    sender: Sender,
    /// Counts the bytes of the answer under way.
    memory: AnswerMemory,
    exchanges: Exchanges,
}

impl Connection {
    /// Returns whether the connection may be used for a call.
    fn is_usable(&self, at_most_once: bool) -> bool {
        let idle = self.idle_since.elapsed();
        let limit = if at_most_once {
            self.idle_timeout.min(AT_MOST_ONCE_IDLE_TIMEOUT)
        } else {
            self.idle_timeout
        };
        idle < limit && self.link.sender.is_ready()
    }
}

/// Takes a connection for a call of the request `id` out of those without a call.
pub(crate) fn take_idle(
    idle: &mut Vec<Connection>,
    id: &[u8],
    at_most_once: bool,
) -> Option<Connection> {
    idle.retain(|connection| connection.is_usable(false));
    let may_carry = |connection: &Connection| connection.link.exchanges.may_carry(id);
    let is_suitable = |c: &Connection| c.is_usable(at_most_once) && may_carry(c);
    if let Some(at) = idle.iter().rposition(is_suitable) {
        return Some(idle.remove(at));
    }
    // A new connection replaces one that has carried a call of the request: the leaf accepts only so many.
    if let Some(at) = idle.iter().position(|connection| !may_carry(connection)) {
        idle.remove(at);
    }
    None
}

/// What became of the connection of a call that ended.
#[derive(Debug)]
pub(crate) enum ConnectionEnd {
    /// It may be used again.
    Kept(Connection),
    /// It is closed.
    Closed(CloseCause),
}

/// Why a connection to a leaf is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseCause {
    /// It was not open, broke off, or brought something that is no usable answer.
    Failed,
    /// The leaf closes it.
    Announced,
    /// Another leaf is at the other end.
    Misdirected,
    /// The answer names another request.
    Foreign,
    /// The answer may be the copy of an earlier one.
    Ambiguous,
    /// The answer names no request, so a copy of it could be taken for the next answer.
    Unnamed,
    /// The answers under way take too much memory together.
    NoMemory,
}

impl CloseCause {
    /// Returns the name for logs, if the cause is one that no sound leaf gives.
    pub(crate) fn log_name(self) -> Option<&'static str> {
        match self {
            Self::Failed | Self::Announced | Self::Misdirected => None,
            Self::Foreign => Some("answer to another request"),
            Self::Ambiguous => Some("answer may be a copy"),
            Self::Unnamed => Some("answer names no request"),
            Self::NoMemory => Some("answers under way take too much memory"),
        }
    }
}

/// An outcome after which the connection is closed, or was never open.
fn closed(outcome: CallOutcome) -> (ConnectionEnd, CallOutcome) {
    (ConnectionEnd::Closed(CloseCause::Failed), outcome)
}

/// Removes the header fields that concern one connection only.
pub(crate) fn strip_connection_fields(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_FIELDS {
        headers.remove(name);
    }
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
}

/// `CallTask` is what a call needs besides a connection.
#[derive(Debug)]
pub(crate) struct CallTask {
    pub(crate) call: LeafCall,
    pub(crate) inbound: Rc<InboundRequest>,
    pub(crate) names: Rc<HeaderNames>,
    pub(crate) events: EventSender,
    /// Memory for the answers of all calls.
    pub(crate) budget: ReadBudget,
    /// Whether any of the call may have been written; shared with the hub.
    pub(crate) write: WriteMark,
}

impl CallTask {
    /// Tells the hub what an answer says about the leaf. Nodes that serve segments are not leafs.
    fn report(&self, notice: LeafNotice) {
        if notice.is_empty() || self.call.segment.is_some() {
            return;
        }
        let leaf = self.call.instance.clone();
        send(
            &self.events,
            Event::LeafNotice(leaf, self.call.born, notice),
        );
    }

    /// Returns the outcome of a call of which nothing was written, if that is so.
    fn unwritten(&self, cause: UnwrittenCause) -> CallOutcome {
        let proof = self.write.unwritten(cause);
        proof.map_or(CallOutcome::Broken, CallOutcome::NotRun)
    }
}

/// Runs a call and sends its outcome to the hub.
pub(crate) async fn run_call(idle: Option<Connection>, task: CallTask) {
    let (connection, outcome) = exchange(idle, &task).await;
    send(
        &task.events,
        Event::CallEnded(task.call.call, outcome, connection),
    );
}

async fn exchange(idle: Option<Connection>, task: &CallTask) -> (ConnectionEnd, CallOutcome) {
    let started = Instant::now();
    let (call, names) = (&task.call, &task.names);
    let Some(mut request) = build_request(call, &task.inbound, names) else {
        return closed(task.unwritten(UnwrittenCause::Unsent));
    };
    let mut is_verified = call.is_verified;
    // If the leaf has closed the idle connection, the request is returned unsent and sent on a new one.
    if let Some(connection) = idle {
        // A closed connection may mean that the leaf has ended since it was last verified.
        is_verified = false;
        match write(connection.link, request, task).await {
            Ok((link, response)) => return read_answer(link, response, task).await,
            Err(WriteError::Unwritten(_)) if task.write.is_withdrawn() => {
                return closed(task.unwritten(UnwrittenCause::Unsent));
            }
            Err(WriteError::Unwritten(unsent)) => request = *unsent,
            Err(WriteError::Lost(error)) => return failed(&error),
        }
    }
    let link = match open_verified(task, is_verified).await {
        Ok(link) => link,
        Err(cause) => return closed(task.unwritten(cause)),
    };
    let setup = started.elapsed();
    if let Some(timeout) = remaining_timeout(call, setup) {
        request
            .headers_mut()
            .insert(names.deadline.clone(), timeout);
    }
    let (link, response) = match write(link, request, task).await {
        Ok(written) => written,
        Err(WriteError::Unwritten(_)) => return closed(task.unwritten(UnwrittenCause::Unsent)),
        Err(WriteError::Lost(error)) => return failed(&error),
    };
    let (connection, mut outcome) = read_answer(link, response, task).await;
    let micros = u32::try_from(setup.as_micros()).unwrap_or(u32::MAX);
    match &mut outcome {
        CallOutcome::Answer(answer) => answer.setup_micros = micros,
        CallOutcome::Segment(answer) => answer.setup_micros = micros,
        _ => {}
    }
    (connection, outcome)
}

/// Why a call has no answer.
enum WriteError {
    /// The connection closed before anything of the call was written.
    Unwritten(Box<Request<Full<Bytes>>>),
    /// The call may have been written, but no head of an answer came.
    Lost(AnswerError),
}

/// Writes a call on a connection and waits for the head of the answer.
async fn write(
    mut link: Link,
    request: Request<Full<Bytes>>,
    task: &CallTask,
) -> Result<(Link, Response<Incoming>), WriteError> {
    if !task.write.begin() {
        return Err(WriteError::Unwritten(Box::new(request)));
    }
    link.exchanges.begin(&task.inbound.id);
    match link.sender.try_send_request(request).await {
        Ok(response) => Ok((link, response)),
        Err(mut error) => match error.take_message() {
            Some(unsent) => {
                task.write.take_back(&unsent);
                Err(WriteError::Unwritten(Box::new(unsent)))
            }
            None => Err(WriteError::Lost(AnswerError::from_hyper(error.error()))),
        },
    }
}

/// Opens a connection to the leaf that a call is intended for. Unless `is_verified`, the leaf's identity is
/// checked first, where its service has a check path.
async fn open_verified(task: &CallTask, is_verified: bool) -> Result<Link, UnwrittenCause> {
    let call = &task.call;
    let mut link = open(task).await.ok_or(UnwrittenCause::Unsent)?;
    let path = match &call.check_path {
        Some(path) if !is_verified => path,
        _ => return Ok(link),
    };
    let check = identify(&mut link.sender, call, path, &task.names).await;
    match check.identity {
        Identity::Expected(notice) if notice.is_empty() => {}
        Identity::Expected(notice) => {
            task.report(notice);
            return Err(UnwrittenCause::Unsent);
        }
        Identity::Unnamed(notice) => {
            task.report(notice);
            return Err(UnwrittenCause::Unchecked);
        }
        Identity::Other => return Err(UnwrittenCause::Displaced),
        Identity::Unknown => return Err(UnwrittenCause::Unchecked),
    }
    if check.may_call && link.sender.ready().await.is_ok() {
        return Ok(link);
    }
    // Some leafs close the connection after their answer.
    open(task).await.ok_or(UnwrittenCause::Unsent)
}

async fn open(task: &CallTask) -> Option<Link> {
    let (call, budget, events) = (&task.call, &task.budget, &task.events);
    let limit = CONNECT_TIMEOUT.min(call.timeout);
    let stream = match dial::connect(call.addr, limit).await {
        Ok(stream) => stream,
        Err(error) => {
            if is_shortage(&error) {
                send(events, Event::DescriptorShortage);
            }
            return None;
        }
    };
    // A cancelled call must not be delivered later, as additional load on the leaf.
    if let Err(error) = dial::reset_on_close(&stream) {
        log::warn!("cannot set a connection to a leaf to be reset on close: {error}");
    }
    let memory = AnswerMemory::new(Some(budget.clone()));
    let limits = ReadLimits {
        answer: MAX_ANSWER_BYTES,
        memory: memory.clone(),
    };
    let (sender, connection) = handshake(stream, limits).await.ok()?;
    compio::runtime::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to a leaf ended: {error}");
        }
    })
    .detach();
    Some(Link {
        sender,
        memory,
        exchanges: Exchanges::default(),
    })
}

/// Returns the time in milliseconds left to the leaf for a call that began `elapsed` ago.
fn remaining_timeout(call: &LeafCall, elapsed: Duration) -> Option<HeaderValue> {
    let left = call.timeout.saturating_sub(elapsed).as_millis().max(1);
    HeaderValue::from_str(&left.to_string()).ok()
}

fn build_request(
    call: &LeafCall,
    inbound: &InboundRequest,
    names: &HeaderNames,
) -> Option<Request<Full<Bytes>>> {
    let path = inbound.uri.path_and_query()?.as_str();
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    *request.headers_mut() = inbound.headers.clone();
    let headers = request.headers_mut();
    headers.insert(
        names.deadline.clone(),
        remaining_timeout(call, Duration::ZERO)?,
    );
    if let Some(segment) = &call.segment {
        segment::insert(headers, &inbound.host, call, segment)?;
    } else {
        let instance = HeaderValue::from_str(&call.instance).ok()?;
        headers.insert(names.instance.clone(), instance);
    }
    Some(request)
}

async fn read_answer(
    link: Link,
    response: Response<Incoming>,
    task: &CallTask,
) -> (ConnectionEnd, CallOutcome) {
    let names = &task.names;
    let (parts, body) = response.into_parts();
    let (status, headers) = (parts.status, parts.headers);
    let head = AnswerHead {
        status: status.as_u16(),
        id: headers.get(&names.request_id).map(HeaderValue::as_bytes),
        is_marked: headers.contains_key(&names.not_run),
        is_signed: headers.contains_key(&names.signature),
    };
    let own = match link.exchanges.attribute(&task.inbound.id, head) {
        Attribution::Own(own) => own,
        Attribution::Foreign => {
            let end = ConnectionEnd::Closed(CloseCause::Foreign);
            return (end, CallOutcome::Broken);
        }
        Attribution::Ambiguous => {
            let end = ConnectionEnd::Closed(CloseCause::Ambiguous);
            return (end, CallOutcome::Broken);
        }
    };
    if own.is_from_leaf() {
        task.report(leaf_notice(status, &headers, names));
    }
    let body = match read_held_body(body, MAX_ANSWER_BYTES, &link.memory).await {
        Ok(body) => body,
        Err(error) => return failed(&error),
    };
    let end = connection_end(link, &headers, &own);
    if let Some(proof) = own.refusal() {
        let end = match proof.cause() {
            NotRunCause::Misdirected => ConnectionEnd::Closed(CloseCause::Misdirected),
            _ => end,
        };
        return (end, CallOutcome::NotRun(proof));
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return closed(CallOutcome::Broken);
    }
    let outcome = match &task.call.segment {
        Some(segment) => {
            let is_own = segment::is_answer(&headers, &task.call, segment);
            let is_served = is_own && status == StatusCode::OK;
            is_served
                .then(|| segment_answer(&headers, body, names))
                .flatten()
        }
        None => leaf_answer(status, headers, body, names),
    };
    match outcome {
        Some(outcome) => (end, outcome),
        None => closed(CallOutcome::Broken),
    }
}

/// Returns what becomes of a connection after a complete answer.
fn connection_end(link: Link, headers: &HeaderMap, own: &OwnAnswer) -> ConnectionEnd {
    if wants_close(headers) {
        return ConnectionEnd::Closed(CloseCause::Announced);
    }
    if !own.is_named() {
        return ConnectionEnd::Closed(CloseCause::Unnamed);
    }
    ConnectionEnd::Kept(Connection {
        link,
        idle_since: Instant::now(),
        idle_timeout: idle_timeout(headers),
    })
}

/// Returns a leaf's answer, which bears the leaf's signature.
fn leaf_answer(
    status: StatusCode,
    mut headers: HeaderMap,
    body: Bytes,
    names: &HeaderNames,
) -> Option<CallOutcome> {
    let signature = headers.get(&names.signature)?;
    let signature = Bytes::copy_from_slice(signature.as_bytes());
    strip_connection_fields(&mut headers);
    Some(CallOutcome::Answer(Answer {
        status: status.as_u16(),
        headers,
        signature,
        body,
        setup_micros: 0,
    }))
}

/// Returns a node's answer to a call for a segment, which names the parts that it holds.
fn segment_answer(headers: &HeaderMap, body: Bytes, names: &HeaderNames) -> Option<CallOutcome> {
    let signatures = part_signatures(headers, names);
    (!signatures.is_empty()).then_some(CallOutcome::Segment(SegmentAnswer {
        signatures,
        body,
        setup_micros: 0,
    }))
}

/// Returns the end of a call whose answer did not arrive completely.
fn failed(error: &AnswerError) -> (ConnectionEnd, CallOutcome) {
    match error {
        AnswerError::TooLarge => closed(CallOutcome::TooLarge),
        AnswerError::NoMemory => {
            let end = ConnectionEnd::Closed(CloseCause::NoMemory);
            (end, CallOutcome::TooLarge)
        }
        AnswerError::Broken(_) => closed(CallOutcome::Broken),
    }
}

/// Returns the signatures of the parts in the answer of a node to a segment of a query.
fn part_signatures(headers: &HeaderMap, names: &HeaderNames) -> Vec<Bytes> {
    let Some(list) = headers.get(&names.parts).and_then(|v| v.to_str().ok()) else {
        return Vec::new();
    };
    let signatures = list.split(',').map(str::trim).filter(|s| !s.is_empty());
    signatures
        .map(|signature| Bytes::copy_from_slice(signature.as_bytes()))
        .collect()
}

fn wants_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns how long a connection may be idle, according to the leaf's `Keep-Alive` field.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let field = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = field
        .into_iter()
        .flat_map(|value| value.split(','))
        .find_map(|item| item.trim().strip_prefix("timeout=")?.parse::<u32>().ok());
    seconds.map_or(DEFAULT_IDLE_TIMEOUT, |seconds| {
        Duration::from_secs(u64::from(seconds)).mul_f64(IDLE_TIMEOUT_FRACTION)
    })
}
