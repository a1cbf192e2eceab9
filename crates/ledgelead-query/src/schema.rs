//! Subjects of queries and their columns.

/// What `show` can display.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum Subject {
    Services,
    Zones,
    Tiers,
    Callers,
    Operators,
    Servers,
    Slices,
    Nodes,
    Groups,
    Leases,
    Configuration,
}

/// Type of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnKind {
    /// Text.
    Text,
    /// Number.
    Number,
    /// Boolean, written `true` and `false`.
    Flag,
}

/// A column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Column {
    /// Name, with the unit as its last part.
    pub name: &'static str,
    /// Type of its values.
    pub kind: ColumnKind,
}

const fn text(name: &'static str) -> Column {
    Column {
        name,
        kind: ColumnKind::Text,
    }
}

const fn number(name: &'static str) -> Column {
    Column {
        name,
        kind: ColumnKind::Number,
    }
}

const fn flag(name: &'static str) -> Column {
    Column {
        name,
        kind: ColumnKind::Flag,
    }
}

/// Columns of `show owner`.
pub(crate) const OWNER: &[Column] = &[
    text("key"),
    text("service"),
    text("group"),
    text("position"),
    text("owner"),
    text("status"),
    text("zone"),
    text("address"),
    text("dispatcher"),
    text("token"),
];

const SERVICES: &[Column] = &[
    text("service"),
    number("id"),
    text("team"),
    text("partitioning"),
    number("groups"),
    number("replicas"),
    number("servers"),
    number("slices_per_server"),
    number("target_imbalance"),
    number("churn_price"),
    number("max_churn_percent_per_minute"),
    number("default_deadline_ms"),
];

const ZONES: &[Column] = &[
    text("zone"),
    number("id"),
    text("region"),
    number("servers"),
    number("nodes"),
];

const TIERS: &[Column] = &[
    text("tier"),
    number("id"),
    number("weight"),
    number("guaranteed_percent"),
    number("callers"),
];

const CALLERS: &[Column] = &[
    text("caller"),
    number("id"),
    text("tier"),
    number("max_requests_per_second"),
    number("max_concurrent"),
];

const OPERATORS: &[Column] = &[text("operator"), text("role"), text("teams")];

const SERVERS: &[Column] = &[
    text("server"),
    text("service"),
    text("zone"),
    text("group"),
    text("status"),
    number("slices"),
    number("share_percent"),
    number("load"),
    number("requests_per_second"),
    number("queued"),
    number("slots"),
    number("connections"),
    number("lease_ms"),
    text("dispatcher"),
    text("address"),
];

const SLICES: &[Column] = &[
    text("service"),
    text("group"),
    text("first"),
    text("last"),
    number("share_percent"),
    text("owner"),
    number("requests_per_second"),
    text("token"),
];

const NODES: &[Column] = &[
    text("node"),
    text("zone"),
    text("address"),
    flag("live"),
    number("configuration"),
    number("behind"),
];

const GROUPS: &[Column] = &[
    text("group"),
    text("service"),
    text("leader"),
    text("members"),
    number("epoch"),
    number("term"),
    number("servers"),
    number("slices"),
    number("unowned"),
    number("imbalance"),
    number("snapshot_lag_ms"),
];

const LEASES: &[Column] = &[
    text("server"),
    text("service"),
    text("group"),
    text("dispatcher"),
    flag("held"),
    number("left_ms"),
    number("slices"),
];

const CONFIGURATION: &[Column] = &[
    number("version"),
    number("zones"),
    number("services"),
    number("servers"),
    number("tiers"),
    number("callers"),
    number("operators"),
    flag("platform_reachable"),
    text("last_command"),
];

impl Subject {
    /// All subjects.
    pub const ALL: [Subject; 11] = [
        Subject::Services,
        Subject::Zones,
        Subject::Tiers,
        Subject::Callers,
        Subject::Operators,
        Subject::Servers,
        Subject::Slices,
        Subject::Nodes,
        Subject::Groups,
        Subject::Leases,
        Subject::Configuration,
    ];

    /// Keyword in the language.
    pub fn name(self) -> &'static str {
        match self {
            Subject::Services => "services",
            Subject::Zones => "zones",
            Subject::Tiers => "tiers",
            Subject::Callers => "callers",
            Subject::Operators => "operators",
            Subject::Servers => "servers",
            Subject::Slices => "slices",
            Subject::Nodes => "nodes",
            Subject::Groups => "groups",
            Subject::Leases => "leases",
            Subject::Configuration => "configuration",
        }
    }

    /// Columns of its table.
    pub fn columns(self) -> &'static [Column] {
        match self {
            Subject::Services => SERVICES,
            Subject::Zones => ZONES,
            Subject::Tiers => TIERS,
            Subject::Callers => CALLERS,
            Subject::Operators => OPERATORS,
            Subject::Servers => SERVERS,
            Subject::Slices => SLICES,
            Subject::Nodes => NODES,
            Subject::Groups => GROUPS,
            Subject::Leases => LEASES,
            Subject::Configuration => CONFIGURATION,
        }
    }

    /// Whether its rows belong to services, so that `of SERVICE` is allowed.
    pub fn has_services(self) -> bool {
        self.columns().iter().any(|column| column.name == "service")
    }
}
