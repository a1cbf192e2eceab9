//! Simulation of a complete deployment in virtual time: the node actors run over a simulated
//! network with simulated servers, platform, callers and operators. Every process has its own
//! clock. A seed determines the whole run.

pub mod callers;
pub mod clock;
pub mod command;
pub mod deployment;
pub mod event;
mod faults;
pub mod key_load;
mod measurements;
pub mod network;
mod nodes;
pub mod operators;
mod page;
mod platform;
mod plots;
mod ports;
mod probes;
pub mod queue;
mod report;
mod requests;
pub mod rng;
mod servers;
mod session;
pub mod timeline;
mod tolerance;
mod trace;
mod world;

pub use measurements::Measurements;
pub use report::Report;
pub use trace::TracedRequest;
pub use world::{World, run_seed};
