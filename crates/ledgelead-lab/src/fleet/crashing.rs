//! Requests that crash every instance that starts them, clients that retry them at arbitrary
//! nodes, and the check that they reach only few instances.

use super::crashing_callers::AddressChange;
use super::event::{Caller, Event};
use super::faults::draw_time;
use super::instance::InstanceRequest;
use super::network::LATENCY;
use super::versions::CONTACT_TIME;
use super::world::{HOST, ONCE, READ, SHARDED, World};
use ledgelead_http::Request;
use ledgelead_router::io::{ClientId, ExchangeFailure, Input};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::{IpAddr, Ipv4Addr};
use std::ops::Range;
use std::time::Duration;

/// Header that marks such a request for the simulated instances; nodes ignore it.
pub(super) const CRASHES: &str = "crashes";
/// Instances that a request may crash before nodes must contain it.
const ALLOWED_CRASHES: usize = 3;
/// The number of instances that may crash under a request in a run without faults of the
/// network and the store: two more than are needed to contain it may have started it meanwhile.
const MAX_CRASHES: usize = ALLOWED_CRASHES + 2;
/// Share of lost datagrams above which the network counts as faulty.
const MAX_REGULAR_LOSS: f64 = 0.1;
/// How many more instances it may reach after `CONTACT_TIME`, in which all connected nodes
/// learn of it.
const ALLOWED_DELIVERIES: u32 = 3;
/// Downtime of a crashed instance, in milliseconds.
const DOWNTIME_MS: Range<u64> = 1_500..4_500;
/// How long the client waits, in milliseconds.
pub(super) const DEADLINE_MS: u64 = 800;
/// First attempt number of such clients, which keeps them apart from those of other clients.
const FIRST_ATTEMPT: u64 = 1 << 40;

/// Source address of harmless requests whose path equals that of a crashing one.
const HARMLESS_CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 5, 1));

/// Destination of a request that crashes instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashedService {
    /// The owner of a key.
    Keyed(u16),
    /// Any instance; retries on other instances are allowed.
    Repeatable,
    /// Any instance; at most one execution per attempt.
    Once,
}

/// A request that crashes instances, and how it is retried.
#[derive(Clone, Copy, Debug)]
pub struct CrashingRequest {
    /// When it is first sent.
    pub from: Duration,
    /// Mean time between two attempts.
    pub pause: Duration,
    /// Its destination.
    pub service: CrashedService,
    /// How often its clients change their address.
    pub addresses: AddressChange,
    /// Number of attempts that are sent at the same time to different nodes.
    pub simultaneous: usize,
    /// Whether each attempt is accompanied by a harmless request of the same client to the
    /// same node.
    pub has_companion: bool,
}

/// Recorded effects of such a request.
#[derive(Debug, Default)]
pub(super) struct Crashing {
    crash_times: Vec<Duration>,
    late_deliveries: u32,
}

impl CrashingRequest {
    /// Draws one or two of them, with mean pauses from 0.1 to 2 seconds.
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
            addresses: AddressChange::Never,
            simultaneous: 1,
            has_companion: false,
        };
        (0..count).map(|_| one(rng)).collect()
    }
}

