//! Readiness check for the load balancer; metrics and state dump for operators.

use std::cell::Cell;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use monsoondeal_node::accept::Acceptor;
use monsoondeal_node::http::{self, Body};
use monsoondeal_node::pages::page;

use crate::event::{Event, EventSender};

/// Serves readiness checks until the process ends.
pub(crate) async fn listen_ready(
    acceptor: Acceptor,
    max_connections: usize,
    path: &'static str,
    is_ready: Rc<Cell<bool>>,
) {
    http::listen(
        acceptor,
        max_connections,
        move |request: Request<Incoming>| {
            let found = request.uri().path() == path;
            let status = match (found, is_ready.get()) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            async move { http::respond(status, "text/plain", Vec::new()) }
        },
    )
    .await;
}

/// Serves metrics and the state dump until the process ends.
pub(crate) async fn listen(acceptor: Acceptor, max_connections: usize, events: EventSender) {
    let handler = move |request| handle(request, events.clone());
    http::listen(acceptor, max_connections, handler).await;
}

async fn handle(request: Request<Incoming>, events: EventSender) -> Response<Body> {
    let path = request.uri().path();
    match page(path, &events, Event::Metrics, Event::Dump).await {
        Some(response) => response,
        None => {
            let text = format!("no page '{path}'; there are /metrics and /state\n");
            http::respond(StatusCode::NOT_FOUND, "text/plain", text.into_bytes())
        }
    }
}
