//! Scenario files: a deployment, its load and its faults.
//!
//! [`parse`] reads every section separately, so that all errors in a file are reported at once
//! with their location.

mod check;
mod faults;
mod parse;
mod sections;

pub use faults::{FaultKind, FaultSpecification};
pub use parse::{Finding, parse};
pub use sections::*;

/// A complete scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// General settings.
    pub run: RunSection,
    /// Latency and reliability of the network.
    pub network: NetworkSection,
    /// The nodes of the system under test.
    pub nodes: NodesSection,
    /// The platform.
    pub platform: PlatformSection,
    /// Zones in the order of their identifiers.
    pub zones: Vec<ZoneSection>,
    /// Services in the order of their identifiers.
    pub services: Vec<ServiceSection>,
    /// Tiers in the order of their identifiers.
    pub tiers: Vec<TierSection>,
    /// Faults.
    pub faults: Vec<FaultSpecification>,
}
