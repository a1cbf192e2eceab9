//! Rate limits that instances name, each of which binds all nodes together.

mod notice;

pub use notice::{RateLimit, RateNotice};
