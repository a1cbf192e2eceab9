//! Operators' commands for groups that this node has no replica of: they are
//! passed to a replica, and the answer is passed back.

use crate::io::TicketId;
use ledgelead_types::administration::CommandResult;
use ledgelead_types::{NodeId, Span, Time};
use std::collections::BTreeMap;

/// How long an answer is waited for. Without one it is not known whether the
/// operation was decided; asking again under the same command identifier tells.
const ANSWER_WAIT: Span = Span::from_seconds(3);

/// Where an operation's answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    /// An operator at this node.
    Operator(TicketId),
    /// Another node, which passed an operator's command on.
    Node {
        /// The node.
        node: NodeId,
        /// Its own ticket.
        ticket: u64,
    },
}

/// An operation that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct OpenOperation {
    requester: Requester,
    expires: Time,
}

/// Operations without an answer yet.
#[derive(Debug, Default)]
pub(crate) struct OpenOperations {
    next: u64,
    open: BTreeMap<u64, OpenOperation>,
}

impl OpenOperations {
    /// Opens an operation and gives it a ticket.
    pub(crate) fn open(&mut self, now: Time, requester: Requester) -> u64 {
        self.next += 1;
        let expires = now + ANSWER_WAIT;
        self.open
            .insert(self.next, OpenOperation { requester, expires });
        self.next
    }

    /// Ends an operation; `None` when it ended before.
    pub(crate) fn close(&mut self, ticket: u64) -> Option<Requester> {
        self.open
            .remove(&ticket)
            .map(|operation| operation.requester)
    }

    /// Ends the operations whose answer is overdue.
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

    /// When the next answer is overdue.
    pub(crate) fn next_wakeup(&self) -> Option<Time> {
        self.open.values().map(|operation| operation.expires).min()
    }
}
