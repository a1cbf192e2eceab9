//! The load of instances as nodes report it to each other: open requests, speed and current
//! slowness.
//!
//! In a small zone each node sends its counts to every other node. In a larger one they go to
//! one node, the zone's load hub, which returns a digest of all counts (see `node::load_hub`).
//! Load hubs also exchange the sums of their zones.

use super::message::{DigestEntry, OpenRequests, ZoneSum};
use crate::Timestamp;
use crate::validation::{self, MAX_TIMEOUT};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a count is used without an update: twice the interval between announcements of all
/// counts.
const COUNT_TTL: Duration = Duration::from_millis(1_500);
/// How long a digest takes precedence over other counts: some digests may be lost.
const DIGEST_TTL: Duration = Duration::from_millis(700);
/// How long the slowness of an instance is used. It changes about every 400 ms.
const SLOWNESS_TTL: Duration = Duration::from_millis(300);
/// How long a service time is used without a new sample. Then an instance that was slow is
/// tried again.
const SERVICE_TIME_TTL: Duration = Duration::from_secs(8);
/// Weight of the previous service time for each new sample.
const PREVIOUS_WEIGHT: f64 = 0.9;
/// Upper bound for a reported service time, in milliseconds: one hour. The value is multiplied
/// by queue lengths and must not overflow a duration.
const MAX_SERVICE_MS: f64 = 3_600_000.0;

#[derive(Clone, Copy, Debug)]
struct Count {
    count: u16,
    at: Timestamp,
}

impl Count {
    fn new(count: u16, at: Timestamp) -> Count {
        Count { count, at }
    }

    fn is_current(&self, now: Timestamp) -> bool {
        self.at + COUNT_TTL > now
    }
}

/// The known load of one instance.
#[derive(Clone, Debug, Default)]
struct KnownLoad {
    /// Counts of the nodes of this zone.
    nodes: Vec<(SocketAddr, Count)>,
    /// Sums of other zones, by load hub.
    zones: Vec<(SocketAddr, Count)>,
    /// The count in the last digest of the load hub, without this node's own requests.
    digest: Option<Count>,
    service_ms: Option<(f64, Timestamp)>,
    slowness: Option<(u16, Timestamp)>,
}

impl KnownLoad {
    fn is_empty(&self, now: Timestamp) -> bool {
        let current = |count: &Count| count.is_current(now) && count.count > 0;
        let counted = self.nodes.iter().chain(&self.zones);
        let counts = counted.map(|(_, count)| count).chain(&self.digest);
        !counts.into_iter().any(current) && self.service_time(now).is_none()
    }

    fn service_time(&self, now: Timestamp) -> Option<f64> {
        let (time, _) = self
            .service_ms
            .filter(|(_, at)| *at + SERVICE_TIME_TTL > now)?;
        Some(time)
    }

    fn slowness(&self, now: Timestamp) -> Option<u16> {
        let (slowness, _) = self.slowness.filter(|(_, at)| *at + SLOWNESS_TTL > now)?;
        Some(slowness)
    }

    fn add_sample(&mut self, sample: SpeedSample, now: Timestamp) {
        if sample.answered > 0 {
            let mean = sample.busy.as_secs_f64() * 1_000.0 / f64::from(sample.answered);
            let mean = mean.min(MAX_SERVICE_MS);
            let previous_weight = PREVIOUS_WEIGHT.powi(sample.answered.min(64) as i32);
            let earlier = self.service_time(now).unwrap_or(mean);
            self.service_ms = Some((
                earlier * previous_weight + mean * (1.0 - previous_weight),
                now,
            ));
        }
        if let Some(slowness) = sample.slowness {
            self.slowness = Some((slowness, now));
        }
    }
}

/// Speed of an instance, measured by one node's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedSample {
    /// Number of answered requests.
    pub answered: u32,
    /// Total service time without queueing, at the instance's usual speed.
    pub busy: Duration,
    /// Current service time, in percent of the usual time.
    pub slowness: Option<u16>,
}

