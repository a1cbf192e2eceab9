//! Syntax trees of statements.

use crate::located::Located;
use crate::schema::Subject;

/// One statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Shows the rows of a subject.
    Show(Show),
    /// Shows the owner of a key.
    Owner(KeyInService),
    /// Executes a command.
    Command(Command),
    /// Shows what a command would change.
    Explain(Command),
}

/// `show SUBJECT [of SERVICE] [where ...] [order by ...] [limit N]`
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// Subject to show.
    pub subject: Located<Subject>,
    /// Restricts the rows to this service.
    pub service: Option<Located<String>>,
    /// Disjunction (`or`) of conjunctions (`and`) of conditions; empty for all rows.
    pub filter: Vec<Vec<Condition>>,
    /// Order of the rows.
    pub order: Option<Order>,
    /// Maximum number of rows.
    pub limit: Option<u32>,
}

/// `FIELD OPERATOR VALUE`
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Column.
    pub field: Located<String>,
    /// Comparison operator.
    pub comparison: Comparison,
    /// Value to compare with.
    pub value: Located<Value>,
}

/// Comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Comparison {
    Equal,
    NotEqual,
    Less,
    AtMost,
    Greater,
    AtLeast,
}

impl Comparison {
    /// All operators.
    pub const ALL: [Comparison; 6] = [
        Comparison::Equal,
        Comparison::NotEqual,
        Comparison::Less,
        Comparison::AtMost,
        Comparison::Greater,
        Comparison::AtLeast,
    ];

    /// Symbol in the language.
    pub fn symbol(self) -> &'static str {
        match self {
            Comparison::Equal => "=",
            Comparison::NotEqual => "!=",
            Comparison::Less => "<",
            Comparison::AtMost => "<=",
            Comparison::Greater => ">",
            Comparison::AtLeast => ">=",
        }
    }
}

/// A literal; an unquoted word is a text.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Text.
    Text(String),
    /// Number.
    Number(f64),
}

/// `order by FIELD [asc|desc]`
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Column.
    pub field: Located<String>,
    /// Whether the greatest comes first.
    pub descending: bool,
}

/// `key "K" in SERVICE`
#[derive(Clone, Debug, PartialEq)]
pub struct KeyInService {
    /// The key.
    pub key: Located<String>,
    /// The service.
    pub service: Located<String>,
}

/// Kinds of entities that commands create, alter and remove.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum Kind {
    Zone,
    Service,
    Tier,
    Caller,
    Operator,
    Server,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 6] = [
        Kind::Zone,
        Kind::Service,
        Kind::Tier,
        Kind::Caller,
        Kind::Operator,
        Kind::Server,
    ];

    /// Keyword in the language.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Zone => "zone",
            Kind::Service => "service",
            Kind::Tier => "tier",
            Kind::Caller => "caller",
            Kind::Operator => "operator",
            Kind::Server => "server",
        }
    }
}

/// `FIELD = VALUE`
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Name of the setting.
    pub field: Located<String>,
    /// Its value.
    pub value: Located<Value>,
}

/// Operation on a server, decided by its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOperation {
    /// Transfer its slices to other servers and accept no new work.
    Drain,
    /// Accept work again.
    Activate,
    /// Drain and leave permanently.
    Retire,
}

impl ServerOperation {
    /// All operations.
    pub const ALL: [ServerOperation; 3] = [
        ServerOperation::Drain,
        ServerOperation::Activate,
        ServerOperation::Retire,
    ];

    /// Keyword in the language.
    pub fn name(self) -> &'static str {
        match self {
            ServerOperation::Drain => "drain",
            ServerOperation::Activate => "activate",
            ServerOperation::Retire => "retire",
        }
    }
}

/// A command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// `create KIND NAME [with ...]`
    Create(Definition),
    /// `alter KIND NAME set ...`
    Alter(Definition),
    /// `remove KIND NAME`
    Remove {
        /// Kind of the entity.
        kind: Kind,
        /// Name of the entity.
        name: Located<String>,
    },
    /// `add server NAME to SERVICE in ZONE at "IP:port" [with ...]`
    AddServer(AddServer),
    /// `drain|activate|retire server NAME`
    OperateServer {
        /// The operation.
        operation: ServerOperation,
        /// Name of the server.
        server: Located<String>,
    },
    /// `move key "K" in SERVICE to SERVER`
    Move {
        /// A key in the slice.
        key: KeyInService,
        /// The new owner.
        server: Located<String>,
    },
    /// `split key "K" in SERVICE`
    Split(KeyInService),
    /// `isolate key "K" in SERVICE`
    Isolate(KeyInService),
}

/// Entity to create or alter, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Definition {
    /// Kind of the entity.
    pub kind: Kind,
    /// Its name.
    pub name: Located<String>,
    /// Its settings.
    pub settings: Vec<Setting>,
}

/// Server to add.
#[derive(Clone, Debug, PartialEq)]
pub struct AddServer {
    /// Its name.
    pub name: Located<String>,
    /// Service that it serves.
    pub service: Located<String>,
    /// Zone that it runs in.
    pub zone: Located<String>,
    /// `IP:port`.
    pub address: Located<String>,
    /// Settings: slots and connections.
    pub settings: Vec<Setting>,
}

impl Command {
    /// Whether a group executes it; otherwise it changes the configuration.
    pub fn is_operation(&self) -> bool {
        match self {
            Command::OperateServer { .. }
            | Command::Move { .. }
            | Command::Split(_)
            | Command::Isolate(_) => true,
            Command::Create(_)
            | Command::Alter(_)
            | Command::Remove { .. }
            | Command::AddServer(_) => false,
        }
    }
}
