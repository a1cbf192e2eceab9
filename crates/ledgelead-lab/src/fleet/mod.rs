//! Simulates the store-backed router in virtual time against simulated platform services: a
//! store with revisions and watches, and instances that hold keys under fenced grants.
//!
//! The nodes run the production `ledgelead_router::node::Node`. The checker uses only what the
//! simulated services recorded.

mod checker;
mod clients;
pub mod command;
mod connections;
mod crash_faults;
mod crashing;
mod crashing_callers;
mod dialect;
mod eras;
mod event;
mod faults;
mod foreign;
mod harmless;
mod instance;
mod isolation;
mod limits;
mod network;
mod notices;
mod orders;
mod report;
mod restarts;
mod second_answers;
mod silent_connections;
mod store;
mod store_traffic;
mod successors;
mod trace_log;
mod transfers;
mod transport;
mod versions;
mod world;

pub use checker::{Violation, ViolationKind};
pub use crashing::{CrashedService, CrashingRequest};
pub use crashing_callers::AddressChange;
pub use faults::{Fault, FaultKind, Schedule, Target};
pub use isolation::{IsolatedNodes, IsolationEffect};
pub use report::{FleetReport, Unserved};
pub use transport::Transport;
pub use world::{FleetSettings, SHARDED_INSTANCES, TRAFFIC_FROM, World};
