//! The planned stop of a node: it accepts no new requests, transfers its roles, finishes
//! requests in flight, and only then reports that it has stopped.

use ledgelead_types::{Span, Time};

/// Maximum time for which a node waits until its roles are taken over. If it stops before,
/// other nodes recover as from the loss of a node.
const HANDOVER_WAIT: Span = Span::from_seconds(5);

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// Not asked to stop.
    Running,
    /// Waiting for requests in flight and for the transfer of its roles.
    Leaving {
        /// When the node stops without a successor for its roles.
        deadline: Time,
        /// Whether there are no more requests in flight.
        drained: bool,
    },
    /// Stopped.
    Stopped,
}

impl Shutdown {
    /// Begins a stop at `now`; returns false if one was already begun.
    pub(crate) fn begin(&mut self, now: Time) -> bool {
        if *self != Shutdown::Running {
            return false;
        }
        *self = Shutdown::Leaving {
            deadline: now + HANDOVER_WAIT,
            drained: false,
        };
        true
    }

    /// Records that there are no more requests in flight.
    pub(crate) fn note_drained(&mut self) {
        if let Shutdown::Leaving { drained, .. } = self {
            *drained = true;
        }
    }

    /// Whether a stop is in progress.
    pub(crate) fn is_leaving(&self) -> bool {
        matches!(self, Shutdown::Leaving { .. })
    }

    /// Completes the stop if possible; returns true exactly once.
    pub(crate) fn completes(&mut self, now: Time, holds_roles: bool) -> bool {
        let Shutdown::Leaving { deadline, drained } = *self else {
            return false;
        };
        let handed_over = !holds_roles || now >= deadline;
        if drained && handed_over {
            *self = Shutdown::Stopped;
            return true;
        }
        false
    }

    /// When the stop has to be checked again.
    pub(crate) fn next_wakeup(&self) -> Option<Time> {
        match self {
            Shutdown::Leaving { deadline, .. } => Some(*deadline),
            Shutdown::Running | Shutdown::Stopped => None,
        }
    }
}
