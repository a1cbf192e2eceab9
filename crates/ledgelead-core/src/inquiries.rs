//! Views of the whole deployment for an operator's query.
//!
//! Loads are known only where they are counted: at leaders and dispatchers. They are
//! requested only for an operator's query, so there is no cost at other times. Broadcasting
//! them to all nodes would exceed the traffic budget of each node at 500 nodes.

use crate::io::TicketId;
use ledgelead_types::view::LoadView;
use ledgelead_types::{NodeId, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// How long an inquiry waits for the answers of other nodes.
const ANSWER_WAIT: Span = Span::from_millis(500);

/// An inquiry that waits for answers.
#[derive(Debug)]
struct OpenInquiry {
    ticket: TicketId,
    expires: Time,
    unanswered: BTreeSet<NodeId>,
    answers: Vec<LoadView>,
}

/// An inquiry that has all answers or has timed out.
#[derive(Debug)]
pub(crate) struct EndedInquiry {
    /// The operator's ticket.
    pub(crate) ticket: TicketId,
    /// Nodes that did not answer.
    pub(crate) unanswered: BTreeSet<NodeId>,
    /// Answers of the other nodes.
    pub(crate) answers: Vec<LoadView>,
}

/// Inquiries in progress.
#[derive(Debug, Default)]
pub(crate) struct OpenInquiries {
    next: u64,
    open: BTreeMap<u64, OpenInquiry>,
}

impl OpenInquiries {
    /// Opens an inquiry to the nodes `asked` and returns its number.
    pub(crate) fn open(&mut self, now: Time, ticket: TicketId, asked: BTreeSet<NodeId>) -> u64 {
        self.next += 1;
        let inquiry = OpenInquiry {
            ticket,
            expires: now + ANSWER_WAIT,
            unanswered: asked,
            answers: Vec::new(),
        };
        self.open.insert(self.next, inquiry);
        self.next
    }

    /// Records an answer; duplicates are ignored.
    pub(crate) fn record_answer(&mut self, inquiry: u64, from: NodeId, loads: LoadView) {
        let Some(inquiry) = self.open.get_mut(&inquiry) else {
            return;
        };
        if inquiry.unanswered.remove(&from) {
            inquiry.answers.push(loads);
        }
    }

    /// Ends the inquiries that are complete or have timed out.
    pub(crate) fn end(&mut self, now: Time) -> Vec<EndedInquiry> {
        let ended: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, inquiry)| inquiry.unanswered.is_empty() || inquiry.expires <= now)
            .map(|(number, _)| *number)
            .collect();
        ended
            .into_iter()
            .filter_map(|number| self.open.remove(&number))
            .map(|inquiry| EndedInquiry {
                ticket: inquiry.ticket,
                unanswered: inquiry.unanswered,
                answers: inquiry.answers,
            })
            .collect()
    }

    /// When the next inquiry times out.
    pub(crate) fn next_wakeup(&self) -> Option<Time> {
        self.open.values().map(|inquiry| inquiry.expires).min()
    }
}
