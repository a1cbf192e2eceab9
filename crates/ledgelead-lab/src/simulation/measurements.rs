//! Measurements of a run, apart from violations.

use super::timeline::{BalanceRecord, Timeline};
use super::world::World;
use crate::scenario::{FaultKind, Scenario};
use hdrhistogram::Histogram;
use ledgelead_core::{MessageKind, PeerMessage};
use ledgelead_types::administration::CommandResult;
use ledgelead_types::codec::encode;
use ledgelead_types::event::Event;
use ledgelead_types::platform::{PlatformCall, PlatformReply};
use ledgelead_types::server::{LeaseRenewal, RenewalReply};
use ledgelead_types::{Outcome, Span, TierId, Time};
use std::collections::BTreeMap;

/// Purpose of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ControlKind {
    /// Messages between nodes, apart from those of the request path.
    Peers(MessageKind),
    /// Lease renewals of servers.
    Leases,
    /// Calls to the platform.
    Platform,
}

impl ControlKind {
    /// Stable name in reports.
    pub fn name(self) -> &'static str {
        match self {
            ControlKind::Peers(kind) => kind.name(),
            ControlKind::Leases => "leases",
            ControlKind::Platform => "platform",
        }
    }
}

/// Measurements of one run or of several merged runs.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Time from sending to the complete answer, by tier, in microseconds.
    pub latency: BTreeMap<TierId, Histogram<u64>>,
    /// Unavailable time by loss and slice, in microseconds.
    pub unavailable: Histogram<u64>,
    /// Unavailable time by kind of loss, for losses that did not overlap with others.
    pub unavailable_single: BTreeMap<FaultKind, Histogram<u64>>,
    /// Control bytes sent and received, by node and purpose.
    pub control_bytes: BTreeMap<(usize, ControlKind), u64>,
    /// Bytes exchanged between nodes for requests.
    pub dispatch_bytes: u64,
    /// Accumulated share of the position space that changed owner while its owner was alive,
    /// over all keyed services.
    pub churned_share: f64,
    /// Longest time until a node applied a stored configuration.
    pub longest_configuration_lag: Span,
    /// Longest time until a node applied a stored configuration, counted from the end of the
    /// platform's last disturbance if that is later.
    pub longest_undisturbed_configuration_lag: Span,
    /// Faults that began, by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Commands by result.
    pub commands: BTreeMap<&'static str, u64>,
    /// Events that the nodes recorded, by name.
    pub events: BTreeMap<&'static str, u64>,
    /// Faults of the first run with the times at which they began.
    pub fault_marks: Vec<(Time, FaultKind)>,
    /// Measured time, summed over runs.
    pub measured: Span,
    /// Imbalance and churn by service.
    pub balance: Vec<BalanceRecord>,
    /// Time series of the first run.
    pub timeline: Timeline,
    imbalance_sum: f64,
    imbalance_windows: u64,
    keyed_services: usize,
    warm_up: Span,
}

/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("the precision is a valid constant")
}

pub(super) fn record(histogram: &mut Histogram<u64>, span: Span) {
    histogram
        .record(span.as_micros().max(1))
        .expect("a resizing histogram takes every value");
}

impl Measurements {
    /// Creates empty measurements.
    pub fn new(scenario: &Scenario) -> Measurements {
        use ledgelead_types::configuration::Partitioning;
        let keyed =
            |service: &&crate::scenario::ServiceSection| service.partitioning != Partitioning::None;
        Measurements {
            requests: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            latency: BTreeMap::new(),
            unavailable: histogram(),
            unavailable_single: BTreeMap::new(),
            control_bytes: BTreeMap::new(),
            dispatch_bytes: 0,
            churned_share: 0.0,
            longest_configuration_lag: Span::ZERO,
            longest_undisturbed_configuration_lag: Span::ZERO,
            faults: BTreeMap::new(),
            commands: BTreeMap::new(),
            events: BTreeMap::new(),
            fault_marks: Vec::new(),
            measured: Span::ZERO,
            balance: vec![BalanceRecord::default(); scenario.services.len()],
            timeline: Timeline::default(),
            imbalance_sum: 0.0,
            imbalance_windows: 0,
            keyed_services: scenario.services.iter().filter(keyed).count(),
            warm_up: Span::from_seconds(scenario.run.warm_up_seconds),
        }
    }

