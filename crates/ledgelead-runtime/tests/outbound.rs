//! When a request is written, and what the failure of its connection proves about whether it
//! was run.

use super::{NewExchange, Outbound};
use googletest::prelude::*;
use ledgelead_http::{Request, Response};
use ledgelead_router::answer_filter::AnswerFilter;
use ledgelead_router::io::{
    ConnectionPool, ConnectionReuse, ExchangeFailure, ExchangeId, ExchangeOptions, Input,
};
use stakker::{Stakker, fwd_nop};
use stakker_mio::MioPoll;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::{Events, Interest, Poll};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Time limits and observation time of the exchanges: far longer than any test takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);

/// An exchange on a new connection, and the instance's end of the connection.
struct Fixture {
    outbound: Outbound,
    key: super::ConnectionKey,
    peer: std::net::TcpStream,
    start: Instant,
    // The connection is registered with this poller.
    _poll: MioPoll,
}

fn options() -> ExchangeOptions {
    ExchangeOptions {
        observe_before_write: LONG_TIMEOUT,
        ..ExchangeOptions::new(LONG_TIMEOUT * 2, LONG_TIMEOUT * 2)
    }
}

/// Options by which the request is written as soon as the connection is established.
fn without_observation() -> ExchangeOptions {
    ExchangeOptions {
        observe_before_write: Duration::ZERO,
        ..options()
    }
}

fn fixture() -> Fixture {
    fixture_with(Vec::new(), options())
}

fn fixture_with(body: Vec<u8>, options: ExchangeOptions) -> Fixture {
    let start = Instant::now();
    let mut stakker = Stakker::new(start);
    let poll = Poll::new().expect("a poller");
    let poll = MioPoll::new(&mut stakker, poll, Events::with_capacity(8), 0).expect("a poller");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).expect("a connection");
    let interest = Interest::READABLE | Interest::WRITABLE;
    let source = poll.add(stream, interest, 0, fwd_nop!()).expect("a source");
    let mut outbound = Outbound::default();
    let key = outbound.next_key();
    let new = NewExchange {
        exchange: ExchangeId(1),
        address,
        request: Some(Request::new("POST", "/once", body)),
        options,
    };
    outbound.start_on_new(source, new, start);
    let (peer, _) = listener.accept().expect("the connection");
    Fixture {
        outbound,
        key,
        peer,
        start,
        _poll: poll,
    }
}

#[gtest]
fn a_connection_that_closes_before_the_request_is_written_proves_that_it_was_not_sent() {
    let Fixture {
        mut outbound,
        key,
        peer,
        start,
        _poll,
    } = fixture();
    drop(peer);
    let mut inputs = Vec::new();
    while inputs.is_empty() {
        outbound.ready(key, start, &mut inputs);
    }
    let proves_not_sent = matches!(
        inputs[0],
        Input::ExchangeEnded {
            result: Err(ExchangeFailure::ClosedUnsent),
            ..
        }
    );
    expect_that!(proves_not_sent, eq(true));
    expect_that!(outbound.next_deadline(), none());
}

#[gtest]
fn a_request_on_a_new_connection_is_written_after_the_observation_time() {
    let mut fixture = fixture();
    let mut inputs = Vec::new();
    // Before the connection is established, its time limit is the next deadline.
    while fixture.outbound.next_deadline() != Some(fixture.start + LONG_TIMEOUT) {
        fixture
            .outbound
            .ready(fixture.key, fixture.start, &mut inputs);
    }
    fixture.peer.set_nonblocking(true).expect("a socket");
    let mut buffer = [0; 64];
    let early = fixture.peer.read(&mut buffer).map_err(|error| error.kind());
    expect_that!(early, err(eq(ErrorKind::WouldBlock)));
    fixture
        .outbound
        .expire(fixture.start + LONG_TIMEOUT, &mut inputs);
    fixture.peer.set_nonblocking(false).expect("a socket");
    let count = fixture.peer.read(&mut buffer).expect("bytes");
    expect_that!(buffer[..count].starts_with(b"POST /once"), eq(true));
    expect_that!(inputs, is_empty());
}

