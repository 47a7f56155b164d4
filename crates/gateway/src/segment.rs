//! The header field with which one node requests a segment of a query from another.

use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue};
use monsoondeal_edge::SegmentCall;

/// Name of the header field. It is ignored in requests of callers.
pub(crate) const SEGMENT: HeaderName = HeaderName::from_static("x-segment");

/// Encodes the value of the header field: index, count, digest and timeout in microseconds.
pub(crate) fn encode(call: &SegmentCall) -> Option<HeaderValue> {
    let SegmentCall {
        index,
        count,
        digest,
        timeout,
    } = call;
    let text = format!("{index}/{count}/{digest:x}/{}", timeout.as_micros());
    HeaderValue::from_str(&text).ok()
}

/// Decodes the value of the header field.
pub(crate) fn decode(value: &HeaderValue) -> Option<SegmentCall> {
    let mut fields = value.to_str().ok()?.split('/');
    let call = SegmentCall {
        index: fields.next()?.parse().ok()?,
        count: fields.next()?.parse().ok()?,
        digest: u64::from_str_radix(fields.next()?, 16).ok()?,
        timeout: Duration::from_micros(fields.next()?.parse().ok()?),
    };
    fields.next().is_none().then_some(call)
}
