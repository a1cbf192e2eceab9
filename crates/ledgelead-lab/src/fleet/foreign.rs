//! Entries that another writer leaves in the store, and what must hold beside them.

use super::faults::{Fault, FaultKind, Schedule, draw_time};
use super::world::{ALL_INSTANCES, SHARDED_INSTANCES, World};
use ledgelead_router::dialect::ObjectKind;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// How long an entry is foreign, in milliseconds: some go before that, as entries do that
/// their instance doesn't write.
const FOREIGN_MS: std::ops::Range<u64> = 500..12_000;
/// How many are drawn for a run.
const FOREIGN_ENTRIES: std::ops::Range<usize> = 2..6;
/// What else changes meanwhile: instances that leave, of which nodes have to know.
const LEAVING: std::ops::Range<usize> = 1..4;

impl Schedule {
    /// Foreign entries, and instances that leave beside them.
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
    /// Another writer puts what can't be read in the place of an instance's entry, and
    /// beside the objects of each kind. The instance serves on, and writes no more.
    pub(super) fn make_entry_unreadable(&mut self, index: usize) {
        for kind in ObjectKind::ALL {
            self.store.write_unreadable(kind, "foreign");
        }
        let instance = &mut self.instances[index];
        let is_well = instance.alive && !instance.unresponsive && instance.heartbeats;
        let is_away = self.store_faults.silent + self.store_faults.refusing > 0;
        if is_well && !instance.record.draining && !is_away {
            instance.heartbeats = false;
            let name = instance.id().to_string();
            self.store.write_unreadable(ObjectKind::Instances, &name);
            self.unregistered_since.insert(index, self.now);
            self.unreadable_entries.insert(index);
        }
        self.answer_watches();
    }

    /// The instance writes its entry again.
    pub(super) fn restore_entry(&mut self, index: usize) {
        if self.unreadable_entries.remove(&index) && self.instances[index].alive {
            self.unregistered_since.remove(&index);
            self.instances[index].heartbeats = true;
        }
    }
}
