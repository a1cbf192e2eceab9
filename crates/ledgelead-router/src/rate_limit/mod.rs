//! Rate limits that instances name, each of which binds all nodes together.

mod known;
mod limiter;
mod notice;
mod succession;

pub use known::{KnownLimits, LimitStatement};
pub use limiter::{Limiter, LimiterCounters, LimiterRole, TokenVerdict};
pub use notice::{RateLimit, RateNotice};
pub use succession::{Standing, Succession};
