//! Instances that restart under the same id, some with a clock that was set back, and the
//! check that nodes distinguish their incarnations.

use super::event::{Caller, Event};
use super::faults::{FaultKind, Schedule, draw_length, draw_time};
use super::instance::Instance;
use super::versions::CONTACT_TIME;
use super::world::World;
use ledgelead_router::dialect::KeyRange;
use ledgelead_router::identity::InstanceId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Unix time at which runs begin, in milliseconds.
const RUN_BEGINS_MS: u64 = 1_700_000_000_000;
/// How far a machine's clock is set back, in milliseconds.
const SET_BACK_MS: std::ops::Range<u64> = 1..3_600_000;
/// Downtime of most restarting instances, in milliseconds. It ends before their entries
/// expire.
const SHORT_DOWNTIME_MS: std::ops::Range<u64> = 1..1_500;
/// Maximum age of an order for which the present connection state of its sender also counts as
/// that at the time of sending.
const RECENT_ORDER_AGE: Duration = Duration::from_millis(100);

impl Schedule {
    /// Draws restarts of instances, immediately or after a lease has expired, most of them
    /// while orders are delayed.
    pub(super) fn draw_restarts(
        rng: &mut Pcg64Mcg,
        instances: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(2..7) {
            let at = draw_time(rng, from, to);
            let downtime = match rng.random_range(0..3) {
                0 => draw_length(rng),
                _ => Duration::from_millis(rng.random_range(SHORT_DOWNTIME_MS)),
            };
            let position = rng.random_range(0..instances);
            if rng.random_bool(0.6) {
                let before = Duration::from_millis(rng.random_range(0..2_000));
                let duration = draw_length(rng);
                schedule = schedule.and(at - before, duration, FaultKind::OrdersLate);
            }
            schedule = schedule.and(at, downtime, FaultKind::RestartInstance(position));
        }
        schedule
    }
}

impl World {
    /// Creates the id of an incarnation that starts now.
    pub(super) fn new_incarnation_id(&mut self, name: &str) -> InstanceId {
        if !self.settings.reports_start_times {
            return InstanceId::from(name);
        }
        let elapsed = u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX);
        let set_back = match self.start_time_rng.random_range(0..4) {
            0 => self.start_time_rng.random_range(SET_BACK_MS),
            _ => 0,
        };
        InstanceId::with_start_time(name, RUN_BEGINS_MS + elapsed - set_back)
    }

    /// Crashes an instance, which restarts after `downtime`.
    pub(super) fn crash_and_restart(&mut self, position: usize, downtime: Duration) {
        let index = self.sharded_instance_at(position);
        if !self.instances[index].alive {
            return;
        }
        self.crash(index);
        self.schedule(downtime, Event::InstanceRestarts(index));
    }

    /// Starts a new incarnation of an instance at its address, unless the address is in use.
    pub(super) fn restart(&mut self, predecessor: usize) {
        let address = self.instances[predecessor].record.address;
        if self.running_instance_at(address).is_some() {
            return;
        }
        let name = self.instances[predecessor].id().name().to_owned();
        let mut record = self.instances[predecessor].record.clone();
        record.id = self.new_incarnation_id(&name);
        record.draining = false;
        let (sharded, service_time) = {
            let predecessor = &self.instances[predecessor];
            (predecessor.sharded, predecessor.service_time)
        };
        let index = self.instances.len();
        self.trace(|| format!("{} starts", record.id));
        self.instances
            .push(Instance::new(record, sharded, service_time));
        // From its first heartbeat the entry belongs to the new incarnation.
        self.last_heartbeat.remove(&predecessor);
        self.schedule(Duration::from_millis(10), Event::Heartbeat(index));
    }

    /// The incarnation that receives messages sent to an instance: a later one with the same
    /// name, if it runs at the same address.
    pub(super) fn current_incarnation(&self, instance: usize) -> usize {
        let intended = &self.instances[instance];
        if intended.alive {
            return instance;
        }
        let there = self.running_instance_at(intended.record.address);
        let shares_name = |there: &usize| self.instances[*there].id().shares_name(intended.id());
        there.filter(shares_name).unwrap_or(instance)
    }

    /// Checks that a connected node does not give an incarnation the keys of its predecessor.
    pub(super) fn check_incarnation(
        &mut self,
        caller: Caller,
        sent: Duration,
        instance: usize,
        intended: &InstanceId,
        (range, fence): (KeyRange, u64),
    ) {
        let incarnation = &self.instances[instance];
        let registered = self.registered.get(&instance);
        let was_known = registered.is_some_and(|at| *at + CONTACT_TIME <= sent);
        let is_recent = self.now <= sent + RECENT_ORDER_AGE;
        let shares_name = |predecessor: &Instance| predecessor.id().shares_name(incarnation.id());
        let is_later = self.instances[..instance].iter().any(shares_name);
        let is_for_predecessor = is_later && incarnation.id() != intended;
        if is_for_predecessor && was_known && is_recent && self.is_in_touch(caller.0) {
            self.checker.order_for_previous_incarnation(
                caller.0,
                intended,
                incarnation,
                (range, fence),
                self.now,
            );
        }
    }
}
