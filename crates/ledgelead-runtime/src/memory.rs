//! What the process may hold for others: bodies of clients, and answers that are not
//! written yet.

use crate::outbound::Outbound;

/// Share of the process's memory that bodies and answers may take. The rest is for what the
/// node knows, and for copies while a request passes from one buffer to the next.
const HELD_SHARE: f64 = 0.5;
/// Share up to which bodies are let in: what lies between is left to answers, which slow
/// uploads must not crowd out.
const ADMITTED_SHARE: f64 = 0.375;
/// Shortest body, in bytes, that is refused for lack of memory: below it, the refusal itself
/// takes as much.
pub(crate) const CHECKED_BYTES: usize = 4_096;
/// What is held at most, in bytes, where a body is let in that takes more than its share: a
/// machine with little memory would refuse the largest ones for ever.
const EMPTY_BYTES: usize = 1 << 20;
/// Largest buffer, in bytes, that a connection keeps while it is idle. Above it, many kept
/// connections would hold the largest message of each.
pub(crate) const KEPT_BUFFER_BYTES: usize = 16_384;

/// Figures of what is held.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BufferStats {
    /// Bytes that are held now.
    pub(crate) bytes: usize,
    /// Clients whose answer was given up, since they didn't read it.
    pub(crate) dropped: u64,
}

/// The memory of the process, and what connections to instances take of it.
#[derive(Clone, Copy)]
pub(crate) struct MemoryBudget<'a> {
    limit: Option<usize>,
    outbound: &'a Outbound,
}

impl<'a> MemoryBudget<'a> {
    /// The budget of a process that may use so many bytes; without a limit all fits.
    pub(crate) fn new(limit: Option<usize>, outbound: &'a Outbound) -> MemoryBudget<'a> {
        MemoryBudget { limit, outbound }
    }

    /// By how much what is held exceeds the bound, with `inbound` bytes for clients.
    pub(crate) fn excess(self, inbound: impl FnOnce() -> usize) -> usize {
        self.excess_over(HELD_SHARE, inbound)
    }

    /// Whether bodies are let in that are part of `inbound` bytes for clients.
    pub(crate) fn admits(self, inbound: impl FnOnce() -> usize) -> bool {
        self.excess_over(ADMITTED_SHARE, inbound) == 0
    }

    /// What is left to answers beside bodies, in bytes.
    pub(crate) fn response_reserve(self) -> usize {
        let limit = self.limit.unwrap_or(0);
        (limit as f64 * (HELD_SHARE - ADMITTED_SHARE)) as usize
    }

    /// Whether so little else is held, `inbound` bytes of it for clients, that a body is let
    /// in whatever its length.
    pub(crate) fn is_empty(self, inbound: impl FnOnce() -> usize) -> bool {
        inbound() + self.outbound.held() <= EMPTY_BYTES
    }

    fn excess_over(self, share: f64, inbound: impl FnOnce() -> usize) -> usize {
        let Some(limit) = self.limit else {
            return 0;
        };
        let bound = (limit as f64 * share) as usize;
        (inbound() + self.outbound.held()).saturating_sub(bound)
    }
}
