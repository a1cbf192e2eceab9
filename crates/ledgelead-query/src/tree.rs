//! The trees of statements.

use crate::located::Located;
use crate::schema::Subject;

/// One statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Rows of a subject.
    Show(Show),
    /// The owner of a key.
    Owner(KeyInService),
    /// Changes something.
    Command(Command),
    /// Says what a command would change.
    Explain(Command),
}

/// `show SUBJECT [of SERVICE] [where ...] [order by ...] [limit N]`
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// What is shown.
    pub subject: Located<Subject>,
    /// Only of this service.
    pub service: Option<Located<String>>,
    /// Alternatives (`or`) of conditions that hold together (`and`); all
    /// rows when empty.
    pub filter: Vec<Vec<Condition>>,
    /// Order of the rows.
    pub order: Option<Order>,
    /// Most rows.
    pub limit: Option<u32>,
}

/// `FIELD OPERATOR VALUE`
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Column.
    pub field: Located<String>,
    /// How it is compared.
    pub comparison: Comparison,
    /// With what.
    pub value: Located<Value>,
}

/// How a column is compared.
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
    /// All of them.
    pub const ALL: [Comparison; 6] = [
        Comparison::Equal,
        Comparison::NotEqual,
        Comparison::Less,
        Comparison::AtMost,
        Comparison::Greater,
        Comparison::AtLeast,
    ];

    /// As it is written.
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

/// A value as written; a bare word is a text.
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
    /// Greatest first.
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

/// What commands create, alter and remove.
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
    /// All of them.
    pub const ALL: [Kind; 6] = [
        Kind::Zone,
        Kind::Service,
        Kind::Tier,
        Kind::Caller,
        Kind::Operator,
        Kind::Server,
    ];

    /// As it is written.
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
    /// Which setting.
    pub field: Located<String>,
    /// Its value.
    pub value: Located<Value>,
}

/// What is asked of a server's group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOperation {
    /// Hand its slices over and take no new work.
    Drain,
    /// Take work again.
    Activate,
    /// Leave for good.
    Retire,
}

impl ServerOperation {
    /// All of them.
    pub const ALL: [ServerOperation; 3] = [
        ServerOperation::Drain,
        ServerOperation::Activate,
        ServerOperation::Retire,
    ];

    /// As it is written.
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
        /// What kind.
        kind: Kind,
        /// Which.
        name: Located<String>,
    },
    /// `add server NAME to SERVICE in ZONE at "IP:port" [with ...]`
    AddServer(AddServer),
    /// `drain|activate|retire server NAME`
    OperateServer {
        /// What.
        operation: ServerOperation,
        /// Which server.
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

/// Something with settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Definition {
    /// What kind.
    pub kind: Kind,
    /// Its name.
    pub name: Located<String>,
    /// Its settings.
    pub settings: Vec<Setting>,
}

/// A server to register.
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
    /// Slots and connections.
    pub settings: Vec<Setting>,
}

impl Command {
    /// Whether a group decides it; otherwise it changes the configuration.
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
