//! Checks a run against what the simulated services, callers and operators recorded: which
//! server could execute and did execute what, when and under which token; what callers and
//! operators sent and were told; what the platform stored. The state of the system under test
//! is not used, except for the configuration version that a node reports as applied, since
//! operators see it too.

pub mod configuration;
pub mod leaving;
pub mod ownership;
pub mod partition_map;
pub mod requests;
pub mod violation;

pub use violation::{Violation, Violations};

/// All checks of a run.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// Ownership of keys.
    pub ownership: ownership::OwnershipChecker,
    /// Outcomes reported to callers.
    pub requests: requests::RequestChecker,
    /// Configuration on every node.
    pub configuration: configuration::ConfigurationChecker,
    /// Leaving servers and planned stops.
    pub leaving: leaving::LeavingChecker,
    /// Violations found.
    pub violations: Violations,
}
