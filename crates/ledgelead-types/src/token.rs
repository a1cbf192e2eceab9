//! Fencing tokens, which define the order in which grants and requests supersede each other at
//! a server.

use nanoserde::{DeBin, SerBin};
use std::fmt;

/// Generation of a group's replica set. It is incremented by compare-and-swap in the
/// platform's store when a group is formed, or rebuilt after it lost its quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Epoch(pub u64);

/// Term of a leader within an epoch, as in Raft.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Term(pub u64);

/// Position in a group's log, of the entry with a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Revision(pub u64);

/// Orders grants and requests. A server keeps the highest token that it has seen and refuses
/// lower ones. A leader or an owner that was replaced while it was paused therefore has no
/// effect when it resumes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct FencingToken {
    /// Generation of the replica set; compared first.
    pub epoch: Epoch,
    /// Term of the leader; compared second.
    pub term: Term,
    /// Log position of the decision; compared last.
    pub revision: Revision,
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}",
            self.epoch.0, self.term.0, self.revision.0
        )
    }
}

impl FencingToken {
    /// Parses the format of [`fmt::Display`], `epoch.term.revision`.
    pub fn parse(text: &str) -> Option<FencingToken> {
        let mut parts = text.split('.').map(|part| part.parse::<u64>().ok());
        let token = FencingToken {
            epoch: Epoch(parts.next()??),
            term: Term(parts.next()??),
            revision: Revision(parts.next()??),
        };
        parts.next().is_none().then_some(token)
    }
}
