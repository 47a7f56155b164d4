//! The operators' interface: `/ready`, `/metrics` and `/state`.

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::accept::Acceptor;
use crate::ask::ask;
use crate::event::{Event, EventSender};
use crate::http::{self, Body};
use crate::pages::page;

/// Connections of operators at a time.
const MAX_CONNECTIONS: usize = 128;

/// Serves operators until the process ends.
pub(crate) async fn listen(acceptor: Acceptor, events: EventSender) {
    let handler = move |request| handle(request, events.clone());
    http::listen(acceptor, MAX_CONNECTIONS, handler).await;
}

async fn handle(request: Request<Incoming>, events: EventSender) -> Response<Body> {
    match request.uri().path() {
        "/ready" => match ask(&events, Event::Ready).await {
            Some(true) => http::respond(StatusCode::OK, "text/plain", b"ready\n".to_vec()),
            _ => {
                let body = b"not ready\n".to_vec();
                http::respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", body)
            }
        },
        path => match page(path, &events, Event::Metrics, Event::Dump).await {
            Some(response) => response,
            None => {
                let text = format!("no page '{path}'; there are /ready, /metrics and /state\n");
                http::respond(StatusCode::NOT_FOUND, "text/plain", text.into_bytes())
            }
        },
    }
}
