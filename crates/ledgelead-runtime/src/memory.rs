//! Memory limits for buffered messages: request bodies of clients, and answers that are not
//! written yet.

use crate::outbound::Outbound;

/// Share of the process's memory that buffered bodies and answers may take. The rest is for
/// the node's state, and for copies while a request moves from one buffer to the next.
const BUFFERED_SHARE: f64 = 0.5;
/// Share of the process's memory up to which further bodies are admitted. The difference to
/// [`BUFFERED_SHARE`] is reserved for answers, so that slow uploads can't displace them.
const ADMITTED_SHARE: f64 = 0.375;
/// Shorter bodies, in bytes, are never refused for lack of memory, since the refusal itself
/// takes as much.
pub(crate) const MIN_CHECKED_BYTES: usize = 4_096;
/// While no more than this is buffered, in bytes, a body of any length is admitted.
/// Otherwise a machine with little memory would always refuse the largest bodies.
const NEARLY_EMPTY_BYTES: usize = 1 << 20;
/// Largest buffer, in bytes, that an idle connection keeps. Without a limit, each of many
/// idle connections would keep a buffer for its largest message.
pub(crate) const IDLE_BUFFER_BYTES: usize = 16_384;

/// Metrics of the message buffers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BufferStats {
    /// Bytes buffered now.
    pub(crate) bytes: usize,
    /// Clients that were disconnected because they did not read their answer while memory
    /// was short.
    pub(crate) dropped: u64,
}

/// The process's memory limit, and the connections to instances, whose buffers count too.
#[derive(Clone, Copy)]
pub(crate) struct MemoryBudget<'a> {
    limit: Option<usize>,
    outbound: &'a Outbound,
}

impl<'a> MemoryBudget<'a> {
    /// The budget of a process with this memory limit in bytes; `None` for unlimited.
    pub(crate) fn new(limit: Option<usize>, outbound: &'a Outbound) -> MemoryBudget<'a> {
        MemoryBudget { limit, outbound }
    }

    /// Bytes buffered above [`BUFFERED_SHARE`], with `inbound` bytes for clients.
    pub(crate) fn excess(self, inbound: impl FnOnce() -> usize) -> usize {
        self.excess_over(BUFFERED_SHARE, inbound)
    }

    /// Whether a body is admitted. `inbound` are the bytes for clients, including the body.
    pub(crate) fn admits(self, inbound: impl FnOnce() -> usize) -> bool {
        self.excess_over(ADMITTED_SHARE, inbound) == 0
    }

    /// Bytes that are reserved for answers.
    pub(crate) fn response_reserve(self) -> usize {
        let limit = self.limit.unwrap_or(0);
        (limit as f64 * (BUFFERED_SHARE - ADMITTED_SHARE)) as usize
    }

    /// Whether so little is buffered that a body of any length is admitted. `inbound` are the
    /// bytes for clients, without the body.
    pub(crate) fn is_nearly_empty(self, inbound: impl FnOnce() -> usize) -> bool {
        inbound() + self.outbound.buffered_bytes() <= NEARLY_EMPTY_BYTES
    }

    fn excess_over(self, share: f64, inbound: impl FnOnce() -> usize) -> usize {
        let Some(limit) = self.limit else {
            return 0;
        };
        let bound = (limit as f64 * share) as usize;
        (inbound() + self.outbound.buffered_bytes()).saturating_sub(bound)
    }
}
