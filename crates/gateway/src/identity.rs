//! Checks which leaf is at the other end of a connection before a call is sent on it.
//!
//! The address of a leaf that has ended may be reused by a leaf of another service. A call that arrives
//! there adds load to that service without being charged to its budget.

use bytes::Bytes;
use compio::time::timeout;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use monsoondeal_edge::{AnswerHead, LeafCall, LeafNotice};
use monsoondeal_node::client::{MAX_ANSWER_BYTES, Sender, read_body};

use crate::notice::leaf_notice;
use crate::settings::HeaderNames;

/// The timeout of an identity check is the time left for its call divided by this number. A busy leaf queues
/// the check like any request, and two more attempts must fit into the time left.
const CHECK_TIMEOUT_DIVISOR: u32 = 3;

/// Which leaf is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Identity {
    /// The leaf that the call is intended for, and what it said about itself.
    Expected(LeafNotice),
    /// Another leaf.
    Other,
    /// A leaf that did not give its name, but did not refuse the check as another leaf would have done.
    Unnamed(LeafNotice),
    /// The leaf did not identify itself in time.
    Unknown,
}

/// `CheckEnd` is the result of an identity check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CheckEnd {
    /// Which leaf is at the other end.
    pub(crate) identity: Identity,
    /// Whether a call may follow on the connection: a copy of the check's answer could not be taken for the call's.
    pub(crate) may_call: bool,
}

/// Requests the name of the leaf at `path`, and compares it with the intended one.
pub(crate) async fn identify(
    sender: &mut Sender,
    call: &LeafCall,
    path: &str,
    names: &HeaderNames,
) -> CheckEnd {
    let limit = call.timeout / CHECK_TIMEOUT_DIVISOR;
    let answer = timeout(limit, request_identity(sender, call, path, names)).await;
    answer.ok().flatten().unwrap_or(CheckEnd {
        identity: Identity::Unknown,
        may_call: false,
    })
}

async fn request_identity(
    sender: &mut Sender,
    call: &LeafCall,
    path: &str,
    names: &HeaderNames,
) -> Option<CheckEnd> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    let headers = request.headers_mut();
    headers.insert(
        HOST,
        HeaderValue::from_str(&call.addr.to_string()).expect("an address"),
    );
    headers.insert(
        names.instance.clone(),
        HeaderValue::from_str(&call.instance).ok()?,
    );
    let response = sender.try_send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    read_body(body, MAX_ANSWER_BYTES).await.ok()?;
    let status = parts.status;
    let head = AnswerHead {
        status: status.as_u16(),
        id: None,
        is_marked: parts.headers.contains_key(&names.not_run),
        is_signed: parts.headers.contains_key(&names.signature),
    };
    let may_call = !head.resembles_call_answer();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(CheckEnd {
            identity: Identity::Other,
            may_call,
        });
    }
    let notice = leaf_notice(status, &parts.headers, names);
    let identity = match parts.headers.get(&names.identity) {
        Some(name) if name.as_bytes() == call.instance.as_bytes() => Identity::Expected(notice),
        Some(_) => Identity::Other,
        // Without a name the status decides: another leaf would have refused the request.
        None if status.is_success() => Identity::Expected(notice),
        None => Identity::Unnamed(notice),
    };
    Some(CheckEnd { identity, may_call })
}
