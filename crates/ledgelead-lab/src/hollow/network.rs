//! Delays between the zones of the simulated network.

use crate::simulation::rng::RandomStream;
use ledgelead_types::Span;

/// Number of zones; the first three form one region.
pub const ZONES: usize = 5;
/// Zones of the first region.
const ZONES_OF_FIRST_REGION: usize = 3;
/// One-way delay within a zone, in milliseconds.
const WITHIN_ZONE_MS: f64 = 0.25;
/// Minimum and maximum one-way delay between zones of a region, in milliseconds.
const BETWEEN_ZONES_MS: (f64, f64) = (0.5, 1.0);
/// Minimum and maximum one-way delay between regions, in milliseconds.
const BETWEEN_REGIONS_MS: (f64, f64) = (14.5, 15.5);

/// Zone of the machine with an index.
pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

/// Region of a zone.
pub fn region_of(zone: usize) -> usize {
    usize::from(zone >= ZONES_OF_FIRST_REGION)
}

/// Draws the delay of a message between two zones.
pub fn delay(rng: &mut RandomStream, from: usize, to: usize) -> Span {
    let millis = if from == to {
        WITHIN_ZONE_MS
    } else if region_of(from) == region_of(to) {
        rng.between(BETWEEN_ZONES_MS.0, BETWEEN_ZONES_MS.1)
    } else {
        rng.between(BETWEEN_REGIONS_MS.0, BETWEEN_REGIONS_MS.1)
    };
    Span::from_micros((millis * 1_000.0) as u64)
}
