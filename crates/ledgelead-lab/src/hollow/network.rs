//! Delays between places of the simulated network.

use crate::simulation::rng::RandomStream;
use ledgelead_types::Span;

/// Zones; the first three are one region.
pub const ZONES: usize = 5;
/// Zones of the first region.
const ZONES_OF_FIRST_REGION: usize = 3;
/// One way within a zone, in milliseconds.
const WITHIN_ZONE_MS: f64 = 0.25;
/// One way between zones of a region, in milliseconds: least and most.
const BETWEEN_ZONES_MS: (f64, f64) = (0.5, 1.0);
/// One way between regions, in milliseconds: least and most.
const BETWEEN_REGIONS_MS: (f64, f64) = (14.5, 15.5);

/// Zone of a machine, by its number.
pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

/// Region of a zone.
pub fn region_of(zone: usize) -> usize {
    usize::from(zone >= ZONES_OF_FIRST_REGION)
}

/// Draws the delay of one message from a zone to another.
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
