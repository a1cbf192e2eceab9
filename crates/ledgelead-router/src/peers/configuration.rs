//! Configuration versions as nodes exchange them: the difference between two versions.

use crate::configuration::{
    ClientLimits, Configuration, Repeatability, Route, RouteTarget, Service,
};
use crate::identity::ServiceName;
use crate::quota::Quota;
use crate::tenants::{KEY_DIGEST_BYTES, KeyDigest, Tenant};
use crate::validation::{self, MAX_TIMEOUT};
use crate::whole_millis;
use ledgelead_types::codec::{List, Text};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct TargetEntry {
    /// The service.
    pub service: Text,
    /// Its weight among the targets of the route.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct RouteEntry {
    /// Its name.
    pub name: Text,
    /// The host, in lower case.
    pub host: Text,
    /// The prefix of the path.
    pub prefix: Text,
    /// The services.
    pub targets: List<TargetEntry>,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// The longest time for which a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// The latency target, in microseconds: an answer is worth most within this time.
    pub target_latency_us: u64,
    /// The largest number of instances to which one request may be sent.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ServiceEntry {
    /// Its name.
    pub name: Text,
    /// Whether its instances own its keys exclusively.
    pub sharded: bool,
    /// Connections that one instance accepts from all clients together.
    pub max_connections: u32,
    /// Requests a second that an instance can process while it is cold; 0 if not limited.
    pub cold_rate: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct TenantEntry {
    /// Its name.
    pub name: Text,
    /// Digests of its keys.
    pub keys: List<[u8; KEY_DIGEST_BYTES]>,
    /// Priority of its requests, if it replaces that of their routes.
    pub priority: Option<u32>,
    /// The number of its requests, if it is limited.
    pub quota: Option<QuotaEntry>,
}

/// The quota of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct QuotaEntry {
    /// Requests a second.
    pub rate: f64,
    /// Requests above the rate.
    pub burst: f64,
}

/// Limits for client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LimitsEntry {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Time within which a request head must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A changed entry of the configuration.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ConfigurationChange {
    /// A new or changed route.
    Route(RouteEntry),
    /// The route of this name is removed.
    RouteRemoved(Text),
    /// A new or changed service.
    Service(ServiceEntry),
    /// The service of this name is removed.
    ServiceRemoved(Text),
    /// The route of this name, which precedes this entry, accepts requests without a caller's
    /// key.
    AnonymousRoute(Text),
    /// A new or changed tenant.
    Tenant(TenantEntry),
    /// The tenant of this name is removed.
    TenantRemoved(Text),
}

/// The difference between two versions of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationDelta {
    /// The version to which the changes apply; 0 if the delta is a complete configuration.
    pub base: u64,
    /// The resulting version.
    pub version: u64,
    /// The limits of the resulting version.
    pub limits: LimitsEntry,
    /// The changed entries.
    pub changes: Vec<ConfigurationChange>,
}

impl ConfigurationDelta {
    /// The changes from `earlier`, or from an empty configuration, to `next`. None if a route
    /// or service name occurs twice, since names would not identify the changed entry.
    pub fn between(
        earlier: Option<&Configuration>,
        next: &Configuration,
    ) -> Option<ConfigurationDelta> {
        let unique = has_unique_names(next) && earlier.is_none_or(has_unique_names);
        if !unique {
            return None;
        }
        // Looked up by name: configurations have thousands of routes.
        let mut former_routes = earlier.map(routes_by_name).unwrap_or_default();
        let mut former_services = earlier.map(services_by_name).unwrap_or_default();
        let mut former_tenants = earlier.map(tenants_by_name).unwrap_or_default();
        let mut changes = Vec::new();
        for service in &next.services {
            if former_services.remove(service.name.as_str()) != Some(service) {
                changes.push(ConfigurationChange::Service(service_entry(service)));
            }
        }
        for route in &next.routes {
            if former_routes.remove(route.name.as_str()) != Some(route.as_ref()) {
                changes.push(ConfigurationChange::Route(route_entry(route)));
                if route.allows_anonymous {
                    let name = Text(route.name.clone());
                    changes.push(ConfigurationChange::AnonymousRoute(name));
                }
            }
        }
        for tenant in &next.tenants {
            if former_tenants.remove(tenant.name.as_str()) != Some(tenant.as_ref()) {
                changes.push(ConfigurationChange::Tenant(tenant_entry(tenant)));
            }
        }
        let removed = former_routes.into_keys().map(|name| Text(name.to_owned()));
        changes.extend(removed.map(ConfigurationChange::RouteRemoved));
        let removed = former_services
            .into_keys()
            .map(|name| Text(name.to_owned()));
        changes.extend(removed.map(ConfigurationChange::ServiceRemoved));
        let removed = former_tenants.into_keys().map(|name| Text(name.to_owned()));
        changes.extend(removed.map(ConfigurationChange::TenantRemoved));
        Some(ConfigurationDelta {
            base: earlier.map_or(0, |known| known.version),
            version: next.version,
            limits: limits_entry(next.limits),
            changes,
        })
    }

