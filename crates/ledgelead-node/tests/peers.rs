//! The port for other nodes, with connections that violate the protocol or stay silent.

mod support;

use googletest::prelude::*;
use ledgelead_node::RunningNode;
use ledgelead_node::peer::frame::*;
use ledgelead_types::NodeId;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::running_node::{SETTINGS, start, start_with};

/// Timeout of reads and waits, so that a test can't hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The node under test.
const RECEIVER: NodeId = NodeId(1);

struct Connection {
    stream: TcpStream,
    challenge: Challenge,
}

fn connect(node: &RunningNode) -> Connection {
    let mut stream = TcpStream::connect(node.peer_address).expect("connected");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    let mut greeting = [0; GREETING_BYTES];
    stream.read_exact(&mut greeting).expect("a greeting");
    let challenge = read_greeting(&greeting).expect("right").expect("whole");
    Connection { stream, challenge }
}

impl Connection {
    fn send_hello(&mut self) -> Session {
        let key = ClusterKey::new(b"a key for tests only");
        let mut session = Session::new(key, self.challenge, NodeId(2), RECEIVER);
        let mut hello = Vec::new();
        session.seal_hello(&mut hello);
        self.stream.write_all(&hello).expect("written");
        session
    }

    /// Whether the node closes the connection.
    fn is_closed_by_node(&mut self) -> bool {
        let mut rest = [0];
        match self.stream.read(&mut rest) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

#[gtest]
fn bad_frames_close_only_their_own_connection() {
    let node = start();
    let mut good = connect(&node);
    let mut session = good.send_hello();

    let mut garbage = connect(&node);
    garbage.stream.write_all(&[0xee; 4_096]).expect("written");
    expect_that!(garbage.is_closed_by_node(), eq(true));

    let mut huge = connect(&node);
    huge.send_hello();
    huge.stream
        .write_all(&u32::MAX.to_le_bytes())
        .expect("written");
    expect_that!(huge.is_closed_by_node(), eq(true));

    let mut undecodable = connect(&node);
    let mut other = undecodable.send_hello();
    let mut frame = Vec::new();
    other.seal_frame(&[0xff; 64], &mut frame).expect("short");
    undecodable.stream.write_all(&frame).expect("written");
    expect_that!(undecodable.is_closed_by_node(), eq(true));
    expect_that!(node.metrics().peer.bad_frames.get(), eq(3));

    // A connection that sends nothing, and one that is closed immediately.
    let _silent = connect(&node);
    drop(connect(&node));

    let message = ledgelead_core::PeerMessage::Inquire { inquiry: 1 };
    let mut frame = Vec::new();
    let payload = ledgelead_types::codec::encode(&message);
    session.seal_frame(&payload, &mut frame).expect("short");
    let (first, rest) = frame.split_at(7);
    good.stream.write_all(first).expect("written");
    good.stream.write_all(rest).expect("written");
    let until = Instant::now() + TEST_TIMEOUT;
    while node.metrics().peer.messages_in.get() == 0 && Instant::now() < until {
        std::thread::yield_now();
    }
    expect_that!(node.metrics().peer.messages_in.get(), eq(1));
}

#[gtest]
fn a_killed_node_drops_its_sockets_immediately() {
    let node = start();
    let mut peer = connect(&node);
    let mut caller = TcpStream::connect(node.http_address).expect("connected");
    caller.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    node.kill();
    expect_that!(peer.is_closed_by_node(), eq(true));
    let mut byte = [0];
    let closed = matches!(caller.read(&mut byte), Ok(0) | Err(_));
    expect_that!(closed, eq(true));
}

#[gtest]
fn connections_without_a_greeting_are_closed_and_retried() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent.local_addr().expect("an address");
    let seeds = format!("seeds = [{{ node = 2, address = \"{address}\" }}]\n[platform]");
    let text = SETTINGS.replace("[platform]", &seeds);
    let node = start_with(&text);

    let (mut first, _) = silent.accept().expect("a connection");
    first.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    let mut byte = [0];
    // The node sends nothing before the greeting, and closes the connection without it.
    expect_that!(matches!(first.read(&mut byte), Ok(0)), eq(true));
    expect_that!(node.metrics().peer.dropped.get(), gt(0));
    silent.accept().expect("another try");
    // Other connections are served meanwhile.
    connect(&node).send_hello();
}