/// Aborts the exchange once its request is written, and returns what the instance reads after
/// that.
fn read_after_abort(
    fixture: &mut Fixture,
    abort: impl Fn(&mut Outbound, Instant),
) -> std::io::Result<usize> {
    let mut inputs = Vec::new();
    while fixture.outbound.next_deadline() != Some(fixture.start + LONG_TIMEOUT) {
        fixture
            .outbound
            .ready(fixture.key, fixture.start, &mut inputs);
    }
    fixture
        .outbound
        .expire(fixture.start + LONG_TIMEOUT, &mut inputs);
    let mut buffer = [0; 1_024];
    let count = fixture.peer.read(&mut buffer).expect("the request");
    expect_that!(count, gt(0));
    abort(&mut fixture.outbound, fixture.start);
    fixture.peer.read(&mut buffer)
}

#[gtest]
fn the_connection_of_an_aborted_exchange_is_reset() {
    let is_reset = err(predicate(|error: &std::io::Error| {
        error.kind() == ErrorKind::ConnectionReset
    }));
    let cancelled = read_after_abort(&mut fixture(), |outbound, _| {
        outbound.cancel(ExchangeId(1));
    });
    expect_that!(cancelled, is_reset);
    let is_reset = err(predicate(|error: &std::io::Error| {
        error.kind() == ErrorKind::ConnectionReset
    }));
    let timed_out = read_after_abort(&mut fixture(), |outbound, start| {
        outbound.expire(start + LONG_TIMEOUT * 2, &mut Vec::new());
    });
    expect_that!(timed_out, is_reset);
}

/// Far more than the kernel buffers for a connection whose peer doesn't read.
const LARGE_BODY_BYTES: usize = 32 << 20;

/// An exchange with a large body of which the kernel accepted only a part.
fn partly_written(write_timeout: Option<Duration>) -> Fixture {
    let mut fixture = fixture_with(
        vec![b'x'; LARGE_BODY_BYTES],
        ExchangeOptions {
            write_timeout,
            ..without_observation()
        },
    );
    let mut inputs = Vec::new();
    let mut buffer = [0; 1];
    fixture.peer.set_nonblocking(true).expect("a socket");
    while !matches!(fixture.peer.peek(&mut buffer), Ok(1)) {
        fixture
            .outbound
            .ready(fixture.key, fixture.start, &mut inputs);
    }
    expect_that!(inputs, is_empty());
    fixture
}

/// Repeats `step` until the exchange has failed, and returns the failure.
fn fail_by(
    fixture: &mut Fixture,
    mut step: impl FnMut(&mut Fixture, &mut Vec<Input>),
) -> ExchangeFailure {
    let mut inputs = Vec::new();
    while inputs.is_empty() {
        step(fixture, &mut inputs);
    }
    match inputs.remove(0) {
        Input::ExchangeEnded {
            result: Err(failure),
            ..
        } => failure,
        other => panic!("{other:?}"),
    }
}

fn poll(fixture: &mut Fixture, inputs: &mut Vec<Input>) {
    fixture.outbound.ready(fixture.key, fixture.start, inputs);
}

/// Polls until the instance has received the first bytes of the request. Returns the inputs
/// for the node.
fn poll_until_request_arrives(fixture: &mut Fixture) -> Vec<Input> {
    let mut inputs = Vec::new();
    let mut buffer = [0; 1];
    fixture.peer.set_nonblocking(true).expect("a socket");
    while !matches!(fixture.peer.peek(&mut buffer), Ok(1)) {
        poll(fixture, &mut inputs);
    }
    inputs
}

/// Takes the instance's end of the connection out of the fixture. To drop it while bytes are
/// unread resets the connection.
fn take_peer(fixture: &mut Fixture) -> std::net::TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let placeholder = std::net::TcpStream::connect(address).expect("a connection");
    std::mem::replace(&mut fixture.peer, placeholder)
}

#[gtest]
fn a_reset_before_the_last_byte_was_written_leaves_an_incomplete_request() {
    let mut fixture = partly_written(None);
    drop(take_peer(&mut fixture));
    let failure = fail_by(&mut fixture, poll);
    expect_that!(
        failure,
        eq(ExchangeFailure::Incomplete { timed_out: false })
    );
    expect_that!(failure.lacks_whole_request(), eq(true));
    expect_that!(failure.proves_not_sent(), eq(false));
}