    /// Applies the changes to `earlier`. None if they belong to another version, or if a route
    /// has no target.
    pub fn apply_to(self, earlier: Option<&Configuration>) -> Option<Configuration> {
        let is_valid = |change: &ConfigurationChange| match change {
            ConfigurationChange::Route(route) => !route.targets.is_empty(),
            _ => true,
        };
        if !self.changes.iter().all(is_valid) {
            return None;
        }
        let mut next = match earlier {
            Some(known) if known.version == self.base => known.clone(),
            _ if self.base == 0 => Configuration::default(),
            _ => return None,
        };
        next.version = self.version;
        next.limits = limits(self.limits);
        for change in self.changes {
            apply(&mut next, change);
        }
        validation::configuration(&next).is_ok().then_some(next)
    }
}

fn apply(configuration: &mut Configuration, change: ConfigurationChange) {
    match change {
        ConfigurationChange::Route(entry) => {
            let changed = Arc::new(route(entry));
            let routes = &mut configuration.routes;
            match routes.iter_mut().find(|known| known.name == changed.name) {
                Some(known) => *known = changed,
                None => routes.push(changed),
            }
        }
        ConfigurationChange::RouteRemoved(name) => {
            configuration.routes.retain(|route| route.name != name.0);
        }
        ConfigurationChange::Service(entry) => {
            let changed = service(entry);
            let services = &mut configuration.services;
            match services.iter_mut().find(|known| known.name == changed.name) {
                Some(known) => *known = changed,
                None => services.push(changed),
            }
        }
        ConfigurationChange::ServiceRemoved(name) => {
            let services = &mut configuration.services;
            services.retain(|service| service.name.as_str() != name.0);
        }
        ConfigurationChange::AnonymousRoute(name) => {
            let mut routes = configuration.routes.iter_mut();
            if let Some(route) = routes.find(|route| route.name == name.0) {
                Arc::make_mut(route).allows_anonymous = true;
            }
        }
        ConfigurationChange::Tenant(entry) => {
            let changed = Arc::new(tenant(entry));
            let tenants = &mut configuration.tenants;
            match tenants.iter_mut().find(|known| known.name == changed.name) {
                Some(known) => *known = changed,
                None => tenants.push(changed),
            }
        }
        ConfigurationChange::TenantRemoved(name) => {
            configuration.tenants.retain(|tenant| tenant.name != name.0);
        }
    }
}

fn routes_by_name(configuration: &Configuration) -> BTreeMap<&str, &Route> {
    let routes = configuration.routes.iter();
    routes
        .map(|route| (route.name.as_str(), route.as_ref()))
        .collect()
}

fn services_by_name(configuration: &Configuration) -> BTreeMap<&str, &Service> {
    let services = configuration.services.iter();
    services
        .map(|service| (service.name.as_str(), service))
        .collect()
}

fn tenants_by_name(configuration: &Configuration) -> BTreeMap<&str, &Tenant> {
    let tenants = configuration.tenants.iter();
    tenants
        .map(|tenant| (tenant.name.as_str(), tenant.as_ref()))
        .collect()
}

