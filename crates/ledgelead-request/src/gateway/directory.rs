//! Indexes over the configuration and the routes, built when they change, so
//! that a request needs only look-ups.

use ledgelead_types::configuration::{Configuration, Partitioning};
use ledgelead_types::routes::{GroupRoutes, ServerRoute, ServerStatus, SliceRoute};
use ledgelead_types::{
    CallerId, GroupId, NodeId, Position, PositionRange, ServerId, ServiceId, Span, Text, TierId,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A service, as requests need it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEntry {
    pub(super) id: ServiceId,
    pub(super) partitioning: Partitioning,
    pub(super) groups: u16,
    pub(super) default_deadline: Span,
}

impl ServiceEntry {
    /// The group whose part of the position space holds a position.
    pub(super) fn group_of(&self, position: Position) -> GroupId {
        let parts = u64::from(self.groups);
        let guess = ((u128::from(position.0) * u128::from(parts)) >> u64::BITS) as u64;
        let next_begins = |part: u64| PositionRange::ALL.part(part, parts).first;
        let part = if guess + 1 < parts && position >= next_begins(guess + 1) {
            guess + 1
        } else {
            guess
        };
        self.group(part)
    }

    /// The group that keeps the record of an idempotency key of a service
    /// that is not divided by key.
    pub(super) fn group_of_hash(&self, hash: u64) -> GroupId {
        self.group(hash % u64::from(self.groups))
    }

    fn group(&self, part: u64) -> GroupId {
        GroupId {
            service: self.id,
            part: part as u16,
        }
    }
}

/// A caller, as requests need it.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerEntry {
    pub(super) id: CallerId,
    pub(super) tier: TierId,
    pub(super) max_requests_per_second: u32,
    pub(super) max_concurrent: u32,
}

/// A dispatcher that can give a permit for an unkeyed service, once for each
/// of its active servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) group: GroupId,
    pub(super) dispatcher: NodeId,
}

/// Who a credential stands for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Identity {
    /// The configuration names no callers: everybody has the first tier.
    Anonymous(TierId),
    /// A configured caller.
    Caller(CallerEntry),
    /// Callers are configured and this is none of them.
    Unknown,
}

struct RouteTable {
    routes: Arc<GroupRoutes>,
    server_index: HashMap<ServerId, usize>,
}

/// What this node knows of services, callers, owners and dispatchers.
#[derive(Default)]
pub(super) struct Directory {
    configuration: Option<Arc<Configuration>>,
    services: HashMap<String, ServiceEntry>,
    callers: HashMap<String, CallerEntry>,
    first_tier: TierId,
    routes: BTreeMap<GroupId, RouteTable>,
    candidates: BTreeMap<ServiceId, Vec<Candidate>>,
}

impl Directory {
    /// Whether any configuration has come.
    pub(super) fn is_configured(&self) -> bool {
        self.configuration.is_some()
    }

    /// Takes a configuration unless it is older than the present one.
    pub(super) fn configure(&mut self, configuration: Arc<Configuration>) -> bool {
        if let Some(present) = &self.configuration
            && configuration.version < present.version
        {
            return false;
        }
        self.index_services(&configuration);
        self.index_callers(&configuration);
        self.first_tier = configuration
            .tiers
            .first()
            .map_or(TierId::default(), |tier| tier.id);
        self.configuration = Some(configuration);
        true
    }

    fn index_services(&mut self, configuration: &Configuration) {
        self.services = configuration
            .services
            .iter()
            .map(|service| {
                let entry = ServiceEntry {
                    id: service.id,
                    partitioning: service.partitioning,
                    groups: service.groups.max(1),
                    default_deadline: Span::from_millis(u64::from(service.default_deadline_ms)),
                };
                (service.name.0.clone(), entry)
            })
            .collect();
    }

    fn index_callers(&mut self, configuration: &Configuration) {
        self.callers = configuration
            .callers
            .iter()
            .map(|caller| {
                let entry = CallerEntry {
                    id: caller.id,
                    tier: caller.tier,
                    max_requests_per_second: caller.max_requests_per_second,
                    max_concurrent: caller.max_concurrent,
                };
                (caller.credential_sha256.0.clone(), entry)
            })
            .collect();
    }

    /// Takes a group's routes unless they are older than the present ones.
    pub(super) fn route(&mut self, routes: Arc<GroupRoutes>) -> bool {
        let group = routes.group;
        if let Some(present) = self.routes.get(&group)
            && routes.version < present.routes.version
        {
            return false;
        }
        let server_index = routes
            .servers
            .iter()
            .enumerate()
            .map(|(index, route)| (route.server, index))
            .collect();
        let table = RouteTable {
            routes,
            server_index,
        };
        self.routes.insert(group, table);
        self.index_candidates(group.service);
        true
    }

    fn index_candidates(&mut self, service: ServiceId) {
        let first = GroupId { service, part: 0 };
        let last = GroupId {
            service,
            part: u16::MAX,
        };
        let candidates = self
            .routes
            .range(first..=last)
            .flat_map(|(&group, table)| {
                let active = |route: &&ServerRoute| route.status == ServerStatus::Active;
                table
                    .routes
                    .servers
                    .iter()
                    .filter(active)
                    .map(move |route| Candidate {
                        group,
                        dispatcher: route.dispatcher,
                    })
            })
            .collect();
        self.candidates.insert(service, candidates);
    }

    pub(super) fn service(&self, name: &str) -> Option<ServiceEntry> {
        self.services.get(name).copied()
    }

    pub(super) fn identify(&self, credential_sha256: &str) -> Identity {
        if self.callers.is_empty() {
            return Identity::Anonymous(self.first_tier);
        }
        match self.callers.get(credential_sha256) {
            Some(&caller) => Identity::Caller(caller),
            None => Identity::Unknown,
        }
    }

    pub(super) fn slice(&self, group: GroupId, position: Position) -> Option<SliceRoute> {
        self.routes.get(&group)?.routes.slice_at(position).copied()
    }

    pub(super) fn server(&self, group: GroupId, server: ServerId) -> Option<&ServerRoute> {
        let table = self.routes.get(&group)?;
        let &index = table.server_index.get(&server)?;
        table.routes.servers.get(index)
    }

    /// Servers of the group that are lost by the present routes.
    pub(super) fn lost_servers(&self, group: GroupId) -> Vec<ServerId> {
        let Some(table) = self.routes.get(&group) else {
            return Vec::new();
        };
        table
            .routes
            .servers
            .iter()
            .filter(|route| route.status == ServerStatus::Lost)
            .map(|route| route.server)
            .collect()
    }

    pub(super) fn address(&self, group: GroupId, server: ServerId) -> Option<Text> {
        Some(self.server(group, server)?.address.clone())
    }

    /// Dispatchers of the service's active servers.
    pub(super) fn candidates(&self, service: ServiceId) -> &[Candidate] {
        self.candidates.get(&service).map_or(&[], Vec::as_slice)
    }
}
