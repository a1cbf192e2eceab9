//! Operators' commands for groups of which this node has no replica: they are forwarded to
//! a replica, and the result is returned.

use crate::io::TicketId;
use ledgelead_types::administration::CommandResult;
use ledgelead_types::{NodeId, Span, Time};
use std::collections::BTreeMap;

/// Timeout of an operation. After it, the result is unknown; a retry under the same command
/// identifier returns it.
const ANSWER_WAIT: Span = Span::from_seconds(3);

/// The receiver of an operation's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    /// An operator at this node.
    Operator(TicketId),
    /// Another node that forwarded an operator's command.
    Node {
        /// The node.
        node: NodeId,
        /// Its own ticket.
        ticket: u64,
    },
}

/// An operation without a result.
#[derive(Clone, Copy, Debug)]
struct OpenOperation {
    requester: Requester,
    expires: Time,
}

/// Operations without a result.
#[derive(Debug, Default)]
pub(crate) struct OpenOperations {
    next: u64,
    open: BTreeMap<u64, OpenOperation>,
}

impl OpenOperations {
    /// Opens an operation and returns its ticket.
    pub(crate) fn open(&mut self, now: Time, requester: Requester) -> u64 {
        self.next += 1;
        let expires = now + ANSWER_WAIT;
        self.open
            .insert(self.next, OpenOperation { requester, expires });
        self.next
    }

    /// Ends an operation; `None` if it has already ended.
    pub(crate) fn close(&mut self, ticket: u64) -> Option<Requester> {
        self.open
            .remove(&ticket)
            .map(|operation| operation.requester)
    }

    /// Ends the operations that have timed out.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<(Requester, CommandResult)> {
        let overdue: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, operation)| operation.expires <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        overdue
            .into_iter()
            .filter_map(|ticket| self.close(ticket))
            .map(|requester| (requester, CommandResult::Unknown))
            .collect()
    }

    /// When the next operation times out.
    pub(crate) fn next_wakeup(&self) -> Option<Time> {
        self.open.values().map(|operation| operation.expires).min()
    }
}
