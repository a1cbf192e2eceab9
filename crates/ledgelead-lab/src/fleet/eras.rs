//! A store that is restored from a snapshot: acknowledged writes are lost, revisions are
//! reused, and the era increases.

use super::event::Event;
use super::faults::{FaultKind, Schedule, Target, draw_time};
use super::store::StoreSnapshot;
use super::world::World;
use ledgelead_router::dialect::ObjectKind;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Duration of the outage before the restore, in milliseconds.
const DOWNTIME_MS: Range<u64> = 200..3_000;
/// Age of the snapshot at the start of the outage, in milliseconds.
const SNAPSHOT_AGE_MS: Range<u64> = 0..10_000;
/// Time between the restore and a follow-up fault, in milliseconds.
const FOLLOW_UP_FAULT_DELAY_MS: Range<u64> = 0..3_000;
/// Time after which the operator rewrites the configuration.
const OPERATOR_REWRITE_DELAY: Duration = Duration::from_millis(500);

/// Store snapshots by the time at which they were taken.
#[derive(Default)]
pub(super) struct Snapshots {
    by_time: BTreeMap<Duration, StoreSnapshot>,
}

impl Schedule {
    /// Draws restores of the store. Half of them are followed by a kill of some or all nodes
    /// or by the partition or refusal of a single node.
    pub(super) fn draw_eras(
        rng: &mut Pcg64Mcg,
        nodes: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(1..4) {
            let at = draw_time(rng, from, to);
            let downtime = Duration::from_millis(rng.random_range(DOWNTIME_MS));
            let age = Duration::from_millis(rng.random_range(SNAPSHOT_AGE_MS));
            schedule = schedule.and(at, downtime, FaultKind::StoreRestored(age));
            if rng.random_bool(0.5) {
                let after = Duration::from_millis(rng.random_range(FOLLOW_UP_FAULT_DELAY_MS));
                let kind = match rng.random_range(0..5) {
                    0 => FaultKind::KillAllNodes,
                    1 => FaultKind::KillNode(Target::Coordinator),
                    2 => FaultKind::StoreRefusesNode(Target::Coordinator),
                    3 => FaultKind::CutFromStore(Target::Coordinator),
                    _ => FaultKind::KillNode(Target::Node(rng.random_range(0..nodes))),
                };
                let duration = Duration::from_millis(rng.random_range(500..4_000));
                schedule = schedule.and(at + downtime + after, duration, kind);
            }
        }
        schedule
    }
}

impl World {
    /// Schedules snapshots at the times to which the store will be restored.
    pub(super) fn schedule_snapshots(&mut self) {
        let restored = self.settings.schedule.0.iter();
        let times = restored.filter_map(|fault| match fault.kind {
            FaultKind::StoreRestored(age) => Some(fault.at.saturating_sub(age)),
            _ => None,
        });
        for at in times.collect::<Vec<_>>() {
            self.schedule_at(at, Event::TakeSnapshot);
        }
    }

    pub(super) fn take_snapshot(&mut self) {
        let snapshot = self.store.snapshot();
        self.snapshots.by_time.insert(self.now, snapshot);
    }

    /// Restores the store from the newest snapshot that is at least `age` older than
    /// `outage_began`.
    pub(super) fn restore_store(&mut self, outage_began: Duration, age: Duration) {
        let until = outage_began.saturating_sub(age);
        let Some((_, snapshot)) = self.snapshots.by_time.range(..=until).next_back() else {
            return;
        };
        self.store.restore(snapshot.clone());
        self.store_faults.recovered_at = self.now;
        // Instances that left since the snapshot are removed again; the others in it expire
        // without heartbeats.
        let names = self.store.names(ObjectKind::Instances);
        for index in 0..self.instances.len() {
            let is_listed = names.contains(self.instances[index].id().name());
            if is_listed && self.unregistered_since.contains_key(&index) {
                self.remove_entry(index);
            } else if is_listed && !self.last_heartbeat.contains_key(&index) {
                self.last_heartbeat.insert(index, self.now);
            }
        }
        self.trace(|| "the store is restored from a snapshot".to_owned());
        self.schedule(OPERATOR_REWRITE_DELAY, Event::OperatorRewrites);
    }

    /// The operator writes the newest configuration again.
    pub(super) fn rewrite_configuration(&mut self) {
        self.store.configure(self.versions.newest());
        self.answer_watches();
    }
}
