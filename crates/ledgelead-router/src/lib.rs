//! The decisions of a router whose only durable state lies in a shared store.
//!
//! Everything here is stepped: inputs and the time go in, actions come out.
//! There are no sockets, threads, clocks or global randomness. How a store,
//! its objects and the instances are spoken to is a [`dialect::Dialect`].

pub mod configuration;
pub mod dialect;
pub mod directory;
pub mod dispatch;
pub mod evacuation;
pub mod events;
mod failures;
pub mod identity;
pub mod io;
pub mod mechanisms;
pub mod node;
pub mod ownership;
pub mod peers;
pub mod protections;
pub mod quarantine;
pub mod rate_limit;
mod rendezvous;
pub mod requests;
pub mod settings;
pub mod store;
pub mod validation;
pub mod zone_traffic;

/// A time on the process's monotonic clock, counted from its start.
pub type Timestamp = std::time::Duration;

/// Whole milliseconds, or the most that fits.
fn whole_millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whole milliseconds in a datagram's short form, or the most that fits.
fn short_millis(duration: std::time::Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}
