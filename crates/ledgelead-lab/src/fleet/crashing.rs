//! Requests that crash each instance which begins to run them, callers that repeat them at
//! any node, and the promise that they reach few instances.

use super::event::{Caller, Event};
use super::faults::{Fault, FaultKind, Schedule, draw_time};
use super::instance::InstanceRequest;
use super::network::LATENCY;
use super::versions::CONTACT_TIME;
use super::world::{HOST, ONCE, READ, SHARDED, World, exchanged};
use ledgelead_http::Request;
use ledgelead_router::io::{ClientId, ExchangeFailure, Input};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::{IpAddr, Ipv4Addr};
use std::ops::Range;
use std::time::Duration;

/// Header by which the stand-ins recognise such a request; nodes don't look at it.
pub(super) const CRASHES: &str = "crashes";
/// Instances that may end before a request counts as one that crashes instances.
const ALLOWED_CRASHES: usize = 3;
/// How often it may reach instances after that, and the time in which all nodes in touch
/// learn of it.
const ALLOWED_DELIVERIES: u32 = 3;
/// How long a crashed instance is away, in milliseconds.
const DOWNTIME_MS: Range<u64> = 1_500..4_500;
/// Time that the caller waits, in milliseconds.
const DEADLINE_MS: u64 = 800;
/// The first number of such a caller's tries, apart from those of other clients.
const FIRST_ATTEMPT: u64 = 1 << 40;

/// Who sends harmless requests with the path of one that crashes instances.
const HARMLESS_CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 5, 1));

/// Where a request goes that crashes instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashedService {
    /// To the owner of a key.
    Keyed(u16),
    /// To any instance, more than once if need be.
    Repeatable,
    /// To any instance, at most once a try.
    Once,
}

/// A request that crashes instances, and how it comes again.
#[derive(Clone, Copy, Debug)]
pub struct CrashingRequest {
    /// When it comes first.
    pub from: Duration,
    /// Mean time between two tries.
    pub pause: Duration,
    /// Where it goes.
    pub service: CrashedService,
}

/// What became of such a request.
#[derive(Debug, Default)]
pub(super) struct Crashing {
    crash_times: Vec<Duration>,
    late_deliveries: u32,
}

impl CrashingRequest {
    /// One or two of them, with pauses from a tenth of a second to two seconds.
    pub(super) fn draw(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Vec<CrashingRequest> {
        let count = rng.random_range(1..3);
        let one = |rng: &mut Pcg64Mcg| CrashingRequest {
            from: draw_time(rng, from, to),
            pause: Duration::from_millis(rng.random_range(100..2_000)),
            service: match rng.random_range(0..3) {
                0 => CrashedService::Keyed(rng.random()),
                1 => CrashedService::Repeatable,
                _ => CrashedService::Once,
            },
        };
        (0..count).map(|_| one(rng)).collect()
    }
}

impl Schedule {
    /// Instances that end for other reasons: many at the same moment, or one after the
    /// other.
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
}

impl World {
    /// Such a request comes, at any node that is ready.
    pub(super) fn send_crashing_request(&mut self, number: usize) {
        let crashing = self.settings.crashing[number];
        let pause = crashing
            .pause
            .mul_f64(self.crash_rng.random_range(0.3..1.7));
        self.schedule(pause, Event::CrashingClient(number));
        let ready = self.ready_nodes();
        if ready.is_empty() {
            return;
        }
        let index = ready[self.crash_rng.random_range(0..ready.len())];
        let (attempt, mut request) = self.next_try(number, "");
        request.headers.push(CRASHES, number.to_string());
        self.report.crashing_tries += 1;
        self.send_try(index, attempt, crashing_caller(number), request);
        self.send_similar_harmless_request(number, &ready);
    }

    /// A harmless request that differs in little: another caller, or another query.
    fn send_similar_harmless_request(&mut self, number: usize, ready: &[usize]) {
        let (source, query) = match self.crash_rng.random_range(0..4) {
            0 => (HARMLESS_CALLER, ""),
            1 => (crashing_caller(number), "?page=2"),
            _ => return,
        };
        let index = ready[self.crash_rng.random_range(0..ready.len())];
        let (attempt, request) = self.next_try(number, query);
        let caller = (index, self.nodes[index].incarnation);
        let once = self.settings.crashing[number].service == CrashedService::Once;
        self.clients.expect(caller, attempt, once);
        self.send_try(index, attempt, source, request);
    }

