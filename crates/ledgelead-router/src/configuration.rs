//! Routes, services and limits as the operator set them.

use crate::identity::ServiceName;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// It may.
    Idempotent,
    /// At most once.
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

/// Where requests of a host under a path go, and what they may cost.
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
    /// The longest a request is held.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub target_latency: Duration,
    /// The largest number of instances one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
}

/// What the operator says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether its instances own its keys exclusively.
    pub sharded: bool,
    /// Connections that one instance accepts from all callers.
    pub max_connections: u32,
    /// Requests a second that an instance bears while it is cold, if that is
    /// bounded.
    pub cold_rate: Option<f64>,
}

/// Bounds on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a head must arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
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

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on what clients send.
    pub limits: ClientLimits,
}

impl Configuration {
    /// What the operator says of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The services for whose instances requests of different urgency or target latency
    /// compete.
    pub fn contended_services(&self) -> BTreeSet<ServiceName> {
        let mut kinds: BTreeMap<&ServiceName, BTreeSet<(u32, Duration)>> = BTreeMap::new();
        for route in &self.routes {
            for target in route.targets.iter().filter(|target| target.weight > 0.0) {
                let kind = (route.priority, route.target_latency);
                kinds.entry(&target.service).or_default().insert(kind);
            }
        }
        let contended = kinds.into_iter().filter(|(_, kinds)| kinds.len() > 1);
        contended.map(|(service, _)| service.clone()).collect()
    }

    /// The services whose keys have owners.
    pub fn sharded_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services
            .iter()
            .filter(|service| service.sharded)
            .map(|service| &service.name)
    }
}

/// Finds the route of a request.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
    contended: BTreeSet<ServiceName>,
}

impl RouteTable {
    /// The table of a configuration.
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
        }
    }

    /// Whether they compete for those of any service.
    pub fn has_contended(&self) -> bool {
        !self.contended.is_empty()
    }

    /// Whether requests of different urgency or target latency compete for the instances of
    /// the service.
    pub fn is_contended(&self, service: &ServiceName) -> bool {
        self.contended.contains(service)
    }

    /// Among the routes of the host, the one with the longest prefix that
    /// begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
