//! Messages between the replicas of a group.
//!
//! Every collection is one of `ledgelead_types::codec`, so hostile bytes can't
//! make the decoder allocate more than they are.

use crate::membership::Membership;
use crate::varint::Varint;
use ledgelead_types::{Bytes, Epoch, Incarnation, List, Revision, Span, Term, Time};
use nanoserde::{DeBin, SerBin};

/// One message from a replica to another of the same group.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ReplicationMessage {
    /// Generation of the replica set; other generations are ignored.
    #[nserde(proxy = "Varint")]
    pub epoch: Epoch,
    /// The sender's term.
    #[nserde(proxy = "Varint")]
    pub term: Term,
    /// The run of the receiver's process that is meant.
    pub to: Incarnation,
    /// What is said.
    pub body: Body,
}

/// The kinds of messages.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Body {
    /// Leader to member: entries, or a heartbeat when there are none.
    Append(Append),
    /// Member to leader: answer to [`Body::Append`] and [`Body::Install`].
    AppendReply(AppendReply),
    /// Leader to member: a snapshot in place of entries that are gone.
    Install(Install),
    /// Asks whether a vote would be given (pre-vote); changes no term.
    PreVote(VoteRequest),
    /// Answer to [`Body::PreVote`].
    PreVoteReply(PreVoteReply),
    /// Asks for the vote of the sender's term.
    Vote(VoteRequest),
    /// Answer to [`Body::Vote`].
    VoteReply(VoteReply),
    /// Leader to voter: stand for election now, without waiting for promises.
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
    /// Term of the entry there; at position 0, where there is none, a digest
    /// of the state and members that the epoch starts from.
    #[nserde(proxy = "Varint")]
    pub previous_term: Term,
    /// The leader's commit position.
    #[nserde(proxy = "Varint")]
    pub commit: Revision,
    /// Authority delegated to the receiver.
    pub delegation: Option<Delegation>,
    /// Whether it is sent for the sake of [`Payload::LazyCommand`]s alone and
    /// stands for no heartbeat that was due.
    pub lazy: bool,
    /// The entries; none in a heartbeat.
    pub entries: List<Entry>,
}

/// The part of a leader's authority that a follower is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Delegation {
    /// The receiver's own stamp of an earlier [`AppendReply::stamp`].
    #[nserde(proxy = "Varint")]
    pub stamp: Time,
    /// How long after that stamp the authority lasts, on the receiver's
    /// clock; already shortened for drift.
    #[nserde(proxy = "Varint")]
    pub span: Span,
}

impl ReplicationMessage {
    /// Whether the message replicates [`Payload::LazyCommand`]s alone, or
    /// answers one that does.
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
    /// What it decides.
    pub payload: Payload,
}

impl Entry {
    /// Whether members may hear late of its commit.
    pub(crate) fn is_lazy(&self) -> bool {
        matches!(self.payload, Payload::LazyCommand(_))
    }
}

/// What an entry decides.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Payload {
    /// Nothing; a leader's first entry of its term.
    Noop,
    /// The members from this entry on.
    Membership(Membership),
    /// A command for the caller's state machine.
    Command(Bytes),
    /// A command whose decision only the leader acts on. Members hear of its
    /// commit with the next message that goes to them anyway.
    LazyCommand(Bytes),
}

/// Answer to an append or an installation.
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
    /// What became of the entries.
    pub outcome: AppendOutcome,
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum AppendOutcome {
    /// The log agrees with the leader's.
    Matched(Matched),
    /// The entry before the appended ones is missing or of another term.
    Mismatch(Mismatch),
    /// The replica has no state to append to.
    NeedsSnapshot,
    /// The message's term has passed; the reply carries the present one.
    StaleTerm,
}

/// How far a log agrees with the leader's.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct Matched {
    /// Last position that agrees.
    #[nserde(proxy = "Varint")]
    pub revision: Revision,
}

/// Where a log may begin to agree with the leader's.
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

/// Asks for a vote, or whether it would be given.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct VoteRequest {
    /// The candidate's last log position.
    #[nserde(proxy = "Varint")]
    pub last_revision: Revision,
    /// Term of the entry there.
    #[nserde(proxy = "Varint")]
    pub last_term: Term,
    /// Whether the leader asked the candidate to take over, so that promises
    /// to the leader don't stand against the vote.
    pub transfer: bool,
}

/// Whether a vote would be given.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct PreVoteReply {
    /// The term that the poll was for.
    #[nserde(proxy = "Varint")]
    pub for_term: Term,
    /// Whether the vote would be given now.
    pub granted: bool,
    /// How long a promise still stands against it.
    #[nserde(proxy = "Varint")]
    pub wait: Span,
}

/// Whether the vote was given.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct VoteReply {
    /// Whether it was.
    pub granted: bool,
}
