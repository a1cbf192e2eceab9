//! Random numbers of a simulation. Each concern has its own stream, so that a change in one
//! does not affect the numbers of the others.

use ledgelead_types::Span;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct RandomStream(Pcg64Mcg);

impl RandomStream {
    /// Creates stream number `stream` of a seed.
    pub fn new(seed: u64, stream: u64) -> RandomStream {
        const MIXER: u64 = 0x9E37_79B9_7F4A_7C15;
        RandomStream(Pcg64Mcg::seed_from_u64(
            seed.wrapping_mul(MIXER) ^ stream.rotate_left(32),
        ))
    }

    /// A random 64-bit number.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number from 0 up to but not including 1.
    pub fn unit(&mut self) -> f64 {
        const FRACTION_BITS: u32 = 53;
        (self.number() >> (u64::BITS - FRACTION_BITS)) as f64 / (1_u64 << FRACTION_BITS) as f64
    }

    /// A number below `count`; 0 when `count` is 0.
    pub fn below(&mut self, count: usize) -> usize {
        (self.unit() * count as f64) as usize
    }

    /// A number between two bounds.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// True with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.unit() < probability
    }

    /// An exponentially distributed number with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A random item; `None` if there are none.
    pub fn pick<T: Copy>(&mut self, items: &[T]) -> Option<T> {
        items.get(self.below(items.len())).copied()
    }
}

/// Converts milliseconds to a span.
pub fn milliseconds(count: f64) -> Span {
    const MICROS: f64 = 1_000.0;
    Span::from_micros((count * MICROS) as u64)
}

/// Converts seconds to a span.
pub fn seconds(count: f64) -> Span {
    const MICROS: f64 = 1_000_000.0;
    Span::from_micros((count * MICROS) as u64)
}
