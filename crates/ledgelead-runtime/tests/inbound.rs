//! What clients' connections may hold: uploads beyond it are refused, and clients that
//! don't read lose their answers.

use super::{ClientEvent, Inbound};
use crate::endpoint::Endpoint;
use crate::memory::MemoryBudget;
use crate::outbound::{ConnectionKey, Outbound};
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

/// Memory of a small machine, in bytes. Half of it may be held, most of that by bodies.
const MEMORY: usize = 120_000_000;
const HELD: usize = MEMORY / 2;
const ADMITTED: usize = HELD / 4 * 3;
const UPLOAD: usize = 1_000_000;
/// Far more than the kernel takes for a client that doesn't read.
const ANSWER: usize = 12_000_000;
/// What is allocated beside the bodies: buffers of connections, which grow by doubling.
const SLACK: usize = 1_000_000;

struct Fixture {
    inbound: Inbound,
    outbound: Outbound,
    limit: Option<usize>,
    listener: TcpListener,
    now: Instant,
    poll: MioPoll,
    // Makes actors' forwards, which the poller keeps.
    _stakker: Stakker,
}

/// A client and the other end of its connection.
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
        Fixture {
            inbound: Inbound::default(),
            outbound: Outbound::default(),
            limit,
            listener: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            now,
            poll,
            _stakker: stakker,
        }
    }

    fn connect(&mut self) -> Client {
        let address = self.listener.local_addr().expect("an address");
        let stream = std::net::TcpStream::connect(address).expect("a connection");
        // What the client's kernel takes isn't held by the node.
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

    /// Reads what is there on a client's connection.
    fn ready(&mut self, client: &Client) -> Vec<ClientEvent> {
        let mut events = Vec::new();
        let budget = MemoryBudget::new(self.limit, &self.outbound);
        self.inbound
            .ready(client.key, self.now, budget, &mut events);
        events
    }

    /// A client sends bytes, and the node reads until something comes of it.
    fn send(&mut self, client: &mut Client, bytes: &[u8]) -> Vec<ClientEvent> {
        client.stream.set_nonblocking(true).expect("a socket");
        let mut events = Vec::new();
        let mut sent = 0;
        while sent < bytes.len() {
            // A full buffer is emptied by the node.
            sent += client.stream.write(&bytes[sent..]).unwrap_or(0);
            events.extend(self.ready(client));
        }
        client.stream.set_nonblocking(false).expect("a socket");
        events.extend(self.ready(client));
        events
    }

    fn respond(&mut self, client: ClientId, response: &Response) {
        let mut events = Vec::new();
        let budget = MemoryBudget::new(self.limit, &self.outbound);
        self.inbound
            .respond(client, response, self.now, budget, &mut events);
        expect_that!(events.len(), eq(0));
    }

    fn sweep(&mut self) {
        let budget = MemoryBudget::new(self.limit, &self.outbound);
        self.inbound.sweep(self.now, budget);
    }

    /// A client asks for something, and doesn't read the answer.
    fn ask_and_not_read(&mut self, answer: &Response) -> Client {
        let mut client = self.connect();
        let events = self.send(&mut client, b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
        let [ClientEvent::Request { client: asked, .. }] = events[..] else {
            panic!("{events:?}");
        };
        self.respond(asked, answer);
        client
    }
}

fn head(length: usize) -> Vec<u8> {
    format!("POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

/// Reads until the other side ends the connection.
fn read_to_end(client: &mut Client) -> String {
    let mut text = String::new();
    client.stream.read_to_string(&mut text).expect("an end");
    text
}

#[gtest]
fn uploads_beyond_what_may_be_held_are_refused_before_they_are_read() {
    let mut fixture = Fixture::new(Some(MEMORY));
    let mut admitted = Vec::new();
    let mut refused = Vec::new();
    for _ in 0..200 {
        let mut client = fixture.connect();
        let mut start = head(UPLOAD);
        start.resize(start.len() + 1_000, b'x');
        let events = fixture.send(&mut client, &start);
        match &events[..] {
            [] => admitted.push(client),
            [
                ClientEvent::Unread {
                    client: asked,
                    request,
                },
            ] => {
                expect_that!(request.body, is_empty());
                expect_that!(request.path(), eq("/upload"));
                fixture.respond(*asked, &Response::new(503, "no_memory"));
                refused.push(client);
            }
            other => panic!("{other:?}"),
        }
        expect_that!(fixture.inbound.held(), le(ADMITTED + UPLOAD));
    }
    expect_that!(admitted.len(), all![ge(42), le(45)]);
    for client in &mut refused {
        let text = read_to_end(client);
        expect_that!(text, starts_with("HTTP/1.1 503"));
        expect_that!(text, contains_substring("Connection: close"));
    }
    // Those that were let in go on, and make budget as they end.
    let mut first = admitted.remove(0);
    let events = fixture.send(&mut first, &vec![b'x'; UPLOAD - 1_000]);
    let [
        ClientEvent::Request {
            client: asked,
            ref request,
            ..
        },
    ] = events[..]
    else {
        panic!("{events:?}");
    };
    expect_that!(request.body.len(), eq(UPLOAD));
    fixture.respond(asked, &Response::new(200, ""));
    drop(admitted.remove(0));
    let mut next = fixture.connect();
    fixture.sweep();
    expect_that!(fixture.inbound.held(), le(ADMITTED));
    expect_that!(fixture.send(&mut next, &head(UPLOAD)).len(), eq(0));
}

/// More clients than fit begin to upload a body of this length each.
fn begin_uploads(fixture: &mut Fixture, length: usize) -> Vec<Client> {
    let begin = |_| {
        let mut client = fixture.connect();
        fixture.send(&mut client, &head(length));
        client
    };
    (0..70).map(begin).collect()
}

#[gtest]
fn a_request_without_a_body_is_taken_while_uploads_are_refused() {
    let mut fixture = Fixture::new(Some(MEMORY));
    let _clients = begin_uploads(&mut fixture, UPLOAD);
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

/// The length of a body in chunks shows as it comes.
#[gtest]
fn an_upload_in_chunks_is_refused_once_memory_is_short() {
    let mut fixture = Fixture::new(Some(MEMORY));
    let mut chunked = fixture.connect();
    let start = b"POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    expect_that!(fixture.send(&mut chunked, start).len(), eq(0));
    let mut chunk = b"2000\r\n".to_vec();
    chunk.resize(chunk.len() + 0x2000, b'x');
    chunk.extend_from_slice(b"\r\n");
    expect_that!(fixture.send(&mut chunked, &chunk).len(), eq(0));
    // Smaller ones fill what large ones leave.
    let _clients = [UPLOAD, UPLOAD / 10].map(|length| begin_uploads(&mut fixture, length));
    let mut events = Vec::new();
    let mut chunks = 0;
    while events.is_empty() && chunks < 20 {
        events = fixture.send(&mut chunked, &chunk);
        chunks += 1;
    }
    expect_that!(matches!(events[..], [ClientEvent::Unread { .. }]), eq(true));
}

#[gtest]
fn a_client_is_not_told_to_send_what_does_not_fit() {
    let mut fixture = Fixture::new(Some(MEMORY));
    let _clients = begin_uploads(&mut fixture, UPLOAD);
    let mut polite = fixture.connect();
    let request =
        b"POST /upload HTTP/1.1\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n";
    let events = fixture.send(&mut polite, request);
    let [ClientEvent::Unread { client: asked, .. }] = events[..] else {
        panic!("{events:?}");
    };
    fixture.respond(asked, &Response::new(503, ""));
    expect_that!(read_to_end(&mut polite), starts_with("HTTP/1.1 503"));
}

#[gtest]
fn clients_that_do_not_read_lose_their_answers_and_others_get_theirs() {
    let mut fixture = Fixture::new(Some(MEMORY));
    let answer = Response::new(200, vec![b'x'; ANSWER]);
    let mut slow = Vec::new();
    for _ in 0..200 {
        slow.push(fixture.ask_and_not_read(&answer));
        expect_that!(fixture.inbound.held(), le(HELD));
        fixture.now += Duration::from_millis(1);
    }
    expect_that!(fixture.inbound.dropped(), gt(150));
    let mut other = fixture.ask_and_not_read(&Response::new(200, "small"));
    other
        .stream
        .shutdown(std::net::Shutdown::Write)
        .expect("a connection");
    fixture.ready(&other);
    expect_that!(read_to_end(&mut other), ends_with("small"));
}

/// An answer of usual length, which its client has not read yet, has budget beside them.
#[gtest]
fn slow_uploads_take_no_answers_from_others() {
    let mut fixture = Fixture::new(Some(MEMORY));
    let mut uploads = Vec::new();
    for length in [UPLOAD, UPLOAD / 10, UPLOAD / 100] {
        for _ in 0..70 {
            let mut client = fixture.connect();
            for event in fixture.send(&mut client, &head(length)) {
                let ClientEvent::Unread { client, .. } = event else {
                    panic!("{event:?}");
                };
                fixture.respond(client, &Response::new(503, ""));
            }
            uploads.push(client);
        }
    }
    expect_that!(fixture.inbound.held(), gt(ADMITTED - UPLOAD / 10));
    let answer = Response::new(200, vec![b'x'; ANSWER]);
    let _reading = fixture.ask_and_not_read(&answer);
    for _ in 0..20 {
        fixture.ask_and_not_read(&Response::new(200, vec![b'x'; 10_000]));
    }
    expect_that!(fixture.inbound.dropped(), eq(0));
}

/// Within the bound, a slow client is only slow.
#[gtest]
fn a_client_that_does_not_read_keeps_its_answer_while_there_is_memory() {
    let answer = Response::new(200, vec![b'x'; ANSWER]);
    for limit in [None, Some(MEMORY)] {
        let mut fixture = Fixture::new(limit);
        let clients: Vec<Client> = (0..3).map(|_| fixture.ask_and_not_read(&answer)).collect();
        fixture.now += Duration::from_secs(3);
        fixture.sweep();
        expect_that!(fixture.inbound.dropped(), eq(0));
        expect_that!(fixture.inbound.held(), ge(ANSWER * clients.len()));
    }
}

/// What is sent ahead while a request is open waits in the node's memory.
#[gtest]
fn a_client_that_sends_without_end_ahead_of_its_answer_is_cut_off() {
    let ahead = vec![b'x'; 2 * HELD];
    for (limit, is_cut) in [(Some(MEMORY), true), (None, false)] {
        let mut fixture = Fixture::new(limit);
        let mut client = fixture.connect();
        let events = fixture.send(&mut client, b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        expect_that!(
            matches!(events[..], [ClientEvent::Request { .. }]),
            eq(true)
        );
        client.stream.set_nonblocking(true).expect("a socket");
        let mut events = Vec::new();
        let mut sent = 0;
        while events.is_empty() && sent < ahead.len() {
            sent += client.stream.write(&ahead[sent..]).unwrap_or(0);
            events = fixture.ready(&client);
        }
        let left = matches!(events[..], [ClientEvent::Left { .. }]);
        expect_that!(left, eq(is_cut));
        if is_cut {
            expect_that!(fixture.inbound.held(), lt(SLACK));
        }
    }
}

/// A large message leaves no large buffer behind.
#[gtest]
fn an_idle_connection_gives_back_its_memory() {
    let mut fixture = Fixture::new(Some(MEMORY));
    let mut client = fixture.connect();
    let mut upload = head(UPLOAD);
    upload.resize(upload.len() + UPLOAD, b'x');
    let events = fixture.send(&mut client, &upload);
    let [ClientEvent::Request { client: asked, .. }] = events[..] else {
        panic!("{events:?}");
    };
    expect_that!(fixture.inbound.held(), ge(UPLOAD));
    fixture.respond(asked, &Response::new(200, vec![b'x'; 100_000]));
    let mut read = vec![0; 50_000];
    for _ in 0..2 {
        client.stream.read_exact(&mut read).expect("the answer");
        fixture.ready(&client);
    }
    expect_that!(fixture.inbound.held(), le(SLACK / 10));
}
