//! Starts and stops a node.

mod listeners;
mod node_thread;
mod serving;

use crate::administration::AdministrationServer;
use crate::callers::open_requests::OpenRequests;
use crate::callers::proxy::CallerProxy;
use crate::callers::respond::{self, CompletedRequest};
use crate::callers::server::CallerServer;
use crate::file_limit;
use crate::handle::NodeHandle;
use crate::logging::thread_name;
use crate::metrics::Metrics;
use crate::servers::forward::Forwarder;
use crate::settings::Settings;
use crate::work_pool::WorkPool;
use ledgelead_core::{Input, NodeSettings};
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::protections::Protections;
use ledgelead_types::{Incarnation, Text};
use listeners::Listeners;
pub use listeners::StartError;
use node_thread::{ThreadSetup, join, start_thread};
use serving::serve;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often a stopping node checks whether every request was answered.
const COMPLETION_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Starts nodes.
pub struct Node;

/// A running node. Dropping it kills it.
pub struct RunningNode {
    /// Address on which callers' requests are accepted.
    pub http_address: SocketAddr,
    /// Address of the administration interface.
    pub administration_address: SocketAddr,
    /// Address on which connections of other nodes are accepted.
    pub peer_address: SocketAddr,
    /// Incarnation of this run of the node.
    pub incarnation: Incarnation,
    handle: NodeHandle,
    metrics: Metrics,
    stopped: Receiver<()>,
    stop_time: Duration,
    parts: NodeParts,
}

/// The parts that are closed when the node ends.
struct NodeParts {
    proxy: CallerProxy,
    callers: CallerServer,
    administration: AdministrationServer,
    administration_proxy: CallerProxy,
    forwarder: Arc<Forwarder>,
    responders: Arc<WorkPool<CompletedRequest>>,
    open_requests: Arc<OpenRequests>,
    thread: Option<JoinHandle<()>>,
}

impl Node {
    /// Starts a node. All its ports are open when this returns.
    ///
    /// # Errors
    /// When an address is in use or the system can't create more threads.
    pub fn start(mut settings: Settings) -> Result<RunningNode, StartError> {
        file_limit::lower_connection_limit(&mut settings.limits);
        let listeners = Listeners::bind(&settings)?;
        let http_address = listeners.callers.local_addr()?;
        let administration_address = listeners.administration.local_addr()?;
        let peer_address = listeners.peers.local_addr()?;
        let node = node_settings(&settings, peer_address);
        let incarnation = node.incarnation;
        let name = |job: &str| thread_name(settings.node, job);

        let metrics = Metrics::new();
        let max_open_requests = settings.limits.max_open_requests;
        let open_requests = Arc::new(OpenRequests::new(max_open_requests));
        let responders = Arc::new(respond::start(&name("respond"), max_open_requests)?);
        let (stopped, stop_complete) = mpsc::channel();
        let setup = ThreadSetup {
            node,
            settings: settings.clone(),
            metrics: metrics.clone(),
            open_requests: open_requests.clone(),
            responders: responders.clone(),
            listener: listeners.peers.try_clone()?,
            stopped,
        };
        let (thread, started) = start_thread(&name("actor"), setup)?;

        let interfaces = serve(&settings, listeners, &started, &open_requests, &metrics);
        let interfaces = match interfaces {
            Ok(interfaces) => interfaces,
            Err(error) => {
                started.handle.kill();
                join(thread);
                return Err(error);
            }
        };
        Ok(RunningNode {
            http_address,
            administration_address,
            peer_address,
            incarnation,
            handle: started.handle,
            metrics,
            stopped: stop_complete,
            stop_time: settings.limits.stop_time,
            parts: NodeParts {
                proxy: interfaces.proxy,
                callers: interfaces.callers,
                administration: interfaces.administration,
                administration_proxy: interfaces.administration_proxy,
                forwarder: started.forwarder,
                responders,
                open_requests,
                thread: Some(thread),
            },
        })
    }
}

impl RunningNode {
    /// A handle to the node for other threads.
    pub fn handle(&self) -> NodeHandle {
        self.handle.clone()
    }

    /// The node's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Stops the node gracefully: new connections and requests are refused, requests in
    /// flight are finished, and roles are handed over. Returns when that is done or the
    /// stop time of the settings has passed; true if everything was finished.
    pub fn stop(mut self) -> bool {
        self.parts.proxy.refuse_new();
        self.parts.open_requests.close_connections();
        self.handle.input(Input::Stop);
        let deadline = Instant::now() + self.stop_time;
        let finished = self.stopped.recv_timeout(self.stop_time).is_ok();
        let answered = self.parts.wait_for_answers(deadline);
        self.parts.proxy.finish();
        self.end();
        finished && answered
    }

    /// Ends the node immediately, as a crash would: sockets are dropped, and nothing
    /// is finished or handed over.
    pub fn kill(mut self) {
        self.end();
    }

    /// Waits until the node's thread has ended.
    pub fn wait(&mut self) {
        if let Some(thread) = self.parts.thread.take() {
            join(thread);
        }
    }

    fn end(&mut self) {
        self.handle.kill();
        self.parts.proxy.drop_all();
        self.parts.administration_proxy.drop_all();
        self.parts.callers.close();
        self.parts.administration.close();
        self.parts.forwarder.close();
        self.parts.responders.close();
        self.wait();
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.end();
    }
}

impl NodeParts {
    /// Waits until the response to every request that arrived before the stop was
    /// written to its caller's connection; false if `deadline` passes first.
    fn wait_for_answers(&self, deadline: Instant) -> bool {
        while self.open_requests.count_before_closing() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(COMPLETION_POLL_INTERVAL);
        }
        self.responders.wait_until_idle(deadline)
    }
}

fn node_settings(settings: &Settings, peer_address: SocketAddr) -> NodeSettings {
    let advertised = settings.advertised_peer_address.unwrap_or(peer_address);
    NodeSettings {
        node: settings.node,
        incarnation: Incarnation(rand::random()),
        zone: settings.zone,
        address: Text(advertised.to_string()),
        seeds: settings.seeds.clone(),
        random_seed: settings.random_seed.unwrap_or_else(rand::random),
        protections: Protections::default(),
        assigner: AssignerChoice::Planner,
    }
}
