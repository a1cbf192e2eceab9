//! Commands of a group's replicated log.
//!
//! Every command states its preconditions, and [`crate::state::GroupState`] checks them
//! when it applies the command, so an outdated command has no effect.

use ledgelead_types::administration::GroupOperation;
use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyState};
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::*;
use nanoserde::{DeBin, SerBin};

/// The configured properties of a server.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct ServerDefinition {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// `IP:port` of its HTTP interface.
    pub address: Text,
    /// Maximum number of requests that it executes concurrently.
    pub slots: u16,
    /// Maximum number of connections that it accepts.
    pub max_connections: u16,
}

/// The slices that a server reports to hold, used to rebuild a group.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ServerClaim {
    /// The server.
    pub server: ServerId,
    /// Identifies the run of its process.
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
    /// It is to be retired once it holds no slices.
    Retirement,
}

/// A command. An entry of the log holds a list of commands, applied in order.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum GroupCommand {
    /// First command of a leader in its term. A dispatcher grants no leases in a term
    /// before it has applied this command, so it never acts on a state that lacks decisions
    /// of earlier terms.
    StartLeadership(Member),
    /// Registers a server or changes its definition.
    PutServer(ServerDefinition),
    /// Removes a server that owns no slices.
    RemoveServer(ServerId),
    /// Divides the position space into equal slices, if there are none yet.
    CreateSlices {
        /// The group's part of the position space.
        space: PositionRange,
        /// Number of slices.
        count: u32,
    },
    /// Assigns a server to a dispatcher.
    SetDispatcher {
        /// The server.
        server: ServerId,
        /// Its dispatcher from now on.
        dispatcher: Option<Member>,
    },
    /// The server responds in this run and may be granted leases. A lost server becomes
    /// active; a restarted server loses its slices.
    Admit {
        /// The server.
        server: ServerId,
        /// Identifies the run of its process.
        run: u64,
    },
    /// The server is unresponsive and all of its leases have ended.
    Lose {
        /// The server.
        server: ServerId,
        /// Log position at which its dispatcher stopped granting leases. The command has no
        /// effect if the server was admitted again after that.
        lapsed_at: Revision,
    },
    /// Starts a drain.
    Drain {
        /// The server.
        server: ServerId,
        /// Why.
        cause: DrainCause,
    },
    /// Retires a server from the group.
    Retire(ServerId),
    /// Assigns an ownerless slice to a server.
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
    /// Second step of a planned move: the owner has released the slice and executes no
    /// requests for it.
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
    /// Joins two adjacent slices of one owner.
    Merge {
        /// The slice that ends where the other starts.
        first: PositionRange,
        /// The other.
        second: PositionRange,
    },
    /// Ends the rebuild of a group: adopts the slices that the servers hold.
    Recover {
        /// The group's part of the position space; `None` for a service that is not
        /// partitioned by key.
        space: Option<PositionRange>,
        /// The slices that the servers hold.
        claims: List<ServerClaim>,
    },
    /// Begins a request under an idempotency key.
    BeginIdempotencyRecord {
        /// The requester.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
    },
    /// Ends a request under an idempotency key.
    EndIdempotencyRecord {
        /// The requester.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// How it ended; `None` if it was not executed, which frees the key.
        state: Option<IdempotencyState>,
    },
    /// Removes idempotency records begun at or before a revision.
    ExpireRecords {
        /// The revision.
        through: Revision,
    },
    /// An operator's operation.
    Operate {
        /// Chosen by the operator; each identifier takes effect only once.
        command_id: Text,
        /// What to do.
        operation: GroupOperation,
    },
    /// Enough time has passed for retries of requests whose records were lost with a
    /// quorum. From now on, a key without a record counts as not begun.
    AssumeRecordsComplete,
}