#[derive(Clone, Copy, Debug)]
struct DigestSource {
    from: SocketAddr,
    at: Timestamp,
    zones: u8,
}

/// Open requests of the other nodes, and the speed of instances.
#[derive(Debug, Default)]
pub struct SharedLoad {
    /// The known incarnation of each node.
    incarnations: HashMap<SocketAddr, u64>,
    instances: HashMap<u64, KnownLoad>,
    digest: Option<DigestSource>,
    /// Load hubs of other zones, and when each last sent a message.
    other_hubs: HashMap<SocketAddr, Timestamp>,
    /// Instances that changed since the last digest.
    changed: BTreeSet<u64>,
}

impl SharedLoad {
    /// Records the counts that a node of this zone has sent.
    pub fn record_node_counts(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        changes: &[OpenRequests],
        now: Timestamp,
    ) {
        if self.incarnations.insert(from, incarnation) != Some(incarnation) {
            for load in self.instances.values_mut() {
                load.nodes.retain(|(node, _)| *node != from);
            }
        }
        for change in changes {
            let load = self.instances.entry(change.instance).or_default();
            load.add_sample(change.speed(), now);
            set(&mut load.nodes, from, Count::new(change.count, now));
            self.changed.insert(change.instance);
        }
    }

    /// Records the speed of an instance, measured by this node's own requests.
    pub fn record_speed(&mut self, instance: u64, sample: SpeedSample, now: Timestamp) {
        let load = self.instances.entry(instance).or_default();
        load.add_sample(sample, now);
        self.changed.insert(instance);
    }

    /// Records a digest of the zone's load hub. `own` returns how many requests this node has
    /// reported for an instance; the remaining ones belong to other nodes.
    pub fn record_digest(
        &mut self,
        from: SocketAddr,
        zones: u8,
        entries: &[DigestEntry],
        own: impl Fn(u64) -> u32,
        now: Timestamp,
    ) {
        if self.digest.is_some_and(|known| known.from != from) {
            for load in self.instances.values_mut() {
                load.digest = None;
            }
        }
        self.digest = Some(DigestSource {
            from,
            at: now,
            zones,
        });
        for entry in entries {
            let load = self.instances.entry(entry.instance).or_default();
            let others = u32::from(entry.open).saturating_sub(own(entry.instance));
            let others = u16::try_from(others).unwrap_or(u16::MAX);
            load.digest = Some(Count::new(others, now));
            if entry.service_ms > 0 {
                load.service_ms = Some((f64::from(entry.service_ms), now));
            }
            if entry.slowness > 0 {
                load.slowness = Some((entry.slowness, now));
            }
        }
    }

    /// Records the sums that the load hub of another zone has sent.
    pub fn record_zone_sums(&mut self, from: SocketAddr, sums: &[ZoneSum], now: Timestamp) {
        self.other_hubs.insert(from, now);
        for sum in sums {
            let load = self.instances.entry(sum.instance).or_default();
            set(&mut load.zones, from, Count::new(sum.open, now));
            self.changed.insert(sum.instance);
        }
    }

    /// Number of open requests of other nodes at an instance.
    pub fn open_at(&self, instance: u64, now: Timestamp) -> u32 {
        let Some(load) = self.instances.get(&instance) else {
            return 0;
        };
        if self.follows_digest(now) {
            let digest = load.digest.filter(|count| count.is_current(now));
            return digest.map_or(0, |count| u32::from(count.count));
        }
        u32::from(total(0, load.nodes.iter().chain(&load.zones), now))
    }

    /// Number of zones whose open requests are known.
    pub fn zones(&self, now: Timestamp) -> u32 {
        match self.digest {
            Some(digest) if self.follows_digest(now) => u32::from(digest.zones),
            _ => 1 + self.current_hubs(now),
        }
    }

