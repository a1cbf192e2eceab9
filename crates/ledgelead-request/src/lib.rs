//! Request handling: a [`Gateway`] accepts requests and answers them, a [`Dispatcher`]
//! assigns the slots of servers in priority order.
//!
//! Both are state machines without I/O: time is passed in with each call, and randomness
//! comes from a seed. The reasons are in `docs/design/request-path.md`.

pub mod dispatcher;
pub mod gateway;
pub mod message;

mod estimate;
mod timers;
mod token_bucket;

pub use dispatcher::{Dispatcher, DispatcherInput, DispatcherOutput, DispatcherSettings};
pub use gateway::{Gateway, GatewayInput, GatewayOutput, GatewaySettings};
pub use message::{DispatchReply, DispatchRequest};

/// A time that is never reached.
pub(crate) const NEVER: ledgelead_types::Time = ledgelead_types::Time(u64::MAX);
