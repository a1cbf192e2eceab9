//! Helpers for the HTTP servers of the simulated services.

use ledgelead_types::Span;
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response, Server};

/// Maximum size of a request body, in bytes.
const MAX_BODY: u64 = 1 << 20;
/// Initial number of threads in the HTTP library's pool.
const INITIAL_POOL_THREADS: usize = 4;
/// Time for these threads to accept the connections that keep them busy.
const SETTLING_TIME: Duration = Duration::from_millis(10);
/// Interval at which queued connections are woken.
pub const WAKE_INTERVAL: Span = Span::from_millis(50);

/// A server that listens on a free port of the loopback interface.
///
/// `tiny_http` 0.12 queues a connection for a thread that it considers idle until that thread
/// has woken up. If two connections arrive at the same time, the second can be queued behind a
/// thread that is kept by the first, and would wait until some connection ends. Therefore the
/// initial threads of the pool are kept busy, so that it adds a thread for each connection,
/// and [`HttpListener::wake_queued`] releases connections that are queued nevertheless.
pub struct HttpListener {
    server: Server,
    address: SocketAddr,
    _pool_connections: Vec<TcpStream>,
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
            _pool_connections: held,
        })
    }

    /// The server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens and closes a connection. The thread that accepts it continues with a queued
    /// connection.
    pub fn wake_queued(&self) {
        if let Err(error) = TcpStream::connect(self.address) {
            log::debug!("failed to connect to wake a queued connection: {error}");
        }
    }
}

/// Listens on a free port of the loopback interface. On Linux the accepted sockets inherit the
/// option to send small segments immediately.
fn listener() -> io::Result<TcpListener> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

/// The value of a request header.
pub fn header_of<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str())
}

/// Reads the complete body of a request.
pub fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request.as_reader().take(MAX_BODY).read_to_end(&mut body)?;
    Ok(body)
}

/// Creates a response with a body and headers.
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

/// Sends a response. It is dropped if the receiver has disconnected; the receiver's own
/// records show the consequences.
pub fn answer(request: Request, status: u16, body: Vec<u8>, headers: &[(&'static str, String)]) {
    if let Err(error) = request.respond(response(status, body, headers)) {
        log::debug!("an answer was not taken: {error}");
    }
}
