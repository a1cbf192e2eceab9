//! Harmless callers in runs with crashing requests, and the check that no node holds their
//! requests back.

use super::crashing::CrashedService;
use super::event::Event;
use super::world::World;
use ledgelead_http::Request;
use rand::RngExt;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// How long a node may refuse a harmless request as one that crashes instances.
const MAX_HELD_BACK: Duration = Duration::ZERO;
/// Header with the execution time of a slow request in milliseconds, for simulated instances.
pub(super) const WORK_MS: &str = "work-ms";
/// Mean time between two requests of harmless callers.
const INTERVAL: Duration = Duration::from_millis(25);
/// Pause before a burst is tried again when no node is ready.
const BURST_RETRY: Duration = Duration::from_millis(20);
/// Requests in a burst for a new path: enough to be in flight at all instances.
const BURST: usize = 12;
/// Execution times of slow requests, in milliseconds. They end before the route's timeout.
const SLOW_MS: Range<u64> = 1_010..1_100;
/// How long a harmless caller waits, in milliseconds: long enough for a slow request.
const DEADLINE_MS: u64 = 1_500;
/// Number of harmless callers.
const CALLERS: u8 = 40;
/// The key of all keyed requests of these callers.
const KEY: u16 = 20_000;
/// The services that they call.
const SERVICES: [CrashedService; 3] = [
    CrashedService::Keyed(KEY),
    CrashedService::Repeatable,
    CrashedService::Once,
];
/// A path that is requested, and answered, all the time.
const POPULAR_PATH: &str = "popular";
/// A path that nobody requests before the first crashing request.
const NEW_PATH: &str = "new";
/// A path whose answers take over a second.
const SLOW_PATH: &str = "slow";

/// Requests that nodes currently refuse as ones that crash instances.
#[derive(Debug, Default)]
pub(super) struct HeldBack {
    /// The first refusal by each node, with the request's target, since the node last passed on
    /// an answer to it.
    since: HashMap<(usize, Arc<str>), Duration>,
}

impl HeldBack {
    /// A node refused a request. Returns whether that has lasted too long.
    pub(super) fn refused(&mut self, node: usize, target: &Arc<str>, now: Duration) -> bool {
        let refusal = (node, target.clone());
        let since = *self.since.entry(refusal).or_insert(now);
        now - since >= MAX_HELD_BACK
    }

    /// An instance answered a request through a node.
    pub(super) fn answered(&mut self, node: usize, target: &Arc<str>) {
        if !self.since.is_empty() {
            self.since.remove(&(node, target.clone()));
        }
    }
}

impl World {
    /// Schedules the requests of harmless callers, if the run has them.
    pub(super) fn schedule_harmless_callers(&mut self, from: Duration) {
        if !self.settings.bystanders {
            return;
        }
        self.schedule_at(from, Event::HarmlessClient);
        if let Some(first) = self.first_crashing_request() {
            self.schedule_at(first, Event::HarmlessBurst);
        }
    }

    fn first_crashing_request(&self) -> Option<Duration> {
        let crashing = self.settings.crashing.iter();
        crashing.map(|crashing| crashing.from).min()
    }

    /// Sends a request of a harmless caller and schedules the next one.
    pub(super) fn send_harmless_client_request(&mut self) {
        let pause = INTERVAL.mul_f64(self.caller_rng.random_range(0.3..1.7));
        self.schedule(pause, Event::HarmlessClient);
        let ready = self.ready_nodes();
        if ready.is_empty() {
            return;
        }
        let is_new_known = self
            .first_crashing_request()
            .is_some_and(|at| at < self.now);
        let path = match self.caller_rng.random_range(0..20) {
            0 => SLOW_PATH,
            1..8 if is_new_known => NEW_PATH,
            _ => POPULAR_PATH,
        };
        self.send_bystander_request(path, &ready);
    }

    /// Sends many requests for a new path at once, as soon as any node is ready.
    pub(super) fn send_harmless_burst(&mut self) {
        let ready = self.ready_nodes();
        if ready.is_empty() {
            self.schedule(BURST_RETRY, Event::HarmlessBurst);
            return;
        }
        (0..BURST).for_each(|_| self.send_bystander_request(NEW_PATH, &ready));
    }

    fn send_bystander_request(&mut self, path: &str, ready: &[usize]) {
        let service = SERVICES[self.caller_rng.random_range(0..SERVICES.len())];
        let index = ready[self.caller_rng.random_range(0..ready.len())];
        let source = harmless_caller(self.caller_rng.random_range(0..CALLERS));
        let (attempt, mut request) = self.next_request(service, path, DEADLINE_MS);
        if path == SLOW_PATH {
            let work_ms = self.caller_rng.random_range(SLOW_MS);
            request.headers.push(WORK_MS, work_ms.to_string());
        }
        self.send_harmless(index, attempt, source, service, request);
    }

    /// Sends a harmless request whose response is checked.
    pub(super) fn send_harmless(
        &mut self,
        index: usize,
        attempt: u64,
        source: IpAddr,
        service: CrashedService,
        request: Request,
    ) {
        let caller = (index, self.nodes[index].incarnation);
        let once = service == CrashedService::Once;
        let target = Arc::from(request.target.as_str());
        self.clients.expect(caller, attempt, once, target);
        self.send_attempt(index, attempt, source, request);
    }
}

fn harmless_caller(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 6, number))
}
