//! Callers of every kind against the proxy and the HTTP server. A function replaces the
//! core: it answers each request immediately, or never for one service.

use googletest::prelude::*;
use ledgelead_core::Input;
use ledgelead_node::InputSink;
use ledgelead_node::callers::open_requests::OpenRequests;
use ledgelead_node::callers::proxy::CallerProxy;
use ledgelead_node::callers::respond::{self, CompletedRequest};
use ledgelead_node::callers::server::CallerServer;
use ledgelead_node::metrics::Metrics;
use ledgelead_node::settings::Limits;
use ledgelead_types::request::RequestArrival;
use ledgelead_types::{NotRunReason, Outcome, RequestId, Span};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Timeout of reads and waits, so that a test can't hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Service whose requests are never answered.
const UNANSWERED_SERVICE: &str = "never";

struct TestServer {
    address: SocketAddr,
    arrivals: Mutex<Receiver<RequestArrival>>,
    disconnected: Mutex<Receiver<RequestId>>,
    _proxy: CallerProxy,
    _server: CallerServer,
}

fn limits() -> Limits {
    Limits {
        max_header_bytes: 2_000,
        max_body_bytes: 10_000,
        reading_threads: 2,
        ..Limits::default()
    }
}

fn start(limits: &Limits) -> TestServer {
    let open_requests = Arc::new(OpenRequests::new(limits.max_open_requests));
    let responders = respond::start("respond", 100).expect("threads");
    let (arrived, arrivals) = mpsc::channel();
    let (disconnect_sender, disconnected) = mpsc::channel();
    let open = open_requests.clone();
    let arrived = Mutex::new(arrived);
    let sink: InputSink = Arc::new(move |input| {
        let Input::RequestArrived(arrival) = input else {
            return;
        };
        let id = arrival.request;
        let answered = &*arrival.service != UNANSWERED_SERVICE;
        let _ = arrived.lock().expect("sender").send(arrival);
        if !answered {
            return;
        }
        let completed = CompletedRequest {
            request: open.close(id).expect("open"),
            outcome: Outcome::NotRun(NotRunReason::NoServer),
            attempt: None,
            retry_after: Some(Span::from_millis(1_200)),
        };
        assert!(responders.submit(completed).is_ok(), "a free place");
    });
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a free port");
    let inner = server.server_addr().to_ip().expect("an IP address");
    let server = CallerServer::start(
        "callers",
        server,
        limits.clone(),
        open_requests.clone(),
        Metrics::new(),
        sink,
    );
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let on_disconnect = Box::new(move |connection| {
        for id in open_requests.on_connection(connection) {
            let _ = disconnect_sender.send(id);
        }
    });
    let proxy = CallerProxy::start("guard", listener, inner, limits, on_disconnect);
    TestServer {
        address,
        arrivals: Mutex::new(arrivals),
        disconnected: Mutex::new(disconnected),
        _proxy: proxy.expect("the proxy"),
        _server: server.expect("a server"),
    }
}

fn connect(server: &TestServer) -> TcpStream {
    let stream = TcpStream::connect(server.address).expect("connected");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream
}

/// Writes as much as the other end takes; it may close the connection meanwhile.
fn write(stream: &mut TcpStream, bytes: &[u8]) {
    let _ = stream.write_all(bytes);
}

/// Reads one response with its declared body.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
    let header = String::from_utf8_lossy(&bytes).into_owned();
    let length = header
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).expect("the declared body");
    header + &String::from_utf8_lossy(&body)
}

fn request_once(server: &TestServer, request: &[u8]) -> String {
    let mut stream = connect(server);
    write(&mut stream, request);
    read_answer(&mut stream)
}

/// Reads until the connection ends.
fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

#[gtest]
fn refusals_state_outcome_reason_and_retry_delay() {
    let server = start(&limits());
    let answer = request_once(
        &server,
        b"GET /v1/vacantes/x HTTP/1.1\r\nHost: a\r\nLedgelead-Request-Id: r7\r\n\r\n",
    );
    let mut lines: Vec<&str> = answer
        .lines()
        .filter(|line| !line.starts_with("Date: "))
        .collect();
    lines[1..].sort_unstable();
    insta::assert_snapshot!(lines.join("\n"));
}

