//! Request rates as integers.
//!
//! Sums of rates are maintained while slices come and go. With floating-point numbers such
//! sums drift and depend on the order of the changes, so two planners with the same slices
//! could decide differently.

use std::ops::{AddAssign, SubAssign};

const MICROS: f64 = 1e6;
/// Bounds malicious or broken reports, so that sums can't overflow.
const MAX_REQUESTS_PER_SECOND: f64 = 1e7;
/// A smoothed rate that differs from the reported one by at most one part in this number is
/// replaced by it.
const SETTLED_PART: u64 = 64;
/// A step of more than this number of standard deviations is not noise.
const JUMP_DEVIATIONS: f64 = 6.0;

/// A rate in millionths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(u64);

impl Rate {
    /// No requests.
    pub const ZERO: Rate = Rate(0);

    /// The rate of this many requests per second; NaN counts as zero.
    pub fn per_second(requests: f64) -> Rate {
        Rate((requests.clamp(0.0, MAX_REQUESTS_PER_SECOND) * MICROS) as u64)
    }

    /// Requests per second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / MICROS
    }

    /// A part of the rate, given from 0 to 1.
    pub fn part(self, part: f64) -> Rate {
        Rate((self.0 as f64 * part) as u64)
    }

    /// The difference to `other`, at least zero.
    pub fn less(self, other: Rate) -> Rate {
        Rate(self.0.saturating_sub(other.0))
    }

    /// The rate moved towards `goal` by a part of the distance; `goal` itself if it is
    /// close, or too far away to be explained by chance.
    pub fn approached(self, goal: Rate, part: f64) -> Rate {
        if self.is_jump(goal) {
            return goal;
        }
        let distance = goal.0 as f64 - self.0 as f64;
        let next = Rate((self.0 as f64 + distance * part) as u64);
        if next.0.abs_diff(goal.0) <= goal.0 / SETTLED_PART + 1 {
            goal
        } else {
            next
        }
    }

    /// Whether the step to `goal` exceeds the variation of a Poisson process with the higher
    /// of both rates within a second. When one hot key is replaced by another on a different
    /// server, both changes are then seen at the same time, so the new key can take the
    /// place of the old one.
    fn is_jump(self, goal: Rate) -> bool {
        let deviation = self.max(goal).as_per_second().sqrt();
        let step = (goal.as_per_second() - self.as_per_second()).abs();
        step > JUMP_DEVIATIONS * deviation
    }
}

impl AddAssign for Rate {
    fn add_assign(&mut self, other: Rate) {
        self.0 += other.0;
    }
}

impl SubAssign for Rate {
    fn sub_assign(&mut self, other: Rate) {
        self.0 -= other.0;
    }
}
