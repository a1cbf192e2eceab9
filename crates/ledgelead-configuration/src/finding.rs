//! Errors in a configuration or a change, with their locations.

use ledgelead_types::{CallerId, ServerId, ServiceId, Text, TierId, ZoneId};
use std::fmt;

/// An error and its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where the error is.
    pub location: Location,
    /// What is wrong.
    pub problem: Problem,
}

/// The part of a configuration that a finding refers to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Location {
    /// A position in the JSON text; line and column start at 1.
    Text {
        /// Line.
        line: usize,
        /// Column.
        column: usize,
    },
    /// A zone.
    Zone(ZoneId),
    /// A service.
    Service(ServiceId),
    /// A server.
    Server(ServerId),
    /// A tier.
    Tier(TierId),
    /// All tiers.
    Tiers,
    /// A caller.
    Caller(CallerId),
    /// An operator, by name.
    Operator(Text),
    /// The command itself.
    Command,
}

/// Kind of an error.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Problem {
    /// The text can't be parsed as a configuration.
    Malformed(String),
    /// The identifier is used more than once.
    DuplicateIdentifier,
    /// The field's value is used more than once.
    Duplicate(Field),
    /// The entity already exists.
    Exists,
    /// The entity does not exist.
    Missing,
    /// The identifier belonged to a service that was removed.
    IdentifierUsedBefore,
    /// The field can't change after creation.
    Immutable(Field),
    /// Another entity still refers to it.
    InUse,
    /// The field refers to an entity that does not exist.
    Unknown(Field),
    /// The field's value is out of range; the text describes the range.
    OutOfRange(Field, &'static str),
}

/// A field of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum Field {
    Name,
    Partitioning,
    Groups,
    Replicas,
    SlicesPerServer,
    TargetImbalance,
    ChurnPrice,
    MaxChurn,
    DefaultDeadline,
    Service,
    Zone,
    Address,
    Slots,
    MaxConnections,
    Weight,
    GuaranteedPercent,
    Credential,
    Tier,
    CommandIdentifier,
}

impl Field {
    /// The field's name in the JSON form.
    pub fn name(self) -> &'static str {
        match self {
            Field::Name => "name",
            Field::Partitioning => "partitioning",
            Field::Groups => "groups",
            Field::Replicas => "replicas",
            Field::SlicesPerServer => "slices_per_server",
            Field::TargetImbalance => "balance.target_imbalance",
            Field::ChurnPrice => "balance.churn_price",
            Field::MaxChurn => "balance.max_churn_percent_per_minute",
            Field::DefaultDeadline => "default_deadline_ms",
            Field::Service => "service",
            Field::Zone => "zone",
            Field::Address => "address",
            Field::Slots => "slots",
            Field::MaxConnections => "max_connections",
            Field::Weight => "weight",
            Field::GuaranteedPercent => "guaranteed_percent",
            Field::Credential => "credential_sha256",
            Field::Tier => "tier",
            Field::CommandIdentifier => "id",
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.location, self.problem)
    }
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Location::Text { line, column } => write!(formatter, "line {line}, column {column}"),
            Location::Zone(id) => write!(formatter, "{id}"),
            Location::Service(id) => write!(formatter, "{id}"),
            Location::Server(id) => write!(formatter, "{id}"),
            Location::Tier(id) => write!(formatter, "{id}"),
            Location::Tiers => formatter.write_str("tiers"),
            Location::Caller(id) => write!(formatter, "{id}"),
            Location::Operator(name) => write!(formatter, "operator {name}"),
            Location::Command => formatter.write_str("command"),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Malformed(why) => write!(formatter, "not a configuration: {why}"),
            Problem::DuplicateIdentifier => formatter.write_str("the identifier is given twice"),
            Problem::Duplicate(field) => write!(formatter, "another has this {}", field.name()),
            Problem::Exists => formatter.write_str("exists already"),
            Problem::Missing => formatter.write_str("does not exist"),
            Problem::IdentifierUsedBefore => formatter
                .write_str("the identifier belonged to a service before; take a higher one"),
            Problem::Immutable(field) => {
                write!(formatter, "{} can't change after creation", field.name())
            }
            Problem::InUse => formatter.write_str("is still in use"),
            Problem::Unknown(field) => write!(formatter, "{} does not exist", field.name()),
            Problem::OutOfRange(field, allowed) => {
                write!(formatter, "{} must be {allowed}", field.name())
            }
        }
    }
}
