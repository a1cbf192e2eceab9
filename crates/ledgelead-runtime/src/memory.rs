//! Memory limits for buffered messages, and the accounts that buffers charge.

use std::cell::Cell;
use std::rc::Rc;

/// Share of the process's memory that buffered messages may take. The rest is for the node's
/// state, and for copies while a request moves from one buffer to the next.
const BUFFERED_SHARE: f64 = 0.5;
/// Share of the process's memory up to which further bodies are admitted. The difference to
/// [`BUFFERED_SHARE`] is reserved for answers, so that slow uploads can't displace them.
const ADMITTED_SHARE: f64 = 0.375;
/// Share of the process's memory that answers of instances may take before they are complete.
const INCOMPLETE_SHARE: f64 = 0.25;
/// Shorter requests, in bytes, are never refused for lack of memory, since the refusal itself
/// takes as much.
pub(crate) const MIN_CHECKED_BYTES: usize = 4_096;
/// While no more than this is buffered, in bytes, a body of any length is admitted.
/// Otherwise a machine with little memory would always refuse the largest bodies.
const NEARLY_EMPTY_BYTES: usize = 1 << 20;
/// Largest buffer, in bytes, that an idle connection keeps. Without a limit, each of many
/// idle connections would keep a buffer for its largest message.
pub(crate) const IDLE_BUFFER_BYTES: usize = 4_096;

/// The sum of charges: bytes, or connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account(Rc<Cell<usize>>);

impl Account {
    /// A charge of nothing.
    pub(crate) fn open(&self) -> Charge {
        Charge {
            account: self.clone(),
            amount: 0,
        }
    }

    /// The sum of all charges.
    pub(crate) fn total(&self) -> usize {
        self.0.get()
    }
}

/// What one holder charges to an account, until it is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    account: Account,
    amount: usize,
}

impl Charge {
    /// Replaces the amount.
    pub(crate) fn set(&mut self, amount: usize) {
        let total = &self.account.0;
        total.set(total.get() - self.amount + amount);
        self.amount = amount;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// The process's memory limit, and what its buffers take.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory {
    /// In bytes; `None` if not limited.
    limit: Rc<Cell<Option<usize>>>,
    /// All buffers, by their capacity.
    pub(crate) buffers: Account,
    /// Answers that are not written to their clients yet.
    pub(crate) unsent: Account,
    /// Answers of instances that were admitted and are not complete yet, as long as they will be.
    pub(crate) incomplete: Account,
    /// What is missing of answers that are not read on for lack of memory.
    pub(crate) waiting: Account,
}

impl Memory {
    /// Sets the memory limit of the process, in bytes; `None` for unlimited.
    pub(crate) fn set_limit(&self, limit: Option<usize>) {
        self.limit.set(limit);
    }

    /// Bytes buffered above [`BUFFERED_SHARE`].
    pub(crate) fn excess(&self) -> usize {
        self.over(self.buffers.total(), BUFFERED_SHARE)
    }

    /// The same with the bytes for which answers wait.
    pub(crate) fn excess_with_waiting(&self) -> usize {
        let wanted = self.buffers.total().saturating_add(self.waiting.total());
        self.over(wanted, BUFFERED_SHARE)
    }

    /// Bytes by which unsent answers exceed what is reserved for them.
    pub(crate) fn unsent_excess(&self) -> usize {
        self.over(self.unsent.total(), BUFFERED_SHARE - ADMITTED_SHARE)
    }

    /// Whether incomplete answers take more than [`INCOMPLETE_SHARE`].
    pub(crate) fn has_long_answers(&self) -> bool {
        self.over(self.incomplete.total(), INCOMPLETE_SHARE) > 0
    }

    /// Whether an answer is read on, of which these numbers of bytes have arrived and are
    /// missing. One alone always is, as far as there is memory.
    pub(crate) fn admits_answer(&self, arrived: usize, missing: usize) -> bool {
        let incomplete = self.incomplete.total();
        let with_it = incomplete.saturating_add(arrived).saturating_add(missing);
        let fits = self.over(with_it, INCOMPLETE_SHARE) == 0;
        let buffered = self.buffers.total();
        let has_room = self.over(buffered.saturating_add(missing), BUFFERED_SHARE) == 0;
        (has_room && (fits || incomplete == 0)) || buffered <= NEARLY_EMPTY_BYTES
    }

    /// Whether a message that is charged already, with this number of bytes, is admitted.
    pub(crate) fn admits(&self, bytes: usize) -> bool {
        let others = self.buffers.total().saturating_sub(bytes);
        self.over(self.buffers.total(), ADMITTED_SHARE) == 0 || others <= NEARLY_EMPTY_BYTES
    }

    fn over(&self, bytes: usize, share: f64) -> usize {
        let Some(limit) = self.limit.get() else {
            return 0;
        };
        let bound = (limit as f64 * share) as usize;
        bytes.saturating_sub(bound)
    }
}
