//! Runs a router node on real sockets: one thread, one event loop.
//!
//! `stakker` holds the one actor and its timer, `stakker_mio` wakes it for
//! sockets. The actor moves bytes and times; all decisions are the node's.

pub mod clock;
mod endpoint;
mod event_loop;
pub mod explain;
mod inbound;
pub mod logging;
mod memory;
mod metrics;
mod outbound;
mod process;
mod reactor;
mod stream;
pub mod transport;

pub use endpoint::{Endpoint, ListenAddresses, StatusPaths};
pub use event_loop::poll_until_shutdown;
pub use process::{BoundAddresses, Control, RunError, SettingsSource, run};