#[gtest]
fn a_close_before_the_last_byte_was_written_leaves_an_incomplete_request() {
    let mut fixture = partly_written(None);
    fixture
        .peer
        .shutdown(std::net::Shutdown::Write)
        .expect("a connection");
    let failure = fail_by(&mut fixture, poll);
    expect_that!(
        failure,
        eq(ExchangeFailure::Incomplete { timed_out: false })
    );
}

#[gtest]
fn a_reset_after_the_last_byte_proves_nothing() {
    let mut fixture = fixture_with(Vec::new(), without_observation());
    poll_until_request_arrives(&mut fixture);
    drop(take_peer(&mut fixture));
    expect_that!(fail_by(&mut fixture, poll), eq(ExchangeFailure::Lost));
}

/// An instance that answers before it has the whole request may have run it.
#[gtest]
fn a_reset_after_an_answer_began_proves_nothing() {
    let mut fixture = partly_written(None);
    fixture.peer.set_nonblocking(false).expect("a socket");
    fixture
        .peer
        .write_all(b"HTTP/1.1 200 OK\r\n")
        .expect("a connection");
    // Loopback delivers in order: the bytes arrive before the close.
    fixture
        .peer
        .shutdown(std::net::Shutdown::Write)
        .expect("a connection");
    expect_that!(fail_by(&mut fixture, poll), eq(ExchangeFailure::Lost));
}

#[gtest]
fn a_request_that_is_not_written_within_its_time_limit_never_arrives_whole() {
    let mut fixture = partly_written(Some(LONG_TIMEOUT));
    let at = fixture.start + LONG_TIMEOUT;
    expect_that!(fixture.outbound.next_deadline(), some(eq(at)));
    let failure = fail_by(&mut fixture, |fixture, inputs| {
        fixture.outbound.expire(at, inputs);
        assert!(!inputs.is_empty(), "the exchange did not fail");
    });
    expect_that!(failure, eq(ExchangeFailure::Incomplete { timed_out: true }));
    expect_that!(fixture.outbound.next_deadline(), none());
    // The rest of the request never arrives: the instance reads a reset before it.
    let mut rest = Vec::new();
    fixture.peer.set_nonblocking(false).expect("a socket");
    let end = fixture.peer.read_to_end(&mut rest);
    expect_that!(
        end.map_err(|error| error.kind()),
        err(eq(ErrorKind::ConnectionReset))
    );
    expect_that!(rest.len(), lt(LARGE_BODY_BYTES));
}

#[gtest]
fn a_request_that_is_written_in_time_waits_for_its_answer() {
    let mut fixture = fixture_with(
        Vec::new(),
        ExchangeOptions {
            write_timeout: Some(LONG_TIMEOUT),
            ..without_observation()
        },
    );
    let mut inputs = poll_until_request_arrives(&mut fixture);
    fixture
        .outbound
        .expire(fixture.start + LONG_TIMEOUT, &mut inputs);
    expect_that!(inputs, is_empty());
    fixture
        .outbound
        .expire(fixture.start + LONG_TIMEOUT * 2, &mut inputs);
    let timed_out = matches!(
        inputs[0],
        Input::ExchangeEnded {
            result: Err(ExchangeFailure::TimedOut),
            ..
        }
    );
    expect_that!(timed_out, eq(true));
}

