//! Connections of callers and, for segments of queries, of other nodes.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::sleep;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{Either, Shared, select};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use monsoondeal_edge::{Answer, Limits, Reply, Token};
use monsoondeal_node::accept::{Acceptor, is_shortage};
use monsoondeal_node::ask::ask_or_cancel;
use monsoondeal_node::stream::Stream;

use crate::connections::{Activity, Admission, ConnectionTable};
use crate::event::{Event, EventSender, InboundRequest, Purpose};
use crate::hub::stopping_reply;
use crate::leafs::strip_connection_fields;
use crate::segment;
use crate::settings::HeaderNames;

type Body = Full<Bytes>;
/// Maximum number of header fields of a request.
const MAX_HEADER_FIELDS: usize = 100;
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER: usize = 8 * 1024;
/// `Retry-After` of segment calls in another form: other nodes may know it.
const UNKNOWN_FORM_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time between two checks of whether a connection has been idle for too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a caller to read the last response of a connection that is to be closed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by the connections and the hub.
#[derive(Clone, Debug)]
pub(crate) struct FrontState {
    pub(crate) names: Rc<HeaderNames>,
    /// Limits of the configuration in force.
    pub(crate) limits: Rc<Cell<Limits>>,
    /// Set while the node stops: each response then closes its connection.
    pub(crate) is_stopping: Rc<Cell<bool>>,
    /// Open connections of the listener.
    pub(crate) connections: Rc<ConnectionTable>,
    /// Whether the connections are those of other nodes.
    is_peer: bool,
    /// Once it resolves, no more connections are accepted and idle ones are closed.
    pub(crate) close: Shared<oneshot::Receiver<()>>,
    /// Token of the next request.
    tokens: Rc<Cell<u64>>,
}

impl FrontState {
    /// Creates the state for connections of callers.
    pub(crate) fn new(
        names: Rc<HeaderNames>,
        connections: Rc<ConnectionTable>,
        close: oneshot::Receiver<()>,
    ) -> Self {
        Self {
            names,
            limits: Rc::new(Cell::new(Limits::default())),
            is_stopping: Rc::default(),
            connections,
            is_peer: false,
            close: close.shared(),
            tokens: Rc::default(),
        }
    }

    /// Returns the state for connections of other nodes. A planned stop does not wait for them to close.
    pub(crate) fn for_peers(&self, connections: Rc<ConnectionTable>) -> Self {
        Self {
            is_peer: true,
            connections,
            ..self.clone()
        }
    }

    fn next_token(&self) -> Token {
        let token = Token(self.tokens.get());
        self.tokens.set(token.0 + 1);
        token
    }
}

/// Accepts connections until `state.close` resolves.
pub(crate) async fn listen(mut acceptor: Acceptor, state: FrontState, events: EventSender) {
    loop {
        let accept = pin!(acceptor.accept());
        match select(accept, state.close.clone()).await {
            Either::Left((Ok(stream), _)) => {
                // Without room the connection is closed unread.
                if let Some(admission) = state.connections.admit() {
                    let connection = serve(stream, state.clone(), events.clone(), admission);
                    compio::runtime::spawn(connection).detach();
                }
            }
            Either::Left((Err(error), _)) => {
                if is_shortage(&error) {
                    state.connections.make_room();
                }
            }
            Either::Right(_) => return,
        }
    }
}

/// A stream that records when the first byte of a request arrives.
struct ActivityStream {
    stream: Stream,
    activity: Rc<Activity>,
}

impl Read for ActivityStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() {
            self.activity.on_read();
        }
        polled
    }
}

impl Write for ActivityStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Why a connection is looked at while nothing happens on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wake {
    /// Its timeouts are to be checked.
    Timer,
    /// The node stops.
    Stop,
    /// Others need room.
    MakeRoom,
}

