//! Instances that announce in their responses that they are leaving or want a pause, and the
//! checks that nodes comply, whatever the store says.

use super::event::{Caller, Event};
use super::faults::{FaultKind, Schedule, Target, draw_length, draw_time};
use super::world::{ALL_INSTANCES, DRAIN_BOUND, World, instance_address};
use ledgelead_http::Response;
use ledgelead_router::io::ExchangeId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

/// How long an instance rejects all requests, in milliseconds.
const PAUSED_MS: Range<u64> = 500..9_000;
/// Pause requested with each rejection, in milliseconds.
const BACKOFF_MS: Range<u64> = 100..4_000;
/// Time after such a response in which requests may still arrive that were in flight or whose
/// connection was being opened.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(500);
/// Requests from one node that may reach an instance in the rest of a pause.
const ALLOWED_IN_PAUSE: u32 = 2;
/// Tolerance beyond the drain bound for requests that were queued in the node.
const LEAVE_SLACK: Duration = Duration::from_millis(300);
/// Time between the end of the drain bound and the end of the instance, once the store knows
/// that it is leaving.
const END_AFTER_LEAVE: Duration = Duration::from_secs(4);
/// How long before the departure of an instance the store starts to fail, in milliseconds.
const FAILS_BEFORE_MS: Range<u64> = 0..4_000;

/// A pause that an instance requested from a node.
#[derive(Clone, Copy, Debug)]
struct Pause {
    requested_at: Duration,
    until: Duration,
    reached: u32,
}

/// What instances announced, and to whom.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// Instances that reject all requests, with the end of that period.
    paused: HashMap<usize, Duration>,
    /// Responses in flight that say that their instance is leaving.
    in_flight: HashMap<(Caller, ExchangeId), usize>,
    /// When the first such response of an instance reached an incarnation of a node.
    notified: HashMap<(Caller, usize), Duration>,
    pauses: HashMap<(Caller, usize), Vec<Pause>>,
}

impl Schedule {
    /// Draws departures of instances and pauses. In half of the departures the store fails for
    /// all or some nodes.
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
    /// Index of the instance at one of the initial addresses, of whichever service.
    pub(super) fn instance_at(&self, position: usize) -> usize {
        let address = instance_address(position);
        self.instances
            .iter()
            .rposition(|instance| instance.record.address == address)
            .unwrap_or(0)
    }

    /// An instance announces its departure in all responses from now on, and in its entry as
    /// soon as the store accepts it.
    pub(super) fn leave(&mut self, position: usize) {
        let index = self.instance_at(position);
        let instance = &mut self.instances[index];
        if !instance.alive || instance.unresponsive || instance.record.draining {
            return;
        }
        instance.record.draining = true;
        self.trace(|| format!("instance {index} is leaving"));
        self.write_entry(index);
    }

    /// The store accepted the entry of an instance. A leaving instance ends some time later.
    pub(super) fn entry_accepted(&mut self, index: usize) {
        if self.instances[index].record.draining && !self.leaving.contains_key(&index) {
            self.leaving.insert(index, self.now);
            self.schedule(DRAIN_BOUND + END_AFTER_LEAVE, Event::InstanceEnds(index));
        }
    }

    /// An instance rejects all requests for this duration.
    pub(super) fn start_pause(&mut self, position: usize, duration: Duration) {
        let index = self.instance_at(position);
        self.notices.paused.insert(index, self.now + duration);
    }

    /// The pause in seconds that an instance requests from a node, if it currently rejects all
    /// requests.
    pub(super) fn pause_of(&mut self, caller: Caller, index: usize) -> Option<String> {
        let until = self.notices.paused.get(&index)?;
        if *until <= self.now {
            return None;
        }
        let backoff = Duration::from_millis(self.notice_rng.random_range(BACKOFF_MS));
        let pause = Pause {
            requested_at: self.now,
            until: self.now + backoff,
            reached: 0,
        };
        let pauses = self.notices.pauses.entry((caller, index)).or_default();
        pauses.push(pause);
        Some(format!("{:.3}", backoff.as_secs_f64()))
    }

    /// Adds the notice of departure, if any, to the response of an instance.
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

    /// Records that a response with a notice of departure reached a node.
    pub(super) fn notice_arrives(&mut self, caller: Caller, exchange: ExchangeId) {
        if let Some(index) = self.notices.in_flight.remove(&(caller, exchange)) {
            let now = self.now;
            self.notices.notified.entry((caller, index)).or_insert(now);
        }
    }

    /// Checks a request that reached an instance whose departure the node may know of.
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

    /// Checks a request that reached an instance which may have requested pauses from the
    /// node.
    pub(super) fn check_pauses(&mut self, caller: Caller, index: usize) {
        let now = self.now;
        let node = &self.nodes[caller.0];
        let disturbed_at = node.thawed_at.max(node.healed_at);
        let is_partitioned = self.network.cut_from_nodes.contains(&caller.0);
        let Some(pauses) = self.notices.pauses.get_mut(&(caller, index)) else {
            return;
        };
        pauses.retain(|pause| pause.until > now);
        let mut max_reached = 0;
        for pause in pauses {
            let is_checked = pause.requested_at + IN_FLIGHT_ALLOWANCE < now
                && disturbed_at <= pause.requested_at
                && !is_partitioned;
            pause.reached += u32::from(is_checked);
            max_reached = max_reached.max(pause.reached);
        }
        if max_reached > ALLOWED_IN_PAUSE {
            let paused = &self.instances[index];
            self.checker
                .requests_in_pause(caller, paused, max_reached, now);
        }
    }
}