#[gtest]
fn requests_that_violate_the_protocol_are_refused() {
    let server = start(&limits());
    let cases: [(&[u8], &str); 9] = [
        (b"GET /elsewhere HTTP/1.1\r\n\r\n", "404"),
        (
            b"GET /v1/s HTTP/1.1\r\nLedgelead-Key: a\r\nLedgelead-Key: b\r\n\r\n",
            "400",
        ),
        (
            b"GET /v1/s HTTP/1.1\r\nLedgelead-Deadline-Ms: soon\r\n\r\n",
            "400",
        ),
        (
            b"POST /v1/s HTTP/1.1\r\nContent-Length: 10001\r\n\r\n",
            "413",
        ),
        (b"POST /v1/s HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", "400"),
        (b"POST /v1/s/ledgelead/lease HTTP/1.1\r\n\r\n", "400"),
        (
            b"POST /v1/s/a/..//%4cedgelead/cancel HTTP/1.1\r\n\r\n",
            "400",
        ),
        (b"nonsense\r\n\r\n", "400"),
        (b"GET /v1/s HTTP/7.1\r\n\r\n", "400"),
    ];
    for (request, status) in cases {
        let answer = request_once(&server, request);
        let text = String::from_utf8_lossy(request);
        expect_that!(answer, starts_with(format!("HTTP/1.1 {status}")), "{text}");
    }
    let mut chunked = b"POST /v1/s HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..11 {
        chunked.extend_from_slice(b"3e8\r\n");
        chunked.extend_from_slice(&[b'a'; 1_000]);
        chunked.extend_from_slice(b"\r\n");
    }
    expect_that!(request_once(&server, &chunked), starts_with("HTTP/1.1 413"));
    let mut long_header = b"GET /v1/s HTTP/1.1\r\nX: ".to_vec();
    long_header.extend_from_slice(&[b'a'; 100_000]);
    expect_that!(
        request_once(&server, &long_header),
        starts_with("HTTP/1.1 431")
    );
}

#[gtest]
fn a_caller_that_half_closed_its_connection_gets_its_response() {
    let server = start(&limits());
    let mut stream = connect(&server);
    write(
        &mut stream,
        b"POST /v1/s HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
    );
    stream.shutdown(Shutdown::Write).expect("half closed");
    expect_that!(read_to_end(&mut stream), contains_substring("no-server"));
}

#[gtest]
fn slow_callers_time_out_while_others_are_served() {
    let limits = Limits {
        caller_time: Duration::from_millis(300),
        ..limits()
    };
    let server = start(&limits);
    let mut slow: Vec<TcpStream> = (0..8).map(|_| connect(&server)).collect();
    for (index, stream) in slow.iter_mut().enumerate() {
        let part: &[u8] = match index % 2 {
            0 => b"POST /v1/s HTTP/1.1\r\nContent-Length: 2000\r\n\r\nab",
            _ => b"GET /v1/s HT",
        };
        write(stream, part);
    }
    expect_that!(
        request_once(&server, b"GET /v1/s HTTP/1.1\r\n\r\n"),
        contains_substring("no-server")
    );
    for (index, stream) in slow.iter_mut().enumerate() {
        let end = read_to_end(stream);
        if index % 2 == 0 {
            expect_that!(end, contains_substring("the body ended early"));
        } else {
            expect_that!(end, eq(""));
        }
    }
}

#[gtest]
fn many_simultaneous_connections_are_all_answered() {
    let server = start(&limits());
    let mut streams: Vec<TcpStream> = (0..200).map(|_| connect(&server)).collect();
    for stream in &mut streams {
        write(stream, b"GET /v1/s HTTP/1.1\r\n\r\n");
    }
    for stream in &mut streams {
        expect_that!(read_answer(stream), contains_substring("no-server"));
    }
    // All connections are still open and can be used again.
    for stream in &mut streams {
        write(stream, b"GET /v1/s HTTP/1.1\r\n\r\n");
        expect_that!(read_answer(stream), contains_substring("no-server"));
    }
}

#[gtest]
fn connections_above_the_limit_are_refused_as_not_run() {
    let limits = Limits {
        max_connections: 2,
        ..limits()
    };
    let server = start(&limits);
    let mut kept: Vec<TcpStream> = (0..2).map(|_| connect(&server)).collect();
    for stream in &mut kept {
        write(stream, b"GET /v1/s HTTP/1.1\r\n\r\n");
        read_answer(stream);
    }
    let refused = read_to_end(&mut connect(&server));
    expect_that!(refused, starts_with("HTTP/1.1 503"));
    expect_that!(refused, contains_substring("Ledgelead-Outcome: not-run"));
}

#[gtest]
fn a_caller_that_resets_its_connection_is_reported() {
    let server = start(&limits());
    let mut stream = connect(&server);
    // The rest of the first response stays unread, so closing resets the connection.
    write(&mut stream, b"GET /v1/s HTTP/1.1\r\n\r\n");
    let mut first_byte = [0];
    stream.read_exact(&mut first_byte).expect("an answer");
    write(&mut stream, b"GET /v1/never HTTP/1.1\r\n\r\n");
    let arrivals = server.arrivals.lock().expect("receiver");
    arrivals.recv_timeout(TEST_TIMEOUT).expect("the first");
    let waiting = arrivals.recv_timeout(TEST_TIMEOUT).expect("the second");
    drop(stream);
    let disconnected = server.disconnected.lock().expect("receiver");
    expect_that!(
        disconnected.recv_timeout(TEST_TIMEOUT),
        ok(eq(waiting.request))
    );
}
