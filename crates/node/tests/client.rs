//! The size limit of answers, tested to the byte.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use compio::net::TcpStream;
use http_body_util::Full;
use hyper::Request;
use monsoondeal_node::budget::ReadLimits;
use monsoondeal_node::client::{AnswerError, Sender, handshake, read_body};
use rstest::rstest;

/// Limit of the connections in these tests, in bytes.
const LIMIT: usize = 100_000;
/// Requests on one connection.
const REQUESTS: usize = 3;

/// Answers requests on one connection with `length` bytes each, including head and framing.
fn serve(length: usize, chunk: Option<usize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let text = answer_text(length, chunk);
        let mut request = [0; 1_024];
        while stream.read(&mut request).is_ok_and(|count| count > 0) {
            // The client closes the connection if the answer exceeds the limit.
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    addr
}

fn answer_text(length: usize, chunk: Option<usize>) -> String {
    match chunk {
        Some(chunk) => {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let end = "0\r\n\r\n";
            let piece = format!("{chunk:x}\r\n{}\r\n", "a".repeat(chunk));
            let pieces = (length - head.len() - end.len()) / piece.len();
            format!("{head}{}{end}", piece.repeat(pieces))
        }
        None => {
            let head = |body: usize| format!("HTTP/1.1 200 OK\r\ncontent-length: {body}\r\n\r\n");
            let body = length - head(length).len();
            // A content length with fewer digits leaves room for one more byte of the body.
            let body = length - head(body).len();
            head(body) + &"a".repeat(body)
        }
    }
}

async fn exchange(sender: &mut Sender) -> Result<usize, AnswerError> {
    sender
        .ready()
        .await
        .map_err(|error| AnswerError::from_hyper(&error))?;
    let request = Request::get("/").body(Full::default()).expect("a request");
    let response = sender.send_request(request).await;
    let response = response.map_err(|error| AnswerError::from_hyper(&error))?;
    let body = read_body(response.into_body(), LIMIT).await;
    body.map(|body| body.len())
}

/// The limit applies to each answer on a connection separately; one byte more ends the connection.
#[rstest]
#[case::length_at_limit(LIMIT, None, true)]
#[case::length_over_limit(LIMIT + 1, None, false)]
#[case::length_far_over_limit(LIMIT * 10, None, false)]
#[case::chunked_at_limit(LIMIT, Some(100), true)]
#[case::framing_over_limit(LIMIT + 200, Some(1), false)]
fn answer_size_limit(
    #[case] length: usize,
    #[case] chunk: Option<usize>,
    #[case] is_accepted: bool,
) {
    let addr = serve(length, chunk);
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let stream = TcpStream::connect(addr).await.expect("a connection");
        let limits = ReadLimits {
            answer: LIMIT,
            ..ReadLimits::default()
        };
        let (mut sender, connection) = handshake(stream, limits).await.expect("a connection");
        let task = compio::runtime::spawn(connection);
        if is_accepted {
            for _ in 0..REQUESTS {
                assert!(exchange(&mut sender).await.is_ok());
            }
        } else {
            assert_eq!(exchange(&mut sender).await, Err(AnswerError::TooLarge));
            // The connection ends by itself.
            drop(task.await);
        }
    });
}