async fn serve(stream: TcpStream, state: FrontState, events: EventSender, admission: Admission) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a connection of a caller: {error}");
    }
    let Admission {
        activity,
        closing,
        _slot,
    } = admission;
    let stream = ActivityStream {
        stream: Stream::new(stream),
        activity: activity.clone(),
    };
    let service = service_fn(|request| {
        let (state, events, activity) = (state.clone(), events.clone(), activity.clone());
        let is_first = activity.on_head();
        async move {
            let response = handle(request, is_first, &activity, &state, &events).await;
            activity.on_response();
            Ok::<_, Infallible>(response)
        }
    });
    let buffer = state.limits.get().head_bytes.max(MIN_BUFFER);
    let mut connection = pin!(
        http1::Builder::new()
            .max_buf_size(buffer)
            .max_headers(MAX_HEADER_FIELDS)
            .serve_connection(stream, service)
    );
    let mut stop = pin!(state.close.clone().fuse());
    let mut closing = pin!(closing.fuse());
    // Since when the connection is to be closed, for its own timeouts or for others.
    let mut unwanted_since: Option<Instant> = None;
    loop {
        let timer = pin!(sleep(IDLE_CHECK_INTERVAL));
        let asked = select(stop.as_mut(), closing.as_mut());
        let wake = match select(connection.as_mut(), select(timer, asked)).await {
            Either::Left((ended, _)) => {
                if let Err(error) = ended {
                    log::debug!("connection of a caller ended: {error}");
                }
                return;
            }
            Either::Right((Either::Left(_), _)) => Wake::Timer,
            Either::Right((Either::Right((Either::Left(_), _)), _)) => Wake::Stop,
            Either::Right((Either::Right((Either::Right(_), _)), _)) => Wake::MakeRoom,
        };
        let is_expired = activity.is_expired(&state.limits.get());
        if is_expired || wake == Wake::MakeRoom {
            unwanted_since.get_or_insert_with(Instant::now);
        }
        // Nothing would end these connections but their callers.
        let is_overdue = unwanted_since.is_some_and(|since| since.elapsed() >= FLUSH_TIMEOUT)
            && activity.is_idle_for(FLUSH_TIMEOUT);
        let is_open_ended = activity.is_reading() || activity.is_unused() || is_overdue;
        if unwanted_since.is_some() && is_open_ended {
            return;
        }
        if unwanted_since.is_some() || wake == Wake::Stop {
            connection.as_mut().graceful_shutdown();
        }
    }
}

async fn handle(
    request: Request<Incoming>,
    is_first: bool,
    activity: &Activity,
    state: &FrontState,
    events: &EventSender,
) -> Response<Body> {
    let id = request.headers().get(&state.names.request_id).cloned();
    let segment = request.headers().get(segment::SEGMENT_CALL).cloned();
    let segment = segment.filter(|_| state.is_peer);
    let mut response = match read_request(request, is_first, state).await {
        Ok(inbound) => {
            activity.on_request();
            let reply = submit(inbound, events).await;
            // Without a reply the hub has ended before it handled the request.
            respond(reply.unwrap_or_else(stopping_reply), state)
        }
        Err(response) => response,
    };
    if let Some(id) = id {
        response
            .headers_mut()
            .insert(state.names.request_id.clone(), id);
    }
    if let Some(segment) = segment {
        response
            .headers_mut()
            .insert(segment::SEGMENT_CALL, segment);
    }
    if state.is_stopping.get() || state.connections.is_crowded() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Returns the response for a reply. To another node, a request that has not run is marked as leafs mark it.
fn respond(reply: Reply, state: &FrontState) -> Response<Body> {
    let is_rejected = matches!(reply, Reply::Rejected { .. } | Reply::NoRoute);
    let mut response = render(reply, &state.names);
    if is_rejected && state.is_peer {
        let not_run = HeaderValue::from_static("1");
        let headers = response.headers_mut();
        headers.insert(state.names.not_run.clone(), not_run);
    }
    response
}

async fn submit(inbound: InboundRequest, events: &EventSender) -> Option<Reply> {
    let gone = Event::CallerGone(inbound.token);
    let event = |sender| Event::Request(Box::new(inbound), sender);
    ask_or_cancel(events, event, gone).await
}

/// Reads a whole request, or returns the response to a malformed one.
async fn read_request(
    request: Request<Incoming>,
    is_first: bool,
    state: &FrontState,
) -> Result<InboundRequest, Response<Body>> {
    let names = &state.names;
    let limit = state.limits.get().body_bytes;
    let (mut parts, body) = request.into_parts();
    let Some(id) = parts.headers.get(&names.request_id) else {
        let text = format!("header field {} is missing", names.request_id);
        return Err(plain_text(StatusCode::BAD_REQUEST, &text));
    };
    let id = Bytes::copy_from_slice(id.as_bytes());
    let purpose = read_purpose(&mut parts.headers, is_first, state)
        .ok_or_else(|| reject_unknown_form(&id, state))?;
    let host =
        host(&parts).ok_or_else(|| plain_text(StatusCode::BAD_REQUEST, "no host is named"))?;
    let timeout =
        caller_timeout(&parts, names).map_err(|text| plain_text(StatusCode::BAD_REQUEST, &text))?;
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(too_large(limit));
        }
        Err(_) => {
            return Err(plain_text(StatusCode::BAD_REQUEST, "the body ended early"));
        }
    };
    strip_connection_fields(&mut parts.headers);
    parts.headers.remove(&names.deadline);
    parts.headers.remove(&names.instance);
    Ok(InboundRequest {
        token: state.next_token(),
        id,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        host,
        timeout,
        body,
        purpose,
    })
}

