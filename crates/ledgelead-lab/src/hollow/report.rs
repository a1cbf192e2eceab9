//! The report of a run.

use super::accounts::{Direction, Traffic};
use super::calibration::Costs;
use super::fit::{Fit, least_squares};
use super::options::Options;
use super::phases::Phase;
use super::roles::{REGRESSOR_NAMES, Roles};
use super::world::World;
use ledgelead_core::message::MessageKind;
use serde_json::{Map, Value, json};

/// Nanoseconds per second.
const NANOS_PER_SECOND: f64 = 1e9;

/// Whether a node has a role.
type HasRole = fn(&Roles) -> bool;

/// The results of a run.
pub struct Report {
    json: Value,
}

impl Report {
    /// Creates the report of a run.
    pub fn new(
        options: &Options,
        costs: Costs,
        resident_before: u64,
        world: &World,
        phases: Vec<Phase>,
    ) -> Report {
        let calm = &phases[0];
        let grown = calm.resident_bytes.saturating_sub(resident_before);
        let mut descriptions = Map::new();
        for phase in &phases {
            descriptions.insert(phase.kind.name().to_owned(), describe(phase, calm, &costs));
        }
        let json = json!({
            "nodes": options.nodes,
            "groups": world.shape.groups(),
            "services": world.shape.services,
            "servers": world.shape.servers,
            "seed": options.seed,
            "configure_first": options.configure_first,
            "started_after_seconds": world.started_after.as_seconds(),
            "virtual_seconds": world.now.as_seconds(),
            "events": world.events_handled(),
            "measured_costs": costs,
            "memory_bytes_per_node": grown as f64 / options.nodes as f64,
            "resident_bytes": calm.resident_bytes,
            "phases": descriptions,
        });
        Report { json }
    }

    /// Prints the report.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", self.json);
        } else {
            println!("{:#}", self.json);
        }
    }
}

fn describe(phase: &Phase, calm: &Phase, costs: &Costs) -> Value {
    let extra_bytes_per_event = if phase.events == 0 {
        Value::Null
    } else {
        let extra = mean_bytes(phase) - mean_bytes(calm);
        json!(extra * phase.seconds() / phase.events as f64)
    };
    let most_replicas = phase.running().map(|(_, roles)| roles.replicas).max();
    json!({
        "most_replicas_on_a_node": most_replicas,
        "seconds": phase.seconds(),
        "events": phase.events,
        "nodes_running": phase.running().count(),
        "control_bytes_per_second": bytes_summary(phase),
        "control_bytes_by_kind": by_kind(phase),
        "cpu_percent": cpu_summary(phase, costs),
        "by_role": by_role(phase, costs),
        "renewals_per_server_and_second": renewals_per_server(phase),
        "fit_bytes_per_second": named(&fit(phase, |index| phase.bytes_per_second(index))),
        "fit_decision_percent": named(&fit(phase, |index| {
            100.0 * seconds_of(phase.accounts[index].decision_nanos) / phase.seconds()
        })),
        "extra_bytes_per_node_and_event": extra_bytes_per_event,
        "extra_cpu_ms_per_node_and_event": extra_cpu(phase, calm),
        "busiest_second_bytes_max": phase
            .running()
            .map(|(index, _)| phase.accounts[index].busiest_second_bytes)
            .max(),
        "partners_max": phase
            .running()
            .map(|(index, _)| phase.accounts[index].partners.len())
            .max(),
        "configuration_lag": phase.configuration_lag,
        "routes_lag": phase.routes_lag,
        "routes_reached_after_begin": phase.reached_after,
        "requests_so_far": phase.requests,
        "dispatch_bytes_per_event": dispatch_per_event(phase),
        "owner_changes": phase.owner_changes,
        "last_assignment_ms": phase.last_assignment_ms,
        "failed_commands": phase.failed_commands,
        "held": phase.held,
    })
}

/// Bytes and frames on the request path per event of the phase. Each is counted once, at its
/// sender.
fn dispatch_per_event(phase: &Phase) -> Value {
    if phase.events == 0 {
        return Value::Null;
    }
    let flows = phase
        .accounts
        .iter()
        .map(|account| account.flow(Traffic::Peer(MessageKind::Dispatch)));
    let (bytes, frames) = flows.fold((0, 0), |(bytes, frames), flow| {
        (bytes + flow.bytes_out, frames + flow.messages_out)
    });
    let events = phase.events as f64;
    json!({ "bytes": bytes as f64 / events, "frames": frames as f64 / events })
}

fn renewals_per_server(phase: &Phase) -> f64 {
    let servers: usize = phase.running().map(|(_, roles)| roles.servers).sum();
    let renewals: u64 = phase
        .running()
        .map(|(index, _)| phase.accounts[index].flow(Traffic::Lease).messages_out)
        .sum();
    renewals as f64 / servers.max(1) as f64 / phase.seconds()
}

fn extra_cpu(phase: &Phase, calm: &Phase) -> Value {
    if phase.events == 0 {
        return Value::Null;
    }
    let mean = |phase: &Phase| {
        mean(phase.running().map(|(index, _)| {
            let account = &phase.accounts[index];
            seconds_of(account.decision_nanos + account.codec_nanos) / phase.seconds()
        }))
    };
    json!((mean(phase) - mean(calm)) * phase.seconds() * 1_000.0 / phase.events as f64)
}

