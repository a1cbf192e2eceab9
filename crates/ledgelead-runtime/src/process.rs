//! The process: sockets, signals and the event loop.

use crate::clock::ProcessClock;
use crate::endpoint::ListenAddresses;
use crate::event_loop::poll_until_shutdown;
use crate::reactor::{Reactor, ReactorSetup, Sockets};
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

/// Events taken from the poller at once.
const POLL_EVENTS: usize = 256;
/// Priority of the waker, which is not used.
const WAKER_PRIORITY: u32 = 0;

/// Where settings come from while the process runs.
pub trait SettingsSource {
    /// The settings, if they have changed since the last call and are valid.
    fn changed(&mut self) -> Option<NodeSettings>;
}

/// What a running process is asked to do.
#[derive(Clone, Debug, Default)]
pub struct Control {
    /// Stop in good order.
    pub stop: Arc<AtomicBool>,
    /// Read the settings again.
    pub reload: Arc<AtomicBool>,
}

impl Control {
    /// A control that follows the process's signals: SIGTERM stops, SIGHUP
    /// reads the settings again.
    ///
    /// # Errors
    /// When a signal can't be registered.
    pub fn by_signals() -> io::Result<Control> {
        let control = Control::default();
        signal_hook::flag::register(SIGTERM, control.stop.clone())?;
        signal_hook::flag::register(SIGHUP, control.reload.clone())?;
        Ok(control)
    }
}

/// Addresses that were bound.
#[derive(Clone, Debug)]
pub struct BoundAddresses {
    /// For clients.
    pub clients: SocketAddr,
    /// For questions about the node, in the order of the settings.
    pub status: Vec<SocketAddr>,
}

/// Why a process could not run.
#[derive(Debug)]
pub enum RunError {
    /// An address can't be listened on.
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

/// Runs a node until it is asked to stop. `started` is told the addresses
/// once they are bound.
///
/// # Errors
/// When an address can't be listened on, or the event loop fails.
pub fn run(
    settings: NodeSettings,
    listen: ListenAddresses,
    dialect: Box<dyn Dialect>,
    source: Box<dyn SettingsSource>,
    control: Control,
    started: impl FnOnce(BoundAddresses),
) -> Result<(), RunError> {
    let sockets = bind(&listen)?;
    started(sockets.bound()?);
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
        control,
        settings: source,
        clock,
    };
    let _reactor: ActorOwn<Reactor> = actor!(stakker, Reactor::init(setup), ret_nop!());
    poll_until_shutdown(&mut stakker, &poll)?;
    Ok(())
}

impl Sockets {
    fn bound(&self) -> io::Result<BoundAddresses> {
        let status: io::Result<Vec<SocketAddr>> =
            self.status.iter().map(TcpListener::local_addr).collect();
        Ok(BoundAddresses {
            clients: self.clients.local_addr()?,
            status: status?,
        })
    }
}

fn bind(listen: &ListenAddresses) -> Result<Sockets, RunError> {
    let status: Result<Vec<TcpListener>, RunError> = listen
        .status
        .iter()
        .map(|address| listener(*address))
        .collect();
    let peers = UdpSocket::bind(listen.peers).map_err(|source| RunError::Listen {
        address: listen.peers,
        source,
    })?;
    Ok(Sockets {
        clients: listener(listen.clients)?,
        status: status?,
        transfers: listener(listen.peers)?,
        peers,
    })
}

fn listener(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).map_err(|source| RunError::Listen { address, source })
}
