//! Monotonic time of one process, in microseconds.
//!
//! Every decision takes the current [`Time`] as an argument, so that the same seed and
//! schedule reproduce the same run, in simulations as in production. Times of different
//! processes are never compared: processes exchange only [`Span`]s and echoed stamps
//! (`docs/design/leases.md`).

use nanoserde::{DeBin, SerBin};
use std::ops::{Add, Sub};

/// Microseconds in one millisecond.
const MICROS_PER_MILLI: u64 = 1_000;
/// Microseconds in one second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point in time on the monotonic clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Span(pub u64);

impl Time {
    /// The origin of the process's clock.
    pub const ZERO: Time = Time(0);

    /// Time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// The point in time `span` before this one, at the earliest the clock's origin.
    pub fn before(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }

    /// Seconds since the clock's origin.
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }
}

impl Span {
    /// The empty span.
    pub const ZERO: Span = Span(0);

    /// A span of whole microseconds.
    pub const fn from_micros(micros: u64) -> Span {
        Span(micros)
    }

    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis * MICROS_PER_MILLI)
    }

    /// A span of whole seconds.
    pub const fn from_seconds(seconds: u64) -> Span {
        Span(seconds * MICROS_PER_SECOND)
    }

    /// The span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in milliseconds, including the fraction.
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / MICROS_PER_MILLI as f64
    }

    /// The span in seconds, including the fraction.
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// This span minus `other`, at least zero.
    pub fn less(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    /// This span multiplied by a non-negative factor.
    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }

    /// The span as a duration of the standard library, for blocking calls.
    pub fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        self.before(span)
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