fn has_unique_names(configuration: &Configuration) -> bool {
    let routes = routes_by_name(configuration).len();
    let services = services_by_name(configuration).len();
    let tenants = tenants_by_name(configuration).len();
    routes == configuration.routes.len()
        && services == configuration.services.len()
        && tenants == configuration.tenants.len()
}

fn route_entry(route: &Route) -> RouteEntry {
    let target = |target: &RouteTarget| TargetEntry {
        service: Text(target.service.to_string()),
        weight: target.weight,
    };
    RouteEntry {
        name: Text(route.name.clone()),
        host: Text(route.host.clone()),
        prefix: Text(route.prefix.clone()),
        targets: route.targets.iter().map(target).collect(),
        idempotent: route.repeatability == Repeatability::Idempotent,
        timeout_ms: whole_millis(route.timeout),
        target_latency_us: u64::try_from(route.target_latency.as_micros()).unwrap_or(u64::MAX),
        max_attempts: route.max_attempts,
        priority: route.priority,
    }
}

fn route(entry: RouteEntry) -> Route {
    let target = |target: TargetEntry| RouteTarget {
        service: ServiceName::from(target.service.0.as_str()),
        weight: target.weight,
    };
    Route {
        name: entry.name.0,
        host: entry.host.0,
        prefix: entry.prefix.0,
        targets: entry.targets.0.into_iter().map(target).collect(),
        repeatability: if entry.idempotent {
            Repeatability::Idempotent
        } else {
            Repeatability::Once
        },
        timeout: Duration::from_millis(entry.timeout_ms).min(MAX_TIMEOUT),
        target_latency: Duration::from_micros(entry.target_latency_us).min(MAX_TIMEOUT),
        max_attempts: entry.max_attempts,
        priority: entry.priority,
        allows_anonymous: false,
    }
}

fn tenant_entry(tenant: &Tenant) -> TenantEntry {
    TenantEntry {
        name: Text(tenant.name.clone()),
        keys: tenant.keys.iter().map(|key| key.0).collect(),
        priority: tenant.priority,
        quota: tenant
            .quota
            .map(|Quota { rate, burst }| QuotaEntry { rate, burst }),
    }
}

fn tenant(entry: TenantEntry) -> Tenant {
    Tenant {
        name: entry.name.0,
        keys: entry.keys.0.into_iter().map(KeyDigest).collect(),
        priority: entry.priority,
        quota: entry
            .quota
            .map(|QuotaEntry { rate, burst }| Quota { rate, burst }),
    }
}

fn service_entry(service: &Service) -> ServiceEntry {
    ServiceEntry {
        name: Text(service.name.to_string()),
        sharded: service.sharded,
        max_connections: service.max_connections,
        cold_rate: service.cold_rate.unwrap_or(0.0),
    }
}

fn service(entry: ServiceEntry) -> Service {
    Service {
        name: ServiceName::from(entry.name.0.as_str()),
        sharded: entry.sharded,
        max_connections: entry.max_connections,
        cold_rate: Some(entry.cold_rate).filter(|rate| *rate > 0.0),
    }
}

fn limits_entry(limits: ClientLimits) -> LimitsEntry {
    LimitsEntry {
        max_head_bytes: limits.max_head_bytes as u64,
        max_body_bytes: limits.max_body_bytes as u64,
        head_timeout_ms: whole_millis(limits.head_timeout),
        idle_timeout_ms: whole_millis(limits.idle_timeout),
    }
}

fn limits(entry: LimitsEntry) -> ClientLimits {
    ClientLimits {
        max_head_bytes: usize::try_from(entry.max_head_bytes).unwrap_or(usize::MAX),
        max_body_bytes: usize::try_from(entry.max_body_bytes).unwrap_or(usize::MAX),
        head_timeout: Duration::from_millis(entry.head_timeout_ms).min(MAX_TIMEOUT),
        idle_timeout: Duration::from_millis(entry.idle_timeout_ms).min(MAX_TIMEOUT),
    }
}
