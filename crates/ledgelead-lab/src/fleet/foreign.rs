//! Store entries written by a foreign writer, and the behaviour required despite them.

use super::faults::{Fault, FaultKind, Schedule, draw_time};
use super::world::{ALL_INSTANCES, SHARDED_INSTANCES, World};
use ledgelead_router::dialect::ObjectKind;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// How long an entry stays foreign, in milliseconds. Some expire earlier, as any entry does
/// that its instance does not refresh.
const FOREIGN_MS: std::ops::Range<u64> = 500..12_000;
/// Number of foreign entries per run.
const FOREIGN_ENTRIES: std::ops::Range<usize> = 2..6;
/// Number of instances that leave meanwhile, which nodes must notice.
const LEAVING: std::ops::Range<usize> = 1..4;

impl Schedule {
    /// Draws foreign entries and departures of instances.
    pub(super) fn draw_foreign(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(FOREIGN_ENTRIES) {
            schedule.0.push(Fault {
                at: draw_time(rng, from, to),
                duration: Duration::from_millis(rng.random_range(FOREIGN_MS)),
                kind: FaultKind::ForeignEntry(rng.random_range(0..ALL_INSTANCES)),
            });
        }
        for _ in 0..rng.random_range(LEAVING) {
            let kind = match rng.random_range(0..2) {
                0 => FaultKind::DrainInstance(rng.random_range(0..SHARDED_INSTANCES)),
                _ => FaultKind::LeaveUnannounced(rng.random_range(0..ALL_INSTANCES)),
            };
            schedule = schedule.and(draw_time(rng, from, to), Duration::ZERO, kind);
        }
        schedule
    }
}

impl World {
    /// Replaces the entry of an instance with unreadable content, and adds an unreadable
    /// object of each kind. The instance keeps serving but writes no more heartbeats.
    pub(super) fn make_entry_unreadable(&mut self, index: usize) {
        for kind in ObjectKind::ALL {
            self.store.write_unreadable(kind, "foreign");
        }
        let instance = &mut self.instances[index];
        let is_healthy = instance.alive && !instance.unresponsive && instance.heartbeats;
        let is_unavailable = self.store_faults.silent + self.store_faults.refusing > 0;
        if is_healthy && !instance.record.draining && !is_unavailable {
            instance.heartbeats = false;
            let name = instance.id().to_string();
            self.store.write_unreadable(ObjectKind::Instances, &name);
            self.unregistered_since.insert(index, self.now);
            self.unreadable_entries.insert(index);
        }
        self.answer_watches();
    }

    /// Lets the instance write its entry again.
    pub(super) fn restore_entry(&mut self, index: usize) {
        if self.unreadable_entries.remove(&index) && self.instances[index].alive {
            self.unregistered_since.remove(&index);
            self.instances[index].heartbeats = true;
        }
    }
}
