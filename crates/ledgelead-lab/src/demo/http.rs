//! Small helpers around the HTTP server library that all stand-ins share.

use ledgelead_types::Span;
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response, Server};

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY: u64 = 1 << 20;
/// Threads that the HTTP library's pool starts with.
const INITIAL_POOL_THREADS: usize = 4;
/// Time for these threads to take the connections that keep them busy.
const SETTLING_TIME: Duration = Duration::from_millis(10);
/// How often connections that are queued nevertheless are freed.
pub const WAKE_INTERVAL: Span = Span::from_millis(50);

/// A server that listens on a free port of the loopback interface.
///
/// `tiny_http` 0.12 queues a connection for a thread that it counts as waiting
/// until that thread has woken. Of two connections that come together the
/// second can be queued behind a thread that the first then keeps, and would
/// wait until some connection ends. So the threads that the pool starts with
/// are kept busy, which makes it add a thread for each connection, and
/// [`Listening::nudge`] frees what is queued nevertheless.
pub struct HttpListener {
    server: Server,
    address: SocketAddr,
    _held: Vec<TcpStream>,
}

impl HttpListener {
    /// Starts a server.
    pub fn start() -> io::Result<HttpListener> {
        let server = Server::from_listener(listener()?, None).map_err(io::Error::other)?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| io::Error::other("the server has no IP address"))?;
        let held = (0..INITIAL_POOL_THREADS)
            .map(|_| TcpStream::connect(address))
            .collect::<io::Result<Vec<_>>>()?;
        thread::sleep(SETTLING_TIME);
        Ok(HttpListener {
            server,
            address,
            _held: held,
        })
    }

    /// The server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Where it is reached.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens and closes a connection: the thread that takes it goes on with a
    /// connection that is queued.
    pub fn wake_queued(&self) {
        if let Err(error) = TcpStream::connect(self.address) {
            log::debug!("failed to connect to wake a queued connection: {error}");
        }
    }
}

/// A listener on a free port of the loopback interface. On Linux the sockets
/// that it accepts inherit its option to send small segments at once.
fn listener() -> io::Result<TcpListener> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

/// The value of a request's header.
pub fn header_of<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str())
}

/// Reads a request's whole body.
pub fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request.as_reader().take(MAX_BODY).read_to_end(&mut body)?;
    Ok(body)
}

/// An answer with a body and headers.
pub fn response(
    status: u16,
    body: Vec<u8>,
    headers: &[(&'static str, String)],
) -> Response<io::Cursor<Vec<u8>>> {
    let mut response = Response::from_data(body).with_status_code(status);
    for (name, value) in headers {
        let header = Header::from_bytes(name.as_bytes(), value.as_bytes());
        response.add_header(header.expect("headers of stand-ins are ASCII"));
    }
    response
}

/// Sends an answer. One whose receiver has left is dropped: the receiver's own
/// records tell what that meant.
pub fn answer(request: Request, status: u16, body: Vec<u8>, headers: &[(&'static str, String)]) {
    if let Err(error) = request.respond(response(status, body, headers)) {
        log::debug!("an answer was not taken: {error}");
    }
}
