//! Sockets that a node listens on.

use crate::settings::Settings;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;

/// Why a node failed to start. None of its threads is left running.
#[derive(Debug)]
pub enum StartError {
    /// Listening on an address failed.
    Listen {
        /// Interface that the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The system could not create a thread or a poller.
    System(io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Listen {
                purpose,
                address,
                source,
            } => write!(
                formatter,
                "listening on {address} for {purpose} failed: {source}"
            ),
            StartError::System(source) => write!(formatter, "starting the node failed: {source}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<io::Error> for StartError {
    fn from(source: io::Error) -> Self {
        StartError::System(source)
    }
}

/// Listeners, bound before any thread is started.
pub(super) struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) administration: TcpListener,
    pub(super) peers: TcpListener,
}

impl Listeners {
    pub(super) fn bind(settings: &Settings) -> Result<Listeners, StartError> {
        Ok(Listeners {
            callers: listen("callers", settings.callers_address)?,
            administration: listen("administration", settings.administration_address)?,
            peers: listen("peers", settings.peer_address)?,
        })
    }
}

fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|source| StartError::Listen {
        purpose,
        address,
        source,
    })
}

/// An HTTP server whose connections have `TCP_NODELAY` set, so that the last bytes
/// of a response are sent immediately. On Linux an accepted socket inherits this
/// option from the listener.
fn http_server(listener: TcpListener) -> Result<tiny_http::Server, StartError> {
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    let listener = TcpListener::from(OwnedFd::from(socket));
    tiny_http::Server::from_listener(listener, None)
        .map_err(|error| StartError::System(io::Error::other(error.to_string())))
}

/// The HTTP server behind the proxy, on any free port of the loopback interface.
pub(super) fn inner_http_server() -> Result<tiny_http::Server, StartError> {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    http_server(listen("callers, behind the proxy", loopback)?)
}

pub(super) fn inner_address(server: &tiny_http::Server) -> Result<SocketAddr, StartError> {
    server
        .server_addr()
        .to_ip()
        .ok_or_else(|| StartError::System(io::Error::other("the HTTP server has no IP address")))
}
