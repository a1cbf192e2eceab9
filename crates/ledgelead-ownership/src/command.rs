//! Commands of a group's replicated log.
//!
//! Every command states what it relies on, and [`crate::state::GroupState`]
//! checks that when it applies it, so a command that was overtaken changes
//! nothing.

use ledgelead_types::administration::GroupOperation;
use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyState};
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::*;
use nanoserde::{DeBin, SerBin};

/// What the configuration says of a server.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct ServerDefinition {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// `IP:port` of its HTTP interface.
    pub address: Text,
    /// Requests that it executes at once.
    pub slots: u16,
    /// Connections that it accepts.
    pub max_connections: u16,
}

/// What a server said it holds, for the rebuilding of a group.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ServerClaim {
    /// The server.
    pub server: ServerId,
    /// Run of its process.
    pub run: u64,
    /// Slices that it holds.
    pub held: List<GrantedSlice>,
}

/// Why a server is being drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum DrainCause {
    /// An operator asked for it.
    Operator,
    /// The server itself asked for it.
    Server,
    /// It is to be retired when it holds nothing any more.
    Retirement,
}

/// One command. An entry of the log holds a list of them, applied in order.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum GroupCommand {
    /// First command of a leader in its term. A dispatcher grants nothing in
    /// a term before it has applied this, so it never acts on a state that
    /// lacks decisions of earlier terms.
    StartLeadership(Member),
    /// Registers a server or changes its definition.
    PutServer(ServerDefinition),
    /// Forgets a server that owns nothing.
    RemoveServer(ServerId),
    /// Divides the space into equal slices, if there are none.
    CreateSlices {
        /// The group's part of the position space.
        space: PositionRange,
        /// Number of slices.
        count: u32,
    },
    /// Puts a server into a dispatcher's care.
    SetDispatcher {
        /// The server.
        server: ServerId,
        /// Its dispatcher from now on.
        dispatcher: Option<Member>,
    },
    /// The server answers in this run and may be granted leases. One that
    /// was lost becomes active; one that restarted owns nothing any more.
    Admit {
        /// The server.
        server: ServerId,
        /// Run of its process.
        run: u64,
    },
    /// The server is silent and every lease that it had has ended.
    Lose {
        /// The server.
        server: ServerId,
        /// Log position at which its dispatcher stopped granting; the command
        /// is void when the server was admitted again after it.
        lapsed_at: Revision,
    },
    /// Starts a drain.
    Drain {
        /// The server.
        server: ServerId,
        /// Why.
        cause: DrainCause,
    },
    /// Ends a server's part in the group.
    Retire(ServerId),
    /// Gives an ownerless slice to a server.
    Assign {
        /// The slice.
        range: PositionRange,
        /// Its owner.
        to: ServerId,
    },
    /// First step of a planned move.
    Release {
        /// The slice.
        range: PositionRange,
        /// Its owner.
        from: ServerId,
        /// The next owner.
        to: ServerId,
    },
    /// Second step of a planned move: the owner has given the slice up and
    /// executes nothing for it.
    Released {
        /// The slice.
        range: PositionRange,
        /// Token under which it was held.
        token: FencingToken,
    },
    /// Splits a slice.
    Split {
        /// First position of the second half.
        at: Position,
    },
    /// Joins two neighbours of one owner.
    Merge {
        /// The slice that ends where the other starts.
        first: PositionRange,
        /// The other.
        second: PositionRange,
    },
    /// Ends the rebuilding of a group: adopts what the servers hold.
    Recover {
        /// The group's part of the position space; `None` for a service that
        /// is not divided by key.
        space: Option<PositionRange>,
        /// What the servers hold.
        claims: List<ServerClaim>,
    },
    /// Begins a request under an idempotency key.
    BeginIdempotent {
        /// Who asks.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// Ends such a request.
    EndIdempotent {
        /// Who asks.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// How it ended; `None` when it was not run, which frees the key.
        state: Option<IdempotencyState>,
    },
    /// Forgets idempotency records begun at or before a revision.
    ExpireRecords {
        /// The revision.
        through: Revision,
    },
    /// An operator's operation.
    Operate {
        /// Chosen by the operator; takes effect once.
        command_id: Text,
        /// What to do.
        operation: GroupOperation,
    },
    /// Repeats of requests whose records were lost with a quorum have come:
    /// from now on a key without a record was not begun.
    AssumeRecordsComplete,
}