fn mean_bytes(phase: &Phase) -> f64 {
    mean(
        phase
            .running()
            .map(|(index, _)| phase.bytes_per_second(index)),
    )
}

fn bytes_summary(phase: &Phase) -> Value {
    let sum = |index: usize| phase.bytes_per_second(index);
    let sent = |index: usize| phase.bytes_per_second_of(index, Direction::Out);
    let received = |index: usize| phase.bytes_per_second_of(index, Direction::In);
    json!({
        "sum": mean_and_max(phase, sum),
        "out": mean_and_max(phase, sent),
        "in": mean_and_max(phase, received),
    })
}

fn by_kind(phase: &Phase) -> Value {
    let mut kinds = Map::new();
    for traffic in Traffic::ALL {
        let flow = |index: usize| phase.accounts[index].flow(traffic);
        let rate = |value: u64| value as f64 / phase.seconds();
        let descriptions = json!({
            "out": mean_and_max(phase, |index| rate(flow(index).bytes_out)),
            "in": mean_and_max(phase, |index| rate(flow(index).bytes_in)),
            "messages": mean_and_max(phase, |index| {
                rate(flow(index).messages_out + flow(index).messages_in)
            }),
        });
        kinds.insert(traffic.name().to_owned(), descriptions);
    }
    Value::Object(kinds)
}

fn cpu_summary(phase: &Phase, costs: &Costs) -> Value {
    let percent = |nanos: u64| 100.0 * seconds_of(nanos) / phase.seconds();
    let decisions = |index: usize| percent(phase.accounts[index].decision_nanos);
    let codec = |index: usize| percent(phase.accounts[index].codec_nanos);
    let sockets = |index: usize| percent(World::socket_nanos(&phase.accounts[index], costs));
    json!({
        "decisions": mean_and_max(phase, decisions),
        "codec_and_authentication": mean_and_max(phase, codec),
        "sockets_estimated": mean_and_max(phase, sockets),
        "sum": mean_and_max(phase, |index| decisions(index) + codec(index) + sockets(index)),
    })
}

fn by_role(phase: &Phase, costs: &Costs) -> Value {
    let roles: [(&str, HasRole); 5] = [
        ("gateway-only", Roles::is_gateway_only),
        ("replica", |roles| roles.replicas > 0),
        ("leader", |roles| roles.led > 0),
        ("dispatcher", |roles| roles.servers > 0),
        ("configuration-reader", |roles| roles.reads_configuration),
    ];
    let mut descriptions = Map::new();
    for (name, has_role) in roles {
        let nodes: Vec<(usize, Roles)> = phase
            .running()
            .filter(|(_, roles)| has_role(roles))
            .collect();
        let worst = nodes.iter().max_by(|one, two| {
            let (one, two) = (phase.bytes_per_second(one.0), phase.bytes_per_second(two.0));
            one.total_cmp(&two)
        });
        let cpu = |index: usize| {
            let account = &phase.accounts[index];
            let nanos =
                account.decision_nanos + account.codec_nanos + World::socket_nanos(account, costs);
            100.0 * seconds_of(nanos) / phase.seconds()
        };
        let value = json!({
            "nodes": nodes.len(),
            "bytes_per_second_mean": mean(nodes.iter().map(|node| phase.bytes_per_second(node.0))),
            "bytes_per_second_max": worst.map(|node| phase.bytes_per_second(node.0)),
            "worst_node_has": worst.map(|node| node.1),
            "cpu_percent_mean": mean(nodes.iter().map(|node| cpu(node.0))),
            "cpu_percent_max": nodes.iter().map(|node| cpu(node.0)).fold(0.0, f64::max),
        });
        descriptions.insert(name.to_owned(), value);
    }
    Value::Object(descriptions)
}

fn fit(phase: &Phase, value: impl Fn(usize) -> f64) -> Fit {
    let (rows, values): (Vec<Vec<f64>>, Vec<f64>) = phase
        .running()
        .map(|(index, roles)| (roles.regressors(), value(index)))
        .unzip();
    least_squares(&rows, &values)
}

fn named(fit: &Fit) -> Value {
    let mut descriptions = Map::new();
    for (name, coefficient) in REGRESSOR_NAMES.into_iter().zip(&fit.coefficients) {
        descriptions.insert(name.to_owned(), json!(coefficient));
    }
    descriptions.insert("r-squared".to_owned(), json!(fit.r_squared));
    Value::Object(descriptions)
}

fn mean_and_max(phase: &Phase, value: impl Fn(usize) -> f64) -> Value {
    let values: Vec<f64> = phase.running().map(|(index, _)| value(index)).collect();
    json!({
        "mean": mean(values.iter().copied()),
        "max": values.iter().copied().fold(0.0, f64::max),
    })
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0_usize), |(sum, count), value| {
        (sum + value, count + 1)
    });
    sum / count.max(1) as f64
}

fn seconds_of(nanos: u64) -> f64 {
    nanos as f64 / NANOS_PER_SECOND
}