    /// The service time of one request at an instance that runs at its usual speed.
    pub fn service_time(&self, instance: u64, now: Timestamp) -> Option<Duration> {
        let time = self.instances.get(&instance)?.service_time(now)?;
        Some(validation::millis(time, MAX_TIMEOUT))
    }

    /// The current service time at an instance, in percent of the usual time.
    pub fn slowness(&self, instance: u64, now: Timestamp) -> Option<u16> {
        self.instances.get(&instance)?.slowness(now)
    }

    /// When the last digest of a load hub arrived.
    pub fn last_digest_from(&self, hub: SocketAddr) -> Option<Timestamp> {
        let digest = self.digest.filter(|digest| digest.from == hub)?;
        Some(digest.at)
    }

    /// Whether a node has recently sent the sums of its zone.
    pub fn has_recent_sums_from(&self, hub: SocketAddr, now: Timestamp) -> bool {
        let at = self.other_hubs.get(&hub);
        at.is_some_and(|at| *at + COUNT_TTL > now)
    }

    /// Creates a load hub's digest: the changes since the last call, or all entries. `own`
    /// returns how many requests this node has open at an instance.
    pub fn take_digest(
        &mut self,
        complete: bool,
        own: impl Fn(u64) -> u32,
        now: Timestamp,
    ) -> Vec<DigestEntry> {
        let changed = std::mem::take(&mut self.changed);
        let instances: Vec<u64> = match complete {
            true => self.instances.keys().copied().collect(),
            false => changed.into_iter().collect(),
        };
        let entry = |instance: u64| self.entry(instance, own(instance), now);
        instances.into_iter().filter_map(entry).collect()
    }

    /// This zone's open requests by instance, for the load hubs of other zones.
    pub fn sums(&self, own: impl Fn(u64) -> u32, now: Timestamp) -> Vec<ZoneSum> {
        let sum = |(instance, load): (&u64, &KnownLoad)| ZoneSum {
            instance: *instance,
            open: total(own(*instance), load.nodes.iter(), now),
        };
        self.instances.iter().map(sum).collect()
    }

    fn entry(&self, instance: u64, own: u32, now: Timestamp) -> Option<DigestEntry> {
        let load = self.instances.get(&instance)?;
        Some(DigestEntry {
            instance,
            open: total(own, load.nodes.iter().chain(&load.zones), now),
            service_ms: load
                .service_time(now)
                .map_or(0, |time| time.max(1.0) as u16),
            slowness: load.slowness(now).unwrap_or(0),
        })
    }

    /// Removes entries that are no longer used.
    pub fn expire(&mut self, now: Timestamp) {
        self.other_hubs.retain(|_, at| *at + COUNT_TTL > now);
        self.instances.retain(|_, load| !load.is_empty(now));
    }

    /// Whether the digests of a load hub are current, so that they are used.
    pub fn follows_digest(&self, now: Timestamp) -> bool {
        self.digest
            .is_some_and(|digest| digest.at + DIGEST_TTL > now)
    }

    fn current_hubs(&self, now: Timestamp) -> u32 {
        let current = self.other_hubs.values();
        let current = current.filter(|at| **at + COUNT_TTL > now).count();
        u32::try_from(current).unwrap_or(u32::MAX)
    }
}

/// The sum of this node's count and those of others.
fn total<'a>(
    own: u32,
    others: impl Iterator<Item = &'a (SocketAddr, Count)>,
    now: Timestamp,
) -> u16 {
    let current = others.filter(|(_, count)| count.is_current(now));
    let others: u32 = current.map(|(_, count)| u32::from(count.count)).sum();
    u16::try_from(own.saturating_add(others)).unwrap_or(u16::MAX)
}

/// Replaces the count of one sender; removes it if the sender has nothing open.
fn set(counts: &mut Vec<(SocketAddr, Count)>, from: SocketAddr, count: Count) {
    counts.retain(|(sender, _)| *sender != from);
    if count.count > 0 {
        counts.push((from, count));
    }
}
