//! Rows about the running deployment: servers, slices, nodes, groups and leases.

use super::PERCENT;
use crate::Cell;
use crate::names::{group_name, group_of_server, server_name, service_name, zone_name};
use ledgelead_types::configuration::{Partitioning, ServerConfiguration};
use ledgelead_types::routes::{GroupRoutes, ServerRoute, ServerStatus, SliceRoute};
use ledgelead_types::view::{GroupView, NodeStatusView, NodeView, ServerLoadView};
use ledgelead_types::{GroupId, ServerId, Span};

type Rows = Vec<Vec<Cell>>;

/// A view's data about one server.
pub(crate) struct ServerSummary<'a> {
    pub(crate) group: GroupId,
    pub(crate) route: Option<&'a ServerRoute>,
    pub(crate) load: Option<&'a ServerLoadView>,
    /// Number of slices owned.
    pub(crate) slices: usize,
    /// Share of the position space owned, from 0 to 1.
    pub(crate) share: f64,
}

impl<'a> ServerSummary<'a> {
    /// Collects the data of a server from a view.
    pub(crate) fn of(view: &'a NodeView, server: &ServerConfiguration) -> ServerSummary<'a> {
        let group = group_of_server(&view.configuration, server);
        let routes = routes_of(view, group);
        let owned: Vec<&SliceRoute> = routes
            .iter()
            .flat_map(|routes| routes.slices.iter())
            .filter(|slice| slice.owner == Some(server.id))
            .collect();
        ServerSummary {
            group,
            route: routes.and_then(|routes| routes.server(server.id)),
            load: view.servers.iter().find(|load| load.server == server.id),
            slices: owned.len(),
            share: owned
                .iter()
                .fold(0.0, |share, slice| share + slice.range.share()),
        }
    }

    /// Ratio of slots in use to all slots.
    pub(crate) fn load(&self, server: &ServerConfiguration) -> Option<f64> {
        let load = self.load?;
        Some(f64::from(load.slots_in_use) / f64::from(server.slots.max(1)))
    }
}

/// The routes of a group, if it has published any.
pub(crate) fn routes_of(view: &NodeView, group: GroupId) -> Option<&GroupRoutes> {
    view.groups
        .iter()
        .map(|group| &group.routes)
        .find(|routes| routes.group == group)
}

pub(super) fn servers(view: &NodeView) -> Rows {
    let configuration = &view.configuration;
    let row = |server: &ServerConfiguration| {
        let summary = ServerSummary::of(view, server);
        vec![
            Cell::text(&server.name),
            service_name(configuration, server.service).into(),
            zone_name(configuration, server.zone).into(),
            group_name(configuration, summary.group).into(),
            summary.route.map(|route| status_name(route.status)).into(),
            Cell::count(summary.slices),
            Cell::Number(summary.share * PERCENT),
            summary.load(server).into(),
            summary.load.map(|load| load.requests_per_second).into(),
            summary
                .load
                .map_or(Cell::Missing, |load| Cell::count(load.queued)),
            Cell::count(server.slots),
            Cell::count(server.max_connections),
            millis(summary.load.and_then(|load| load.lease_left)),
            summary
                .route
                .map(|route| route.dispatcher.to_string())
                .into(),
            Cell::text(&server.address),
        ]
    };
    configuration.servers.iter().map(row).collect()
}

pub(super) fn leases(view: &NodeView) -> Rows {
    let configuration = &view.configuration;
    let row = |server: &ServerConfiguration| {
        let summary = ServerSummary::of(view, server);
        let remaining = summary.load.and_then(|load| load.lease_left);
        vec![
            Cell::text(&server.name),
            service_name(configuration, server.service).into(),
            group_name(configuration, summary.group).into(),
            summary
                .route
                .map(|route| route.dispatcher.to_string())
                .into(),
            match summary.load {
                Some(_) if needs_lease(view, server) => Cell::Flag(remaining.is_some()),
                _ => Cell::Missing,
            },
            millis(remaining),
            Cell::count(summary.slices),
        ]
    };
    configuration.servers.iter().map(row).collect()
}

/// Whether a server needs a lease; servers of a service without keys do not.
fn needs_lease(view: &NodeView, server: &ServerConfiguration) -> bool {
    let service = view.configuration.service(server.service);
    service.is_some_and(|service| service.partitioning != Partitioning::None)
}

pub(super) fn slices(view: &NodeView) -> Rows {
    view.groups
        .iter()
        .flat_map(|group| slices_of_group(view, group))
        .collect()
}

fn slices_of_group(view: &NodeView, group: &GroupView) -> Rows {
    let configuration = &view.configuration;
    let id = group.routes.group;
    let owner = |server: ServerId| server_name(configuration, server);
    let row = |(index, slice): (usize, &SliceRoute)| {
        vec![
            service_name(configuration, id.service).into(),
            group_name(configuration, id).into(),
            Cell::text(format_args!("{:016x}", slice.range.first.0)),
            Cell::text(format_args!("{:016x}", slice.range.last.0)),
            Cell::Number(slice.range.share() * PERCENT),
            slice.owner.map(owner).into(),
            group.slice_loads.get(index).copied().into(),
            Cell::text(slice.token),
        ]
    };
    group.routes.slices.iter().enumerate().map(row).collect()
}

pub(super) fn nodes(view: &NodeView) -> Rows {
    let newest = view.configuration.version;
    let row = |node: &NodeStatusView| {
        vec![
            Cell::text(node.node),
            zone_name(&view.configuration, node.zone).into(),
            Cell::text(&node.address),
            Cell::Flag(node.live),
            Cell::Count(node.configuration.0),
            Cell::Count(newest.0.saturating_sub(node.configuration.0)),
        ]
    };
    view.nodes.iter().map(row).collect()
}

pub(super) fn groups(view: &NodeView) -> Rows {
    let row = |group: &GroupView| {
        let routes = &group.routes;
        let is_published = !routes.members.is_empty();
        let members: Vec<String> = routes
            .members
            .iter()
            .map(|member| member.node.to_string())
            .collect();
        let unowned = routes.slices.iter().filter(|slice| slice.owner.is_none());
        vec![
            group_name(&view.configuration, routes.group).into(),
            service_name(&view.configuration, routes.group.service).into(),
            is_published.then(|| routes.leader.node.to_string()).into(),
            is_published.then(|| members.join(" ")).into(),
            Cell::Count(group.epoch.0),
            group.term.map_or(Cell::Missing, |term| Cell::Count(term.0)),
            Cell::count(routes.servers.len()),
            Cell::count(routes.slices.len()),
            Cell::count(unowned.count()),
            group.imbalance.into(),
            millis(group.snapshot_lag),
        ]
    };
    view.groups.iter().map(row).collect()
}

fn millis(span: Option<Span>) -> Cell {
    span.map(Span::as_millis).into()
}

/// Name of a status in the language.
pub(crate) fn status_name(status: ServerStatus) -> &'static str {
    match status {
        ServerStatus::Active => "active",
        ServerStatus::Draining => "draining",
        ServerStatus::Retired => "retired",
        ServerStatus::Lost => "lost",
    }
}
