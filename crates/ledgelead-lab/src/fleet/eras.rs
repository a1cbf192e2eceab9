//! A store that comes back from a copy: what was acknowledged since is gone, its revisions are
//! given out again, and its era rises.

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

/// How long the store is away before it comes back, in milliseconds.
const DOWNTIME_MS: Range<u64> = 200..3_000;
/// How old the copy is then, in milliseconds, counted from when the store went away.
const SNAPSHOT_AGE_MS: Range<u64> = 0..10_000;
/// How long after its return other faults come, in milliseconds.
const FOLLOW_UP_FAULT_DELAY_MS: Range<u64> = 0..3_000;
/// How long the operator takes to write again what is gone.
const OPERATOR_REWRITE_DELAY: Duration = Duration::from_millis(500);

/// Copies of the store, by the times at which they were made.
#[derive(Default)]
pub(super) struct Snapshots {
    by_time: BTreeMap<Duration, StoreSnapshot>,
}

impl Schedule {
    /// Stores that come back from copies, half of them with kills of some or all nodes or
    /// refusals of single ones right after.
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
    /// Copies are made at the times to which the store is to go back.
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

    /// The store comes back from the newest copy that is so old.
    pub(super) fn restore_store(&mut self, went: Duration, age: Duration) {
        let until = went.saturating_sub(age);
        let Some((_, snapshot)) = self.snapshots.by_time.range(..=until).next_back() else {
            return;
        };
        self.store.restore(snapshot.clone());
        self.store_faults.recovered_at = self.now;
        // What left meanwhile leaves again; others that the copy holds go if they are silent.
        let names = self.store.names(ObjectKind::Instances);
        for index in 0..self.instances.len() {
            let is_listed = names.contains(self.instances[index].id().name());
            if is_listed && self.unregistered_since.contains_key(&index) {
                self.remove_entry(index);
            } else if is_listed && !self.last_heartbeat.contains_key(&index) {
                self.last_heartbeat.insert(index, self.now);
            }
        }
        self.trace(|| "the store is back from a copy".to_owned());
        self.schedule(OPERATOR_REWRITE_DELAY, Event::OperatorRewrites);
    }

    /// The operator writes again what it has written.
    pub(super) fn rewrite_configuration(&mut self) {
        self.store.configure(self.versions.newest());
        self.answer_watches();
    }
}
