//! Types shared by all crates: identifiers, time, key positions, fencing tokens, the
//! configuration model, routes, outcomes, and the messages between a node and a server.
//!
//! This crate contains no decision logic. The crates that do are pure state machines, which
//! take a [`time::Time`] and typed inputs and return typed outputs
//! (`docs/design/overview.md`).

pub mod administration;
pub mod assigner;
pub mod codec;
pub mod configuration;
pub mod dispatch;
pub mod event;
pub mod identity;
pub mod keyspace;
pub mod outcome;
pub mod platform;
pub mod protections;
pub mod request;
pub mod routes;
pub mod server;
pub mod time;
pub mod timing;
pub mod token;
pub mod view;

pub use codec::{Bytes, List, Text};
pub use identity::*;
pub use keyspace::{Position, PositionRange};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use time::{Span, Time};
pub use token::{Epoch, FencingToken, Revision, Term};
