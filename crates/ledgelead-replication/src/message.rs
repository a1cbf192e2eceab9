//! Messages between the replicas of a group.
//!
//! Every collection is one of `ledgelead_types::codec`, so malformed input can't make the
//! decoder allocate more than the size of the input.

use crate::membership::Membership;
use crate::varint::Varint;
use ledgelead_types::{Bytes, Epoch, Incarnation, List, Revision, Span, Term, Time};
use nanoserde::{DeBin, SerBin};

/// A message from one replica to another of the same group.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ReplicationMessage {
    /// Generation of the replica set; other generations are ignored.
    #[nserde(proxy = "Varint")]
    pub epoch: Epoch,
    /// The sender's term.
    #[nserde(proxy = "Varint")]
    pub term: Term,
    /// The incarnation of the receiver that the message is addressed to.
    pub to: Incarnation,
    /// The payload.
    pub body: Body,
}

/// The kinds of messages.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Body {
    /// Leader to member: entries, or a heartbeat when there are none.
    Append(Append),
    /// Member to leader: reply to [`Body::Append`] and [`Body::Install`].
    AppendReply(AppendReply),
    /// Leader to member: a snapshot in place of entries that were compacted.
    Install(Install),
    /// Asks whether the receiver would grant its vote; changes no term.
    PreVote(VoteRequest),
    /// Reply to [`Body::PreVote`].
    PreVoteReply(PreVoteReply),
    /// Requests a vote in the sender's term.
    Vote(VoteRequest),
    /// Reply to [`Body::Vote`].
    VoteReply(VoteReply),
    /// Leader to voter, during a leadership transfer: start an election now, without
    /// waiting for promises to run out.
    TimeoutNow,
}

/// Replicates entries and renews the receiver's promise.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Append {
    /// When the leader sent it, on its clock; opaque to the receiver.
    #[nserde(proxy = "Varint")]
    pub sent: Time,
    /// Position just before the entries.
    #[nserde(proxy = "Varint")]
    pub previous: Revision,
    /// Term of the entry there. Position 0 has no entry; there it is a digest of the state
    /// and members that the epoch starts from.
    #[nserde(proxy = "Varint")]
    pub previous_term: Term,
    /// The leader's commit position.
    #[nserde(proxy = "Varint")]
    pub commit: Revision,
    /// Authority delegated to the receiver.
    pub delegation: Option<Delegation>,
    /// Whether it carries only [`Payload::LazyCommand`]s and does not double as a due
    /// heartbeat.
    pub lazy: bool,
    /// The entries; none in a heartbeat.
    pub entries: List<Entry>,
}

/// The part of a leader's authority that is delegated to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Delegation {
    /// A timestamp of the receiver's own clock, from an earlier [`AppendReply::stamp`].
    #[nserde(proxy = "Varint")]
    pub stamp: Time,
    /// How long after that timestamp the authority lasts on the receiver's clock; already
    /// shortened for clock drift.
    #[nserde(proxy = "Varint")]
    pub span: Span,
}

impl ReplicationMessage {
    /// Whether the message replicates only [`Payload::LazyCommand`]s, or replies to one
    /// that does.
    pub fn is_lazy(&self) -> bool {
        match &self.body {
            Body::Append(append) => append.lazy,
            Body::AppendReply(reply) => reply.lazy,
            _ => false,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Entry {
    /// Term of the leader that appended it.
    #[nserde(proxy = "Varint")]
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

impl Entry {
    /// Whether members may learn of its commit with a delay.
    pub(crate) fn is_lazy(&self) -> bool {
        matches!(self.payload, Payload::LazyCommand(_))
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Payload {
    /// No change; the first entry that a leader appends in its term.
    Noop,
    /// The members from this entry on.
    Membership(Membership),
    /// A command for the caller's state machine.
    Command(Bytes),
    /// A command whose result only the leader acts on. Members learn of its commit with the
    /// next message that is sent to them for another reason.
    LazyCommand(Bytes),
}

/// Reply to an append or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct AppendReply {
    /// [`Append::sent`] or [`Install::sent`], echoed.
    #[nserde(proxy = "Varint")]
    pub sent: Time,
    /// When the reply was sent, on the sender's clock; opaque to the leader.
    #[nserde(proxy = "Varint")]
    pub stamp: Time,
    /// [`Append::lazy`], echoed.
    pub lazy: bool,
    /// The result.
    pub outcome: AppendOutcome,
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum AppendOutcome {
    /// The log agrees with the leader's.
    Matched(Matched),
    /// The entry before the appended ones is missing or of another term.
    Mismatch(Mismatch),
    /// The replica has no state to apply entries to.
    NeedsSnapshot,
    /// The message is of an earlier term; the reply carries the current one.
    StaleTerm,
}

/// How far a log agrees with the leader's.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct Matched {
    /// Last position that agrees.
    #[nserde(proxy = "Varint")]
    pub revision: Revision,
}

/// Where to retry after a mismatch.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct Mismatch {
    /// [`Append::previous`], echoed.
    #[nserde(proxy = "Varint")]
    pub previous: Revision,
    /// Last position that may agree.
    #[nserde(proxy = "Varint")]
    pub hint: Revision,
}

/// A snapshot of the replicated state.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Install {
    /// As [`Append::sent`].
    #[nserde(proxy = "Varint")]
    pub sent: Time,
    /// Last position that the state includes.
    #[nserde(proxy = "Varint")]
    pub revision: Revision,
    /// Term of the entry there.
    #[nserde(proxy = "Varint")]
    pub revision_term: Term,
    /// Members as of that position.
    pub membership: Membership,
    /// State of the caller's state machine.
    pub state: Bytes,
}

/// Requests a vote or a pre-vote.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct VoteRequest {
    /// The candidate's last log position.
    #[nserde(proxy = "Varint")]
    pub last_revision: Revision,
    /// Term of the entry there.
    #[nserde(proxy = "Varint")]
    pub last_term: Term,
    /// Whether the leader asked the candidate to take over; promises to that leader then
    /// don't block the vote.
    pub transfer: bool,
}

/// Reply to a pre-vote request.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct PreVoteReply {
    /// The term that the pre-vote was for.
    #[nserde(proxy = "Varint")]
    pub for_term: Term,
    /// Whether the vote would be granted now.
    pub granted: bool,
    /// How long a promise still blocks it.
    #[nserde(proxy = "Varint")]
    pub wait: Span,
}

/// Reply to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct VoteReply {
    /// Whether the vote was granted.
    pub granted: bool,
}
