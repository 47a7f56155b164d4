//! Checks which leaf is at the other end of a connection before a call is sent on it.
//!
//! The address of a leaf that has ended may be reused by a leaf of another service. A call that arrives
//! there adds load to that service without being charged to its budget.

use bytes::Bytes;
use compio::time::timeout;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use monsoondeal_edge::{LeafCall, LeafNotice};
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

/// Requests the name of the leaf at `path`, and compares it with the intended one.
pub(crate) async fn identify(
    sender: &mut Sender,
    call: &LeafCall,
    path: &str,
    names: &HeaderNames,
) -> Identity {
    let limit = call.timeout / CHECK_TIMEOUT_DIVISOR;
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
    read_body(body, MAX_ANSWER_BYTES).await.ok()?;
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Identity::Other);
    }
    let notice = leaf_notice(parts.status, &parts.headers, names);
    match parts.headers.get(&names.identity) {
        Some(name) if name.as_bytes() == call.instance.as_bytes() => {
            Some(Identity::Expected(notice))
        }
        Some(_) => Some(Identity::Other),
        // Without a name the status decides: another leaf would have refused the request.
        None if parts.status.is_success() => Some(Identity::Expected(notice)),
        None => Some(Identity::Unnamed(notice)),
    }
}
