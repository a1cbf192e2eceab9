//! Rate limits that instances announce; each one applies to all nodes together.

mod failover;
mod known;
mod limiter;
mod notice;

pub use failover::{FailoverStatus, LimiterFailover};
pub use known::{KnownLimits, LimitStatement};
pub use limiter::{Limiter, LimiterCounters, LimiterRole, TokenStatus};
pub use notice::{RateLimit, RateNotice};
