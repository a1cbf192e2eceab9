//! The store-backed router in virtual time, against stand-ins of what the
//! platform publishes: a store with revisions and watches, and instances that
//! hold keys under fenced grants.
//!
//! The nodes are the product's own `ledgelead_router::node::Node`. A checker
//! reads only what the stand-ins recorded.

mod checker;
mod clients;
pub mod command;
mod crashing;
mod dialect;
mod eras;
mod event;
mod faults;
mod foreign;
mod instance;
mod limits;
mod network;
mod notices;
mod orders;
mod report;
mod restarts;
mod store;
mod store_traffic;
mod transfers;
mod transport;
mod versions;
mod world;

pub use checker::{Violation, ViolationKind};
pub use crashing::{CrashedService, CrashingRequest};
pub use faults::{Fault, FaultKind, Schedule, Target};
pub use report::{FleetReport, Unserved};
pub use transport::Transport;
pub use world::{FleetSettings, SHARDED_INSTANCES, TRAFFIC_FROM, World};
