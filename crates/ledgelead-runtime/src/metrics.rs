//! The node's metrics in the Prometheus text format.

use crate::inbound::Closed;
use ledgelead_router::node::NodeStatus;
use ledgelead_router::peers::PeerTraffic;
use ledgelead_router::zone_traffic::ZoneTraffic;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabel {
    call: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct QuarantineLabel {
    digest: String,
    path: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TrafficLabel {
    direction: &'static str,
    kind: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct VerdictLabel {
    verdict: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ZoneLabel {
    direction: &'static str,
    purpose: &'static str,
    other_zone: &'static str,
}

/// Metrics of the connections' buffers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BufferStats {
    /// Bytes that all buffers take now.
    pub(crate) bytes: usize,
    /// Connections that were closed because of a limit.
    pub(crate) closed: Closed,
}

/// Encodes all metrics.
pub(crate) fn render(
    status: &NodeStatus,
    buffers: BufferStats,
    unsolicited_answers: u64,
) -> String {
    let mut registry = Registry::with_prefix("ledgelead");
    gauge(
        &mut registry,
        "ready",
        "Whether new clients may be sent here",
        u64::from(status.ready),
    );
    gauge(
        &mut registry,
        "configuration_version",
        "Version in force",
        status.configuration.unwrap_or(0),
    );
    gauge(
        &mut registry,
        "instances",
        "Instances known",
        status.instances as u64,
    );
    gauge(
        &mut registry,
        "nodes",
        "Registered nodes",
        status.nodes as u64,
    );
    gauge(
        &mut registry,
        "evacuated_zones",
        "Zones whose instances get nothing",
        status.evacuated_zones as u64,
    );
    gauge(
        &mut registry,
        "ownership_epoch",
        "Epoch of the newest record",
        status.epoch,
    );
    gauge(
        &mut registry,
        "coordinating",
        "Whether this node coordinates",
        u64::from(status.coordinator.is_some()),
    );
    gauge(
        &mut registry,
        "isolated",
        "Whether this node reaches no instance",
        u64::from(status.isolated),
    );
    gauge(
        &mut registry,
        "failing_links",
        "Instances that this node doesn't reach itself",
        status.failing_links as u64,
    );
    gauge(
        &mut registry,
        "open_requests",
        "Requests without an answer",
        status.open as u64,
    );
    counter(
        &mut registry,
        "late_timers",
        "Times that timers of requests were handled over 100 ms late",
        status.late_timers,
    );
    counter(
        &mut registry,
        "selections",
        "Selections among the instances of a service",
        status.requests.selections,
    );
    counter(
        &mut registry,
        "decisions",
        "Steps decided for requests",
        status.requests.decisions,
    );
    counter(
        &mut registry,
        "requests",
        "Requests received",
        status.requests.received,
    );
    counter(
        &mut registry,
        "answers_relayed",
        "Answers of instances passed on",
        status.requests.relayed,
    );
    counter(
        &mut registry,
        "attempts",
        "Requests sent to instances",
        status.requests.attempts,
    );
    counter(
        &mut registry,
        "clients_left",
        "Clients that left before their answer",
        status.requests.clients_left,
    );
    counter(
        &mut registry,
        "store_calls",
        "Calls to the store",
        status.store_calls,
    );
    counter(
        &mut registry,
        "store_failures",
        "Calls to the store that failed or were refused",
        status.store_failures,
    );
    counter(
        &mut registry,
        "log_lines_dropped",
        "Log lines dropped since nobody read them in time",
        crate::logging::dropped_lines(),
    );
    counter(
        &mut registry,
        "unsolicited_answers",
        "Answers that belonged to no exchange on their connection",
        unsolicited_answers,
    );
    counter(
        &mut registry,
        "former_heartbeats",
        "Heartbeats of coordinators before the newest one",
        status.former_heartbeats,
    );
    counter(
        &mut registry,
        "transfers_received",
        "Whole lists that other nodes have sent",
        status.transfers.received,
    );
    counter(
        &mut registry,
        "transfers_sent",
        "Whole lists that were sent to other nodes",
        status.transfers.sent,
    );
    if let Some(counts) = status.coordinator {
        counter(&mut registry, "grants", "Grants answered", counts.grants);
        counter(
            &mut registry,
            "grants_unanswered",
            "Grants without an answer",
            counts.grants_unanswered,
        );
        counter(
            &mut registry,
            "releases",
            "Releases answered",
            counts.releases,
        );
        counter(
            &mut registry,
            "lease_lapses",
            "Leases waited out",
            counts.lapses,
        );
        counter(
            &mut registry,
            "moves",
            "Ranges that changed their owner",
            counts.moves,
        );
    }
    let refused = Family::<ReasonLabel, Counter>::default();
    for (reason, count) in &status.requests.refused {
        refused
            .get_or_create(&ReasonLabel { reason })
            .inc_by(*count);
    }
    registry.register("refusals", "Own answers by reason", refused);
    register_retries(&mut registry, status);
    register_forwards(&mut registry, status);
    register_notices(&mut registry, status);
    register_calls(&mut registry, status);
    register_quarantine(&mut registry, status);
    register_unreadable(&mut registry, status);
    register_relayed(&mut registry, status);
    register_traffic(&mut registry, &status.traffic);
    register_permits(&mut registry, status);
    register_rate_limits(&mut registry, status);
    register_zone_traffic(&mut registry, &status.zone_traffic);
    register_buffers(&mut registry, buffers);
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = encode(&mut text, &registry);
    text
}

fn register_retries(registry: &mut Registry, status: &NodeStatus) {
    let retries = Family::<ReasonLabel, Counter>::default();
    for (reason, count) in &status.requests.retries {
        let label = ReasonLabel { reason };
        retries.get_or_create(&label).inc_by(*count);
    }
    registry.register(
        "repeats",
        "Repeats asked for, by what became of them",
        retries,
    );
}

fn register_forwards(registry: &mut Registry, status: &NodeStatus) {
    let sent = Family::<ReasonLabel, Counter>::default();
    for (reason, count) in &status.requests.forwards {
        sent.get_or_create(&ReasonLabel { reason }).inc_by(*count);
    }
    registry.register(
        "forwards_sent",
        "Attempts sent by way of another node, by outcome",
        sent,
    );
    let received = Family::<ReasonLabel, Counter>::default();
    for (reason, count) in &status.forwarded {
        received
            .get_or_create(&ReasonLabel { reason })
            .inc_by(*count);
    }
    registry.register(
        "forwards_received",
        "Attempts that other nodes asked for, by how they were handled",
        received,
    );
}

fn register_notices(registry: &mut Registry, status: &NodeStatus) {
    let notices = Family::<KindLabel, Counter>::default();
    for (kind, count) in &status.requests.notices {
        notices.get_or_create(&KindLabel { kind }).inc_by(*count);
    }
    registry.register(
        "instance_notices",
        "Answers in which instances said that they leave, asked for a pause, or named a rate limit",
        notices,
    );
}

fn register_calls(registry: &mut Registry, status: &NodeStatus) {
    let calls = Family::<CallLabel, Counter>::default();
    for (call, count) in &status.store_calls_by {
        calls.get_or_create(&CallLabel { call }).inc_by(*count);
    }
    registry.register(
        "store_calls_by",
        "Calls to the store by what they were for",
        calls,
    );
}

fn register_relayed(registry: &mut Registry, status: &NodeStatus) {
    let announced = Family::<KindLabel, Gauge>::default();
    let known = Family::<KindLabel, Gauge>::default();
    for (kind, revisions) in &status.announced_and_known {
        let label = KindLabel { kind };
        set(&announced.get_or_create(&label), revisions.0);
        set(&known.get_or_create(&label), revisions.1);
    }
    registry.register(
        "announced_revision",
        "Newest revision that another node has announced",
        announced,
    );
    registry.register("known_revision", "Revision that this node knows", known);
}

fn register_unreadable(registry: &mut Registry, status: &NodeStatus) {
    let unreadable = Family::<KindLabel, Counter>::default();
    for (kind, count) in &status.unreadable {
        unreadable.get_or_create(&KindLabel { kind }).inc_by(*count);
    }
    registry.register(
        "objects_unreadable",
        "Objects of the store that could not be read, each time",
        unreadable,
    );
}

fn register_quarantine(registry: &mut Registry, status: &NodeStatus) {
    gauge(
        registry,
        "suspected_requests",
        "Requests under which some instance ended",
        status.suspected as u64,
    );
    gauge(
        registry,
        "ended_instances",
        "Instances that ended under them",
        status.ends_counted as u64,
    );
    counter(
        registry,
        "evidence_reviews",
        "Reviews of the evidence about them",
        status.evidence_reviews,
    );
    let quarantined = Family::<QuarantineLabel, Gauge>::default();
    for (digest, path) in &status.quarantined {
        let label = QuarantineLabel {
            digest: digest.to_string(),
            path: path.clone(),
        };
        set(&quarantined.get_or_create(&label), 1);
    }
    registry.register(
        "quarantined_request",
        "Held back, since instances ended under it",
        quarantined,
    );
}

fn register_traffic(registry: &mut Registry, traffic: &PeerTraffic) {
    let datagrams = Family::<TrafficLabel, Counter>::default();
    let bytes = Family::<TrafficLabel, Counter>::default();
    for (direction, counts) in [("sent", &traffic.sent), ("received", &traffic.received)] {
        for (kind, count) in counts {
            let label = TrafficLabel { direction, kind };
            datagrams.get_or_create(&label).inc_by(count.datagrams);
            bytes.get_or_create(&label).inc_by(count.bytes);
        }
    }
    registry.register("peer_datagrams", "Datagrams between nodes", datagrams);
    registry.register("peer_bytes", "Bytes of datagrams between nodes", bytes);
}

fn register_permits(registry: &mut Registry, status: &NodeStatus) {
    counter(
        registry,
        "permits_asked",
        "Permits that requests here have asked dispatchers for",
        status.permits.requested,
    );
    counter(
        registry,
        "permits_missed",
        "Requests that had to ask for a permit and went on without one",
        status.permits.missed,
    );
    let dispatched = status.dispatched;
    register_verdicts(
        registry,
        "dispatched",
        "Decisions as dispatcher; a queued ask counts again as it is granted or refused, an early one as well by what it got",
        &[
            ("granted", dispatched.granted),
            ("queued", dispatched.queued),
            ("refused", dispatched.refused),
            ("early", dispatched.early),
        ],
    );
    gauge(
        registry,
        "dispatch_waiting",
        "Requests that wait in the queues of this dispatcher",
        status.dispatch_waiting as u64,
    );
}

fn register_buffers(registry: &mut Registry, buffers: BufferStats) {
    gauge(
        registry,
        "held_bytes",
        "Memory of requests and answers in buffers, to and from clients and instances",
        buffers.bytes as u64,
    );
    counter(
        registry,
        "slow_clients_dropped",
        "Clients that did not read their answer while memory was short",
        buffers.closed.unread_answers,
    );
    let closed = Family::<ReasonLabel, Counter>::default();
    for (reason, count) in buffers.closed.by_reason() {
        let labels = ReasonLabel { reason };
        closed.get_or_create(&labels).inc_by(count);
    }
    registry.register(
        "connections_closed",
        "Connections to this node that were closed because of a limit",
        closed,
    );
}

fn register_rate_limits(registry: &mut Registry, status: &NodeStatus) {
    register_verdicts(
        registry,
        "rate_limit_tokens",
        "Requests to instances with rate limits that this node was asked to allow",
        &[
            ("granted", status.limiter.granted),
            ("refused", status.limiter.refused),
        ],
    );
    gauge(
        registry,
        "rate_limited_instances",
        "Instances that name a rate limit, or have lately ceased to",
        status.rate_limits as u64,
    );
}

fn register_verdicts(
    registry: &mut Registry,
    name: &str,
    help: &str,
    counts: &[(&'static str, u64)],
) {
    let decided = Family::<VerdictLabel, Counter>::default();
    for (verdict, count) in counts {
        let label = VerdictLabel { verdict };
        decided.get_or_create(&label).inc_by(*count);
    }
    registry.register(name, help, decided);
}

fn register_zone_traffic(registry: &mut Registry, traffic: &ZoneTraffic) {
    let bytes = Family::<ZoneLabel, Counter>::default();
    for (direction, counts) in [("sent", &traffic.sent), ("received", &traffic.received)] {
        for (purpose, count) in counts {
            let counts_by_zone = [
                ("false", count.own),
                ("true", count.other),
                ("unknown", count.unknown),
            ];
            for (other_zone, count) in counts_by_zone {
                let label = ZoneLabel {
                    direction,
                    purpose,
                    other_zone,
                };
                bytes.get_or_create(&label).inc_by(count);
            }
        }
    }
    registry.register("zone_bytes", "Bytes by purpose and zone", bytes);
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let gauge = Gauge::default();
    set(&gauge, value);
    registry.register(name, help, gauge);
}

fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

fn counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter = Counter::<u64>::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}
