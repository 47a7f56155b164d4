//! Reads what an answer of a leaf says about the leaf itself.

use std::time::Duration;

use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, StatusCode};
use monsoondeal_edge::LeafNotice;

use crate::settings::HeaderNames;

/// Value with which a leaf says that it is leaving.
const LEAVING: &[u8] = b"1";

/// Returns what an answer says about its leaf. Values that cannot be read say nothing.
pub(crate) fn leaf_notice(
    status: StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> LeafNotice {
    let leaving = headers.get_all(&names.leaving).iter();
    LeafNotice {
        leaving: leaving.into_iter().any(|value| value.as_bytes() == LEAVING),
        pause: (status == StatusCode::SERVICE_UNAVAILABLE)
            .then(|| pause(headers))
            .flatten(),
    }
}

/// Returns the longest time that the answer asks for. It is given in seconds, fractions included.
fn pause(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(RETRY_AFTER).iter();
    let seconds = values.filter_map(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    seconds
        .filter(|seconds| *seconds > 0.0)
        .map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
        .max()
}