    /// Counts a message between nodes.
    pub fn peer_message(&mut self, now: Time, from: usize, to: usize, message: &PeerMessage) {
        let bytes = encode(message).len() as u64;
        let kind = message.kind();
        if kind.is_control() {
            self.control(now, from, ControlKind::Peers(kind), bytes);
            self.control(now, to, ControlKind::Peers(kind), bytes);
        } else {
            self.dispatch_bytes += bytes;
        }
    }

    /// Counts a renewal sent by a node.
    pub fn renewal(&mut self, now: Time, node: usize, renewal: &LeaseRenewal) {
        self.control(now, node, ControlKind::Leases, encode(renewal).len() as u64);
    }

    /// Counts a server's reply to a renewal.
    pub fn renewal_reply(&mut self, now: Time, node: usize, reply: &RenewalReply) {
        self.control(now, node, ControlKind::Leases, encode(reply).len() as u64);
    }

    /// Counts a call to the platform.
    pub fn platform_call(&mut self, now: Time, node: usize, call: &PlatformCall) {
        self.control(now, node, ControlKind::Platform, encode(call).len() as u64);
    }

    /// Counts a reply of the platform.
    pub fn platform_reply(&mut self, now: Time, node: usize, reply: &PlatformReply) {
        self.control(now, node, ControlKind::Platform, encode(reply).len() as u64);
    }

    fn control(&mut self, now: Time, node: usize, kind: ControlKind, bytes: u64) {
        self.timeline.control(now, bytes);
        *self.control_bytes.entry((node, kind)).or_insert(0) += bytes;
    }

    /// Records the outcome reported to a caller.
    pub fn outcome_reported(&mut self, now: Time, tier: TierId, outcome: Outcome, latency: Span) {
        match outcome {
            Outcome::Answered => {
                self.answered += 1;
                let histogram = self.latency.entry(tier).or_insert_with(histogram);
                record(histogram, latency);
                self.timeline.answered(now, tier, latency);
            }
            Outcome::NotRun(_) => self.not_run += 1,
            Outcome::Unknown(_) => self.unknown += 1,
        }
    }

    /// Records how long after a loss a slice was answered again. `single` is the kind of loss
    /// if no other loss overlapped.
    pub fn unavailable(&mut self, span: Span, single: Option<FaultKind>) {
        record(&mut self.unavailable, span);
        if let Some(kind) = single {
            let of_kind = self.unavailable_single.entry(kind);
            record(of_kind.or_insert_with(histogram), span);
        }
    }

    /// Records the start of a fault.
    pub fn fault(&mut self, now: Time, kind: FaultKind) {
        *self.faults.entry(kind).or_insert(0) += 1;
        self.fault_marks.push((now, kind));
    }

    /// Counts an event recorded by a node.
    pub fn recorded(&mut self, event: &Event) {
        *self.events.entry(event.name()).or_insert(0) += 1;
    }

    /// Counts the result of a command.
    pub fn command_finished(&mut self, result: &CommandResult) {
        let name = match result {
            CommandResult::Configured { .. } => "configured",
            CommandResult::Operated { .. } => "operated",
            CommandResult::Rejected(_) => "rejected",
            CommandResult::Unknown => "unknown",
        };
        *self.commands.entry(name).or_insert(0) += 1;
    }

    fn imbalance_of_window(&mut self, imbalance: f64) {
        self.imbalance_sum += imbalance;
        self.imbalance_windows += 1;
    }

    /// Ends the measurement.
    pub fn end(&mut self, now: Time) {
        self.measured = now.since(Time::ZERO + self.warm_up);
    }

