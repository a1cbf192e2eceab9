//! The platform's object API as typed calls. `docs/platform-interface.md` describes its HTTP
//! form.

use crate::codec::{Bytes, List, Text};
use crate::identity::{NodeId, ZoneId};
use nanoserde::{DeBin, SerBin};

/// Name of the configuration's object.
pub const CONFIGURATION_OBJECT: &str = "configuration";

/// Name of the object that holds a group's record.
pub fn group_object(group: crate::identity::GroupId) -> Text {
    Text(format!("group-{}.{}", group.service.0, group.part))
}

/// Version of an object; 0 for an object that does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ObjectVersion(pub u64);

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum PlatformCall {
    /// Reads an object.
    Get {
        /// Name of the object.
        name: Text,
    },
    /// Waits for a bounded time until the object is newer than `after`.
    Watch {
        /// Name of the object.
        name: Text,
        /// Version that the caller has.
        after: ObjectVersion,
    },
    /// Replaces an object if it still has the expected version.
    CompareAndSwap {
        /// Name of the object.
        name: Text,
        /// Version that the caller read; 0 to create.
        expected: ObjectVersion,
        /// New content.
        value: Bytes,
    },
    /// Reads the list of machines, which may be outdated.
    ListMachines,
}

/// A machine in the platform's list. The list may be outdated: a machine listed as live may be
/// gone. A machine listed as gone is certainly off.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct MachineEntry {
    /// The machine.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// `IP:port` for messages between nodes.
    pub address: Text,
    /// Its state according to the platform.
    pub state: MachineState,
}

/// State of a machine according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MachineState {
    /// Running, as far as the platform knows.
    Live,
    /// Announced that it will leave.
    Leaving,
    /// Certainly switched off.
    Gone,
}

/// The platform's answer.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum PlatformReply {
    /// The object.
    Object {
        /// Its version.
        version: ObjectVersion,
        /// Its content.
        value: Bytes,
    },
    /// The object does not exist.
    NotFound,
    /// A watch ended without a newer version.
    Unchanged,
    /// The swap took effect.
    Swapped {
        /// The new version.
        version: ObjectVersion,
    },
    /// The object has another version than expected; nothing was changed.
    Conflict {
        /// The current version.
        version: ObjectVersion,
    },
    /// The list of machines.
    Machines(List<MachineEntry>),
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PlatformError {
    /// The call was not sent, or the platform stated that it changed nothing.
    Unavailable,
    /// The call may have taken effect, but its answer was lost.
    AnswerLost,
}
