//! Metrics in the Prometheus text format.

use crate::peer::PeerCounters;
use ledgelead_types::event::Event;
use ledgelead_types::view::NodeView;
use ledgelead_types::{NotRunReason, Outcome};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::sync::{Arc, Mutex, PoisonError};

/// Number of latency buckets. Each bound is twice the one before, from half a
/// millisecond to about 16 s.
const LATENCY_BUCKETS: u16 = 16;
/// Upper bound of the first latency bucket, in seconds.
const FIRST_LATENCY_BUCKET: f64 = 0.000_5;

/// Labels of an ended request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    outcome: &'static str,
    reason: &'static str,
    tier: u8,
}

/// Label for a tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TierLabel {
    tier: u8,
}

/// Label for the reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Label for a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GroupLabel {
    group: String,
}

/// Labels of an owner change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OwnerChangeLabel {
    group: String,
    after_loss: &'static str,
}

/// Kind of a control message to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ControlKind {
    /// Renewals of servers' leases; HTTP headers are not counted.
    Renewal,
}

/// Label for the kind of a control message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ControlLabel {
    kind: ControlKind,
}

/// All metrics of one node; clones share the same values.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    requests: Family<RequestLabels, Counter>,
    latency: Family<TierLabel, Histogram, fn() -> Histogram>,
    refused_unread: Family<ReasonLabel, Counter>,
    retries: Counter,
    elections: Family<GroupLabel, Counter>,
    step_downs: Family<GroupLabel, Counter>,
    owner_changes: Family<OwnerChangeLabel, Counter>,
    churned_share: Family<GroupLabel, Counter<f64, std::sync::atomic::AtomicU64>>,
    unavailable: Family<GroupLabel, Histogram, fn() -> Histogram>,
    lease_lapses: Family<GroupLabel, Counter>,
    control_out: Family<ControlLabel, Counter>,
    control_in: Family<ControlLabel, Counter>,
    configuration_version: Gauge,
    live_nodes: Gauge,
    requests_in_flight: Gauge,
    platform_reachable: Gauge,
    imbalance: Family<GroupLabel, Gauge<f64, std::sync::atomic::AtomicU64>>,
    /// Counters of the transport between nodes.
    pub peer: PeerCounters,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_LATENCY_BUCKET,
        2.0,
        LATENCY_BUCKETS,
    ))
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl Metrics {
    /// Registers all metrics, with value zero.
    pub fn new() -> Metrics {
        let metrics = Metrics {
            registry: Arc::new(Mutex::new(Registry::with_prefix("ledgelead"))),
            requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            refused_unread: Family::default(),
            retries: Counter::default(),
            elections: Family::default(),
            step_downs: Family::default(),
            owner_changes: Family::default(),
            churned_share: Family::default(),
            unavailable: Family::new_with_constructor(latency_histogram),
            lease_lapses: Family::default(),
            control_out: Family::default(),
            control_in: Family::default(),
            configuration_version: Gauge::default(),
            live_nodes: Gauge::default(),
            requests_in_flight: Gauge::default(),
            platform_reachable: Gauge::default(),
            imbalance: Family::default(),
            peer: PeerCounters::default(),
        };
        let registry = metrics.registry.clone();
        let mut registry = registry.lock().unwrap_or_else(PoisonError::into_inner);
        metrics.register_requests(&mut registry);
        metrics.register_ownership(&mut registry);
        metrics.register_traffic(&mut registry);
        drop(registry);
        metrics
    }

    fn register_requests(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests that ended, by outcome, reason and tier",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "request_latency",
            "Time from a request's arrival to its end",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register(
            "requests_refused_unread",
            "Requests refused before they were read whole",
            self.refused_unread.clone(),
        );
        registry.register(
            "request_retries",
            "Attempts after the first",
            self.retries.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests accepted and not yet ended",
            self.requests_in_flight.clone(),
        );
    }

    fn register_ownership(&self, registry: &mut Registry) {
        registry.register(
            "elections",
            "Elections won by this node",
            self.elections.clone(),
        );
        registry.register(
            "leader_step_downs",
            "Leaderships that this node gave up or lost",
            self.step_downs.clone(),
        );
        registry.register(
            "owner_changes",
            "Slices that changed owner, as this node's leaderships decided",
            self.owner_changes.clone(),
        );
        registry.register(
            "churned_space_ratio",
            "Share of the service's position space that changed owner while its owner lived, \
             added up, as this node's leaderships decided",
            self.churned_share.clone(),
        );
        registry.register_with_unit(
            "slice_unavailable",
            "Time from a lost owner's first silence, as the leader heard of it, to the next \
             owner of its slice, for each slice",
            Unit::Seconds,
            self.unavailable.clone(),
        );
        registry.register(
            "lease_lapses",
            "Servers' leases that ran out without a renewal",
            self.lease_lapses.clone(),
        );
        registry.register(
            "imbalance_ratio",
            "Busiest server's load over the mean, of groups led by this node",
            self.imbalance.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.configuration_version.clone(),
        );
        registry.register(
            "live_nodes",
            "Nodes thought to be live",
            self.live_nodes.clone(),
        );
        registry.register(
            "platform_reachable",
            "1 while the platform answers, for nodes that read it",
            self.platform_reachable.clone(),
        );
    }

    fn register_traffic(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "control_sent",
            "Control messages to servers, by kind",
            Unit::Bytes,
            self.control_out.clone(),
        );
        registry.register_with_unit(
            "control_received",
            "Control messages from servers, by kind",
            Unit::Bytes,
            self.control_in.clone(),
        );
        registry.register_with_unit(
            "peer_sent",
            "Written to other nodes",
            Unit::Bytes,
            self.peer.bytes_out.clone(),
        );
        registry.register_with_unit(
            "peer_queued",
            "Frames queued for other nodes, by kind of message",
            Unit::Bytes,
            self.peer.bytes_by_kind.clone(),
        );
        registry.register_with_unit(
            "peer_received",
            "Read from other nodes",
            Unit::Bytes,
            self.peer.bytes_in.clone(),
        );
        registry.register(
            "peer_messages_sent",
            "Messages to other nodes",
            self.peer.messages_out.clone(),
        );
        registry.register(
            "peer_messages_received",
            "Messages from other nodes",
            self.peer.messages_in.clone(),
        );
        registry.register(
            "peer_messages_dropped",
            "Messages to other nodes that could not be sent",
            self.peer.dropped.clone(),
        );
        registry.register(
            "peer_bad_frames",
            "Connections of other nodes closed because of a bad frame",
            self.peer.bad_frames.clone(),
        );
    }

    /// Counts an event.
    pub fn count(&self, event: &Event) {
        match event {
            Event::RequestFinished {
                tier,
                outcome,
                latency,
                ..
            } => {
                let labels = request_labels(*outcome, tier.0);
                self.requests.get_or_create(&labels).inc();
                let tier = TierLabel { tier: tier.0 };
                self.latency
                    .get_or_create(&tier)
                    .observe(latency.as_seconds());
            }
            Event::RequestRetried { .. } => {
                self.retries.inc();
            }
            Event::LeaderElected { group, .. } => {
                self.elections.get_or_create(&group_label(group)).inc();
            }
            Event::LeaderSteppedDown { group, .. } => {
                self.step_downs.get_or_create(&group_label(group)).inc();
            }
            Event::OwnerChanged {
                group,
                range,
                from,
                to,
                after_loss,
                ..
            } => {
                if from.is_some() && to.is_some() && !after_loss {
                    let churned = self.churned_share.get_or_create(&group_label(group));
                    churned.inc_by(range.share());
                }
                let label = OwnerChangeLabel {
                    group: group.to_string(),
                    after_loss: if *after_loss { "yes" } else { "no" },
                };
                self.owner_changes.get_or_create(&label).inc();
            }
            Event::SliceRegained {
                group, unavailable, ..
            } => {
                self.unavailable
                    .get_or_create(&group_label(group))
                    .observe(unavailable.as_seconds());
            }
            Event::LeaseLapsed { group, .. } => {
                self.lease_lapses.get_or_create(&group_label(group)).inc();
            }
            Event::ConfigurationApplied { version } => {
                self.configuration_version.set(version.0 as i64);
            }
            Event::PlatformReachable { reachable } => {
                self.platform_reachable.set(i64::from(*reachable));
            }
            Event::ConfigurationRefused { .. }
            | Event::GroupFormed { .. }
            | Event::MembershipChanged { .. }
            | Event::ServerStatusChanged { .. }
            | Event::NodeStatusChanged { .. } => {}
        }
    }

    /// Updates the gauges from the node's view.
    pub fn observe(&self, view: &NodeView) {
        let live = view.nodes.iter().filter(|node| node.live).count();
        self.live_nodes.set(live as i64);
        self.requests_in_flight
            .set(i64::from(view.requests_in_flight));
        self.configuration_version
            .set(view.configuration.version.0 as i64);
        for group in &view.groups {
            let label = group_label(&group.routes.group);
            match group.imbalance {
                Some(imbalance) => {
                    self.imbalance.get_or_create(&label).set(imbalance);
                }
                None => {
                    self.imbalance.remove(&label);
                }
            }
        }
    }

    /// Counts a request refused before it reached the core.
    pub fn count_refused_unread(&self, reason: NotRunReason) {
        let label = ReasonLabel {
            reason: reason.name(),
        };
        self.refused_unread.get_or_create(&label).inc();
    }

    /// Counts the bytes of a control message to a server.
    pub fn count_control_out(&self, kind: ControlKind, bytes: usize) {
        let label = ControlLabel { kind };
        self.control_out.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Counts the bytes of a control message from a server.
    pub fn count_control_in(&self, kind: ControlKind, bytes: usize) {
        let label = ControlLabel { kind };
        self.control_in.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Encodes all metrics as text.
    pub fn render(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut output = String::new();
        text::encode(&mut output, &registry).expect("writing to a string can't fail");
        output
    }
}

fn group_label(group: &ledgelead_types::GroupId) -> GroupLabel {
    GroupLabel {
        group: group.to_string(),
    }
}

fn request_labels(outcome: Outcome, tier: u8) -> RequestLabels {
    let (outcome, reason) = match outcome {
        Outcome::Answered => ("answered", ""),
        Outcome::NotRun(reason) => ("not-run", reason.name()),
        Outcome::Unknown(reason) => ("unknown", reason.name()),
    };
    RequestLabels {
        outcome,
        reason,
        tier,
    }
}
