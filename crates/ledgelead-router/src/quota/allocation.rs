//! Decides at the coordinator which share of a tenant's requests all nodes admit.

use super::Quota;
use super::admission::{Counts, NodeCounts};
use super::bucket::Bucket;
use super::demand::EventRate;
use crate::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time over which tokens are spent, and a debt is paid back. Not much shorter than the counts
/// of nodes and the resulting share travel, since the control loop oscillates otherwise.
const SETTLING_TIME_S: f64 = 0.3;
/// Time over which the demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(400);
/// Minimum interval between two samples of the demand.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two announcements while no tenant exceeds its quota.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// How long shares of a tenant are announced after it exceeded its quota, so that nodes learn
/// of the end, and each next surge starts from a recent share.
const ANNOUNCED_FOR: Duration = Duration::from_secs(3);
/// The last part of that time, in which nodes learn that no share applies any more.
const ENDS_FOR: Duration = Duration::from_secs(1);
/// Time after the start of a coordinator in which refusals may be those of its predecessor's
/// shares: the window of a quota.
const UNKNOWN_FOR: Duration = Duration::from_secs(5);
/// How long an unused tenant or a silent node is kept.
const UNUSED_TTL: Duration = Duration::from_secs(600);

/// The share of a tenant's requests that each node admits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Stable hash of the tenant's name.
    pub tenant: u64,
    /// From 0 to 1, by the tokens that are left now.
    pub current: f64,
    /// The share that admits the rate of the quota, for nodes that hear no coordinator.
    pub steady: f64,
}

#[derive(Clone, Debug)]
struct TenantState {
    bucket: Bucket,
    demand: EventRate,
    /// Requests that arrived since the last sample.
    unsampled: u32,
    sampled_at: Timestamp,
    current_share: f64,
    steady_share: f64,
    announced_until: Timestamp,
    /// Whether the tenant's burst was used before this coordinator started.
    has_lost_burst: bool,
    used_at: Timestamp,
}

#[derive(Clone, Debug)]
struct Reporter {
    incarnation: u64,
    totals: BTreeMap<u64, Counts>,
    heard_at: Timestamp,
}

/// Demand and tokens of all limited tenants, as known to the coordinator.
#[derive(Clone, Debug)]
pub struct Allocator {
    since: Timestamp,
    tenants: BTreeMap<u64, TenantState>,
    reporters: BTreeMap<SocketAddr, Reporter>,
}

impl Allocator {
    /// Creates the state of a node that has just become the coordinator.
    pub fn new(now: Timestamp) -> Allocator {
        Allocator {
            since: now,
            tenants: BTreeMap::new(),
            reporters: BTreeMap::new(),
        }
    }

    /// Records a node's counts of a tenant.
    pub fn record(
        &mut self,
        node: SocketAddr,
        incarnation: u64,
        counts: NodeCounts,
        quota: Quota,
        now: Timestamp,
    ) {
        let reporter = self.reporters.entry(node).or_insert_with(|| Reporter {
            incarnation,
            totals: BTreeMap::new(),
            heard_at: now,
        });
        let Some(new) = reporter.new_counts(incarnation, counts, now) else {
            return;
        };
        let since = self.since;
        let new_state = || TenantState::new(quota, since, now);
        let state = self.tenants.entry(counts.tenant).or_insert_with(new_state);
        if now < since + UNKNOWN_FOR && new.admitted < new.arrived {
            state.refused_by_predecessor(quota, now);
        }
        state.record(new, quota, now);
    }

    /// Whether no tenant with a quota has requests.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Time from an announcement to the next one. Short while a tenant exceeds its quota, since
    /// what is admitted until nodes learn of a surge can't be taken back.
    pub fn announcement_interval(&self, now: Timestamp) -> Duration {
        let is_limited = |state: &TenantState| now < state.announced_until;
        match self.tenants.values().any(is_limited) {
            true => SAMPLE_INTERVAL,
            false => IDLE_INTERVAL,
        }
    }

