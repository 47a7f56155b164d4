//! Lines of the heads of answers: which ends of lines a connection accepts.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream as StdStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::timeout;
use http_body_util::Full;
use hyper::Request;
use monsoondeal_node::budget::ReadLimits;
use monsoondeal_node::client::{AnswerError, MAX_ANSWER_BYTES, Sender, handshake, read_body};
use rstest::rstest;
use standin::endless::read_head;

/// Requests on one connection.
const REQUESTS: usize = 3;
/// Size of the body of a long request, in bytes: more than the buffers of a connection on loopback hold.
const LONG_BODY: usize = 32 * 1024 * 1024;
/// Maximum time of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n\n\na\n";

/// Answers requests without a body on one connection with these answers in turn, in pieces of `piece` bytes.
fn serve(answers: Vec<String>, piece: usize) -> SocketAddr {
    start_server(move |mut stream| {
        let mut request = [0; 1_024];
        for answer in answers {
            if !stream.read(&mut request).is_ok_and(|count| count > 0) {
                return;
            }
            for bytes in answer.as_bytes().chunks(piece) {
                // The client closes the connection on a malformed answer.
                if stream.write_all(bytes).is_err() {
                    return;
                }
            }
        }
        // Ends a body without a length.
    })
}

fn start_server<F>(serve: F) -> SocketAddr
where
    F: FnOnce(StdStream) + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        stream.set_nodelay(true).expect("a socket option");
        serve(stream);
    });
    addr
}

async fn connect(addr: SocketAddr) -> Sender {
    let stream = TcpStream::connect(addr).await.expect("a connection");
    let limits = ReadLimits {
        answer: MAX_ANSWER_BYTES,
        ..ReadLimits::default()
    };
    let (sender, connection) = handshake(stream, limits).await.expect("a connection");
    compio::runtime::spawn(async move { drop(connection.await) }).detach();
    sender
}

/// Sends a request and returns the body of its answer.
async fn exchange(sender: &mut Sender, body: Bytes) -> Result<Bytes, AnswerError> {
    let answering = async {
        let ready = sender.ready().await;
        ready.map_err(|error| AnswerError::from_hyper(&error))?;
        let request = Request::post("/").body(Full::new(body)).expect("a request");
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| AnswerError::from_hyper(&error))?;
        read_body(response.into_body(), MAX_ANSWER_BYTES).await
    };
    let answered = timeout(EXCHANGE_TIMEOUT, answering).await;
    answered.expect("the exchange ends in time")
}

fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(future)
}

/// Line feeds in bodies and framing, interim answers and empty lines before an answer are as good as any byte, for each
/// answer on a connection and however it is cut into pieces.
#[rstest]
fn answer_with_proper_lines_is_accepted(
    #[values(
        "",
        "\r\n",
        "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n"
    )]
    before: &str,
    #[values(
        GOOD,
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n\n\na\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n\n\na\n\r\n0\r\nx-trailer: 1\r\n\r\n",
        "HTTP/1.1 200\r\ncontent-length:4\r\n\r\n\n\na\n"
    )]
    answer: &str,
    #[values(1, 7, 10_000)] piece: usize,
) {
    let answers = vec![format!("{before}{answer}"); REQUESTS];
    let addr = serve(answers, piece);
    block_on(async {
        let mut sender = connect(addr).await;
        for _ in 0..REQUESTS {
            let body = exchange(&mut sender, Bytes::new()).await;
            assert_eq!(body.as_deref(), Ok(&b"\n\na\n"[..]));
        }
    });
}

/// A line feed that ends no line makes an answer malformed wherever it stands in the head, in the first answer of a
/// connection and in a later one.
#[rstest]
#[case::before_a_name("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\nx-odd: 1\r\n\r\ngood")]
#[case::before_the_first_name("HTTP/1.1 200 OK\r\n\nx-odd: 1\r\ncontent-length: 4\r\n\r\ngood")]
#[case::after_the_status("HTTP/1.1 200 OK\ncontent-length: 4\r\n\r\ngood")]
#[case::in_a_value("HTTP/1.1 200 OK\r\nx-odd: 1\nx-even: 2\r\ncontent-length: 4\r\n\r\ngood")]
#[case::at_the_end("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\ngood")]
#[case::everywhere("HTTP/1.1 200 OK\ncontent-length: 4\n\ngood")]
#[case::before_the_status("\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood")]
#[case::in_an_interim_answer(
    "HTTP/1.1 103 Early Hints\r\n\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood"
)]
#[case::after_an_interim_answer(
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\nx-odd: 1\r\n\r\ngood"
)]
fn answer_with_bare_line_feed_is_malformed(
    #[case] answer: &str,
    #[values(0, 2)] good_answers: usize,
    #[values(1, 10_000)] piece: usize,
) {
    let mut answers = vec![GOOD.to_owned(); good_answers];
    answers.push(answer.to_owned());
    let addr = serve(answers, piece);
    block_on(async {
        let mut sender = connect(addr).await;
        for _ in 0..good_answers {
            assert!(exchange(&mut sender, Bytes::new()).await.is_ok());
        }
        let body = exchange(&mut sender, Bytes::new()).await;
        assert!(matches!(body, Err(AnswerError::Broken(_))), "{body:?}");
    });
}

/// Reads a part of a request.
fn skip(stream: &mut StdStream, length: usize) {
    let mut part = vec![0; length];
    stream.read_exact(&mut part).expect("a part of the request");
}

/// The body of an answer that begins before the request has been read is no head.
#[test]
fn answer_before_the_end_of_the_request_is_accepted() {
    let addr = start_server(|mut stream| {
        for _ in 0..REQUESTS {
            read_head(&mut stream).expect("a request");
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n\n\n";
            stream.write_all(head.as_bytes()).expect("a connection");
            // The client goes on writing the request while it reads the answer.
            skip(&mut stream, LONG_BODY / 2);
            stream.write_all(b"\na\r\n").expect("a connection");
            skip(&mut stream, LONG_BODY - LONG_BODY / 2);
        }
    });
    block_on(async {
        let mut sender = connect(addr).await;
        for _ in 0..REQUESTS {
            let body = exchange(&mut sender, Bytes::from(vec![b'a'; LONG_BODY])).await;
            assert_eq!(body.as_deref(), Ok(&b"\n\n\na\r\n"[..]));
        }
    });
}
