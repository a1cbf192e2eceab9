//! The planned stop of a node: it takes no new requests, hands its roles
//! over, finishes what is in flight, and only then reports that it stopped.

use ledgelead_types::{Span, Time};

/// How long a node waits for its roles to be taken over, at the most. Other
/// nodes recover from a node that leaves before, as from a loss.
const HANDOVER_WAIT: Span = Span::from_seconds(5);

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// Not asked to stop.
    Running,
    /// Waits for requests in flight and for its roles to be handed over.
    Leaving {
        /// When roles are given up without a successor.
        deadline: Time,
        /// Whether no request is in flight any more.
        drained: bool,
    },
    /// Told that it stopped.
    Stopped,
}

impl Shutdown {
    /// Begins a stop at `now`, unless one is under way.
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

    /// Notes that no request is in flight any more.
    pub(crate) fn note_drained(&mut self) {
        if let Shutdown::Leaving { drained, .. } = self {
            *drained = true;
        }
    }

    /// Whether a stop is under way.
    pub(crate) fn is_leaving(&self) -> bool {
        matches!(self, Shutdown::Leaving { .. })
    }

    /// Whether the stop completes now; true exactly once.
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

    /// When the stop has to be looked at again.
    pub(crate) fn next_wakeup(&self) -> Option<Time> {
        match self {
            Shutdown::Leaving { deadline, .. } => Some(*deadline),
            Shutdown::Running | Shutdown::Stopped => None,
        }
    }
}
