//! Requests to servers: forwarded requests, lease renewals, cancellations.

pub mod cancel;
pub mod exchange;
pub mod forward;
pub mod renewal;
pub mod resolver;
pub mod signature;
pub mod wire;
pub mod write_tracking;
