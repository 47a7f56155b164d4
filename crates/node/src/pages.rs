//! HTTP pages for operators that all daemons serve: `/metrics` and `/state`.

use futures_channel::{mpsc, oneshot};
use hyper::{Response, StatusCode};

use crate::ask::ask;
use crate::http::{self, Body};

/// Returns the page at a path, or `None` if there is none. `metrics` and `dump` create the events that
/// request the content of the two pages.
pub async fn page<E, M, D>(
    path: &str,
    events: &mpsc::UnboundedSender<E>,
    metrics: M,
    dump: D,
) -> Option<Response<Body>>
where
    M: FnOnce(oneshot::Sender<String>) -> E,
    D: FnOnce(oneshot::Sender<serde_json::Value>) -> E,
{
    match path {
        "/metrics" => {
            let text = ask(events, metrics).await.unwrap_or_default();
            Some(http::metrics(text))
        }
        "/state" => {
            let state = ask(events, dump).await.unwrap_or_default();
            Some(http::json(StatusCode::OK, &state))
        }
        _ => None,
    }
}
