//! A TCP server that responds with given bytes, which need not be valid HTTP.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod running_node;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

/// What the server does with one connection.
#[derive(Clone, Copy, Debug)]
pub enum Script {
    /// Closes without reading.
    CloseAtOnce,
    /// Reads a request, writes these bytes, closes.
    Answer(&'static [u8]),
    /// Reads a request and sends nothing until the other end closes.
    Silence,
}

/// The server; each connection runs the next script.
pub struct RawServer {
    /// Where it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    thread: Option<JoinHandle<()>>,
}

impl RawServer {
    /// Starts a server that accepts one connection per script.
    pub fn start(scripts: Vec<Script>) -> RawServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let received = requests.clone();
        let thread = thread::spawn(move || {
            for script in scripts {
                let (stream, _) = listener.accept().expect("a connection");
                run_script(stream, script, &received);
            }
        });
        RawServer {
            address,
            requests,
            thread: Some(thread),
        }
    }

    /// Waits for all scripts to end and returns the requests received.
    pub fn finish(mut self) -> Vec<String> {
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the server ends");
        }
        self.requests.lock().expect("requests").clone()
    }
}

fn run_script(mut stream: TcpStream, script: Script, received: &Mutex<Vec<String>>) {
    match script {
        Script::CloseAtOnce => {}
        Script::Answer(bytes) => {
            received
                .lock()
                .expect("requests")
                .push(read_request(&mut stream));
            stream.write_all(bytes).expect("written");
        }
        Script::Silence => {
            received
                .lock()
                .expect("requests")
                .push(read_request(&mut stream));
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest);
        }
    }
}

/// Reads a header and a body of the declared length.
fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") && stream.read(&mut byte).expect("read") == 1 {
        bytes.push(byte[0]);
    }
    let header = String::from_utf8(bytes).expect("ASCII");
    let length = header
        .lines()
        .find_map(|line| {
            line.to_ascii_lowercase()
                .strip_prefix("content-length: ")?
                .parse()
                .ok()
        })
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("the body");
    header + &String::from_utf8(body).expect("a text body")
}

/// An address on which nothing listens: the port is reserved, and the system assigns no
/// free ports below 1024.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