#[gtest]
fn an_idle_connection_that_the_peer_has_closed_proves_that_nothing_was_sent() {
    let mut fixture = fixture_with(Vec::new(), without_observation());
    let mut inputs = poll_until_request_arrives(&mut fixture);
    let mut request = [0; 4_096];
    let count = fixture.peer.read(&mut request).expect("the request");
    expect_that!(request[..count].ends_with(b"\r\n\r\n"), eq(true));
    fixture
        .peer
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("a connection");
    while inputs.is_empty() {
        poll(&mut fixture, &mut inputs);
    }
    inputs.clear();
    let address = fixture.peer.local_addr().expect("an address");
    fixture
        .peer
        .shutdown(std::net::Shutdown::Write)
        .expect("a connection");
    let again = NewExchange {
        exchange: ExchangeId(2),
        address,
        request: Some(Request::new("POST", "/once", Vec::new())),
        options: ExchangeOptions {
            reuse_idle_below: LONG_TIMEOUT,
            ..without_observation()
        },
    };
    let started = fixture
        .outbound
        .start_on_idle(Box::new(again), fixture.start, &mut inputs);
    expect_that!(started.is_ok(), eq(true));
    let not_sent = matches!(
        inputs.first(),
        Some(Input::ExchangeEnded {
            result: Err(ExchangeFailure::ClosedUnsent),
            ..
        })
    );
    expect_that!(not_sent, eq(true));
}

/// Options of an order: answers carry no id, and those that do belong to requests.
fn of_order(on_success: Option<&str>) -> ExchangeOptions {
    ExchangeOptions {
        answer: AnswerFilter::WithoutHeader {
            header: "id".into(),
            on_success: on_success.map(Into::into),
        },
        pool: ConnectionPool::Orders,
        ..without_observation()
    }
}

/// Runs an exchange of which the instance sends these bytes, and returns its result.
fn run_exchange(fixture: &mut Fixture, answers: &[u8]) -> Result<Response, ExchangeFailure> {
    let mut inputs = poll_until_request_arrives(fixture);
    let mut request = [0; 4_096];
    let count = fixture.peer.read(&mut request).expect("the request");
    expect_that!(request[..count].ends_with(b"\r\n\r\n"), eq(true));
    fixture.peer.write_all(answers).expect("a connection");
    while inputs.is_empty() {
        poll(fixture, &mut inputs);
    }
    match inputs.remove(0) {
        Input::ExchangeEnded { result, .. } => result,
        other => panic!("{other:?}"),
    }
}

/// Begins a second exchange. Returns whether it found an idle connection, and the inputs for
/// the node.
fn start_second(fixture: &mut Fixture, options: ExchangeOptions) -> (bool, Vec<Input>) {
    let mut inputs = Vec::new();
    let new = NewExchange {
        exchange: ExchangeId(2),
        address: fixture.peer.local_addr().expect("an address"),
        request: Some(Request::new("POST", "/order", Vec::new())),
        options: ExchangeOptions {
            reuse_idle_below: LONG_TIMEOUT,
            ..options
        },
    };
    let started = fixture
        .outbound
        .start_on_idle(Box::new(new), fixture.start, &mut inputs);
    (started.is_ok(), inputs)
}

const EMPTY_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const CONFLICT: &[u8] = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
const ANSWER_OF_REQUEST: &[u8] = b"HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 0\r\n\r\n";
const ANSWER_WITH_STATE: &[u8] = b"HTTP/1.1 200 OK\r\nstate: s\r\nContent-Length: 0\r\n\r\n";

#[gtest]
fn an_order_skips_the_second_answer_to_a_request() {
    for status in ["200 OK", "409 Conflict", "421 Misdirected Request"] {
        let mut fixture = fixture_with(Vec::new(), of_order(None));
        let stray = format!("HTTP/1.1 {status}\r\nid: 7\r\nContent-Length: 0\r\n\r\n");
        let both = [stray.as_bytes(), b"HTTP/1.1 204 No Content\r\n\r\n"].concat();
        let answer = run_exchange(&mut fixture, &both).expect("an answer");
        expect_that!(answer.status, eq(204));
        expect_that!(fixture.outbound.unsolicited_answers(), eq(1));
        // Further answers may follow on this connection.
        expect_that!(start_second(&mut fixture, of_order(None)).0, eq(false));
    }
}

#[gtest]
fn a_success_without_the_expected_header_is_skipped() {
    let mut fixture = fixture_with(Vec::new(), of_order(Some("state")));
    let both = [EMPTY_ANSWER, ANSWER_WITH_STATE].concat();
    let answer = run_exchange(&mut fixture, &both).expect("an answer");
    expect_that!(answer.headers.text("state"), some(eq("s")));
    let mut fixture = fixture_with(Vec::new(), of_order(Some("state")));
    let conflict = run_exchange(&mut fixture, CONFLICT).expect("an answer");
    expect_that!(conflict.status, eq(409));
}

