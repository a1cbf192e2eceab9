//! What only a leader keeps.

use crate::progress::Progress;
use ledgelead_types::{Member, Revision, Time};
use std::collections::BTreeMap;

/// What a replica keeps while it leads.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// Every other member.
    pub progress: BTreeMap<Member, Progress>,
    /// The first entry of its term.
    pub first_revision: Revision,
    /// When it was elected.
    pub elected: Time,
    /// When the next heartbeats are due.
    pub heartbeat_at: Time,
    /// The latest end of authority that it may have relied on.
    pub authority_until: Time,
    /// The transfer under way.
    pub transfer: Option<Transfer>,
}

/// A leadership transfer under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    /// The successor.
    pub to: Member,
    /// When the attempt is given up.
    pub until: Time,
    /// Whether the successor was told.
    pub notified: bool,
}
