//! Views and configurations for tests.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod deployment;

use ledgelead_types::administration::{ConfigurationChange, GroupOperation};
use ledgelead_types::configuration::*;
use ledgelead_types::routes::*;
use ledgelead_types::server::LoadReport;
use ledgelead_types::view::*;
use ledgelead_types::*;

/// Servers of the service `vacantes`, which is partitioned by key, and the slots in use of
/// each.
const SERVERS: [(&str, u16); 4] = [("v-1", 1), ("v-2", 2), ("v-3", 0), ("v-4", 2)];

/// SHA-256 of the empty string, used as a credential.
pub const CREDENTIAL: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Three zones, one service partitioned by key and one not, two tiers and a caller.
pub fn configuration() -> Configuration {
    let zone = |(index, name): (usize, &&str)| ZoneConfiguration {
        id: ZoneId(index as u16 + 1),
        name: (*name).into(),
        region: "bogota".into(),
    };
    let tier = |id, name: &str, weight, guaranteed_percent| TierConfiguration {
        id: TierId(id),
        name: name.into(),
        weight,
        guaranteed_percent,
    };
    let servers = SERVERS
        .iter()
        .enumerate()
        .map(|(index, (name, _))| server(index, name));
    Configuration {
        version: ConfigurationVersion(7),
        zones: ["chapinero", "kennedy", "suba"]
            .iter()
            .enumerate()
            .map(zone)
            .collect(),
        services: List(vec![
            service(1, "vacantes", Partitioning::Hash, "jobs"),
            service(2, "preview", Partitioning::None, "media"),
        ]),
        servers: servers.collect(),
        tiers: List(vec![tier(1, "gold", 8, 20), tier(2, "bronze", 1, 5)]),
        callers: List(vec![CallerConfiguration {
            id: CallerId(1),
            name: "portal".into(),
            credential_sha256: CREDENTIAL.into(),
            tier: TierId(1),
            ..CallerConfiguration::default()
        }]),
        ..Configuration::default()
    }
}

fn service(id: u32, name: &str, partitioning: Partitioning, team: &str) -> ServiceConfiguration {
    ServiceConfiguration {
        id: ServiceId(id),
        name: name.into(),
        team: team.into(),
        partitioning,
        groups: 1,
        replicas: 3,
        slices_per_server: 2,
        default_deadline_ms: 2_000,
        ..ServiceConfiguration::default()
    }
}

fn server(index: usize, name: &str) -> ServerConfiguration {
    ServerConfiguration {
        id: ServerId(index as u32 + 1),
        name: name.into(),
        service: ServiceId(1),
        zone: ZoneId(index as u16 % 3 + 1),
        address: Text(format!("10.0.0.{}:8080", index + 1)),
        slots: 2,
        max_connections: 130,
    }
}

/// View of node 1: eight slices distributed over four servers in turn.
pub fn view() -> NodeView {
    let configuration = configuration();
    let node = |number: u32, live, version| NodeStatusView {
        node: NodeId(number),
        zone: ZoneId(number as u16),
        address: format!("10.0.1.{number}:7000"),
        live,
        configuration: ConfigurationVersion(version),
        ..NodeStatusView::default()
    };
    let loads = SERVERS
        .iter()
        .enumerate()
        .map(|(index, (_, used))| ServerLoadView {
            server: ServerId(index as u32 + 1),
            requests_per_second: 40.0 * f64::from(*used),
            slots_in_use: *used,
            queued: u32::from(*used / 2) * 3,
            report: LoadReport::default(),
            lease_left: Some(Span::from_millis(250)),
        });
    NodeView {
        node: NodeId(1),
        zone: ZoneId(1),
        nodes: vec![node(1, true, 7), node(2, true, 6), node(3, false, 5)],
        groups: vec![
            keyed_group(&configuration),
            GroupView {
                routes: GroupRoutes {
                    group: GroupId {
                        service: ServiceId(2),
                        part: 0,
                    },
                    ..GroupRoutes::default()
                },
                ..GroupView::default()
            },
        ],
        servers: loads.collect(),
        platform_reachable: Some(true),
        configuration,
        ..NodeView::default()
    }
}

fn keyed_group(configuration: &Configuration) -> GroupView {
    let token = |revision| FencingToken {
        epoch: Epoch(1),
        term: Term(2),
        revision: Revision(revision),
    };
    let slice = |index: u64| SliceRoute {
        range: PositionRange::ALL.part(index, 8),
        owner: Some(ServerId(index as u32 % 4 + 1)),
        token: token(index + 4),
    };
    let route = |server: &ServerConfiguration| ServerRoute {
        server: server.id,
        zone: server.zone,
        address: server.address.clone(),
        status: ServerStatus::Active,
        dispatcher: NodeId(server.id.0 % 3 + 1),
        slots: server.slots,
        max_connections: server.max_connections,
    };
    let member = |node| Member {
        node: NodeId(node),
        incarnation: Incarnation(u64::from(node)),
    };
    GroupView {
        routes: GroupRoutes {
            group: GroupId {
                service: ServiceId(1),
                part: 0,
            },
            version: token(12),
            leader: member(2),
            members: (1..=3).map(member).collect(),
            slices: (0..8).map(slice).collect(),
            servers: configuration.servers.iter().map(route).collect(),
        },
        epoch: Epoch(1),
        term: Some(Term(2)),
        leads: false,
        snapshot_lag: Some(Span::from_millis(900)),
        slice_loads: vec![20.0, 50.0, 0.0, 40.0, 20.0, 30.0, 0.0, 40.0],
        imbalance: Some(1.6),
    }
}

/// Sets a server's status in all routes, as a group's operation does.
pub fn operate(view: &mut NodeView, operation: GroupOperation) {
    let (server, status) = match operation {
        GroupOperation::Drain(server) => (server, ServerStatus::Draining),
        GroupOperation::Retire(server) => (server, ServerStatus::Retired),
        GroupOperation::Activate(server) => (server, ServerStatus::Active),
        _ => return,
    };
    let routes = view
        .groups
        .iter_mut()
        .flat_map(|group| group.routes.servers.iter_mut());
    for route in routes.filter(|route| route.server == server) {
        route.status = status;
    }
}

/// Applies changes as the configuration manager does.
pub fn configure(view: &mut NodeView, changes: &[ConfigurationChange], id: &str) {
    let changed = ledgelead_configuration::apply_changes(&view.configuration, changes, id);
    view.configuration = changed.expect("the changes were checked");
}