#[gtest]
fn orders_and_requests_share_no_connection() {
    let mut fixture = fixture_with(Vec::new(), without_observation());
    run_exchange(&mut fixture, ANSWER_OF_REQUEST).expect("an answer");
    expect_that!(start_second(&mut fixture, of_order(None)).0, eq(false));
    expect_that!(
        start_second(&mut fixture, without_observation()).0,
        eq(true)
    );
    let mut fixture = fixture_with(Vec::new(), of_order(None));
    run_exchange(&mut fixture, EMPTY_ANSWER).expect("an answer");
    expect_that!(
        start_second(&mut fixture, without_observation()).0,
        eq(false)
    );
    expect_that!(start_second(&mut fixture, of_order(None)).0, eq(true));
}

#[gtest]
fn a_connection_is_reused_only_as_far_as_the_exchange_allows() {
    for (reuse, answer, is_kept) in [
        (ConnectionReuse::Always, CONFLICT, true),
        (ConnectionReuse::AfterSuccess, CONFLICT, false),
        (ConnectionReuse::AfterSuccess, EMPTY_ANSWER, true),
        (ConnectionReuse::Never, EMPTY_ANSWER, false),
    ] {
        let options = ExchangeOptions {
            reuse,
            ..of_order(None)
        };
        let mut fixture = fixture_with(Vec::new(), options);
        run_exchange(&mut fixture, answer).expect("an answer");
        let (is_reused, _) = start_second(&mut fixture, of_order(None));
        expect_that!(is_reused, eq(is_kept), "{reuse:?}");
    }
}

/// Options of a request whose answers carry this id.
fn of_request(id: &str) -> ExchangeOptions {
    ExchangeOptions {
        answer: AnswerFilter::Equal("id".into(), id.as_bytes().into()),
        ..without_observation()
    }
}

#[gtest]
fn a_connection_carries_no_request_id_twice() {
    // The retry goes to another instance that now uses the address.
    let rejection = b"HTTP/1.1 421 Misdirected Request\r\nid: 7\r\nContent-Length: 0\r\n\r\n";
    let mut fixture = fixture_with(Vec::new(), of_request("7"));
    let answer = run_exchange(&mut fixture, rejection).expect("an answer");
    expect_that!(answer.status, eq(421));
    expect_that!(start_second(&mut fixture, of_request("7")).0, eq(false));
    // Other requests go on using it.
    expect_that!(start_second(&mut fixture, of_request("8")).0, eq(true));
}

/// A second exchange on a connection whose peer has sent `answer` by the time after which an
/// exchange without any part of an answer fails.
fn failure_on_reused_connection(answer: &[u8]) -> Option<ExchangeFailure> {
    let mut fixture = fixture_with(Vec::new(), of_order(None));
    run_exchange(&mut fixture, EMPTY_ANSWER).expect("an answer");
    let options = ExchangeOptions {
        reused_answer_timeout: Some(LONG_TIMEOUT),
        ..of_order(None)
    };
    let (_, mut inputs) = start_second(&mut fixture, options);
    fixture.peer.write_all(answer).expect("a connection");
    while !answer.is_empty() && fixture.outbound.received_bytes() == 0 {
        poll(&mut fixture, &mut inputs);
    }
    let at = fixture.start + LONG_TIMEOUT;
    fixture.outbound.expire(at, &mut inputs);
    match inputs.pop() {
        Some(Input::ExchangeEnded { result, .. }) => result.err(),
        _ => None,
    }
}

#[gtest]
fn a_reused_connection_without_any_part_of_an_answer_is_unresponsive() {
    let unresponsive = ExchangeFailure::Unresponsive;
    expect_that!(failure_on_reused_connection(b""), some(eq(unresponsive)));
    let part = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
    expect_that!(failure_on_reused_connection(part), none());
}

