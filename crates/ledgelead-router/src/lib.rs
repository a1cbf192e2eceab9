//! The decision logic of a router that keeps its durable state in a shared store.
//!
//! All code here is deterministic and driven step by step: inputs and the current time go in,
//! actions come out. It uses no sockets, threads, clocks or global randomness. A
//! [`dialect::Dialect`] translates between the router and a store, its objects and the
//! instances.

pub mod answer_filter;
pub mod configuration;
pub mod dialect;
pub mod directory;
pub mod dispatch;
pub mod evacuation;
pub mod events;
mod failures;
pub mod forwarding;
pub mod identity;
pub mod io;
pub mod mechanisms;
pub mod node;
pub mod ownership;
pub mod peers;
pub mod protections;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod reachability;
mod rendezvous;
pub mod requests;
pub mod settings;
pub mod store;
pub mod tenants;
pub mod validation;
pub mod zone_traffic;

/// A time on the process's monotonic clock, counted from the start of the process.
pub type Timestamp = std::time::Duration;

/// Whole milliseconds, saturating.
fn whole_millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whole milliseconds as a 16-bit number of a datagram, saturating.
fn short_millis(duration: std::time::Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}
