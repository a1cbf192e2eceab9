//! Why an instance rejected a request that it didn't run.

use super::statistics::ReportedLoad;

/// The cause, by the load that the instance told with its rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// All of its slots are taken: it takes requests again once one is free.
    Full,
    /// It has free slots, and rejects for another reason.
    FreeSlots,
    /// It told no load.
    NoLoadReported,
    /// It wants no requests of this node for a while, and says so.
    AskedForBackoff,
}

impl RejectionCause {
    /// The cause at an instance with so many slots.
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