    /// Adds the measurements of another run.
    pub fn merge(&mut self, other: &Measurements) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        for (tier, latency) in &other.latency {
            self.latency
                .entry(*tier)
                .or_insert_with(histogram)
                .add(latency)
                .expect("a resizing histogram takes every value");
        }
        self.unavailable
            .add(&other.unavailable)
            .expect("a resizing histogram takes every value");
        for (kind, unavailable) in &other.unavailable_single {
            self.unavailable_single
                .entry(*kind)
                .or_insert_with(histogram)
                .add(unavailable)
                .expect("a resizing histogram takes every value");
        }
        merge_counts(&mut self.control_bytes, &other.control_bytes);
        merge_counts(&mut self.faults, &other.faults);
        merge_counts(&mut self.commands, &other.commands);
        merge_counts(&mut self.events, &other.events);
        self.dispatch_bytes += other.dispatch_bytes;
        self.churned_share += other.churned_share;
        self.longest_configuration_lag = self
            .longest_configuration_lag
            .max(other.longest_configuration_lag);
        self.longest_undisturbed_configuration_lag = self
            .longest_undisturbed_configuration_lag
            .max(other.longest_undisturbed_configuration_lag);
        self.measured = self.measured + other.measured;
        for (balance, other) in self.balance.iter_mut().zip(&other.balance) {
            balance.merge(other);
        }
        if self.timeline.is_empty() {
            self.timeline = other.timeline.clone();
            self.fault_marks = other.fault_marks.clone();
        }
        self.imbalance_sum += other.imbalance_sum;
        self.imbalance_windows += other.imbalance_windows;
    }

    /// Time-weighted mean, over the services, of the busiest server's load divided by the mean
    /// load; `None` if nothing was measured.
    pub fn imbalance(&self) -> Option<f64> {
        let windows = self.imbalance_windows;
        (windows > 0).then(|| self.imbalance_sum / windows as f64)
    }

    /// Percent per hour of a service's position space that changes owner while its owner is
    /// alive.
    pub fn churn_percent_per_hour(&self) -> f64 {
        const PERCENT_TIMES_HOUR: f64 = 100.0 * 3_600.0;
        let services = self.keyed_services.max(1) as f64;
        self.churned_share * PERCENT_TIMES_HOUR / self.measured.as_seconds().max(1.0) / services
    }

    /// Control bytes per second by node.
    pub fn control_bytes_per_second(&self) -> BTreeMap<usize, f64> {
        let mut rates = BTreeMap::new();
        let seconds = self.measured.as_seconds().max(1.0);
        for ((node, _), bytes) in &self.control_bytes {
            *rates.entry(*node).or_insert(0.0) += *bytes as f64 / seconds;
        }
        rates
    }

    /// Control bytes per second by purpose, over all nodes.
    pub fn control_bytes_per_second_by_kind(&self) -> BTreeMap<ControlKind, f64> {
        let mut rates = BTreeMap::new();
        let seconds = self.measured.as_seconds().max(1.0);
        for ((_, kind), bytes) in &self.control_bytes {
            *rates.entry(*kind).or_insert(0.0) += *bytes as f64 / seconds;
        }
        rates
    }
}

fn merge_counts<K: Ord + Copy>(into: &mut BTreeMap<K, u64>, from: &BTreeMap<K, u64>) {
    for (key, count) in from {
        *into.entry(*key).or_insert(0) += count;
    }
}

impl World<'_> {
    /// At the end of each window, records for each service the busiest server's requests
    /// divided by the mean, over the servers that were healthy during the whole window.
    pub(super) fn measure_imbalance(&mut self) {
        let window = Span::from_seconds(self.scenario.run.imbalance_window_seconds);
        let now = self.now();
        if !now.0.is_multiple_of(window.0) {
            return;
        }
        let warm = Time::ZERO + Span::from_seconds(self.scenario.run.warm_up_seconds);
        for service in 0..self.scenario.services.len() {
            let healthy = self.healthy_servers(service, now.before(window));
            let starts = healthy
                .iter()
                .map(|index| self.servers[*index].started_in_window);
            let (sum, most) = starts.fold((0, 0), |(sum, most): (u64, u64), count| {
                (sum + count, most.max(count))
            });
            if sum > 0 && now >= warm + window {
                let mean = sum as f64 / healthy.len() as f64;
                self.measurements.imbalance_of_window(most as f64 / mean);
            }
        }
        for server in &mut self.servers {
            server.started_in_window = 0;
        }
    }
}
