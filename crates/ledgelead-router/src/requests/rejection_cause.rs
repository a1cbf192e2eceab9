//! Why an instance rejected a request without running it.

use super::statistics::ReportedLoad;

/// The cause of a rejection, by the load reported with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// All slots are in use; the instance accepts requests again once one is free.
    Full,
    /// The instance has free slots and rejected the request for another reason.
    FreeSlots,
    /// The instance reported no load.
    NoLoadReported,
    /// The instance requested a pause from this node.
    RequestedBackoff,
}

impl RejectionCause {
    /// Determines the cause at an instance with `slots` slots.
    pub fn of(load: Option<&ReportedLoad>, slots: u32) -> RejectionCause {
        match load {
            None => RejectionCause::NoLoadReported,
            Some(load) if load.running.saturating_add(load.waiting) >= slots => {
                RejectionCause::Full
            }
            Some(_) => RejectionCause::FreeSlots,
        }
    }
}
