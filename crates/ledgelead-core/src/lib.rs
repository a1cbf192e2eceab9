//! The core of a node: all subsystems behind a single step function.
//!
//! [`NodeCore`] has no sockets, threads, clocks or global randomness. The caller passes it
//! [`Input`]s and the current time, and performs the [`Output`]s: the node's actor with
//! real sockets, the simulation with a simulated network.

mod calls;
mod groups;
mod inquiries;
pub mod io;
pub mod message;
mod node_core;
mod operations;
mod pump;
mod shutdown;
mod view;

pub use io::{CallId, Input, NodeSettings, Output, SeedNode, TicketId};
pub use message::{MessageKind, PeerMessage};
pub use node_core::NodeCore;