#[gtest]
fn an_exchange_on_a_new_connection_leaves_idle_ones_to_others() {
    let mut fixture = fixture_with(Vec::new(), of_order(None));
    run_exchange(&mut fixture, EMPTY_ANSWER).expect("an answer");
    let mut inputs = Vec::new();
    let new = NewExchange {
        exchange: ExchangeId(2),
        address: fixture.peer.local_addr().expect("an address"),
        request: Some(Request::new("POST", "/order", Vec::new())),
        options: of_order(None),
    };
    let started = fixture
        .outbound
        .start_on_idle(Box::new(new), fixture.start, &mut inputs);
    expect_that!(started.is_ok(), eq(false));
    expect_that!(start_second(&mut fixture, of_order(None)).0, eq(true));
}

#[gtest]
fn an_order_is_not_written_after_bytes_that_belong_to_no_order() {
    let mut fixture = fixture_with(Vec::new(), of_order(None));
    run_exchange(&mut fixture, EMPTY_ANSWER).expect("an answer");
    fixture.peer.write_all(EMPTY_ANSWER).expect("a connection");
    let (_, inputs) = start_second(&mut fixture, of_order(None));
    let not_sent = matches!(
        inputs.first(),
        Some(Input::ExchangeEnded {
            result: Err(ExchangeFailure::ClosedUnsent),
            ..
        })
    );
    expect_that!(not_sent, eq(true));
}

#[gtest]
fn a_keep_alive_of_any_length_is_bounded() {
    for seconds in [
        "0",
        "5",
        "18446744073709551615",
        "99999999999999999999",
        "-1",
        "x",
    ] {
        let mut response = ledgelead_http::Response::new(200, "");
        response
            .headers
            .push("Keep-Alive", format!("timeout={seconds}"));
        let keep = super::keep_alive(&response).unwrap_or_default();
        expect_that!(keep, le(Duration::from_secs(86_400)), "{seconds}");
    }
}

/// Result of an exchange whose instance sends `start`, and then `part` until the connection is
/// closed. The second value is the number of bytes buffered at most.
fn run_endless_exchange(start: &[u8], part: &[u8]) -> (Option<ExchangeFailure>, usize) {
    let mut fixture = fixture_with(Vec::new(), without_observation());
    fixture.outbound.memory.set_limit(Some(MEMORY_LIMIT));
    let mut inputs = poll_until_request_arrives(&mut fixture);
    let mut peer = fixture.peer.try_clone().expect("a socket");
    peer.set_nonblocking(false).expect("a socket");
    let mut sent = start.to_vec();
    let parts = part.repeat(SENT_BYTES / part.len());
    let sender = std::thread::spawn(move || {
        while peer.write_all(&sent).is_ok() {
            sent.clone_from(&parts);
        }
    });
    let mut buffered = 0;
    while inputs.is_empty() {
        poll(&mut fixture, &mut inputs);
        for key in fixture.outbound.take_unread() {
            fixture.outbound.ready(key, fixture.start, &mut inputs);
        }
        buffered = buffered.max(fixture.outbound.buffered_bytes());
    }
    sender.join().expect("the connection is closed");
    match inputs.remove(0) {
        Input::ExchangeEnded { result, .. } => (result.err(), buffered),
        other => panic!("{other:?}"),
    }
}

/// Memory limit of the process, of which incomplete answers may take a quarter.
const MEMORY_LIMIT: usize = 16 << 20;
/// Bytes that an endless sender writes at a time.
const SENT_BYTES: usize = 1 << 16;

#[gtest]
fn an_answer_without_end_fails() {
    let body = b"HTTP/1.1 200 OK\r\n\r\n";
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let trailers = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let cases: [(&str, &[u8], &[u8]); 7] = [
        ("head", b"HTTP/1.1 200 OK\r\nheader: ", b"x"),
        ("headers", b"HTTP/1.1 200 OK\r\n", b"header: x\r\n"),
        ("no answer", b"\0\0", b"\0"),
        ("interim answers", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ("body", body, b"x"),
        ("chunks", chunked, b"1\r\nx\r\n"),
        ("trailers", trailers, b"trailer: x\r\n"),
    ];
    for (name, start, part) in cases {
        let (failure, buffered) = run_endless_exchange(start, part);
        expect_that!(failure, some(eq(ExchangeFailure::Malformed)), "{name}");
        expect_that!(buffered, le(MEMORY_LIMIT / 2), "{name}");
    }
}
