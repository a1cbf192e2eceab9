//! Rows about the configuration. Credentials are never included.

use crate::Cell;
use crate::names::zone_name;
use ledgelead_types::configuration::*;
use ledgelead_types::view::NodeView;

type Rows = Vec<Vec<Cell>>;

pub(super) fn services(view: &NodeView) -> Rows {
    let configuration = &view.configuration;
    let row = |service: &ServiceConfiguration| {
        let servers = configuration
            .servers
            .iter()
            .filter(|server| server.service == service.id);
        vec![
            Cell::text(&service.name),
            Cell::count(service.id.0),
            named(&service.team),
            Cell::from(partitioning_name(service.partitioning)),
            Cell::count(service.groups),
            Cell::count(service.replicas),
            Cell::count(servers.count()),
            Cell::count(service.slices_per_server),
            Cell::Number(service.balance.target_imbalance),
            Cell::Number(service.balance.churn_price),
            Cell::Number(service.balance.max_churn_percent_per_minute),
            Cell::count(service.default_deadline_ms),
        ]
    };
    configuration.services.iter().map(row).collect()
}

pub(super) fn zones(view: &NodeView) -> Rows {
    let configuration = &view.configuration;
    let row = |zone: &ZoneConfiguration| {
        let servers = configuration
            .servers
            .iter()
            .filter(|server| server.zone == zone.id);
        let nodes = view
            .nodes
            .iter()
            .filter(|node| node.live && node.zone == zone.id);
        vec![
            Cell::from(zone_name(configuration, zone.id)),
            Cell::count(zone.id.0),
            named(&zone.region),
            Cell::count(servers.count()),
            Cell::count(nodes.count()),
        ]
    };
    configuration.zones.iter().map(row).collect()
}

pub(super) fn tiers(view: &NodeView) -> Rows {
    let configuration = &view.configuration;
    let row = |tier: &TierConfiguration| {
        let callers = configuration
            .callers
            .iter()
            .filter(|caller| caller.tier == tier.id);
        vec![
            Cell::text(&tier.name),
            Cell::count(tier.id.0),
            Cell::count(tier.weight),
            Cell::count(tier.guaranteed_percent),
            Cell::count(callers.count()),
        ]
    };
    configuration.tiers.iter().map(row).collect()
}

pub(super) fn callers(view: &NodeView) -> Rows {
    let configuration = &view.configuration;
    let row = |caller: &CallerConfiguration| {
        let tier = configuration
            .tiers
            .iter()
            .find(|tier| tier.id == caller.tier);
        vec![
            Cell::text(&caller.name),
            Cell::count(caller.id.0),
            tier.map(|tier| tier.name.0.clone()).into(),
            limit(caller.max_requests_per_second),
            limit(caller.max_concurrent),
        ]
    };
    configuration.callers.iter().map(row).collect()
}

pub(super) fn operators(view: &NodeView) -> Rows {
    let row = |operator: &OperatorConfiguration| {
        let teams: Vec<&str> = operator.teams.iter().map(|team| &**team).collect();
        vec![
            Cell::text(&operator.name),
            Cell::from(role_name(operator.role)),
            if teams.is_empty() {
                Cell::from("all")
            } else {
                Cell::from(teams.join(","))
            },
        ]
    };
    view.configuration.operators.iter().map(row).collect()
}

pub(super) fn configuration(view: &NodeView) -> Rows {
    let configuration = &view.configuration;
    let last = configuration.applied_commands.last();
    vec![vec![
        Cell::Count(configuration.version.0),
        Cell::count(configuration.zones.len()),
        Cell::count(configuration.services.len()),
        Cell::count(configuration.servers.len()),
        Cell::count(configuration.tiers.len()),
        Cell::count(configuration.callers.len()),
        Cell::count(configuration.operators.len()),
        view.platform_reachable.map_or(Cell::Missing, Cell::Flag),
        last.map(|applied| applied.id.0.clone()).into(),
    ]]
}

/// An empty text is shown as missing.
fn named(text: &str) -> Cell {
    Some(text)
        .filter(|text| !text.is_empty())
        .map(str::to_owned)
        .into()
}

/// 0 stands for no limit and is shown as missing.
fn limit(value: u32) -> Cell {
    if value == 0 {
        return Cell::Missing;
    }
    Cell::count(value)
}

pub(crate) fn partitioning_name(partitioning: Partitioning) -> &'static str {
    match partitioning {
        Partitioning::Hash => "hash",
        Partitioning::Ordered => "ordered",
        Partitioning::None => "none",
    }
}

pub(crate) fn role_name(role: OperatorRole) -> &'static str {
    match role {
        OperatorRole::Read => "read",
        OperatorRole::Operate => "operate",
        OperatorRole::Administer => "administer",
    }
}
