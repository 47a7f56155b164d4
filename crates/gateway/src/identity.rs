//! Asking who is at the other end of a connection before a call is sent on it.
//!
//! The address of a leaf that has ended may belong to a leaf of another service. A call that arrives there
//! is one more request to that service, which no budget of this node counts.

use bytes::Bytes;
use compio::time::timeout;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use monsoondeal_edge::LeafCall;
use monsoondeal_node::client::{ANSWER_LIMIT, Sender, read_body};

use crate::settings::HeaderNames;

/// What the time left for a call is divided by to get the longest time for a leaf to tell its name: a busy
/// leaf answers a check in its turn, and two more tries must fit.
const CHECK_DIVISOR: u32 = 3;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Identity {
    /// The leaf that the call is meant for.
    Expected,
    /// Another leaf.
    Other,
    /// It did not tell in time.
    Unknown,
}

/// Asks a leaf at `path` for its name.
pub(crate) async fn identify(
    sender: &mut Sender,
    call: &LeafCall,
    path: &str,
    names: &HeaderNames,
) -> Identity {
    let limit = call.timeout / CHECK_DIVISOR;
    let answer = timeout(limit, request_identity(sender, call, path, names)).await;
    answer.ok().flatten().unwrap_or(Identity::Unknown)
}

async fn request_identity(
    sender: &mut Sender,
    call: &LeafCall,
    path: &str,
    names: &HeaderNames,
) -> Option<Identity> {
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
    read_body(body, ANSWER_LIMIT).await.ok()?;
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Identity::Other);
    }
    match parts.headers.get(&names.identity) {
        Some(name) if name.as_bytes() == call.instance.as_bytes() => Some(Identity::Expected),
        Some(_) => Some(Identity::Other),
        // Any other leaf would have refused the request by its status.
        None => parts.status.is_success().then_some(Identity::Expected),
    }
}
