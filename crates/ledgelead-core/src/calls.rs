//! Open calls to the platform and to servers, with the subsystem that made each.

use crate::io::CallId;
use ledgelead_types::GroupId;
use std::collections::BTreeMap;

/// The subsystem that made a call, with its own number for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOwner {
    /// The configuration manager.
    ConfigurationManager(u64),
    /// The group manager.
    GroupManager(u64),
    /// A group's dispatcher session.
    Group(GroupId, u64),
}

/// Open calls. Every call ends with exactly one reply or failure, so the table holds only
/// calls in flight.
#[derive(Debug, Default)]
pub(crate) struct OpenCalls {
    next: u64,
    owners: BTreeMap<CallId, CallOwner>,
}

impl OpenCalls {
    /// Opens a call for `owner`.
    pub(crate) fn open(&mut self, owner: CallOwner) -> CallId {
        self.next += 1;
        let call = CallId(self.next);
        self.owners.insert(call, owner);
        call
    }

    /// Ends a call; `None` if it is unknown or has already ended.
    pub(crate) fn close(&mut self, call: CallId) -> Option<CallOwner> {
        self.owners.remove(&call)
    }
}