    /// The next try of a request with this path.
    fn next_try(&mut self, number: usize, query: &str) -> (u64, Request) {
        self.crashing_tries += 1;
        let attempt = FIRST_ATTEMPT + self.crashing_tries;
        let crashing = self.settings.crashing[number];
        let service = match crashing.service {
            CrashedService::Keyed(_) => SHARDED,
            CrashedService::Repeatable => READ,
            CrashedService::Once => ONCE,
        };
        let target = format!("/{service}/c{number}{query}");
        let mut request = Request::new("GET", target, Vec::new());
        request.headers.push("host", HOST);
        request.headers.push("attempt", attempt.to_string());
        request.headers.push("deadline", DEADLINE_MS.to_string());
        if let CrashedService::Keyed(key) = crashing.service {
            request.headers.push("key", key.to_string());
        }
        (attempt, request)
    }

    fn send_try(&mut self, index: usize, attempt: u64, source: IpAddr, request: Request) {
        let caller = (index, self.nodes[index].incarnation);
        let input = Input::Request {
            client: ClientId(attempt),
            source,
            request,
        };
        self.schedule(Duration::ZERO, Event::Input(caller, input));
    }

    /// Such a request has reached an instance.
    pub(super) fn crashing_request_arrives(&mut self, number: usize, caller: Caller) {
        let is_checked = self.is_in_touch(caller.0);
        let now = self.now;
        self.trace(|| format!("crashing request {number} from node {}", caller.0));
        let Some(crashing) = self.crashing.get_mut(number) else {
            return;
        };
        let third = crashing.crash_times.get(ALLOWED_CRASHES - 1).copied();
        let is_late = third.is_some_and(|third| third + CONTACT_TIME < now);
        if !is_late || !is_checked {
            return;
        }
        crashing.late_deliveries += 1;
        if crashing.late_deliveries == ALLOWED_DELIVERIES + 1 {
            let ended = crashing.crash_times.len();
            self.checker
                .crashing_request_reached_instance(number, caller.0, ended, now);
        }
    }

    /// An instance has begun to run such a request: it ends, and all of its work with it.
    pub(super) fn crash_by_request(
        &mut self,
        instance: usize,
        number: usize,
        instance_request: InstanceRequest,
    ) {
        self.trace(|| format!("instance {instance} ends under crashing request {number}"));
        self.report.ended_by_requests += 1;
        if let Some(crashing) = self.crashing.get_mut(number) {
            crashing.crash_times.push(self.now);
        }
        self.fail_request(instance_request);
        self.crash_and_fail_requests(instance);
    }

    /// An instance's process ends. Its connections are reset, new ones refused, and
    /// another life begins there after a while.
    pub(super) fn crash_and_fail_requests(&mut self, instance: usize) {
        if !self.instances[instance].alive || self.instances[instance].unresponsive {
            return;
        }
        let ended = &mut self.instances[instance];
        let running = std::mem::take(&mut ended.running).into_iter();
        let queued = std::mem::take(&mut ended.queue);
        let lost: Vec<InstanceRequest> = running
            .map(|(instance_request, _)| instance_request)
            .chain(queued)
            .collect();
        lost.into_iter()
            .for_each(|instance_request| self.fail_request(instance_request));
        self.crash(instance);
        let downtime = Duration::from_millis(self.crash_rng.random_range(DOWNTIME_MS));
        self.schedule(downtime, Event::InstanceReturns(instance));
    }

    fn fail_request(&mut self, instance_request: InstanceRequest) {
        let lost = exchanged(instance_request.exchange, Err(ExchangeFailure::Lost));
        self.schedule(
            LATENCY,
            Event::Exchanged(instance_request.caller, instance_request.exchange, lost),
        );
    }

    /// A new life of an instance that has crashed, unless there is one.
    pub(super) fn instance_returns(&mut self, index: usize) {
        let address = self.instances[index].record.address;
        let is_alone = self.running_instance_at(address).is_none();
        if !is_alone {
            return;
        }
        if self.settings.reports_start_times {
            self.restart(index);
        } else {
            self.replace(index);
        }
    }

    /// Half of all instances end at the same moment.
    pub(super) fn crash_many(&mut self) {
        for instance in self.running_instances() {
            if self.crash_rng.random_bool(0.5) {
                self.crash_and_fail_requests(instance);
            }
        }
    }

    /// All instances end one after the other, each some hundred milliseconds later.
    pub(super) fn crash_in_turn(&mut self) {
        let mut after = Duration::ZERO;
        for instance in self.running_instances() {
            after += Duration::from_millis(self.crash_rng.random_range(150..900));
            self.schedule(after, Event::InstanceCrashes(instance));
        }
    }

    fn running_instances(&self) -> Vec<usize> {
        let alive = |index: &usize| self.instances[*index].alive;
        (0..self.instances.len()).filter(alive).collect()
    }
}

/// Where such a request comes from.
fn crashing_caller(number: usize) -> IpAddr {
    let last = u8::try_from(number).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(10, 0, 4, last))
}
