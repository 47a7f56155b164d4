//! HTTP server of the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;

/// `Body` is the body of a response.
pub type Body = Full<Bytes>;

/// Accepts connections and serves each with its own handler, which `connect` creates.
pub async fn listen<C, F, R>(listener: TcpListener, connect: C)
where
    C: Fn() -> F + 'static,
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Option<Response<Body>>> + 'static,
{
    let connect = Rc::new(connect);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let handler = connect();
        compio::runtime::spawn(serve(stream, handler)).detach();
    }
}

/// Serves one connection. If the handler returns `None`, the connection is closed without a response.
async fn serve<F, R>(stream: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Option<Response<Body>>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { response.await.ok_or(Disconnect) }
    });
    let connection = http1::Builder::new().serve_connection(HyperStream::new(stream), service);
    let _ = connection.await;
}

/// Error that makes the server close a connection without a response.
#[derive(Debug)]
struct Disconnect;

impl std::fmt::Display for Disconnect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection cut to simulate a fault")
    }
}

impl std::error::Error for Disconnect {}

impl From<Infallible> for Disconnect {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Returns a response without a body.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns a JSON response.
pub fn json<T>(value: &T) -> Response<Body>
where
    T: Serialize,
{
    Response::new(Full::from(serde_json::to_vec(value).unwrap_or_default()))
}
