//! The operators' query and command language. It parses text into syntax trees, evaluates
//! queries into tables and lowers commands to typed actions. The crate does no I/O: the node
//! supplies the view and executes the actions. See `docs/language.md` for the grammar and
//! `docs/design/query-language.md` for the design.

mod answer;
mod authority;
mod cell;
mod evaluate;
mod explain;
mod finding;
mod lexer;
mod located;
mod lower;
mod names;
mod nearest;
mod parse;
mod print;
mod schema;
mod session;
mod table;
mod tree;

pub use answer::{answer, plan};
pub use authority::{Forbidden, may_command, may_query, may_run_commands};
pub use cell::Cell;
pub use finding::{Finding, Findings};
pub use located::{Located, TextRange};
pub use lower::{Plan, PlannedOperation};
pub use nearest::nearest;
pub use parse::{Parsed, parse};
pub use schema::{Column, ColumnKind, Subject};
pub use session::{
    Accepted, CommandRequest, Deployment, NoAnswer, QueryAnswer, Refusal, run_command, run_query,
};
pub use table::Table;
pub use tree::*;
