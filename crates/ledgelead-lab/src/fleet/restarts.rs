//! Instances that start again under the ids that they had, with clocks that may have
//! been set back, and the promise that their lives are kept apart.

use super::event::{Caller, Event};
use super::faults::{FaultKind, Schedule, draw_length, draw_time};
use super::instance::Instance;
use super::versions::CONTACT;
use super::world::World;
use ledgelead_router::dialect::KeyRange;
use ledgelead_router::identity::InstanceId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The Unix time at which runs begin, in milliseconds.
const RUN_BEGINS_MS: u64 = 1_700_000_000_000;
/// By how much a machine's clock is set back, in milliseconds.
const SET_BACK_MS: std::ops::Range<u64> = 1..3_600_000;
/// How soon most instances start again, in milliseconds: before their entries go.
const SOON_MS: std::ops::Range<u64> = 1..1_500;
/// Age of an order up to which its sender counts as in touch if it is now.
const FRESH: Duration = Duration::from_millis(100);

impl Schedule {
    /// Instances that start again, at once or after a lease, most of them while orders
    /// are carried out late.
    pub(super) fn draw_restarts(
        rng: &mut Pcg64Mcg,
        instances: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(2..7) {
            let at = draw_time(rng, from, to);
            let away = match rng.random_range(0..3) {
                0 => draw_length(rng),
                _ => Duration::from_millis(rng.random_range(SOON_MS)),
            };
            let place = rng.random_range(0..instances);
            if rng.random_bool(0.6) {
                let before = Duration::from_millis(rng.random_range(0..2_000));
                let lasts = draw_length(rng);
                schedule = schedule.and(at - before, lasts, FaultKind::OrdersLate);
            }
            schedule = schedule.and(at, away, FaultKind::RestartInstance(place));
        }
        schedule
    }
}

impl World {
    /// The id of a life that begins now.
    pub(super) fn life_of(&mut self, name: &str) -> InstanceId {
        if !self.settings.tells_births {
            return InstanceId::from(name);
        }
        let elapsed = u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX);
        let set_back = match self.birth_rng.random_range(0..4) {
            0 => self.birth_rng.random_range(SET_BACK_MS),
            _ => 0,
        };
        InstanceId::with_start_time(name, RUN_BEGINS_MS + elapsed - set_back)
    }

    /// An instance crashes; another life of it begins there after a while.
    pub(super) fn crash_and_restart(&mut self, place: usize, away: Duration) {
        let index = self.occupant(place);
        if !self.instances[index].alive {
            return;
        }
        self.crash(index);
        self.schedule(away, Event::InstanceRestarts(index));
    }

    /// Another life of an instance begins at its address, unless something else has.
    pub(super) fn restart(&mut self, former: usize) {
        let address = self.instances[former].record.address;
        if self.live_at(address).is_some() {
            return;
        }
        let name = self.instances[former].id().name().to_owned();
        let mut record = self.instances[former].record.clone();
        record.id = self.life_of(&name);
        record.draining = false;
        let (sharded, work) = {
            let former = &self.instances[former];
            (former.sharded, former.service_time)
        };
        let index = self.instances.len();
        self.trace(|| format!("{} begins", record.id));
        self.instances.push(Instance::new(record, sharded, work));
        // The entry is the new life's from its first word.
        self.last_beat.remove(&former);
        self.schedule(Duration::from_millis(10), Event::Heartbeat(index));
    }

    /// The life that what is sent to an instance reaches: a later one of the same id, if
    /// that listens there.
    pub(super) fn living(&self, instance: usize) -> usize {
        let meant = &self.instances[instance];
        if meant.alive {
            return instance;
        }
        let there = self.live_at(meant.record.address);
        let shares_name = |there: &usize| self.instances[*there].id().shares_name(meant.id());
        there.filter(shares_name).unwrap_or(instance)
    }

    /// A node in touch doesn't give a life the keys of the earlier one.
    pub(super) fn check_life(
        &mut self,
        caller: Caller,
        sent: Duration,
        instance: usize,
        meant: &InstanceId,
        (range, fence): (KeyRange, u64),
    ) {
        let life = &self.instances[instance];
        let registered = self.registered.get(&instance);
        let was_known = registered.is_some_and(|at| *at + CONTACT <= sent);
        let is_fresh = self.now <= sent + FRESH;
        let shares_name = |former: &Instance| former.id().shares_name(life.id());
        let is_later = self.instances[..instance].iter().any(shares_name);
        let is_former_meant = is_later && life.id() != meant;
        if is_former_meant && was_known && is_fresh && self.is_in_touch(caller.0) {
            self.checker
                .former_life_meant(caller.0, meant, life, (range, fence), self.now);
        }
    }
}
