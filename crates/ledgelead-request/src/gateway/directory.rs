//! Indexes over the configuration and the routes, rebuilt when these change, so that a
//! request only needs lookups.

use ledgelead_types::configuration::{Configuration, Partitioning};
use ledgelead_types::routes::{GroupRoutes, ServerRoute, ServerStatus, SliceRoute};
use ledgelead_types::{
    CallerId, GroupId, NodeId, Position, PositionRange, ServerId, ServiceId, Span, Text, TierId,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The configuration of a service that requests need.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEntry {
    pub(super) id: ServiceId,
    pub(super) partitioning: Partitioning,
    pub(super) groups: u16,
    pub(super) default_deadline: Span,
}

impl ServiceEntry {
    /// The group that is responsible for a position.
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

    /// The group that stores the record of an idempotency key, for a service that is not
    /// partitioned by key.
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

/// The configuration of a caller that requests need.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerEntry {
    pub(super) id: CallerId,
    pub(super) tier: TierId,
    pub(super) max_requests_per_second: u32,
    pub(super) max_concurrent: u32,
}

/// A dispatcher that can give permits for a service without keys. It is listed once per
/// active server of its own, so that a uniform choice is proportional to its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) group: GroupId,
    pub(super) dispatcher: NodeId,
}

/// Result of looking up a credential.
#[derive(Clone, Copy, Debug)]
pub(super) enum Identity {
    /// No callers are configured: everybody gets the first tier.
    Anonymous(TierId),
    /// A configured caller.
    Caller(CallerEntry),
    /// Callers are configured, and the credential belongs to none of them.
    Unknown,
}

struct RouteTable {
    routes: Arc<GroupRoutes>,
    server_index: HashMap<ServerId, usize>,
}

/// This node's index of services, callers, owners and dispatchers.
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
    /// Whether a configuration has been received.
    pub(super) fn is_configured(&self) -> bool {
        self.configuration.is_some()
    }

    /// Applies a configuration unless it is older than the current one; returns whether it
    /// was applied.
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

    /// Applies a group's routes unless they are older than the current ones; returns whether
    /// they were applied.
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

    /// Servers of the group that the current routes mark as lost.
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

    /// Dispatchers of the service, one entry per active server.
    pub(super) fn candidates(&self, service: ServiceId) -> &[Candidate] {
        self.candidates.get(&service).map_or(&[], Vec::as_slice)
    }
}
