//! The memory limit of inbound connections: uploads beyond it are refused, clients that don't
//! read their answers are disconnected, and what clients send ahead is not read.

use super::{ClientEvent, Inbound};
use crate::connection_limits::ConnectionLimits;
use crate::endpoint::Endpoint;
use crate::memory::Memory;
use crate::outbound::ConnectionKey;
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::io::ClientId;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use stakker::{Stakker, fwd_nop};
use stakker_mio::MioPoll;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::{Events, Interest, Poll};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::time::{Duration, Instant};

/// Memory of a small machine, in bytes.
const MEMORY_BYTES: usize = 120_000_000;
/// Bytes that may be buffered in all.
const BUFFERED_BYTES: usize = MEMORY_BYTES / 2;
/// Bytes buffered up to which bodies are admitted.
const ADMITTED_BYTES: usize = BUFFERED_BYTES / 4 * 3;
const UPLOAD_BYTES: usize = 1_000_000;
/// Far more than the kernel buffers for a client that doesn't read.
const ANSWER_BYTES: usize = 12_000_000;
/// Allowance for memory beside the bodies: buffers of connections, which grow by doubling.
const SLACK_BYTES: usize = 1_000_000;

struct Fixture {
    inbound: Inbound,
    memory: Memory,
    listener: TcpListener,
    now: Instant,
    poll: MioPoll,
    // Owns the actor context that the poller's callbacks refer to.
    _stakker: Stakker,
}

/// A client, and the key of its connection at the node.
struct Client {
    stream: std::net::TcpStream,
    key: ConnectionKey,
}

impl Fixture {
    fn new(limit: Option<usize>) -> Fixture {
        let now = Instant::now();
        let mut stakker = Stakker::new(now);
        let poll = Poll::new().expect("a poller");
        let events = Events::with_capacity(8);
        let poll = MioPoll::new(&mut stakker, poll, events, 0).expect("a poller");
        let memory = Memory::default();
        memory.set_limit(limit);
        Fixture {
            inbound: Inbound::new(memory.clone()),
            memory,
            listener: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            now,
            poll,
            _stakker: stakker,
        }
    }

    fn connect(&mut self) -> Client {
        let address = self.listener.local_addr().expect("an address");
        let stream = std::net::TcpStream::connect(address).expect("a connection");
        // Keeps the client's kernel from receiving a large part of an unread answer.
        set_socket_recv_buffer_size(&stream, 4_096).expect("a socket");
        let (accepted, _) = self.listener.accept().expect("the connection");
        accepted.set_nonblocking(true).expect("a socket");
        let accepted = TcpStream::from_std(accepted);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = self.poll.add(accepted, interest, 0, fwd_nop!());
        let key = self.inbound.next_key();
        let from = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let source = source.expect("a source");
        self.inbound
            .accepted(source, from, Endpoint::Clients, self.now);
        Client { stream, key }
    }

    /// Lets the node read what is available on a client's connection.
    fn ready(&mut self, client: &Client) -> Vec<ClientEvent> {
        let mut events = Vec::new();
        self.inbound.ready(client.key, false, self.now, &mut events);
        while self.inbound.has_turns() {
            for key in self.inbound.take_turns() {
                self.inbound.take_turn(key, self.now, &mut events);
            }
        }
        // The totals that are kept as buffers change are those of the buffers.
        assert_eq!(self.memory.buffers.total(), self.inbound.buffered_bytes());
        events
    }

    /// Sends bytes from a client while the node reads them.
    fn send(&mut self, client: &mut Client, bytes: &[u8]) -> Vec<ClientEvent> {
        client.stream.set_nonblocking(true).expect("a socket");
        let mut events = Vec::new();
        let mut sent = 0;
        while sent < bytes.len() {
            // If the kernel's buffer is full, the node's reads make room.
            sent += client.stream.write(&bytes[sent..]).unwrap_or(0);
            events.extend(self.ready(client));
        }
        client.stream.set_nonblocking(false).expect("a socket");
        events.extend(self.ready(client));
        events
    }

