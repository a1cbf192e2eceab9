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

/// The sum of charges, in bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account(Rc<Cell<usize>>);

impl Account {
    /// A charge of no bytes.
    pub(crate) fn open(&self) -> Charge {
        Charge {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// The sum of all charges.
    pub(crate) fn total(&self) -> usize {
        self.0.get()
    }
}

/// Bytes that one holder charges to an account, until it is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    account: Account,
    bytes: usize,
}

impl Charge {
    /// Replaces the number of bytes.
    pub(crate) fn set(&mut self, bytes: usize) {
        let total = &self.account.0;
        total.set(total.get() - self.bytes + bytes);
        self.bytes = bytes;
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
    /// Answers of instances that are not complete yet.
    pub(crate) incomplete: Account,
}

impl Memory {
    /// Sets the memory limit of the process, in bytes; `None` for unlimited.
    pub(crate) fn set_limit(&self, limit: Option<usize>) {
        self.limit.set(limit);
    }

    /// Bytes buffered above [`BUFFERED_SHARE`].
    pub(crate) fn excess(&self) -> usize {
        self.over(&self.buffers, BUFFERED_SHARE)
    }

    /// Bytes by which unsent answers exceed what is reserved for them.
    pub(crate) fn unsent_excess(&self) -> usize {
        self.over(&self.unsent, BUFFERED_SHARE - ADMITTED_SHARE)
    }

    /// Whether incomplete answers take more than [`INCOMPLETE_SHARE`].
    pub(crate) fn has_long_answers(&self) -> bool {
        self.over(&self.incomplete, INCOMPLETE_SHARE) > 0
    }

    /// Whether a message that is charged already, with this number of bytes, is admitted.
    pub(crate) fn admits(&self, bytes: usize) -> bool {
        let others = self.buffers.total().saturating_sub(bytes);
        self.over(&self.buffers, ADMITTED_SHARE) == 0 || others <= NEARLY_EMPTY_BYTES
    }

    fn over(&self, account: &Account, share: f64) -> usize {
        let Some(limit) = self.limit.get() else {
            return 0;
        };
        let bound = (limit as f64 * share) as usize;
        account.total().saturating_sub(bound)
    }
}
