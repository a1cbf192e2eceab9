//! State of a leader.

use crate::progress::Progress;
use ledgelead_types::{Member, Revision, Time};
use std::collections::BTreeMap;

/// State that a replica keeps only while it is the leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// Replication progress of every other member.
    pub progress: BTreeMap<Member, Progress>,
    /// The first entry of its term.
    pub first_revision: Revision,
    /// When it was elected.
    pub elected: Time,
    /// When the next heartbeats are due.
    pub heartbeat_at: Time,
    /// The latest end of authority that it may have acted on.
    pub authority_until: Time,
    /// The leadership transfer in progress.
    pub transfer: Option<Transfer>,
}

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    /// The successor.
    pub to: Member,
    /// When the attempt times out.
    pub until: Time,
    /// Whether the successor was told to start its election.
    pub notified: bool,
}
