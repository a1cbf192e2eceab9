//! Measures the cost of sockets and HTTP on the loopback interface, which hollow nodes lack.

use super::cpu::thread_nanos;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::thread;
use ureq::Agent;

/// Number of calls measured. The kernel may update the thread's processor time a few
/// milliseconds late, so the measurement must be long in comparison.
const CALLS: u32 = 4_000;
/// Number of frames measured, chosen for the same reason.
const FRAMES: u32 = 50_000;
/// Calls before the measurement, which open the connection.
const WARM_UP_CALLS: u32 = 20;
/// Size of a renewal's body, approximately that of one without slices.
const BODY_BYTES: usize = 90;
/// Size of a typical frame.
const FRAME_BYTES: usize = 110;
/// Response head in the form written by the HTTP server library of the simulated services.
const ANSWER_HEAD: &str = "HTTP/1.1 200 OK\r\n\
    Server: tiny-http (Rust)\r\n\
    Date: Wed, 02 Dec 2026 00:00:00 GMT\r\n\
    Content-Length: 90\r\n\r\n";

/// Costs per call and per frame.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Costs {
    /// Size of an HTTP request without its body.
    pub request_head_bytes: usize,
    /// Size of an HTTP response without its body.
    pub answer_head_bytes: usize,
    /// Processor time of an HTTP call at the client, in nanoseconds.
    pub http_call_nanos: u64,
    /// Processor time for writing and reading a frame on a connection, in nanoseconds. A node
    /// does one of the two per frame.
    pub frame_pair_nanos: u64,
}

impl Costs {
    /// Bytes that HTTP adds to the bodies of a call and its response.
    pub fn head_bytes(&self) -> usize {
        self.request_head_bytes + self.answer_head_bytes
    }
}

/// Measures the costs, which takes about a second.
pub fn measure() -> io::Result<Costs> {
    let (request_head_bytes, http_call_nanos) = measure_http()?;
    Ok(Costs {
        request_head_bytes,
        answer_head_bytes: ANSWER_HEAD.len(),
        http_call_nanos,
        frame_pair_nanos: measure_frames()?,
    })
}

fn measure_http() -> io::Result<(usize, u64)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let server = thread::Builder::new()
        .name("lab-calibration".to_owned())
        .spawn(move || serve(&listener, WARM_UP_CALLS + CALLS))?;
    let agent = Agent::new_with_defaults();
    let uri = format!("http://{address}/ledgelead/lease");
    for _ in 0..WARM_UP_CALLS {
        call(&agent, &uri)?;
    }
    let before = thread_nanos();
    for _ in 0..CALLS {
        call(&agent, &uri)?;
    }
    let nanos = (thread_nanos() - before) / u64::from(CALLS);
    drop(agent);
    let head = server
        .join()
        .map_err(|_| io::Error::other("the calibration's server panicked"))??;
    Ok((head, nanos))
}

fn call(agent: &Agent, uri: &str) -> io::Result<()> {
    let body = [0_u8; BODY_BYTES];
    let mut answer = agent.post(uri).send(&body[..]).map_err(io::Error::other)?;
    let answer = answer.body_mut().read_to_vec().map_err(io::Error::other)?;
    debug_assert_eq!(answer.len(), BODY_BYTES);
    Ok(())
}

/// Answers the given number of calls on one connection and returns the size of a request head.
fn serve(listener: &TcpListener, calls: u32) -> io::Result<usize> {
    let (mut stream, _) = listener.accept()?;
    stream.set_nodelay(true)?;
    let mut answer = ANSWER_HEAD.as_bytes().to_vec();
    answer.extend_from_slice(&[0; BODY_BYTES]);
    let mut head = 0;
    for _ in 0..calls {
        head = read_request(&mut stream)?;
        stream.write_all(&answer)?;
    }
    Ok(head)
}

fn read_request(stream: &mut TcpStream) -> io::Result<usize> {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let end = received
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        if let Some(end) = end.map(|end| end + HEAD_END.len())
            && received.len() >= end + BODY_BYTES
        {
            return Ok(end);
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        received.extend_from_slice(&buffer[..count]);
    }
}

fn measure_frames() -> io::Result<u64> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let mut sender = TcpStream::connect(listener.local_addr()?)?;
    let (mut receiver, _) = listener.accept()?;
    sender.set_nodelay(true)?;
    let frame = [0_u8; FRAME_BYTES];
    let mut buffer = [0_u8; FRAME_BYTES];
    let before = thread_nanos();
    for _ in 0..FRAMES {
        sender.write_all(&frame)?;
        receiver.read_exact(&mut buffer)?;
    }
    Ok((thread_nanos() - before) / u64::from(FRAMES))
}
