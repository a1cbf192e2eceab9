//! Simulated services, simulations in virtual time, load generators and experiments.

pub mod checker;
pub mod demo;
pub mod fleet;
pub mod hollow;
pub mod overload;
pub mod processes;
pub mod scenario;
pub mod simulation;
pub mod standin;