/// Returns what a request asks for. Other nodes may only ask for segments: `None` for any other request of theirs, and
/// for a call in a form that this version of the program does not know.
fn read_purpose(headers: &mut HeaderMap, is_first: bool, state: &FrontState) -> Option<Purpose> {
    if state.is_peer {
        return segment::take(headers).map(Purpose::Segment);
    }
    segment::strip(headers);
    Some(Purpose::Caller { is_first })
}

/// Returns the response to a request of another node that is no segment call. It has not run.
fn reject_unknown_form(id: &[u8], state: &FrontState) -> Response<Body> {
    log::warn!(
        id:% = String::from_utf8_lossy(id);
        "request of another node rejected: not a segment call of this version"
    );
    let reason = "not a segment call of this version";
    respond(Reply::unaccepted(reason, UNKNOWN_FORM_RETRY_AFTER), state)
}

fn host(parts: &hyper::http::request::Parts) -> Option<String> {
    let named = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    named.or(parts.uri.host()).map(str::to_owned)
}

fn caller_timeout(
    parts: &hyper::http::request::Parts,
    names: &HeaderNames,
) -> Result<Option<Duration>, String> {
    let Some(value) = parts.headers.get(&names.deadline) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim();
    let millis = text
        .parse()
        .map_err(|_| format!("{} must be a whole number of milliseconds", names.deadline))?;
    Ok(Some(Duration::from_millis(millis)))
}

fn too_large(limit: usize) -> Response<Body> {
    let text = format!("the body must have at most {limit} bytes");
    let mut response = plain_text(StatusCode::PAYLOAD_TOO_LARGE, &text);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn plain_text(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn render(reply: Reply, names: &HeaderNames) -> Response<Body> {
    match reply {
        Reply::Merged {
            signatures,
            missing,
            body,
        } => merged_response(&signatures, missing, body, names),
        Reply::Answer(answer) => leaf_response(answer.into_answer()),
        Reply::Rejected {
            proof: _,
            reason,
            retry_after,
        } => {
            let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, reason);
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Reply::Failed(reason) => plain_text(StatusCode::BAD_GATEWAY, reason),
        Reply::Withheld(_) => plain_text(StatusCode::BAD_GATEWAY, "the leaf failed the request"),
        Reply::TimedOut => plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        Reply::NoRoute => plain_text(StatusCode::NOT_FOUND, "no route for this host and path"),
    }
}

fn merged_response(
    signatures: &[Bytes],
    missing: usize,
    body: Bytes,
    names: &HeaderNames,
) -> Response<Body> {
    let mut response = Response::new(Full::new(body));
    let headers = response.headers_mut();
    let list = signatures.join(&b", "[..]);
    match HeaderValue::from_bytes(&list) {
        Ok(list) => headers.insert(names.parts.clone(), list),
        Err(error) => {
            log::error!("cannot forward the signatures of leafs: {error}");
            return plain_text(StatusCode::BAD_GATEWAY, "a leaf's signature is malformed");
        }
    };
    headers.insert(names.missing.clone(), HeaderValue::from(missing));
    response
}

fn leaf_response(answer: Answer) -> Response<Body> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = answer.headers;
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}
