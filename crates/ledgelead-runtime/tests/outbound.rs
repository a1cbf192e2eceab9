//! When a request is written, and what the end of its connection proves.

use super::{NewExchange, Outbound};
use googletest::prelude::*;
use ledgelead_http::Request;
use ledgelead_router::io::{ExchangeFailure, ExchangeId, ExchangeOptions, Input};
use stakker::{Stakker, fwd_nop};
use stakker_mio::MioPoll;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::{Events, Interest, Poll};
use std::io::{ErrorKind, Read};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Far longer than any test takes.
const SETTLE: Duration = Duration::from_secs(600);

/// An exchange on a new connection, and the other end of it.
struct Fixture {
    outbound: Outbound,
    key: super::ConnectionKey,
    peer: std::net::TcpStream,
    start: Instant,
    // Keeps the poller that the connection is registered with.
    _poll: MioPoll,
}

fn fixture() -> Fixture {
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
        request: Some(Request::new("POST", "/once", Vec::new())),
        options: ExchangeOptions {
            match_header: None,
            reuse_idle_below: Duration::ZERO,
            connect_timeout: SETTLE * 2,
            settle: SETTLE,
            timeout: SETTLE * 2,
            renewed: false,
        },
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
fn a_connection_that_ends_before_the_request_is_written_proves_that_it_never_ran() {
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
        Input::Exchanged {
            result: Err(ExchangeFailure::NotConnected),
            ..
        }
    );
    expect_that!(proves_not_sent, eq(true));
    expect_that!(outbound.next_deadline(), none());
}

#[gtest]
fn a_request_is_written_once_its_new_connection_was_watched() {
    let mut fixture = fixture();
    let mut inputs = Vec::new();
    // Until the connection is up, its limit is the first deadline.
    while fixture.outbound.next_deadline() != Some(fixture.start + SETTLE) {
        fixture
            .outbound
            .ready(fixture.key, fixture.start, &mut inputs);
    }
    fixture.peer.set_nonblocking(true).expect("a socket");
    let mut buffer = [0; 64];
    let early = fixture.peer.read(&mut buffer).map_err(|error| error.kind());
    expect_that!(early, err(eq(ErrorKind::WouldBlock)));
    fixture.outbound.expire(fixture.start + SETTLE, &mut inputs);
    fixture.peer.set_nonblocking(false).expect("a socket");
    let count = fixture.peer.read(&mut buffer).expect("bytes");
    expect_that!(buffer[..count].starts_with(b"POST /once"), eq(true));
    expect_that!(inputs, is_empty());
}

/// Breaks the exchange off once its request is written, and returns what the other side
/// reads after that.
fn read_after_break_off(
    fixture: &mut Fixture,
    break_off: impl Fn(&mut Outbound, Instant),
) -> std::io::Result<usize> {
    let mut inputs = Vec::new();
    while fixture.outbound.next_deadline() != Some(fixture.start + SETTLE) {
        fixture
            .outbound
            .ready(fixture.key, fixture.start, &mut inputs);
    }
    fixture.outbound.expire(fixture.start + SETTLE, &mut inputs);
    let mut buffer = [0; 1_024];
    let count = fixture.peer.read(&mut buffer).expect("the request");
    expect_that!(count, gt(0));
    break_off(&mut fixture.outbound, fixture.start);
    fixture.peer.read(&mut buffer)
}

#[gtest]
fn an_exchange_that_is_broken_off_takes_back_what_has_not_arrived() {
    let is_reset = err(predicate(|error: &std::io::Error| {
        error.kind() == ErrorKind::ConnectionReset
    }));
    let cancelled = read_after_break_off(&mut fixture(), |outbound, _| {
        outbound.cancel(ExchangeId(1));
    });
    expect_that!(cancelled, is_reset);
    let is_reset = err(predicate(|error: &std::io::Error| {
        error.kind() == ErrorKind::ConnectionReset
    }));
    let timed_out = read_after_break_off(&mut fixture(), |outbound, start| {
        outbound.expire(start + SETTLE * 2, &mut Vec::new());
    });
    expect_that!(timed_out, is_reset);
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
