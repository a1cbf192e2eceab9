//! Messages between nodes over TCP.

mod close_reason;
mod counters;
pub mod frame;
mod incoming;
mod outgoing;
mod transport;

pub use counters::{KindLabel, PeerCounters};
pub use transport::{PeerSettings, PeerTransport, ReceivedMessage};
