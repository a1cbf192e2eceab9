//! Read-modify-write of an object by compare-and-swap.
//!
//! Invariant: if the answer to a write is lost, a read determines whether the write took
//! effect; it is never assumed to have failed. A delayed write succeeds only if the version is
//! still the expected one, so at most one of all attempts takes effect.

use ledgelead_types::platform::{ObjectVersion, PlatformCall, PlatformError, PlatformReply};
use ledgelead_types::{Bytes, Text};

/// Maximum number of writes before a swap is abandoned.
const MAX_WRITES: u32 = 8;
/// Failed calls after a write with a lost answer before its result is reported as unknown.
const MAX_READ_ERRORS: u32 = 3;

/// Assigns identifiers to calls.
#[derive(Debug, Default)]
pub(crate) struct CallNumbers {
    last: u64,
}

impl CallNumbers {
    /// The next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

/// Next step of a swap, or its result.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Progress {
    /// Make this call.
    Call(PlatformCall),
    /// The object was read; the caller decides what to write, if anything.
    Read {
        /// Version to expect; 0 if the object does not exist.
        version: ObjectVersion,
        /// Content of the object.
        value: Option<Bytes>,
    },
    /// The write took effect.
    Written(ObjectVersion),
    /// The platform can't be reached.
    Unavailable,
}

/// A read-modify-write in progress.
#[derive(Clone, Debug)]
pub(crate) struct Swap {
    name: Text,
    writes: u32,
    read_errors: u32,
    is_writing: bool,
    may_have_written: bool,
}

impl Swap {
    /// A swap of the named object, started by [`Swap::read`].
    pub(crate) fn of(name: Text) -> Swap {
        Swap {
            name,
            writes: 0,
            read_errors: 0,
            is_writing: false,
            may_have_written: false,
        }
    }

    /// Reads the object.
    pub(crate) fn read(&self) -> PlatformCall {
        let name = self.name.clone();
        PlatformCall::Get { name }
    }

    /// Replaces the version that was read; `None` after too many attempts.
    pub(crate) fn write(&mut self, expected: ObjectVersion, value: Bytes) -> Option<PlatformCall> {
        if self.writes == MAX_WRITES {
            return None;
        }
        self.writes += 1;
        self.is_writing = true;
        Some(PlatformCall::CompareAndSwap {
            name: self.name.clone(),
            expected,
            value,
        })
    }

    /// Whether the answer to a write was lost.
    pub(crate) fn may_have_written(&self) -> bool {
        self.may_have_written
    }

    /// Processes the answer to the last call.
    pub(crate) fn handle_reply(&mut self, reply: Result<PlatformReply, PlatformError>) -> Progress {
        let was_writing = std::mem::take(&mut self.is_writing);
        match reply {
            Ok(PlatformReply::Object { version, value }) => Progress::Read {
                version,
                value: Some(value),
            },
            Ok(PlatformReply::NotFound) => Progress::Read {
                version: ObjectVersion(0),
                value: None,
            },
            Ok(PlatformReply::Swapped { version }) => Progress::Written(version),
            Ok(PlatformReply::Conflict { .. }) => Progress::Call(self.read()),
            Err(PlatformError::AnswerLost) if was_writing => self.handle_lost_answer(),
            Err(PlatformError::AnswerLost) => self.handle_unavailable(),
            Err(PlatformError::Unavailable) => self.handle_unavailable(),
            Ok(PlatformReply::Unchanged | PlatformReply::Machines(_)) => Progress::Unavailable,
        }
    }

    fn handle_lost_answer(&mut self) -> Progress {
        self.may_have_written = true;
        Progress::Call(self.read())
    }

    fn handle_unavailable(&mut self) -> Progress {
        self.read_errors += 1;
        if self.may_have_written && self.read_errors < MAX_READ_ERRORS {
            return Progress::Call(self.read());
        }
        Progress::Unavailable
    }
}
