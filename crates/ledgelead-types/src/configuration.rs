//! The configuration: one versioned object in the platform's store that every
//! node receives whole and holds read-only.
//!
//! It is changed by compare-and-swap; `applied_commands` remembers the latest
//! command identifiers, so that an answer lost after its effect is recognised
//! when the command is sent again. The same model is JSON in the store
//! (`serde`) and binary between nodes (`nanoserde`).

use crate::codec::{List, Text};
use crate::identity::*;
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// How many command identifiers a configuration remembers.
pub const MAX_APPLIED_COMMANDS: usize = 64;

/// How a service's keys become positions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, SerBin, DeBin, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Partitioning {
    /// Keys are owned; their position is a hash.
    #[default]
    Hash,
    /// Keys are owned; their position is their own first bytes.
    Ordered,
    /// Keys are not owned: any server of the service takes any request.
    None,
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// Version in the platform's store; 0 before the first.
    pub version: ConfigurationVersion,
    /// Zones of the deployment.
    pub zones: List<ZoneConfiguration>,
    /// Services.
    pub services: List<ServiceConfiguration>,
    /// Back end instances.
    pub servers: List<ServerConfiguration>,
    /// Priority tiers.
    pub tiers: List<TierConfiguration>,
    /// Callers and the tier that each has bought.
    pub callers: List<CallerConfiguration>,
    /// Operators and what each may do.
    pub operators: List<OperatorConfiguration>,
    /// The latest accepted command identifiers, oldest first.
    pub applied_commands: List<AppliedCommand>,
    /// Highest service identifier that was ever given out. A new service must
    /// have a higher one, so an identifier is never used again.
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
    /// Identifier, never used again after removal.
    pub id: ServiceId,
    /// Name, as callers and operators write it.
    pub name: Text,
    /// Team that may administer it; empty for everybody with the role.
    #[serde(default)]
    pub team: Text,
    /// How keys become positions.
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
    /// The price of moving keys against uneven load.
    #[serde(default)]
    pub balance: BalanceConfiguration,
    /// Deadline of a request that names none, in milliseconds.
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

/// What a service's operator lets balance cost.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BalanceConfiguration {
    /// Busiest server's load over the mean above which slices are moved.
    pub target_imbalance: f64,
    /// Imbalance that moving one percent of the position space must shed to
    /// be worth it. 0 moves freely, 1 hardly ever.
    pub churn_price: f64,
    /// Most of the position space, in percent, that may change owner a minute
    /// while its owner lives.
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
    /// Service that it serves.
    pub service: ServiceId,
    /// Zone that it runs in.
    pub zone: ZoneId,
    /// `IP:port` of its HTTP interface.
    pub address: Text,
    /// Requests that it executes at once.
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
    /// Share of contested capacity relative to the other tiers' weights.
    pub weight: u32,
    /// Least share of a server's capacity, in percent, when there is work.
    #[serde(default)]
    pub guaranteed_percent: u8,
}

/// A caller's credential and what it has bought.
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
    /// Tier that it has bought.
    pub tier: TierId,
    /// Requests a second at most on each node; 0 for no limit.
    #[serde(default)]
    pub max_requests_per_second: u32,
    /// Requests at once at most on each node; 0 for no limit.
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
    /// Query only.
    #[default]
    Read,
    /// Query, drain, retire, move.
    Operate,
    /// Everything, of every team when the team list is empty.
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

/// A command that some version of the configuration accepted.
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

    /// The servers of a group: those of its service whose identifier falls to
    /// the group's part.
    pub fn servers_of(&self, group: GroupId) -> impl Iterator<Item = &ServerConfiguration> {
        let parts = self
            .service(group.service)
            .map_or(1, |service| service.groups.max(1));
        self.servers.iter().filter(move |server| {
            server.service == group.service
                && server.id.0 % u32::from(parts) == u32::from(group.part)
        })
    }

    /// Every group that the configured services call for.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> {
        self.services.iter().flat_map(|service| {
            let id = service.id;
            (0..service.groups.max(1)).map(move |part| GroupId { service: id, part })
        })
    }

    /// The caller that holds a credential, by its SHA-256 in hexadecimal.
    pub fn caller_by_credential(&self, credential_sha256: &str) -> Option<&CallerConfiguration> {
        self.callers
            .iter()
            .find(|caller| &*caller.credential_sha256 == credential_sha256)
    }

    /// The version in which a command took effect, while it is remembered.
    pub fn version_of_command(&self, command: &str) -> Option<ConfigurationVersion> {
        self.applied_commands
            .iter()
            .find(|applied| &*applied.id == command)
            .map(|applied| applied.version)
    }
}
