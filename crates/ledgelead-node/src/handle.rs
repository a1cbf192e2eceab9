//! Access to a running node from other threads.

use ledgelead_core::{Input, TicketId};
use ledgelead_types::administration::{AdministrationCommand, CommandResult};
use ledgelead_types::view::NodeView;
use stakker::sync::Channel;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Requests of other threads to the node's thread.
pub(crate) enum Request {
    /// Handle an event.
    Input(Input),
    /// Send back the node's view.
    View(SyncSender<NodeView>),
    /// End immediately.
    Kill,
}

/// Why a node did not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandleError {
    /// The node has ended.
    Ended,
    /// The timeout expired. A command may or may not have taken effect.
    TimedOut,
}

impl std::fmt::Display for HandleError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            HandleError::Ended => "the node has ended",
            HandleError::TimedOut => "the node did not answer in time",
        })
    }
}

impl std::error::Error for HandleError {}

/// A handle to a running node; clones refer to the same node.
#[derive(Clone)]
pub struct NodeHandle {
    channel: Channel<Request>,
    pending: Arc<PendingTickets>,
}

impl NodeHandle {
    pub(crate) fn new(channel: Channel<Request>, pending: Arc<PendingTickets>) -> NodeHandle {
        NodeHandle { channel, pending }
    }

    /// The node's view for operators.
    ///
    /// # Errors
    /// When the node has ended or does not respond in time.
    pub fn view(&self, time: Duration) -> Result<NodeView, HandleError> {
        let (answer, answered) = mpsc::sync_channel(1);
        if !self.channel.send(Request::View(answer)) {
            return Err(HandleError::Ended);
        }
        answered.recv_timeout(time).map_err(HandleError::from)
    }

    /// Passes an operator's validated command to the node and waits for its result.
    ///
    /// # Errors
    /// When the node has ended or does not respond in time. A retry under the same
    /// command identifier is safe.
    pub fn command(
        &self,
        command: AdministrationCommand,
        time: Duration,
    ) -> Result<CommandResult, HandleError> {
        let (finish, finished) = mpsc::sync_channel(1);
        let ticket = self.pending.open(Pending::Command(finish));
        let input = Input::Command { ticket, command };
        if !self.input(input) {
            self.pending.forget(ticket);
            return Err(HandleError::Ended);
        }
        let result = finished.recv_timeout(time).map_err(HandleError::from);
        self.pending.forget(ticket);
        result
    }

    /// The view of the whole deployment, for which this node queries the other nodes.
    ///
    /// # Errors
    /// When the node has ended or does not respond in time.
    pub fn inquire(&self, time: Duration) -> Result<NodeView, HandleError> {
        let (finish, finished) = mpsc::sync_channel(1);
        let ticket = self.pending.open(Pending::Inquiry(finish));
        if !self.input(Input::Inquire(ticket)) {
            self.pending.forget(ticket);
            return Err(HandleError::Ended);
        }
        let result = finished.recv_timeout(time).map_err(HandleError::from);
        self.pending.forget(ticket);
        result.map(|view| *view)
    }

    /// Sends an event to the node; false if the node has ended.
    pub(crate) fn input(&self, input: Input) -> bool {
        self.channel.send(Request::Input(input))
    }

    pub(crate) fn kill(&self) {
        self.channel.send(Request::Kill);
    }
}

impl From<mpsc::RecvTimeoutError> for HandleError {
    fn from(error: mpsc::RecvTimeoutError) -> Self {
        match error {
            mpsc::RecvTimeoutError::Timeout => HandleError::TimedOut,
            mpsc::RecvTimeoutError::Disconnected => HandleError::Ended,
        }
    }
}

/// The waiting requester of a ticket.
enum Pending {
    Command(SyncSender<CommandResult>),
    Inquiry(SyncSender<Box<NodeView>>),
}

/// Commands and inquiries passed to the core and not yet finished.
#[derive(Default)]
pub(crate) struct PendingTickets {
    waiting: Mutex<HashMap<TicketId, Pending>>,
    next: AtomicU64,
}

impl PendingTickets {
    fn open(&self, pending: Pending) -> TicketId {
        let ticket = TicketId(self.next.fetch_add(1, Ordering::Relaxed));
        self.lock().insert(ticket, pending);
        ticket
    }

    fn forget(&self, ticket: TicketId) {
        self.lock().remove(&ticket);
    }

    pub(crate) fn finish_command(&self, ticket: TicketId, result: CommandResult) {
        if let Some(Pending::Command(finish)) = self.lock().remove(&ticket) {
            // The requester may have stopped waiting.
            let _ = finish.try_send(result);
        }
    }

    pub(crate) fn finish_inquiry(&self, ticket: TicketId, view: Box<NodeView>) {
        if let Some(Pending::Inquiry(finish)) = self.lock().remove(&ticket) {
            let _ = finish.try_send(view);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TicketId, Pending>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
