//! The actor's ports over real sockets: each output is passed to the part of the node
//! that executes it. None of these parts blocks.

use crate::actor::Ports;
use crate::callers::open_requests::OpenRequests;
use crate::callers::respond::CompletedRequest;
use crate::clock::ProcessClock;
use crate::event_log;
use crate::handle::PendingTickets;
use crate::metrics::Metrics;
use crate::peer::PeerTransport;
use crate::platform::PlatformClient;
use crate::servers::cancel::{Cancellation, Canceller};
use crate::servers::forward::{ConnectionLimit, Forwarder};
use crate::servers::renewal::{RenewalCall, Renewer};
use crate::servers::wire::AttemptSender;
use crate::work_pool::WorkPool;
use ledgelead_core::Output;
use ledgelead_types::request::AttemptId;
use ledgelead_types::view::NodeView;
use ledgelead_types::{NodeId, Outcome, RequestId, Span, Text, Time, UnknownReason};
use stakker::{Actor, call};
use std::sync::Arc;
use std::sync::mpsc::Sender;

/// Ports that execute outputs over sockets.
pub(crate) struct SocketPorts {
    /// The process's clock.
    pub clock: ProcessClock,
    /// This node as the sender of attempts, which determines their names.
    pub sender: AttemptSender,
    /// Sends messages to other nodes.
    pub peers: Actor<PeerTransport>,
    /// Forwards requests to servers.
    pub forwarder: Arc<Forwarder>,
    /// Renews servers' leases.
    pub renewer: Renewer,
    /// Cancels attempts at servers.
    pub canceller: Canceller,
    /// Calls the platform.
    pub platform: PlatformClient,
    /// Requests that were not answered yet.
    pub open_requests: Arc<OpenRequests>,
    /// Writes responses to callers.
    pub responders: Arc<WorkPool<CompletedRequest>>,
    /// Operators' commands and inquiries that were not finished yet.
    pub pending: Arc<PendingTickets>,
    /// Metrics.
    pub metrics: Metrics,
    /// Notified once the stop is complete.
    pub stopped: Sender<()>,
}

impl Ports for SocketPorts {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::SendPeer { to, message } => {
                call!([self.peers], send(to, message));
            }
            Output::PeerAddress { node, address } => self.set_peer_address(node, &address),
            Output::RenewLease {
                call,
                server,
                address,
                renewal,
            } => self.renewer.renew(RenewalCall {
                call,
                server,
                address,
                renewal,
            }),
            Output::CallPlatform { call, request } => self.platform.call(call, request),
            Output::Forward(forward) => self.forwarder.forward(forward),
            Output::CancelAttempt {
                attempt, address, ..
            } => self.cancel(attempt, address),
            Output::KeepAnswer(attempt) => self.open_requests.cache_response(attempt),
            Output::ForgetAnswer(attempt) => self.open_requests.evict_response(attempt),
            Output::Respond {
                request,
                outcome,
                attempt,
                retry_after,
            } => self.respond(request, outcome, attempt, retry_after),
            Output::CommandFinished { ticket, result } => {
                self.pending.finish_command(ticket, result)
            }
            Output::Inquired { ticket, view } => self.pending.finish_inquiry(ticket, view),
            Output::Record(event) => {
                self.metrics.count(&event);
                event_log::write(&event);
            }
            Output::Stopped => {
                // The receiver may have stopped waiting.
                let _ = self.stopped.send(());
            }
        }
    }

    fn observe(&mut self, view: &NodeView) {
        self.metrics.observe(view);
        self.forwarder
            .set_connection_limits(&connection_limits(view));
    }
}

impl SocketPorts {
    fn set_peer_address(&mut self, node: NodeId, address: &Text) {
        match address.parse() {
            Ok(address) => call!([self.peers], set_address(node, address)),
            Err(_) => log::warn!(target: "peer", "address of {node} is not an IP:port: {address}"),
        }
    }

    fn cancel(&mut self, attempt: AttemptId, address: Text) {
        let Some(control) = self.forwarder.control(attempt) else {
            return;
        };
        self.canceller.cancel(Cancellation {
            name: self.sender.name(attempt),
            address,
            control,
        });
    }

    fn respond(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        attempt: Option<AttemptId>,
        retry_after: Option<Span>,
    ) {
        let Some(mut open) = self.open_requests.close(request) else {
            log::error!(target: "callers", "the core answered {request}, which is not open");
            return;
        };
        let mut outcome = outcome;
        if let Some(first) = attempt.filter(|attempt| attempt.request != request) {
            match self.open_requests.cached_response(first) {
                Some(answer) => open.add_response(first, answer),
                None => outcome = Outcome::Unknown(UnknownReason::AnswerNotHeld),
            }
        }
        let completed = CompletedRequest {
            request: open,
            outcome,
            attempt,
            retry_after,
        };
        if self.responders.submit(completed).is_err() {
            log::debug!(target: "callers", "response dropped: the queue is full or closed");
        }
    }
}

/// Divides each server's connection limit among the live nodes.
fn connection_limits(view: &NodeView) -> Vec<ConnectionLimit> {
    let live = view.nodes.iter().filter(|node| node.live).count().max(1);
    view.configuration
        .servers
        .iter()
        .map(|server| ConnectionLimit {
            server: server.id,
            connections: (usize::from(server.max_connections) / live).max(1),
        })
        .collect()
}
