//! Runs a router node on real sockets: one thread, one event loop.
//!
//! `stakker` runs a single actor and its timer, and `stakker_mio` wakes it when sockets are
//! ready. The actor only moves bytes and reads clocks; the node makes all decisions.

pub mod clock;
mod connection_limits;
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
mod redirects;
mod stream;
pub mod transport;

pub use endpoint::{Endpoint, ListenAddresses, StatusPaths};
pub use event_loop::poll_until_shutdown;
pub use process::{BoundAddresses, Control, RunError, SettingsSource, run};
pub use redirects::{InvalidRedirect, Redirects};
