//! The node's thread: runs the actors and the poller that wakes them.

use super::listeners::StartError;
use crate::InputSink;
use crate::actor::NodeActor;
use crate::callers::open_requests::OpenRequests;
use crate::callers::respond::CompletedRequest;
use crate::clock::ProcessClock;
use crate::handle::{NodeHandle, PendingTickets, Request};
use crate::logging::thread_name;
use crate::metrics::Metrics;
use crate::peer::frame::ClusterKey;
use crate::peer::{PeerSettings, PeerTransport, ReceivedMessage};
use crate::platform::{PlatformClient, PlatformSettings};
use crate::ports::SocketPorts;
use crate::servers::cancel::Canceller;
use crate::servers::forward::Forwarder;
use crate::servers::renewal::Renewer;
use crate::servers::signature::ServerKey;
use crate::servers::wire::AttemptSender;
use crate::settings::Settings;
use crate::work_pool::WorkPool;
use ledgelead_core::{Input, NodeSettings};
use ledgelead_runtime::poll_until_shutdown;
use stakker::sync::{Channel, ChannelGuard};
use stakker::{ActorOwn, CX, Stakker, StopCause, actor, actor_new, call, fwd_to, ret_nop};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::{self, Sender, SyncSender};
use std::thread::{self, JoinHandle};
use std::time::Instant;

/// Events taken from the poller in one call.
const POLL_EVENTS: usize = 1_024;
/// Priority in the poller of inputs from other threads.
const WAKER_PRIORITY: u32 = 5;

/// What the node's thread is created with.
pub(super) struct ThreadSetup {
    pub(super) node: NodeSettings,
    pub(super) settings: Settings,
    pub(super) metrics: Metrics,
    pub(super) open_requests: Arc<OpenRequests>,
    pub(super) responders: Arc<WorkPool<CompletedRequest>>,
    pub(super) listener: TcpListener,
    pub(super) stopped: Sender<()>,
}

/// What the node's thread returns when it has started.
pub(super) struct Started {
    pub(super) handle: NodeHandle,
    pub(super) forwarder: Arc<Forwarder>,
}

pub(super) fn input_sink(handle: &NodeHandle) -> InputSink {
    let handle = handle.clone();
    Arc::new(move |input| {
        handle.input(input);
    })
}

pub(super) fn join(thread: JoinHandle<()>) {
    if thread.join().is_err() {
        log::error!(target: "node", "the node's thread panicked");
    }
}

pub(super) fn start_thread(
    name: &str,
    setup: ThreadSetup,
) -> Result<(JoinHandle<()>, Started), StartError> {
    let (report, reported) = mpsc::sync_channel(1);
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run_thread(setup, &report))?;
    match reported.recv() {
        Ok(Ok(started)) => Ok((thread, started)),
        Ok(Err(error)) => {
            join(thread);
            Err(StartError::System(error))
        }
        Err(_) => {
            join(thread);
            Err(StartError::System(io::Error::other(
                "the node's thread panicked",
            )))
        }
    }
}

/// The node's thread: one `Stakker`, polled until the node ends.
fn run_thread(setup: ThreadSetup, report: &SyncSender<io::Result<Started>>) {
    let mut stakker = Stakker::new(Instant::now());
    let runtime = build_runtime(&mut stakker, setup);
    let mut runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = report.send(Err(error));
            return;
        }
    };
    if let Some(started) = runtime.started.take() {
        let _ = report.send(Ok(started));
    }
    if let Err(error) = poll_until_shutdown(&mut stakker, &runtime.poll) {
        log::error!(target: "node", "polling failed, the node ends: {error}");
    }
    // Dropping the owner of an actor only queues the actor's termination, which
    // closes its sockets; one more run executes it.
    drop(runtime);
    stakker.run(Instant::now(), false);
}

/// The values that live as long as the node's thread.
struct NodeRuntime {
    poll: MioPoll,
    started: Option<Started>,
    _actors: Actors,
    _guard: ChannelGuard,
}

/// Keeps the actors alive.
struct Actors {
    _node: ActorOwn<NodeActor<SocketPorts>>,
    _peers: ActorOwn<PeerTransport>,
}

impl NodeActor<SocketPorts> {
    fn received(&mut self, cx: CX![], received: ReceivedMessage) {
        let ReceivedMessage { from, message } = received;
        self.input(cx, Input::Peer { from, message });
    }

    fn serve(&mut self, cx: CX![], request: Request) {
        match request {
            Request::Input(input) => self.input(cx, input),
            Request::View(answer) => self.inspect(cx, |view| {
                // The requester may have stopped waiting.
                let _ = answer.try_send(view);
            }),
            Request::Kill => cx.shutdown(StopCause::Stopped),
        }
    }
}

fn build_runtime(stakker: &mut Stakker, setup: ThreadSetup) -> io::Result<NodeRuntime> {
    let poll = MioPoll::new(
        stakker,
        Poll::new()?,
        Events::with_capacity(POLL_EVENTS),
        WAKER_PRIORITY,
    )?;
    let node = actor_new!(stakker, NodeActor<SocketPorts>, ret_nop!());
    let received = fwd_to!([node], received() as (ReceivedMessage));
    let requests = fwd_to!([node], serve() as (Request));
    let (channel, guard) = Channel::new(stakker, requests);
    let pending = Arc::new(PendingTickets::default());
    let handle = NodeHandle::new(channel, pending.clone());
    let inputs = input_sink(&handle);

    let limits = &setup.settings.limits;
    let name = |job: &str| thread_name(setup.settings.node, job);
    let sender = AttemptSender {
        node: setup.node.node,
        incarnation: setup.node.incarnation,
    };
    let forwarder = Arc::new(Forwarder::start(
        &name("forward"),
        sender,
        limits.clone(),
        setup.open_requests.clone(),
        inputs.clone(),
    )?);
    let server_key = setup.settings.server_key.as_ref().map(ServerKey::new);
    let renewer = Renewer::start(
        &name("renew"),
        limits.renewal_threads,
        server_key.clone(),
        setup.metrics.clone(),
        inputs.clone(),
    )?;
    let canceller = Canceller::start(&name("cancel"), server_key)?;
    let platform_settings = PlatformSettings::new(setup.settings.platform_address, limits);
    let platform = PlatformClient::start(&name("platform"), platform_settings, inputs)?;

    let peer_settings = PeerSettings {
        node: setup.node.node,
        key: ClusterKey::new(setup.settings.cluster_key.expose().as_bytes()),
    };
    let counters = setup.metrics.peer.clone();
    let listener = setup.listener;
    listener.set_nonblocking(true)?;
    let peers = actor!(
        stakker,
        PeerTransport::init(peer_settings, counters, listener, received),
        ret_nop!()
    );
    let ports = SocketPorts {
        clock: ProcessClock::start(),
        sender,
        peers: peers.clone(),
        forwarder: forwarder.clone(),
        renewer,
        canceller,
        platform,
        open_requests: setup.open_requests,
        responders: setup.responders,
        pending,
        metrics: setup.metrics,
        stopped: setup.stopped,
    };
    let node_settings = setup.node;
    call!([node], <NodeActor<SocketPorts>>::init(node_settings, ports));
    Ok(NodeRuntime {
        poll,
        started: Some(Started { handle, forwarder }),
        _actors: Actors {
            _node: node,
            _peers: peers,
        },
        _guard: guard,
    })
}