impl World {
    /// Sends a crashing request to a random ready node and schedules the next attempt.
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
        let position = self.crash_rng.random_range(0..ready.len());
        self.send_crashing_attempts(number, &ready, position);
        self.send_similar_harmless_request(number, &ready);
    }

    /// Sends a single attempt of a crashing request to a node.
    pub(super) fn send_crashing(&mut self, number: usize, index: usize, source: IpAddr) {
        let service = self.settings.crashing[number].service;
        let (attempt, mut request) =
            self.next_request(service, &crashing_path(number), DEADLINE_MS);
        request.headers.push(CRASHES, number.to_string());
        self.report.crashing_tries += 1;
        self.send_attempt(index, attempt, source, request);
    }

    /// Sends a harmless request that differs only in its source address or its query.
    fn send_similar_harmless_request(&mut self, number: usize, ready: &[usize]) {
        let CrashingRequest {
            service, addresses, ..
        } = self.settings.crashing[number];
        let (source, query) = match self.crash_rng.random_range(0..4) {
            // If the crashing request comes from new addresses, only its target identifies it.
            0 if addresses != AddressChange::Never => return,
            0 => (HARMLESS_CALLER, ""),
            1 => (crashing_caller(number), "?page=2"),
            _ => return,
        };
        let index = ready[self.crash_rng.random_range(0..ready.len())];
        let path = format!("{}{query}", crashing_path(number));
        let (attempt, request) = self.next_request(service, &path, DEADLINE_MS);
        self.send_harmless(index, attempt, source, service, request);
    }

    /// Builds the next request to a service with this path.
    pub(super) fn next_request(
        &mut self,
        service: CrashedService,
        path: &str,
        deadline_ms: u64,
    ) -> (u64, Request) {
        self.crashing_tries += 1;
        let attempt = FIRST_ATTEMPT + self.crashing_tries;
        let name = match service {
            CrashedService::Keyed(_) => SHARDED,
            CrashedService::Repeatable => READ,
            CrashedService::Once => ONCE,
        };
        let target = format!("/{name}/{path}");
        let mut request = Request::new("GET", target, Vec::new());
        request.headers.push("host", HOST);
        request.headers.push("attempt", attempt.to_string());
        request.headers.push("deadline", deadline_ms.to_string());
        if let CrashedService::Keyed(key) = service {
            request.headers.push("key", key.to_string());
        }
        (attempt, request)
    }

    pub(super) fn send_attempt(
        &mut self,
        index: usize,
        attempt: u64,
        source: IpAddr,
        request: Request,
    ) {
        let caller = (index, self.nodes[index].incarnation);
        let input = Input::Request {
            client: ClientId(attempt),
            source,
            request,
        };
        self.schedule(Duration::ZERO, Event::Input(caller, input));
    }

    /// Checks a crashing request that reached an instance.
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

    /// Crashes an instance that started such a request, along with all of its requests.
    pub(super) fn crash_by_request(
        &mut self,
        instance: usize,
        number: usize,
        instance_request: InstanceRequest,
    ) {
        self.trace(|| format!("instance {instance} crashes under crashing request {number}"));
        self.report.ended_by_requests += 1;
        self.count_crash(number);
        self.fail_request(instance_request);
        self.crash_and_fail_requests(instance);
    }

    fn count_crash(&mut self, number: usize) {
        let is_bounded = self.has_bounded_crashes(number);
        let Some(crashing) = self.crashing.get_mut(number) else {
            return;
        };
        crashing.crash_times.push(self.now);
        let ended = crashing.crash_times.len();
        if is_bounded && ended == MAX_CRASHES + 1 {
            self.checker.too_many_crashed(number, ended, self.now);
        }
    }

    /// Whether the run has none of the faults that may let a request crash more instances.
    fn has_bounded_crashes(&self, number: usize) -> bool {
        let from = self.settings.crashing[number].from;
        self.settings.datagram_loss <= MAX_REGULAR_LOSS
            && self.settings.schedule.has_only_crashes(from)
    }

    /// Crashes an instance. Its connections are reset, new ones are refused, and the instance
    /// comes back after a downtime.
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
        let InstanceRequest {
            caller, exchange, ..
        } = instance_request;
        self.exchange_fails_after(LATENCY, caller, exchange, ExchangeFailure::Lost);
    }

    /// Brings back a crashed instance, unless another one is running at its address.
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
}

/// The last segment of a crashing request's path.
fn crashing_path(number: usize) -> String {
    format!("c{number}")
}

/// Source address of a crashing request whose clients keep theirs.
pub(super) fn crashing_caller(number: usize) -> IpAddr {
    let last = u8::try_from(number).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(10, 0, 4, last))
}
