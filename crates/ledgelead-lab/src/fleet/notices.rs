//! Instances that say of themselves in their answers that they leave or want a pause, and
//! the promises that nodes heed that, whatever the store knows.

use super::event::{Caller, Event};
use super::faults::{FaultKind, Schedule, Target, draw_length, draw_time};
use super::world::{ALL_INSTANCES, DRAIN_BOUND, SHARDED_INSTANCES, World};
use ledgelead_http::Response;
use ledgelead_router::io::ExchangeId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

/// How long instances turn everything away, in milliseconds.
const PAUSED_MS: Range<u64> = 500..9_000;
/// The time that such an instance asks for with each rejection, in milliseconds.
const BACKOFF_MS: Range<u64> = 100..4_000;
/// Time after such an answer in which requests still reach the instance that were on
/// their way, or whose connection was being opened.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(500);
/// Requests that may reach an instance from a node in the rest of a pause.
const ALLOWED_IN_PAUSE: u32 = 2;
/// How much longer than its bound a leaving instance may get requests: some waited.
const LEAVE_SLACK: Duration = Duration::from_millis(300);
/// How long an instance lives on after its bound, once the store knows that it leaves.
const END_AFTER_LEAVE: Duration = Duration::from_secs(4);
/// How long before an instance leaves the store begins to fail, in milliseconds.
const FAILS_BEFORE_MS: Range<u64> = 0..4_000;

/// A pause that an instance has asked a node for.
#[derive(Clone, Copy, Debug)]
struct Pause {
    asked: Duration,
    until: Duration,
    reached: u32,
}

/// What instances say, and whom they have said it to.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// Instances that turn everything away, until when.
    paused: HashMap<usize, Duration>,
    /// Answers on their way that say that their instance leaves.
    in_flight: HashMap<(Caller, ExchangeId), usize>,
    /// When the first of them reached a life of a node.
    notified: HashMap<(Caller, usize), Duration>,
    pauses: HashMap<(Caller, usize), Vec<Pause>>,
}

impl Schedule {
    /// Instances that leave and instances that ask for pauses, half of the former while the
    /// store fails all nodes or some.
    pub(super) fn draw_notices(
        rng: &mut Pcg64Mcg,
        nodes: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(1..5) {
            let at = draw_time(rng, from, to);
            let leave = FaultKind::Leave(rng.random_range(0..ALL_INSTANCES));
            schedule = schedule.and(at, Duration::ZERO, leave);
            if rng.random_bool(0.5) {
                let before = Duration::from_millis(rng.random_range(FAILS_BEFORE_MS));
                let fault = match rng.random_range(0..4) {
                    0 => FaultKind::StoreSilent,
                    1 => FaultKind::StoreRefuses,
                    2 => FaultKind::StoreRefusesNode(Target::Coordinator),
                    _ => FaultKind::StoreRefusesNode(Target::Node(rng.random_range(0..nodes))),
                };
                schedule = schedule.and(at - before, draw_length(rng), fault);
            }
        }
        for _ in 0..rng.random_range(1..5) {
            let at = draw_time(rng, from, to);
            let duration = Duration::from_millis(rng.random_range(PAUSED_MS));
            let pause = FaultKind::RequestPause(rng.random_range(0..ALL_INSTANCES));
            schedule = schedule.and(at, duration, pause);
        }
        schedule
    }
}

impl World {
    /// The instance that has one of the first addresses now, of whichever service.
    pub(super) fn instance_at(&self, position: usize) -> usize {
        match position < SHARDED_INSTANCES {
            true => self.sharded_instance_at(position),
            false => position,
        }
    }

    /// An instance says from now on in all its answers that it leaves, and in its entry as
    /// soon as the store takes that.
    pub(super) fn leave(&mut self, position: usize) {
        let index = self.instance_at(position);
        let instance = &mut self.instances[index];
        if !instance.alive || instance.unresponsive || instance.record.draining {
            return;
        }
        instance.record.draining = true;
        self.trace(|| format!("{index} leaves"));
        self.write_entry(index);
    }

    /// The store has taken an instance's entry: one that leaves ends some time after that.
    pub(super) fn entry_taken(&mut self, index: usize) {
        if self.instances[index].record.draining && !self.leaving.contains_key(&index) {
            self.leaving.insert(index, self.now);
            self.schedule(DRAIN_BOUND + END_AFTER_LEAVE, Event::InstanceEnds(index));
        }
    }

    /// An instance turns everything away for so long.
    pub(super) fn start_pause(&mut self, position: usize, duration: Duration) {
        let index = self.instance_at(position);
        self.notices.paused.insert(index, self.now + duration);
    }

    /// The seconds that an instance asks a node for, if it turns everything away now.
    pub(super) fn pause_of(&mut self, caller: Caller, index: usize) -> Option<String> {
        let until = self.notices.paused.get(&index)?;
        if *until <= self.now {
            return None;
        }
        let backoff = Duration::from_millis(self.notice_rng.random_range(BACKOFF_MS));
        let pause = Pause {
            asked: self.now,
            until: self.now + backoff,
            reached: 0,
        };
        let pauses = self.notices.pauses.entry((caller, index)).or_default();
        pauses.push(pause);
        Some(format!("{:.3}", backoff.as_secs_f64()))
    }

    /// An instance's answer, with what it says of itself.
    pub(super) fn with_notice(
        &mut self,
        caller: Caller,
        exchange: Option<ExchangeId>,
        index: usize,
        mut response: Response,
    ) -> Response {
        if self.settings.reports_leaving_in_responses && self.instances[index].record.draining {
            response.headers.push("leaving", "1");
            if let Some(exchange) = exchange {
                self.notices.in_flight.insert((caller, exchange), index);
            }
        }
        response
    }

    /// An answer has reached a node.
    pub(super) fn notice_arrives(&mut self, caller: Caller, exchange: ExchangeId) {
        if let Some(index) = self.notices.in_flight.remove(&(caller, exchange)) {
            let now = self.now;
            self.notices.notified.entry((caller, index)).or_insert(now);
        }
    }

    /// A request has reached an instance of which the node may know that it leaves.
    pub(super) fn check_leaving(&mut self, caller: Caller, index: usize) {
        let Some(notified) = self.notices.notified.get(&(caller, index)) else {
            return;
        };
        let since = self.nodes[caller.0].thawed_at.max(*notified);
        if self.now > since + DRAIN_BOUND + LEAVE_SLACK {
            let leaving = &self.instances[index];
            self.checker
                .request_after_leave_notice(caller, leaving, since, self.now);
        }
    }

    /// A request has reached an instance that may have asked the node for pauses.
    pub(super) fn check_pauses(&mut self, caller: Caller, index: usize) {
        let now = self.now;
        let node = &self.nodes[caller.0];
        let disturbed_at = node.thawed_at.max(node.healed_at);
        let is_cut = self.network.cut_from_nodes.contains(&caller.0);
        let Some(pauses) = self.notices.pauses.get_mut(&(caller, index)) else {
            return;
        };
        pauses.retain(|pause| pause.until > now);
        let mut most = 0;
        for pause in pauses {
            let is_checked =
                pause.asked + IN_FLIGHT_ALLOWANCE < now && disturbed_at <= pause.asked && !is_cut;
            pause.reached += u32::from(is_checked);
            most = most.max(pause.reached);
        }
        if most > ALLOWED_IN_PAUSE {
            let paused = &self.instances[index];
            self.checker.requests_in_pause(caller, paused, most, now);
        }
    }
}