    fn respond(&mut self, client: ClientId, response: &Response) {
        self.inbound.respond(client, response.clone(), self.now);
    }

    fn sweep(&mut self) {
        self.inbound.sweep(self.now);
    }

    /// Accepts a connection if there is room, and counts those that are open.
    fn connect_if_room(&mut self) -> Option<Client> {
        let has_room = self.inbound.make_room(Endpoint::Clients, self.now);
        self.now += Duration::from_millis(1);
        let client = has_room.then(|| self.connect());
        let open = self.inbound.open.of(Endpoint::Clients).total();
        assert_eq!(open, self.inbound.connections(Endpoint::Clients));
        client
    }

    fn dropped_clients(&self) -> u64 {
        self.inbound.closed().unread_answers
    }

    /// Sends a request from a new client that doesn't read the answer.
    fn request_without_reading(&mut self, answer: &Response) -> Client {
        let mut client = self.connect();
        let events = self.send(&mut client, b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
        let [ClientEvent::Request { client: id, .. }] = events[..] else {
            panic!("{events:?}");
        };
        self.respond(id, answer);
        client
    }
}

fn head(length: usize) -> Vec<u8> {
    format!("POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

/// Reads until the node closes the connection.
fn read_to_end(client: &mut Client) -> String {
    let mut text = String::new();
    client.stream.read_to_string(&mut text).expect("an end");
    text
}

#[gtest]
fn uploads_beyond_the_memory_limit_are_refused_before_they_are_read() {
    let mut fixture = Fixture::new(Some(MEMORY_BYTES));
    let mut admitted = Vec::new();
    let mut refused = Vec::new();
    for _ in 0..200 {
        let mut client = fixture.connect();
        let mut start = head(UPLOAD_BYTES);
        start.resize(start.len() + 1_000, b'x');
        let events = fixture.send(&mut client, &start);
        match &events[..] {
            [] => admitted.push(client),
            [
                ClientEvent::RequestWithoutBody {
                    client: id,
                    request,
                },
            ] => {
                expect_that!(request.body, is_empty());
                expect_that!(request.path(), eq("/upload"));
                fixture.respond(*id, &Response::new(503, "no_memory"));
                refused.push(client);
            }
            other => panic!("{other:?}"),
        }
        expect_that!(
            fixture.inbound.buffered_bytes(),
            le(ADMITTED_BYTES + UPLOAD_BYTES)
        );
    }
    expect_that!(admitted.len(), all![ge(42), le(45)]);
    for client in &mut refused {
        let text = read_to_end(client);
        expect_that!(text, starts_with("HTTP/1.1 503"));
        expect_that!(text, contains_substring("Connection: close"));
    }
    // Admitted uploads continue, and make room for others when they end.
    let mut first = admitted.remove(0);
    let events = fixture.send(&mut first, &vec![b'x'; UPLOAD_BYTES - 1_000]);
    let [
        ClientEvent::Request {
            client: id,
            ref request,
            ..
        },
    ] = events[..]
    else {
        panic!("{events:?}");
    };
    expect_that!(request.body.len(), eq(UPLOAD_BYTES));
    fixture.respond(id, &Response::new(200, ""));
    drop(admitted.remove(0));
    let mut next = fixture.connect();
    fixture.sweep();
    expect_that!(fixture.inbound.buffered_bytes(), le(ADMITTED_BYTES));
    expect_that!(fixture.send(&mut next, &head(UPLOAD_BYTES)).len(), eq(0));
}

/// 70 clients, more than are admitted, each begin to upload a body of this length.
fn begin_uploads(fixture: &mut Fixture, length: usize) -> Vec<Client> {
    let begin = |_| {
        let mut client = fixture.connect();
        fixture.send(&mut client, &head(length));
        client
    };
    (0..70).map(begin).collect()
}

#[gtest]
fn requests_with_no_or_a_small_body_are_accepted_while_uploads_are_refused() {
    let mut fixture = Fixture::new(Some(MEMORY_BYTES));
    let _clients = begin_uploads(&mut fixture, UPLOAD_BYTES);
    let mut other = fixture.connect();
    let events = fixture.send(&mut other, b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    expect_that!(
        matches!(events[..], [ClientEvent::Request { .. }]),
        eq(true)
    );
    let mut small = fixture.connect();
    let mut request = head(100);
    request.resize(request.len() + 100, b'x');
    let events = fixture.send(&mut small, &request);
    expect_that!(
        matches!(events[..], [ClientEvent::Request { .. }]),
        eq(true)
    );
}

/// The length of a chunked body is not known before it has arrived.
#[gtest]
fn a_chunked_upload_is_refused_once_memory_is_short() {
    let mut fixture = Fixture::new(Some(MEMORY_BYTES));
    let mut chunked = fixture.connect();
    let start = b"POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    expect_that!(fixture.send(&mut chunked, start).len(), eq(0));
    let mut chunk = b"2000\r\n".to_vec();
    chunk.resize(chunk.len() + 0x2000, b'x');
    chunk.extend_from_slice(b"\r\n");
    expect_that!(fixture.send(&mut chunked, &chunk).len(), eq(0));
    // The smaller uploads fill the room that the large ones leave.
    let _clients =
        [UPLOAD_BYTES, UPLOAD_BYTES / 10].map(|length| begin_uploads(&mut fixture, length));
    let mut events = Vec::new();
    let mut chunks = 0;
    while events.is_empty() && chunks < 20 {
        events = fixture.send(&mut chunked, &chunk);
        chunks += 1;
    }
    expect_that!(
        matches!(events[..], [ClientEvent::RequestWithoutBody { .. }]),
        eq(true)
    );
}

#[gtest]
fn a_client_that_expects_100_continue_is_refused_before_it_sends_the_body() {
    let mut fixture = Fixture::new(Some(MEMORY_BYTES));
    let _clients = begin_uploads(&mut fixture, UPLOAD_BYTES);
    let mut client = fixture.connect();
    let request =
        b"POST /upload HTTP/1.1\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n";
    let events = fixture.send(&mut client, request);
    let [ClientEvent::RequestWithoutBody { client: id, .. }] = events[..] else {
        panic!("{events:?}");
    };
    fixture.respond(id, &Response::new(503, ""));
    expect_that!(read_to_end(&mut client), starts_with("HTTP/1.1 503"));
}

#[gtest]
fn clients_that_do_not_read_are_disconnected_and_others_get_their_answers() {
    let mut fixture = Fixture::new(Some(MEMORY_BYTES));
    let answer = Response::new(200, vec![b'x'; ANSWER_BYTES]);
    let mut slow_clients = Vec::new();
    for _ in 0..200 {
        slow_clients.push(fixture.request_without_reading(&answer));
        expect_that!(fixture.inbound.buffered_bytes(), le(BUFFERED_BYTES));
        fixture.now += Duration::from_millis(1);
    }
    expect_that!(fixture.dropped_clients(), gt(150));
    let mut other = fixture.request_without_reading(&Response::new(200, "small"));
    other
        .stream
        .shutdown(std::net::Shutdown::Write)
        .expect("a connection");
    fixture.ready(&other);
    expect_that!(read_to_end(&mut other), ends_with("small"));
}

/// Answers of usual length that their clients have not read yet fit the share of memory that
/// is reserved for answers.
#[gtest]
fn slow_uploads_do_not_cause_answers_to_be_dropped() {
    let mut fixture = Fixture::new(Some(MEMORY_BYTES));
    let mut uploads = Vec::new();
    for length in [UPLOAD_BYTES, UPLOAD_BYTES / 10, UPLOAD_BYTES / 100] {
        for _ in 0..70 {
            let mut client = fixture.connect();
            for event in fixture.send(&mut client, &head(length)) {
                let ClientEvent::RequestWithoutBody { client, .. } = event else {
                    panic!("{event:?}");
                };
                fixture.respond(client, &Response::new(503, ""));
            }
            uploads.push(client);
        }
    }
    expect_that!(
        fixture.inbound.buffered_bytes(),
        gt(ADMITTED_BYTES - UPLOAD_BYTES / 10)
    );
    let answer = Response::new(200, vec![b'x'; ANSWER_BYTES]);
    let _reading = fixture.request_without_reading(&answer);
    for _ in 0..20 {
        fixture.request_without_reading(&Response::new(200, vec![b'x'; 10_000]));
    }
    expect_that!(fixture.dropped_clients(), eq(0));
}

#[gtest]
fn a_client_that_does_not_read_keeps_its_answer_while_there_is_memory() {
    let answer = Response::new(200, vec![b'x'; ANSWER_BYTES]);
    for limit in [None, Some(MEMORY_BYTES)] {
        let mut fixture = Fixture::new(limit);
        let clients: Vec<Client> = (0..3)
            .map(|_| fixture.request_without_reading(&answer))
            .collect();
        fixture.now += Duration::from_secs(3);
        fixture.sweep();
        expect_that!(fixture.dropped_clients(), eq(0));
        expect_that!(
            fixture.inbound.buffered_bytes(),
            ge(ANSWER_BYTES * clients.len())
        );
    }
}

/// Bytes that a client sends while its request is open stay in the kernel, with and without a
/// memory limit, and follow once the request is answered.
#[gtest]
fn a_client_that_sends_too_far_ahead_is_not_read() {
    let request = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    for limit in [Some(MEMORY_BYTES), None] {
        let mut fixture = Fixture::new(limit);
        let mut client = fixture.connect();
        let events = fixture.send(&mut client, request);
        let [ClientEvent::Request { client: first, .. }] = events[..] else {
            panic!("{events:?}");
        };
        client.stream.set_nonblocking(true).expect("a socket");
        let ahead = request.repeat(2 * BUFFERED_BYTES / request.len());
        let mut sent = 0;
        // Ends once the kernels of both sides take nothing more.
        while let Ok(count) = client.stream.write(&ahead[sent..]) {
            sent += count;
            expect_that!(fixture.ready(&client).len(), eq(0));
            expect_that!(fixture.inbound.buffered_bytes(), lt(SLACK_BYTES));
        }
        expect_that!(sent, lt(ahead.len()));
        fixture.respond(first, &Response::new(200, ""));
        let events = fixture.ready(&client);
        expect_that!(
            matches!(events[..], [ClientEvent::Request { .. }]),
            eq(true)
        );
    }
}

/// The client's close is behind more bytes than are read.
#[gtest]
fn a_client_that_closes_behind_unread_bytes_has_left() {
    let mut fixture = Fixture::new(Some(MEMORY_BYTES));
    let mut client = fixture.connect();
    let request = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    let events = fixture.send(&mut client, request);
    let [ClientEvent::Request { client: first, .. }] = events[..] else {
        panic!("{events:?}");
    };
    client
        .stream
        .write_all(&request.repeat(1_000))
        .expect("room in the kernel");
    expect_that!(fixture.ready(&client).len(), eq(0));
    drop(client.stream);
    let mut events = Vec::new();
    fixture
        .inbound
        .ready(client.key, true, fixture.now, &mut events);
    let [ClientEvent::Disconnected { client: left }] = events[..] else {
        panic!("{events:?}");
    };
    expect_that!(left, eq(first));
}

/// Idle connections must not keep the buffers of their large messages.
#[gtest]
fn an_idle_connection_frees_its_large_buffers() {
    let mut fixture = Fixture::new(Some(MEMORY_BYTES));
    let mut client = fixture.connect();
    let mut upload = head(UPLOAD_BYTES);
    upload.resize(upload.len() + UPLOAD_BYTES, b'x');
    let events = fixture.send(&mut client, &upload);
    let [ClientEvent::Request { client: id, .. }] = events[..] else {
        panic!("{events:?}");
    };
    expect_that!(fixture.inbound.buffered_bytes(), ge(UPLOAD_BYTES));
    fixture.respond(id, &Response::new(200, vec![b'x'; 100_000]));
    let mut read = vec![0; 50_000];
    for _ in 0..2 {
        client.stream.read_exact(&mut read).expect("the answer");
        fixture.ready(&client);
    }
    expect_that!(fixture.inbound.buffered_bytes(), le(SLACK_BYTES / 10));
}

/// A limit under which clients may have 12 connections.
const FEW_CONNECTIONS: Option<usize> = Some(32);

#[gtest]
fn the_longest_idle_connection_makes_room_for_a_new_one() {
    let mut fixture = Fixture::new(None);
    let limits = ConnectionLimits::of(FEW_CONNECTIONS);
    fixture.inbound.set_connection_limits(limits);
    let mut clients: Vec<Client> = (0..12)
        .map(|_| fixture.connect_if_room().expect("room"))
        .collect();
    // The first has a request at work, the second has sent a part of a head.
    let request = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    expect_that!(fixture.send(&mut clients[0], request).len(), eq(1));
    expect_that!(fixture.send(&mut clients[1], b"GET /x HT").len(), eq(0));
    for _ in 0..11 {
        clients.push(fixture.connect_if_room().expect("room"));
    }
    expect_that!(fixture.inbound.connections(Endpoint::Clients), eq(12));
    // The ten idle ones went first, then the first of the new ones.
    let mut half = clients.remove(1);
    let rest = b"TP/1.1\r\n\r\n";
    expect_that!(fixture.send(&mut half, rest).len(), eq(1));
    expect_that!(read_to_end(&mut clients[1]), eq(""));
}

#[gtest]
fn a_new_connection_is_refused_while_all_others_have_requests_at_work() {
    let mut fixture = Fixture::new(None);
    let limits = ConnectionLimits::of(FEW_CONNECTIONS);
    fixture.inbound.set_connection_limits(limits);
    let mut clients = Vec::new();
    let mut open = Vec::new();
    for _ in 0..12 {
        let mut client = fixture.connect_if_room().expect("room");
        let request = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
        let events = fixture.send(&mut client, request);
        let [ClientEvent::Request { client: id, .. }] = events[..] else {
            panic!("{events:?}");
        };
        open.push(id);
        clients.push(client);
    }
    expect_that!(fixture.connect_if_room().is_none(), eq(true));
    expect_that!(fixture.inbound.closed().refused, eq(1));
    // The status endpoint has room of its own.
    expect_that!(
        fixture.inbound.make_room(Endpoint::Status, fixture.now),
        eq(true)
    );
    fixture.respond(open[3], &Response::new(200, ""));
    expect_that!(fixture.connect_if_room().is_some(), eq(true));
}

#[gtest]
fn partial_heads_take_no_more_than_the_buffers_may() {
    const LIMIT: usize = 2_000_000;
    let mut fixture = Fixture::new(Some(LIMIT));
    let part = format!("GET /x HTTP/1.1\r\nX-Long: {}", "v".repeat(12_000));
    let mut clients = Vec::new();
    for _ in 0..200 {
        let mut client = fixture.connect();
        expect_that!(fixture.send(&mut client, part.as_bytes()).len(), eq(0));
        expect_that!(fixture.memory.buffers.total(), le(LIMIT / 2));
        fixture.now += Duration::from_millis(1);
        clients.push(client);
    }
    expect_that!(fixture.inbound.closed().partial_heads, gt(100));
    let mut other = fixture.connect();
    let events = fixture.send(&mut other, b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    expect_that!(
        matches!(events[..], [ClientEvent::Request { .. }]),
        eq(true)
    );
}
