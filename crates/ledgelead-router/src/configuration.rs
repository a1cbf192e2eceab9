//! The operator's routes, services and limits.

use crate::identity::ServiceName;
use crate::tenants::{Tenant, TenantTable};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// It may run several times.
    Idempotent,
    /// It must not run twice.
    Once,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the targets of the route.
    pub weight: f64,
}

/// A route: which services handle requests for a host and path prefix, and their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// The services, at least one.
    pub targets: Vec<RouteTarget>,
    /// Whether its requests may run more than once.
    pub repeatability: Repeatability,
    /// The longest time for which a request is held.
    pub timeout: Duration,
    /// The latency target: an answer is worth most within this time.
    pub target_latency: Duration,
    /// The largest number of instances to which one request may be sent.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether it accepts requests without a caller's key although there are tenants.
    pub allows_anonymous: bool,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether its instances own its keys exclusively.
    pub sharded: bool,
    /// Connections that one instance accepts from all clients together.
    pub max_connections: u32,
    /// Requests a second that an instance can process while it is cold; none if not limited.
    pub cold_rate: Option<f64>,
}

/// Limits for client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            max_head_bytes: 16_384,
            max_body_bytes: 1_048_576,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// All tenants. If there are none, requests need no keys.
    pub tenants: Vec<Arc<Tenant>>,
    /// Limits for client requests.
    pub limits: ClientLimits,
}

impl Configuration {
    /// The configuration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Services whose instances receive requests with different priorities or latency targets.
    pub fn contended_services(&self) -> BTreeSet<ServiceName> {
        // Few differ: a configuration has thousands of routes, and many tenants.
        let tenant_priorities: BTreeSet<Option<u32>> =
            self.tenants.iter().map(|tenant| tenant.priority).collect();
        let mut kinds: BTreeMap<&ServiceName, BTreeSet<(u32, Duration)>> = BTreeMap::new();
        for route in &self.routes {
            let priorities = priorities_on(route, &tenant_priorities);
            for target in route.targets.iter().filter(|target| target.weight > 0.0) {
                let kinds = kinds.entry(&target.service).or_default();
                kinds.extend(
                    priorities
                        .iter()
                        .map(|priority| (*priority, route.target_latency)),
                );
            }
        }
        let contended = kinds.into_iter().filter(|(_, kinds)| kinds.len() > 1);
        contended.map(|(service, _)| service.clone()).collect()
    }

    /// Services whose keys are owned by instances.
    pub fn sharded_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services
            .iter()
            .filter(|service| service.sharded)
            .map(|service| &service.name)
    }
}

/// The priorities of requests on a route, by those that tenants set. A tenant without one has
/// the route's.
fn priorities_on(route: &Route, tenants: &BTreeSet<Option<u32>>) -> BTreeSet<u32> {
    let is_route_used = tenants.is_empty() || route.allows_anonymous;
    let without_tenant = is_route_used.then_some(None);
    let all = tenants.iter().copied().chain(without_tenant);
    all.map(|priority| priority.unwrap_or(route.priority))
        .collect()
}

/// Looks up the route of a request, and its tenant.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
    contended: BTreeSet<ServiceName>,
    tenants: TenantTable,
}

impl RouteTable {
    /// Builds the table for a configuration.
    pub fn new(configuration: &Configuration) -> RouteTable {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            by_host
                .entry(route.host.to_lowercase())
                .or_default()
                .push(route.clone());
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RouteTable {
            by_host,
            contended: configuration.contended_services(),
            tenants: TenantTable::new(&configuration.tenants),
        }
    }

    /// The tenants, by the keys of their callers.
    pub fn tenants(&self) -> &TenantTable {
        &self.tenants
    }

    /// Whether any service is contended.
    pub fn has_contended(&self) -> bool {
        !self.contended.is_empty()
    }

    /// Whether the instances of the service receive requests with different priorities or
    /// latency targets.
    pub fn is_contended(&self, service: &ServiceName) -> bool {
        self.contended.contains(service)
    }

    /// The route of the host with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
