//! Runs a node as a process: binds sockets, handles signals, and runs the event loop.

use crate::clock::ProcessClock;
use crate::endpoint::ListenAddresses;
use crate::event_loop::poll_until_shutdown;
use crate::reactor::{Reactor, ReactorSetup, Sockets};
use crate::redirects::Redirects;
use ledgelead_router::dialect::Dialect;
use ledgelead_router::node::Node;
use ledgelead_router::settings::NodeSettings;
use signal_hook::consts::{SIGHUP, SIGTERM};
use stakker::{ActorOwn, Stakker, actor, ret_nop};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

/// Capacity of the poller's event buffer.
const POLL_EVENTS: usize = 256;
/// Priority of the poller's waker, which is not used.
const WAKER_PRIORITY: u32 = 0;

/// Source of changed settings while the process runs.
pub trait SettingsSource {
    /// The settings, if they have changed since the last call and are valid.
    fn changed(&mut self) -> Option<NodeSettings>;
}

/// Flags that control a running process.
#[derive(Clone, Debug, Default)]
pub struct Control {
    /// Set to stop the process gracefully.
    pub stop: Arc<AtomicBool>,
    /// Set to reload the settings.
    pub reload: Arc<AtomicBool>,
}

impl Control {
    /// Flags that signals set: SIGTERM stops the process, SIGHUP reloads the settings.
    ///
    /// # Errors
    /// If a signal handler can't be registered.
    pub fn by_signals() -> io::Result<Control> {
        let control = Control::default();
        signal_hook::flag::register(SIGTERM, control.stop.clone())?;
        signal_hook::flag::register(SIGHUP, control.reload.clone())?;
        Ok(control)
    }
}

/// The addresses that the process is bound to.
#[derive(Clone, Debug)]
pub struct BoundAddresses {
    /// For requests of clients.
    pub clients: SocketAddr,
    /// For readiness probes and metrics, in the order of the settings.
    pub status: Vec<SocketAddr>,
}

/// Why a process failed.
#[derive(Debug)]
pub enum RunError {
    /// Binding a listener failed.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The event loop failed.
    Poll(io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Listen { address, source } => {
                write!(formatter, "can't listen on {address}: {source}")
            }
            RunError::Poll(source) => write!(formatter, "the event loop failed: {source}"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<io::Error> for RunError {
    fn from(source: io::Error) -> RunError {
        RunError::Poll(source)
    }
}

/// Runs a node until a stop is requested. Calls `started` with the addresses once they are
/// bound.
///
/// # Errors
/// If a listener can't be bound, or the event loop fails.
pub fn run(
    settings: NodeSettings,
    listen: ListenAddresses,
    redirects: Redirects,
    dialect: Box<dyn Dialect>,
    source: Box<dyn SettingsSource>,
    control: Control,
    started: impl FnOnce(BoundAddresses),
) -> Result<(), RunError> {
    let sockets = bind_sockets(&listen)?;
    started(sockets.addresses()?);
    let clock = ProcessClock::start();
    let mut stakker = Stakker::new(Instant::now());
    let poll = MioPoll::new(
        &mut stakker,
        Poll::new()?,
        Events::with_capacity(POLL_EVENTS),
        WAKER_PRIORITY,
    )?;
    let setup = ReactorSetup {
        stop_grace: settings.stop_grace,
        node: Node::new(settings, dialect, clock.now()),
        sockets,
        paths: listen.paths,
        redirects,
        control,
        settings: source,
        clock,
    };
    let _reactor: ActorOwn<Reactor> = actor!(stakker, Reactor::init(setup), ret_nop!());
    poll_until_shutdown(&mut stakker, &poll)?;
    Ok(())
}

impl Sockets {
    fn addresses(&self) -> io::Result<BoundAddresses> {
        let status: io::Result<Vec<SocketAddr>> =
            self.status.iter().map(TcpListener::local_addr).collect();
        Ok(BoundAddresses {
            clients: self.clients.local_addr()?,
            status: status?,
        })
    }
}

fn bind_sockets(listen: &ListenAddresses) -> Result<Sockets, RunError> {
    let status: Result<Vec<TcpListener>, RunError> = listen
        .status
        .iter()
        .map(|address| bind_listener(*address))
        .collect();
    let peers = UdpSocket::bind(listen.peers).map_err(|source| RunError::Listen {
        address: listen.peers,
        source,
    })?;
    Ok(Sockets {
        clients: bind_listener(listen.clients)?,
        status: status?,
        transfers: bind_listener(listen.peers)?,
        peers,
    })
}

fn bind_listener(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).map_err(|source| RunError::Listen { address, source })
}