    /// The shares to announce now.
    pub fn shares(
        &mut self,
        quota_of: impl Fn(u64) -> Option<Quota>,
        now: Timestamp,
    ) -> Vec<Share> {
        let mut shares = Vec::new();
        for (tenant, state) in &mut self.tenants {
            // A tenant without a quota any more is announced until its shares expire.
            match quota_of(*tenant) {
                Some(quota) => state.sample(quota, now),
                None => (state.current_share, state.steady_share) = (1.0, 1.0),
            }
            if now < state.announced_until {
                shares.push(Share {
                    tenant: *tenant,
                    current: state.current_share,
                    steady: state.steady_share,
                });
            }
        }
        shares
    }

    /// Removes tenants and nodes without requests for a long time.
    pub fn expire(&mut self, now: Timestamp) {
        self.tenants
            .retain(|_, state| state.used_at + UNUSED_TTL > now);
        self.reporters
            .retain(|_, reporter| reporter.heard_at + UNUSED_TTL > now);
    }
}

impl Reporter {
    /// The counts that are not included in earlier reports. None for a report that a later one
    /// has overtaken.
    fn new_counts(
        &mut self,
        incarnation: u64,
        counts: NodeCounts,
        now: Timestamp,
    ) -> Option<Counts> {
        if incarnation < self.incarnation {
            return None;
        }
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.totals.clear();
        }
        self.heard_at = now;
        let Some(known) = self.totals.get_mut(&counts.tenant) else {
            self.totals.insert(counts.tenant, counts.total);
            return Some(counts.recent);
        };
        let arrived = counts.total.arrived.wrapping_sub(known.arrived);
        let admitted = counts.total.admitted.wrapping_sub(known.admitted);
        if arrived > u32::MAX / 2 || admitted > arrived {
            return None;
        }
        *known = counts.total;
        Some(Counts { arrived, admitted })
    }
}

impl TenantState {
    fn new(quota: Quota, since: Timestamp, now: Timestamp) -> TenantState {
        let sampled_at = since.max(now.saturating_sub(SAMPLE_INTERVAL));
        TenantState {
            bucket: Bucket::full(quota, now),
            demand: EventRate::new(DEMAND_TIME, now),
            unsampled: 0,
            sampled_at,
            current_share: 1.0,
            steady_share: 1.0,
            announced_until: Timestamp::ZERO,
            has_lost_burst: false,
            used_at: now,
        }
    }

    /// A node refused requests although this coordinator has announced no share, so that the
    /// tenant has used its burst.
    fn refused_by_predecessor(&mut self, quota: Quota, now: Timestamp) {
        let was_announced = self.announced_until > Timestamp::ZERO;
        if !was_announced && !self.has_lost_burst {
            self.has_lost_burst = true;
            self.bucket = Bucket::without_burst(quota, now);
        }
    }

    fn record(&mut self, new: Counts, quota: Quota, now: Timestamp) {
        self.used_at = now;
        self.bucket.fill(quota, now);
        self.bucket.take(f64::from(new.admitted));
        self.demand.record(f64::from(new.arrived), now);
        self.unsampled = self.unsampled.saturating_add(new.arrived);
    }

    /// Computes the share from the demand and the tokens.
    fn sample(&mut self, quota: Quota, now: Timestamp) {
        let elapsed = now.saturating_sub(self.sampled_at);
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        let recent = f64::from(self.unsampled) / elapsed.as_secs_f64();
        self.unsampled = 0;
        self.sampled_at = now;
        self.bucket.fill(quota, now);
        // The average lags behind a surge.
        let average = self.demand.per_s(now);
        let allowed = (quota.rate + self.bucket.tokens() / SETTLING_TIME_S).max(0.0);
        self.current_share = share_of(allowed, average.max(recent));
        if self.current_share < 1.0 {
            self.announced_until = now + ANNOUNCED_FOR;
        }
        let is_ending = self.announced_until < now + ENDS_FOR;
        self.steady_share = match is_ending {
            true => 1.0,
            false => share_of(quota.rate, average),
        };
    }
}

/// The share of a demand that is allowed.
fn share_of(allowed: f64, demand: f64) -> f64 {
    match demand > allowed {
        true => allowed / demand,
        false => 1.0,
    }
}
