//! The replicated state of a group, a deterministic function of its log.

mod apply;
mod operations;
mod records;
mod recovery;
mod slices;

pub use records::{IdempotencyRecord, IdempotencyRecords, MAXIMUM_RECORDS};
pub use slices::{Slice, SlicePhase, SliceTable};

use crate::command::{DrainCause, ServerDefinition};
use ledgelead_types::administration::CommandResult;
use ledgelead_types::codec::{DecodeError, decode, encode};
use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyState, IdempotencyVerdict};
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::*;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// Maximum number of operation identifiers that a group keeps.
pub const MAX_APPLIED_OPERATIONS: usize = 256;

/// A server of the group.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Server {
    /// Its configured properties.
    pub definition: ServerDefinition,
    /// Its status, which decides whether it may get new slices.
    pub status: ServerStatus,
    /// Why it is being drained; `None` if it is not.
    pub drain: Option<DrainCause>,
    /// The replica that renews its lease and assigns its slots to requests.
    pub dispatcher: Option<Member>,
    /// Run of its process that was admitted; `None` before its first contact.
    pub run: Option<u64>,
    /// Log position of its latest admission.
    pub admitted: Revision,
    /// Token of the latest change of its slice set.
    pub set_changed: FencingToken,
}

impl Server {
    /// Whether slices may be assigned to it.
    pub fn accepts(&self) -> bool {
        self.status == ServerStatus::Active && self.run.is_some()
    }
}

/// A decision that resulted from applying an entry, for the requester and for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// An operation ended.
    Operated(CommandResult),
    /// A request to begin under an idempotency key was decided.
    Idempotency {
        /// The requester.
        owner: IdempotencyOwner,
        /// The key.
        key: IdempotencyKey,
        /// The verdict.
        verdict: IdempotencyVerdict,
    },
    /// A slice changed its owner.
    OwnerChanged {
        /// The slice.
        range: PositionRange,
        /// The previous owner.
        from: Option<ServerId>,
        /// The new owner.
        to: Option<ServerId>,
        /// Token of the assignment.
        token: FencingToken,
        /// Whether the previous owner was lost.
        after_loss: bool,
    },
    /// A server's status changed.
    StatusChanged {
        /// The server.
        server: ServerId,
        /// The new status.
        status: ServerStatus,
    },
}

/// The state of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupState {
    /// Generation of the replica set.
    pub epoch: Epoch,
    /// Term of the latest leader that has started.
    pub term: Term,
    /// Latest entry applied.
    pub applied: Revision,
    /// Whether the servers' claims from an earlier epoch have yet to be collected.
    pub recovering: bool,
    /// Whether records that were begun in an earlier epoch may be missing.
    pub records_may_be_missing: bool,
    /// Slices in the order of their positions.
    pub slices: SliceTable,
    /// Servers.
    pub servers: BTreeMap<ServerId, Server>,
    /// Idempotency records.
    pub records: IdempotencyRecords,
    /// Latest operations with their results, oldest first.
    pub operations: Vec<AppliedOperation>,
}

/// An operation that was applied.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct AppliedOperation {
    /// The operator's command identifier.
    pub command_id: Text,
    /// How it ended.
    pub result: CommandResult,
}

/// Serialized form of [`GroupState`].
#[derive(Clone, Debug, Default, SerBin, DeBin)]
struct Snapshot {
    epoch: Epoch,
    term: Term,
    applied: Revision,
    recovering: bool,
    records_may_be_missing: bool,
    slices: List<Slice>,
    servers: List<Server>,
    records: List<IdempotencyRecord>,
    operations: List<AppliedOperation>,
}

impl GroupState {
    /// The state at the start of an epoch, from the snapshot in the group's record. An
    /// empty snapshot means a new group. If the snapshot is from an earlier epoch, the
    /// servers' claims have to be collected first.
    pub fn start(epoch: Epoch, snapshot: &[u8]) -> Result<GroupState, DecodeError> {
        let mut state = GroupState::default();
        if !snapshot.is_empty() {
            state = GroupState::restore(snapshot)?;
        }
        if epoch > state.epoch {
            state.recovering = epoch > FIRST_EPOCH;
            state.records_may_be_missing = state.recovering;
            state.epoch = epoch;
            state.term = Term(0);
            state.applied = Revision(0);
            state.records.restart_ages();
            for server in state.servers.values_mut() {
                server.dispatcher = None;
                server.admitted = Revision(0);
            }
        }
        Ok(state)
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        encode(&Snapshot {
            epoch: self.epoch,
            term: self.term,
            applied: self.applied,
            recovering: self.recovering,
            records_may_be_missing: self.records_may_be_missing,
            slices: self.slices.iter().cloned().collect(),
            servers: self.servers.values().cloned().collect(),
            records: self.records.iter().cloned().collect(),
            operations: self.operations.clone().into(),
        })
    }

    /// Decodes a state that [`GroupState::snapshot`] encoded.
    pub fn restore(bytes: &[u8]) -> Result<GroupState, DecodeError> {
        let snapshot: Snapshot = decode(bytes)?;
        let servers = snapshot.servers.into_iter();
        Ok(GroupState {
            epoch: snapshot.epoch,
            term: snapshot.term,
            applied: snapshot.applied,
            recovering: snapshot.recovering,
            records_may_be_missing: snapshot.records_may_be_missing,
            slices: snapshot.slices.into_iter().collect(),
            servers: servers
                .map(|server| (server.definition.server, server))
                .collect(),
            records: snapshot.records.into_iter().collect(),
            operations: snapshot.operations.0,
        })
    }

    /// Decides a request to begin under a key. While records may be missing, a request
    /// without a record may still have been executed, so its state is unknown.
    fn begin_idempotency_record(
        &mut self,
        owner: IdempotencyOwner,
        key: IdempotencyKey,
        revision: Revision,
    ) -> IdempotencyVerdict {
        let verdict = self.records.begin(owner, key, revision);
        if verdict != IdempotencyVerdict::Fresh || !self.records_may_be_missing {
            return verdict;
        }
        let unknown = IdempotencyState::Unknown;
        self.records.end(owner, key, Some(unknown));
        IdempotencyVerdict::Duplicate(unknown)
    }

    /// The slices that a server is granted: those that it holds and is not releasing.
    pub fn granted(&self, server: ServerId) -> List<GrantedSlice> {
        let held = |slice: &&Slice| slice.phase == SlicePhase::Held { owner: server };
        self.slices
            .of_server(server)
            .filter(held)
            .map(|slice| GrantedSlice {
                range: slice.range,
                token: slice.token,
            })
            .collect()
    }

    /// Slices that a server is releasing.
    pub fn releasing(&self, server: ServerId) -> impl Iterator<Item = &Slice> {
        self.slices.of_server(server).filter(move |slice| {
            matches!(slice.phase, SlicePhase::Releasing { from, .. } if from == server)
        })
    }

    /// Number of slices that a server holds, is releasing or is to get.
    pub fn slice_count(&self, server: ServerId) -> usize {
        self.slices.count_of_server(server)
    }
}

/// The epoch of a group's first replica set.
const FIRST_EPOCH: Epoch = Epoch(1);
