//! Stand-ins, simulation in virtual time, load and experiments.

pub mod checker;
pub mod demo;
pub mod fleet;
pub mod hollow;
pub mod overload;
pub mod processes;
pub mod scenario;
pub mod simulation;
pub mod standin;
