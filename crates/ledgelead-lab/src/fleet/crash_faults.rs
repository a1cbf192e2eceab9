//! Crashes of instances that no request causes, and restarts of all nodes beside them.

use super::crashing::CrashingRequest;
use super::event::Event;
use super::faults::{Fault, FaultKind, Schedule, draw_time};
use super::world::World;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::Duration;

/// When an instance crashes after the first one of its zone, in milliseconds.
const ZONE_CRASH_MS: Range<u64> = 0..400;
/// How long all nodes are down when they restart, in milliseconds.
const NODES_DOWN_MS: Range<u64> = 100..1_000;
/// Number of zones.
const ZONES: usize = 3;

impl Schedule {
    /// Draws crashes with other causes: many instances at once, or one after the other.
    pub(super) fn draw_crashes(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Schedule {
        let count = rng.random_range(0..3);
        let one = |rng: &mut Pcg64Mcg| Fault {
            at: draw_time(rng, from, to),
            duration: Duration::ZERO,
            kind: match rng.random_range(0..2) {
                0 => FaultKind::CrashMany,
                _ => FaultKind::CrashInTurn,
            },
        };
        Schedule((0..count).map(|_| one(rng)).collect())
    }

    /// Draws crashes of whole zones.
    pub(super) fn draw_zone_crashes(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Schedule {
        (0..rng.random_range(0..3)).fold(Schedule::default(), |schedule, _| {
            let at = draw_time(rng, from, to);
            let zone = rng.random_range(0..ZONES);
            schedule.and(at, Duration::ZERO, FaultKind::CrashZone(zone))
        })
    }

    /// In a quarter of the runs, restarts all nodes before the first crashing request, so that
    /// they know of no answer.
    pub(super) fn draw_restart_before(
        rng: &mut Pcg64Mcg,
        crashing: &[CrashingRequest],
    ) -> Schedule {
        let first = crashing.iter().map(|crashing| crashing.from).min();
        let downtime = Duration::from_millis(rng.random_range(NODES_DOWN_MS));
        match first {
            Some(first) if rng.random_range(0..4) == 0 => Schedule::one(
                first.saturating_sub(downtime),
                downtime,
                FaultKind::KillAllNodes,
            ),
            _ => Schedule::default(),
        }
    }

    /// Whether instances crash and nothing else fails, but for restarts of all nodes until
    /// `from`.
    pub(super) fn has_only_crashes(&self, from: Duration) -> bool {
        self.0.iter().all(|fault| match fault.kind {
            FaultKind::CrashMany | FaultKind::CrashInTurn | FaultKind::CrashZone(_) => true,
            FaultKind::KillAllNodes => fault.at + fault.duration <= from,
            _ => false,
        })
    }
}

impl World {
    /// Crashes about half of all instances at the same moment.
    pub(super) fn crash_many(&mut self) {
        for instance in self.running_instances() {
            if self.crash_rng.random_bool(0.5) {
                self.crash_and_fail_requests(instance);
            }
        }
    }

    /// Crashes all instances one after the other, 150 to 900 ms apart.
    pub(super) fn crash_in_turn(&mut self) {
        let mut after = Duration::ZERO;
        for instance in self.running_instances() {
            after += Duration::from_millis(self.crash_rng.random_range(150..900));
            self.schedule(after, Event::InstanceCrashes(instance));
        }
    }

    /// Crashes all instances of a zone one after the other, within a short time.
    pub(super) fn crash_zone(&mut self, zone: usize) {
        let zone = format!("zone-{zone}");
        for instance in self.running_instances() {
            if self.instances[instance].record.zone.as_str() == zone {
                let after = Duration::from_millis(self.crash_rng.random_range(ZONE_CRASH_MS));
                self.schedule(after, Event::InstanceCrashes(instance));
            }
        }
    }

    fn running_instances(&self) -> Vec<usize> {
        let alive = |index: &usize| self.instances[*index].alive;
        (0..self.instances.len()).filter(alive).collect()
    }
}
