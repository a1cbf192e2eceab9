//! Parsed and validated commands of operators. `ledgelead-query` defines the language in
//! which operators write them.

use crate::codec::{List, Text};
use crate::configuration::*;
use crate::identity::*;
use crate::keyspace::{Position, PositionRange};
use nanoserde::{DeBin, SerBin};

/// A command, with the identifier and version that make it safe to repeat it and to issue it
/// concurrently with others.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct AdministrationCommand {
    /// Chosen by the operator. A command that is repeated under it takes effect once.
    pub id: Text,
    /// Operator who issued the command, for logs and authorization.
    pub operator: Text,
    /// The configuration version that the operator relies on, if any.
    pub if_version: Option<ConfigurationVersion>,
    /// What to do.
    pub action: AdministrationAction,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum AdministrationAction {
    /// Changes the configuration in the platform's store. Either all changes apply or none.
    Configure(List<ConfigurationChange>),
    /// Performs an operation that a group decides. It works while the platform is down.
    Operate {
        /// The group concerned.
        group: GroupId,
        /// The operation.
        operation: GroupOperation,
    },
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ConfigurationChange {
    /// Creates a zone.
    CreateZone(ZoneConfiguration),
    /// Removes a zone that is not referenced.
    RemoveZone(ZoneId),
    /// Creates a service.
    CreateService(ServiceConfiguration),
    /// Replaces a service's settings; partitioning and groups can't change.
    AlterService(ServiceConfiguration),
    /// Removes a service that has no servers.
    RemoveService(ServiceId),
    /// Registers a server.
    AddServer(ServerConfiguration),
    /// Removes a server that is retired.
    RemoveServer(ServerId),
    /// Creates a tier.
    CreateTier(TierConfiguration),
    /// Replaces a tier's settings.
    AlterTier(TierConfiguration),
    /// Removes a tier that no caller is subscribed to.
    RemoveTier(TierId),
    /// Creates or replaces a caller.
    PutCaller(CallerConfiguration),
    /// Removes a caller.
    RemoveCaller(CallerId),
    /// Creates or replaces an operator.
    PutOperator(OperatorConfiguration),
    /// Removes an operator.
    RemoveOperator(Text),
}

/// An operation that a group decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum GroupOperation {
    /// Moves the server's slices to others and gives the server no new work.
    Drain(ServerId),
    /// Cancels a drain.
    Activate(ServerId),
    /// Removes the server from the group permanently.
    Retire(ServerId),
    /// Moves the slice that holds a position to a server.
    MoveSlice {
        /// A position in the slice.
        position: Position,
        /// The new owner.
        to: ServerId,
    },
    /// Splits a slice at this position.
    SplitSlice {
        /// First position of the new slice.
        at: Position,
    },
    /// Isolates a range of positions in a slice of its own.
    Isolate {
        /// The positions to isolate.
        range: PositionRange,
    },
}

/// How a command ended.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum CommandResult {
    /// The change is in the store, from this version on.
    Configured {
        /// The version that contains the effect.
        version: ConfigurationVersion,
        /// Whether the command had been accepted earlier under the same identifier.
        repeated: bool,
    },
    /// The group's quorum has decided the operation.
    Operated {
        /// Whether the command had been accepted earlier under the same identifier.
        repeated: bool,
    },
    /// Nothing was changed.
    Rejected(CommandRejection),
    /// The command may or may not have taken effect. Issuing it again under the same
    /// identifier shows which.
    Unknown,
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum CommandRejection {
    /// The configuration has another version than the operator relies on.
    VersionMismatch {
        /// The current version.
        present: ConfigurationVersion,
    },
    /// Concurrent commands changed the configuration first, several times in a row.
    Contention,
    /// The platform can't be reached.
    PlatformUnavailable,
    /// The group has no leader at present.
    NoLeader,
    /// The operator lacks the required role, or isn't in the service's team.
    Forbidden,
    /// The command refers to something that does not exist, or its result would be invalid.
    Invalid(List<Text>),
}
