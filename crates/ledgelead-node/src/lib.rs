//! The node process: actors, sockets, settings, logs, metrics, command line.
//!
//! [`Node::start`] starts one node; many can run in one process. `ledgelead-core`
//! decides, without performing any input or output; this crate executes its outputs over
//! sockets (`docs/design/node.md`).

pub mod actor;
pub mod administration;
pub mod callers;
mod clock;
pub mod command_line;
mod event_log;
mod file_limit;
mod handle;
pub mod logging;
pub mod metrics;
mod node;
pub mod peer;
pub mod platform;
mod ports;
pub mod servers;
pub mod settings;
pub mod work_pool;

pub use actor::{NodeActor, Ports};
pub use handle::{HandleError, NodeHandle};
pub use node::{Node, RunningNode, StartError};
pub use settings::Settings;

use ledgelead_core::Input;
use std::sync::Arc;

/// Sends inputs from I/O threads to the core. Never blocks; inputs sent after the node
/// has ended are dropped.
pub type InputSink = Arc<dyn Fn(Input) + Send + Sync>;
