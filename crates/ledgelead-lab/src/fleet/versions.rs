//! Configuration changes by the operator, and the check that every connected node applies each
//! version in time.

use super::faults::{FaultKind, Schedule, Target, draw_length, draw_time};
use super::world::{HOST, ONCE, READ, SHARDED, World};
use ledgelead_router::configuration::{
    ClientLimits, Configuration, Repeatability, Route, RouteTarget, Service,
};
use ledgelead_router::identity::ServiceName;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;

/// Time within which nodes apply an acknowledged configuration.
pub(super) const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);
/// Interval between checks of the nodes' versions.
pub(super) const VERSION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Routes that a large version adds. With about 115 bytes per route this is three times what
/// nodes send each other in datagrams (12 of 1,100 bytes).
pub(super) const LARGE_VERSION_ROUTES: usize = 390;
/// Undisturbed time after which a node counts as connected to the store.
pub(super) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Maximum time between the start of a refusal and the versions that follow it.
const VERSION_AFTER: Duration = Duration::from_millis(2_500);
/// Increment between consecutive versions.
const VERSION_STEP: u64 = 3;

/// The configurations that the operator has written.
#[derive(Debug)]
pub(super) struct Versions {
    newest: u64,
    /// Whether the `READ` service exists.
    has_read: bool,
    more_routes: usize,
    /// When each version was acknowledged.
    acknowledged: Vec<(Duration, u64)>,
}

impl Versions {
    /// Starts with the first version.
    pub(super) fn new(has_read: bool) -> Versions {
        Versions {
            newest: 1,
            has_read,
            more_routes: 0,
            acknowledged: Vec::new(),
        }
    }

    /// The newest configuration.
    pub(super) fn newest(&self) -> Configuration {
        configuration(self.newest, self.more_routes, self.has_read)
    }

    /// Writes the next version on behalf of the operator, with `more_routes` additional
    /// routes.
    fn write(&mut self, more_routes: usize, now: Duration) -> Configuration {
        self.newest += VERSION_STEP;
        self.more_routes += more_routes;
        self.acknowledged.push((now, self.newest));
        self.newest()
    }

    /// The newest version that connected nodes must have applied by now.
    fn newest_due(&self, now: Duration) -> Option<u64> {
        let is_due = |(at, _): &&(Duration, u64)| *at + CONFIGURATION_BOUND <= now;
        let last = self.acknowledged.iter().rfind(is_due);
        last.map(|(_, version)| *version)
    }
}

impl Schedule {
    /// Draws configuration changes, most of them large, while the store refuses the
    /// coordinator and some other nodes.
    pub fn draw_versions(
        rng: &mut Pcg64Mcg,
        nodes: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(1..4) {
            let at = draw_time(rng, from, to);
            let duration = draw_length(rng);
            let refused = FaultKind::StoreRefusesNode;
            schedule = schedule.and(at, duration, refused(Target::Coordinator));
            for _ in 0..rng.random_range(0..3) {
                let node = Target::Node(rng.random_range(0..nodes));
                schedule = schedule.and(at, duration, refused(node));
            }
            for _ in 0..rng.random_range(1..4) {
                let after = VERSION_AFTER.mul_f64(rng.random_range(0.0..1.0));
                let kind = match rng.random_range(0..3) {
                    0 => FaultKind::Configure,
                    _ => FaultKind::ConfigureLarge,
                };
                schedule = schedule.and(at + after, Duration::ZERO, kind);
            }
        }
        schedule
    }
}

impl World {
    /// Writes the next version, with `more_routes` additional routes.
    pub(super) fn configure_next(&mut self, more_routes: usize) {
        let next = self.versions.write(more_routes, self.now);
        self.store.configure(next);
        self.answer_watches();
    }

    /// Checks that each connected node has every version that was acknowledged long enough
    /// ago.
    pub(super) fn check_versions(&mut self) {
        let now = self.now;
        let Some(due) = self.versions.newest_due(now) else {
            return;
        };
        for index in 0..self.nodes.len() {
            if self.is_in_touch(index) {
                let caller = (index, self.nodes[index].incarnation);
                self.checker.check_due_version(caller, due, now);
            }
        }
    }

    /// Whether a node has been running, and served by a fault-free store, for `CONTACT_TIME`.
    pub(super) fn is_in_touch(&self, index: usize) -> bool {
        let simulated = &self.nodes[index];
        let runs = simulated
            .node
            .as_ref()
            .is_some_and(|node| !node.is_stopping());
        let store_faults = &self.store_faults;
        let is_partitioned = self.network.cut_from_store.contains(&index)
            || self.network.cut_from_nodes.contains(&index)
            || self.network.refused_by_store.contains(&index);
        let disturbed_until = [
            simulated.started_at,
            simulated.thawed_at,
            simulated.healed_at,
            simulated.refused_until,
            store_faults.recovered_at,
            store_faults.answers_lost_until,
            self.network.silenced_at,
        ];
        let is_undisturbed = disturbed_until
            .into_iter()
            .all(|until| until + CONTACT_TIME <= self.now);
        runs && !is_partitioned
            && is_undisturbed
            && store_faults.silent + store_faults.refusing + store_faults.losing_answers == 0
    }
}

/// A configuration with a route to each service and `more_routes` additional routes.
fn configuration(version: u64, more_routes: usize, has_read: bool) -> Configuration {
    let route = |name: &str, repeatability| {
        Arc::new(Route {
            name: name.to_owned(),
            host: HOST.to_owned(),
            prefix: format!("/{name}/"),
            targets: vec![RouteTarget {
                service: ServiceName::from(name),
                weight: 1.0,
            }],
            repeatability,
            timeout: Duration::from_millis(1_200),
            target_latency: Duration::from_millis(250),
            max_attempts: 2,
            priority: 1,
            allows_anonymous: false,
        })
    };
    let service = |name: &str, sharded| Service {
        name: ServiceName::from(name),
        sharded,
        max_connections: 100,
        cold_rate: None,
    };
    let first = [
        route(SHARDED, Repeatability::Idempotent),
        route(ONCE, Repeatability::Once),
    ];
    let read = has_read.then(|| route(READ, Repeatability::Idempotent));
    let read_service = has_read.then(|| service(READ, false));
    let more = (0..more_routes).map(|number| {
        let name = format!("more-{number}");
        route(&name, Repeatability::Idempotent)
    });
    Configuration {
        version,
        routes: first.into_iter().chain(read).chain(more).collect(),
        services: [service(SHARDED, true), service(ONCE, false)]
            .into_iter()
            .chain(read_service)
            .collect(),
        tenants: Vec::new(),
        limits: ClientLimits::default(),
    }
}
