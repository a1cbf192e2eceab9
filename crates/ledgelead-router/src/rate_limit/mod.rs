//! Rate limits that instances name, each of which binds all nodes together.

mod failover;
mod known;
mod limiter;
mod notice;

pub use failover::{FailoverStatus, LimiterFailover};
pub use known::{KnownLimits, LimitStatement};
pub use limiter::{Limiter, LimiterCounters, LimiterRole, TokenVerdict};
pub use notice::{RateLimit, RateNotice};
