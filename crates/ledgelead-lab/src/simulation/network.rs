//! The network: latency by zone, jitter, loss, duplication, reordering, and partitions of
//! zones, regions, single nodes and single servers.

use super::rng::{RandomStream, milliseconds, seconds};
use crate::scenario::{NetworkSection, PlatformSection, ZoneSection};
use ledgelead_types::Span;
use std::collections::BTreeMap;

/// An endpoint of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// A node, by index.
    Node(usize),
    /// A server, by index.
    Server(usize),
    /// The platform.
    Platform,
    /// Callers and operators.
    Clients,
}

/// Degradation of the network relative to the scenario.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Degradation {
    /// Added probability of loss.
    pub loss: f64,
    /// Added probability of a duplicate.
    pub duplicate: f64,
    /// Added probability that later messages overtake a message.
    pub reorder: f64,
}

/// Maximum additional delay of a reordered message, in seconds.
const LONGEST_REORDER_SECONDS: f64 = 0.5;
/// Delay of a retransmitted segment of a connection.
const RETRANSMISSION: Span = Span::from_millis(200);

/// The simulated network.
pub struct Network {
    section: NetworkSection,
    platform_latency: Span,
    regions: Vec<String>,
    zones: BTreeMap<Endpoint, usize>,
    degradation: Degradation,
    cut_endpoints: BTreeMap<Endpoint, u32>,
    cut_zones: BTreeMap<usize, u32>,
    cut_regions: u32,
    rng: RandomStream,
}

impl Network {
    /// Creates a network without partitions.
    pub fn new(
        section: &NetworkSection,
        platform: &PlatformSection,
        zones: &[ZoneSection],
        rng: RandomStream,
    ) -> Network {
        Network {
            section: section.clone(),
            platform_latency: milliseconds(platform.latency_ms),
            regions: zones.iter().map(|zone| zone.region.clone()).collect(),
            zones: BTreeMap::new(),
            degradation: Degradation::default(),
            cut_endpoints: BTreeMap::new(),
            cut_zones: BTreeMap::new(),
            cut_regions: 0,
            rng,
        }
    }

    /// Assigns a node or server to a zone.
    pub fn put(&mut self, endpoint: Endpoint, zone: usize) {
        self.zones.insert(endpoint, zone);
    }

    /// Sets the degradation; the default ends it.
    pub fn degrade(&mut self, degradation: Degradation) {
        self.degradation = degradation;
    }

    /// The current degradation.
    pub fn degradation(&self) -> Degradation {
        self.degradation
    }

    /// Begins (`cut`) or ends a partition of one endpoint from all others but clients.
    pub fn cut_endpoint(&mut self, endpoint: Endpoint, cut: bool) {
        count(&mut self.cut_endpoints, endpoint, cut);
    }

    /// Begins (`cut`) or ends a partition of a zone from the other zones and the platform.
    pub fn cut_zone(&mut self, zone: usize, cut: bool) {
        count(&mut self.cut_zones, zone, cut);
    }

    /// Begins (`cut`) or ends a partition between all regions.
    pub fn cut_regions(&mut self, cut: bool) {
        if cut {
            self.cut_regions += 1;
        } else {
            self.cut_regions = self.cut_regions.saturating_sub(1);
        }
    }

    /// Whether messages pass between two endpoints.
    pub fn connected(&self, from: Endpoint, to: Endpoint) -> bool {
        if self.cut_endpoints.contains_key(&from) || self.cut_endpoints.contains_key(&to) {
            return from == Endpoint::Clients || to == Endpoint::Clients;
        }
        if from == Endpoint::Clients || to == Endpoint::Clients {
            return true;
        }
        let (from_zone, to_zone) = (self.zones.get(&from), self.zones.get(&to));
        let cut = |zone: Option<&usize>| zone.is_some_and(|zone| self.cut_zones.contains_key(zone));
        if from_zone != to_zone && (cut(from_zone) || cut(to_zone)) {
            return false;
        }
        self.cut_regions == 0 || self.same_region(from_zone, to_zone)
    }

    /// The platform belongs to every region.
    fn same_region(&self, from: Option<&usize>, to: Option<&usize>) -> bool {
        match (from, to) {
            (Some(from), Some(to)) => self.regions[*from] == self.regions[*to],
            _ => true,
        }
    }

    /// Whether an endpoint is affected by any partition.
    pub fn is_cut(&self, endpoint: Endpoint) -> bool {
        let zone = self.zones.get(&endpoint);
        self.cut_endpoints.contains_key(&endpoint)
            || zone.is_some_and(|zone| self.cut_zones.contains_key(zone))
            || self.cut_regions > 0
    }

    /// Delays of the copies of a datagram; none if it is lost.
    pub fn datagram(&mut self, from: Endpoint, to: Endpoint) -> Delays {
        let loss = self.section.loss_percent / 100.0 + self.degradation.loss;
        if !self.connected(from, to) || self.rng.chance(loss) {
            return Delays::default();
        }
        let duplicate = self.section.duplicate_percent / 100.0 + self.degradation.duplicate;
        let first = Some(self.delay(from, to));
        let second = self.rng.chance(duplicate).then(|| self.delay(from, to));
        Delays([first, second])
    }

    /// Delay of a message on a connection, which retransmits lost segments; `None` while the
    /// endpoints are partitioned from each other.
    pub fn segment(&mut self, from: Endpoint, to: Endpoint) -> Option<Span> {
        if !self.connected(from, to) {
            return None;
        }
        let mut delay = self.delay(from, to);
        let loss = self.section.loss_percent / 100.0 + self.degradation.loss;
        if self.rng.chance(loss) {
            delay = delay + RETRANSMISSION;
        }
        Some(delay)
    }

    fn delay(&mut self, from: Endpoint, to: Endpoint) -> Span {
        let jitter = milliseconds(self.rng.exponential(self.section.jitter_ms));
        let mut delay = self.latency(from, to) + jitter;
        let reorder = self.section.reorder_percent / 100.0 + self.degradation.reorder;
        if self.rng.chance(reorder) {
            delay = delay + seconds(self.rng.between(0.0, LONGEST_REORDER_SECONDS));
        }
        delay
    }

    fn latency(&self, from: Endpoint, to: Endpoint) -> Span {
        if from == Endpoint::Platform || to == Endpoint::Platform {
            return self.platform_latency;
        }
        let (Some(from), Some(to)) = (self.zones.get(&from), self.zones.get(&to)) else {
            return milliseconds(self.section.to_clients_ms);
        };
        milliseconds(if from == to {
            self.section.within_zone_ms
        } else if self.regions[*from] == self.regions[*to] {
            self.section.between_zones_ms
        } else {
            self.section.between_regions_ms
        })
    }
}

/// Delays of the copies of a datagram that arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delays([Option<Span>; 2]);

impl Delays {
    /// The delays.
    pub fn iter(&self) -> impl Iterator<Item = Span> {
        self.0.into_iter().flatten()
    }
}

fn count<K: Ord>(counts: &mut BTreeMap<K, u32>, key: K, up: bool) {
    let entry = counts.entry(key).or_insert(0);
    *entry = if up {
        *entry + 1
    } else {
        entry.saturating_sub(1)
    };
    counts.retain(|_, count| *count > 0);
}
