//! The form in which one node asks another for a segment of a query.
//!
//! The call names its plan, and the node that is asked routes it by nothing else: the host of the request is one that
//! no route has. Versions of the program that know another form find no route for it and state that they ran nothing;
//! calls of another form are rejected here in the same way.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{HOST, HeaderName, HeaderValue};
use monsoondeal_edge::{LeafCall, SegmentCall};

/// Name of the header field that holds the call. The answer to the call repeats it.
pub(crate) const SEGMENT_CALL: HeaderName = HeaderName::from_static("x-segment-call");
/// Name of the header field that holds the host of the caller's request.
const CALLER_HOST: HeaderName = HeaderName::from_static("x-segment-host");
/// Host of the requests for segments. No caller's request can be for it: the domain is reserved.
const SEGMENT_HOST: HeaderValue = HeaderValue::from_static("segment.invalid");
/// Version of the form.
const FORM: &str = "2";

/// Turns the header fields of a caller's request into those of a request for a segment.
pub(crate) fn insert(
    headers: &mut HeaderMap,
    host: &str,
    call: &LeafCall,
    segment: &SegmentCall,
) -> Option<()> {
    headers.insert(SEGMENT_CALL, encode(call, segment)?);
    headers.insert(CALLER_HOST, HeaderValue::from_str(host).ok()?);
    headers.insert(HOST, SEGMENT_HOST);
    Some(())
}

/// Removes the header fields of a call from a caller's request, which may not ask for a segment.
pub(crate) fn strip(headers: &mut HeaderMap) {
    headers.remove(SEGMENT_CALL);
    headers.remove(CALLER_HOST);
}

/// Takes a call out of the header fields of a request, which become those of the caller's request.
pub(crate) fn take(headers: &mut HeaderMap) -> Option<SegmentCall> {
    let call = decode(&headers.remove(SEGMENT_CALL)?)?;
    let host = headers.remove(CALLER_HOST)?;
    headers.insert(HOST, host);
    Some(call)
}

/// Returns whether an answer repeats the call.
pub(crate) fn is_answer(headers: &HeaderMap, call: &LeafCall, segment: &SegmentCall) -> bool {
    let repeated = headers.get(SEGMENT_CALL);
    repeated.is_some() && repeated == encode(call, segment).as_ref()
}

/// Encodes the field of a call: form, plan, version of the configuration, index, count, timeout in microseconds, and
/// the number of the call at the node that asks.
fn encode(call: &LeafCall, segment: &SegmentCall) -> Option<HeaderValue> {
    let SegmentCall {
        plan,
        version,
        index,
        count,
        timeout,
    } = segment;
    let (micros, number) = (timeout.as_micros(), call.call.0);
    let text = format!("{FORM}/{plan}/{version}/{index}/{count}/{micros}/{number}");
    HeaderValue::from_str(&text).ok()
}

/// Decodes the field of a call.
fn decode(field: &HeaderValue) -> Option<SegmentCall> {
    let mut parts = field.to_str().ok()?.split('/');
    if parts.next()? != FORM {
        return None;
    }
    let call = SegmentCall {
        plan: parts.next()?.parse().ok()?,
        version: parts.next()?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
        count: parts.next()?.parse().ok()?,
        timeout: Duration::from_micros(parts.next()?.parse().ok()?),
    };
    let _number: u64 = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some(call)
}
