//! The configuration: one versioned object in the platform's store, of which every node has
//! a complete read-only copy.
//!
//! It is changed by compare-and-swap. `applied_commands` contains the identifiers of the
//! latest commands. If the answer to a command is lost after the command took effect, its
//! identifier is found there when it is sent again. The same model is encoded as JSON in the
//! store (`serde`) and in binary between nodes (`nanoserde`).

use crate::codec::{List, Text};
use crate::identity::*;
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// Number of command identifiers that a configuration keeps.
pub const MAX_APPLIED_COMMANDS: usize = 64;

/// How a service's keys are mapped to positions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, SerBin, DeBin, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Partitioning {
    /// Each key has an owner. Its position is a hash of the key.
    #[default]
    Hash,
    /// Each key has an owner. Its position is the first bytes of the key.
    Ordered,
    /// Keys have no owner: any server of the service accepts any request.
    None,
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// Version in the platform's store; 0 before the first version.
    pub version: ConfigurationVersion,
    /// Zones of the deployment.
    pub zones: List<ZoneConfiguration>,
    /// Services.
    pub services: List<ServiceConfiguration>,
    /// Back end instances.
    pub servers: List<ServerConfiguration>,
    /// Priority tiers.
    pub tiers: List<TierConfiguration>,
    /// Callers and the tier that each is subscribed to.
    pub callers: List<CallerConfiguration>,
    /// Operators and their permissions.
    pub operators: List<OperatorConfiguration>,
    /// The latest accepted command identifiers, oldest first.
    pub applied_commands: List<AppliedCommand>,
    /// Highest service identifier that was ever assigned. A new service must have a higher
    /// one, so an identifier is never reused.
    pub highest_service: ServiceId,
}

/// A zone and its region.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneConfiguration {
    /// Identifier.
    pub id: ZoneId,
    /// Name, as operators write it.
    pub name: Text,
    /// Region; zones of one region are close to each other.
    #[serde(default)]
    pub region: Text,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfiguration {
    /// Identifier, never reused after removal.
    pub id: ServiceId,
    /// Name, as callers and operators write it.
    pub name: Text,
    /// Team that may administer the service; empty for every operator with the role.
    #[serde(default)]
    pub team: Text,
    /// How keys are mapped to positions.
    #[serde(default)]
    pub partitioning: Partitioning,
    /// Number of groups that the service's position space is divided into.
    #[serde(default = "one")]
    pub groups: u16,
    /// Replicas of each group: odd, 3 or 5.
    #[serde(default = "three")]
    pub replicas: u8,
    /// Slices that a group starts with for each of its servers.
    #[serde(default = "eight")]
    pub slices_per_server: u16,
    /// Trade-off between even load and moving keys.
    #[serde(default)]
    pub balance: BalanceConfiguration,
    /// Deadline of a request that sets none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub default_deadline_ms: u32,
}

fn one() -> u16 {
    1
}

fn three() -> u8 {
    3
}

fn eight() -> u16 {
    8
}

fn default_deadline() -> u32 {
    2_000
}

/// How much movement of keys a service accepts for even load.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BalanceConfiguration {
    /// Slices are moved while the load of the busiest server divided by the mean load is above
    /// this.
    pub target_imbalance: f64,
    /// Least reduction of the imbalance for each percent of the position space that moves.
    /// With 0 slices move freely, with 1 hardly ever.
    pub churn_price: f64,
    /// Maximum percentage of the position space that may change owner per minute while its
    /// owner is live.
    pub max_churn_percent_per_minute: f64,
}

impl Default for BalanceConfiguration {
    fn default() -> Self {
        BalanceConfiguration {
            target_imbalance: 1.15,
            churn_price: 0.02,
            max_churn_percent_per_minute: 5.0,
        }
    }
}

/// A back end instance.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerConfiguration {
    /// Identifier.
    pub id: ServerId,
    /// Name, as operators write it.
    pub name: Text,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Zone that it runs in.
    pub zone: ZoneId,
    /// `IP:port` of its HTTP interface.
    pub address: Text,
    /// Requests that it executes concurrently.
    pub slots: u16,
    /// Connections that it accepts.
    pub max_connections: u16,
}

/// A priority tier.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierConfiguration {
    /// Identifier.
    pub id: TierId,
    /// Name, as operators write it.
    pub name: Text,
    /// Share of scarce capacity, relative to the weights of the other tiers.
    pub weight: u32,
    /// Minimum share of a server's capacity, in percent, while the tier has requests.
    #[serde(default)]
    pub guaranteed_percent: u8,
}

/// A caller's credential, tier and limits.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerConfiguration {
    /// Identifier.
    pub id: CallerId,
    /// Name, as operators write it.
    pub name: Text,
    /// SHA-256 of the credential, in hexadecimal. The credential itself is
    /// never stored.
    pub credential_sha256: Text,
    /// Tier that it is subscribed to.
    pub tier: TierId,
    /// Maximum requests per second at each node; 0 for no limit.
    #[serde(default)]
    pub max_requests_per_second: u32,
    /// Maximum concurrent requests at each node; 0 for no limit.
    #[serde(default)]
    pub max_concurrent: u32,
}

/// What an operator may do.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    SerBin,
    DeBin,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// May query.
    #[default]
    Read,
    /// May query, drain and retire servers, and move slices.
    Operate,
    /// May do everything; for all teams if the list of teams is empty.
    Administer,
}

/// An operator's credential, role and scope.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfiguration {
    /// Name, as logs and findings show it.
    pub name: Text,
    /// SHA-256 of the credential, in hexadecimal.
    pub credential_sha256: Text,
    /// Role.
    pub role: OperatorRole,
    /// Teams whose services it may change; empty for all.
    #[serde(default)]
    pub teams: List<Text>,
}

/// A command whose effect the configuration contains.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedCommand {
    /// The operator's command identifier.
    pub id: Text,
    /// The version that contains its effect.
    pub version: ConfigurationVersion,
}

impl Configuration {
    /// The service of this name.
    pub fn service_named(&self, name: &str) -> Option<&ServiceConfiguration> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// The service with this identifier.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceConfiguration> {
        self.services.iter().find(|service| service.id == id)
    }

    /// The server with this identifier.
    pub fn server(&self, id: ServerId) -> Option<&ServerConfiguration> {
        self.servers.iter().find(|server| server.id == id)
    }

    /// The servers of a group: those of its service whose identifier, modulo the number of
    /// groups, is the group's part.
    pub fn servers_of(&self, group: GroupId) -> impl Iterator<Item = &ServerConfiguration> {
        let parts = self
            .service(group.service)
            .map_or(1, |service| service.groups.max(1));
        self.servers.iter().filter(move |server| {
            server.service == group.service
                && server.id.0 % u32::from(parts) == u32::from(group.part)
        })
    }

    /// All groups of the configured services.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> {
        self.services.iter().flat_map(|service| {
            let id = service.id;
            (0..service.groups.max(1)).map(move |part| GroupId { service: id, part })
        })
    }

    /// The caller with this credential, given as its SHA-256 in hexadecimal.
    pub fn caller_by_credential(&self, credential_sha256: &str) -> Option<&CallerConfiguration> {
        self.callers
            .iter()
            .find(|caller| &*caller.credential_sha256 == credential_sha256)
    }

    /// The version in which a command took effect, if its identifier is still kept.
    pub fn version_of_command(&self, command: &str) -> Option<ConfigurationVersion> {
        self.applied_commands
            .iter()
            .find(|applied| &*applied.id == command)
            .map(|applied| applied.version)
    }
}
