//! Decides at one node which requests of a tenant are admitted.

use super::Quota;
use super::allocation::Share;
use super::bucket::Bucket;
use super::demand::EventRate;
use crate::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an announced share applies without a later one: longer than the election of
/// another coordinator, and than most partitions.
const SHARE_TTL: Duration = Duration::from_secs(60);
/// Age of a share after which this node's demand is no longer followed by the coordinator.
const FOLLOWED_FOR: Duration = Duration::from_secs(1);
/// Interval between two reports while no tenant exceeds its quota.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two reports while this node receives shares.
const LIMITED_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which a node averages its own demand. Long, since it has few requests of a tenant.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// How long an unused tenant is kept. Its bucket is full again by then.
const UNUSED_TTL: Duration = Duration::from_secs(600);
/// Bounds of the time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum credit. It exceeds 1, since the rest over an admitted request counts for the next.
const MAX_CREDIT: f64 = 2.0;

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u32,
    /// Requests that were admitted.
    pub admitted: u32,
}

/// A node's requests of one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCounts {
    /// Stable hash of the tenant's name.
    pub tenant: u64,
    /// Since the start of the node, so that a lost report does no harm. Wraps around.
    pub total: Counts,
    /// Since the last report, for a coordinator that received none before.
    pub recent: Counts,
}

/// A share as this node received it.
#[derive(Clone, Copy, Debug)]
struct ReceivedShare {
    share: Share,
    at: Timestamp,
    /// This node's demand at that time, in requests a second.
    own_demand: f64,
}

#[derive(Clone, Debug)]
struct TenantState {
    bucket: Bucket,
    demand: EventRate,
    total: Counts,
    reported: Counts,
    received: Option<ReceivedShare>,
    /// Sum of the shares of arrivals, less the admitted ones; a request is admitted at 1.
    credit: f64,
    used_at: Timestamp,
}

/// The requests of limited tenants at one node.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    tenants: BTreeMap<u64, TenantState>,
    seed: u64,
    has_unreported: bool,
    /// Until when shares that were received are recent.
    limited_until: Timestamp,
}

impl Admission {
    /// Creates the state of a node without requests. Nodes with different seeds don't admit
    /// their first requests all at once.
    pub fn new(seed: u64) -> Admission {
        Admission {
            seed,
            ..Admission::default()
        }
    }

    /// Decides on a request of a tenant.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if the request is not admitted.
    pub fn admit(&mut self, tenant: u64, quota: Quota, now: Timestamp) -> Result<(), Duration> {
        let seed = self.seed;
        let new_state = || TenantState::new(initial_credit(seed ^ tenant), quota, now);
        let state = self.tenants.entry(tenant).or_insert_with(new_state);
        self.has_unreported = true;
        state.admit(quota, now)
    }

    /// Applies the share that the coordinator announces for a tenant.
    pub fn receive_share(&mut self, share: Share, now: Timestamp) {
        // Without requests so far, the first one is admitted by the local bucket alone.
        if let Some(state) = self.tenants.get_mut(&share.tenant) {
            self.limited_until = now + FOLLOWED_FOR;
            state.received = Some(ReceivedShare {
                share,
                at: now,
                own_demand: state.demand.per_s(now),
            });
        }
    }

    /// Time from a report to the next one.
    pub fn report_interval(&self, now: Timestamp) -> Duration {
        match now < self.limited_until {
            true => LIMITED_INTERVAL,
            false => IDLE_INTERVAL,
        }
    }

    /// Whether there are requests that were not reported.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported
    }

    /// Returns the counts of the tenants with requests since the last call.
    pub fn take_counts(&mut self) -> Vec<NodeCounts> {
        self.has_unreported = false;
        let changed = self
            .tenants
            .iter_mut()
            .filter(|(_, state)| state.reported != state.total);
        changed
            .map(|(tenant, state)| NodeCounts {
                tenant: *tenant,
                total: state.total,
                recent: state.take_recent(),
            })
            .collect()
    }

    /// Removes tenants without requests for a long time.
    pub fn expire(&mut self, now: Timestamp) {
        let is_used = |state: &TenantState| state.used_at + UNUSED_TTL > now;
        self.tenants.retain(|_, state| is_used(state));
    }
}

impl TenantState {
    fn new(credit: f64, quota: Quota, now: Timestamp) -> TenantState {
        TenantState {
            bucket: Bucket::full(quota, now),
            demand: EventRate::new(DEMAND_TIME, now),
            total: Counts::default(),
            reported: Counts::default(),
            received: None,
            credit,
            used_at: now,
        }
    }

    fn admit(&mut self, quota: Quota, now: Timestamp) -> Result<(), Duration> {
        self.used_at = now;
        self.total.arrived = self.total.arrived.wrapping_add(1);
        self.demand.record(1.0, now);
        self.bucket.fill(quota, now);
        let share = self.share(now);
        // Credits differ between nodes, and stay so while everything is admitted. Otherwise all
        // nodes would admit their next requests at the same time.
        let is_shared = share < 1.0;
        if is_shared {
            self.credit = (self.credit + share).min(MAX_CREDIT);
        }
        if (is_shared && self.credit < 1.0) || self.bucket.tokens() < 1.0 {
            return Err(self.retry_after(share, quota, now));
        }
        if is_shared {
            self.credit -= 1.0;
        }
        self.bucket.take(1.0);
        self.total.admitted = self.total.admitted.wrapping_add(1);
        Ok(())
    }

    /// The share of requests to admit. Without a coordinator, requests beyond the demand that
    /// it knew last are refused.
    fn share(&self, now: Timestamp) -> f64 {
        match self.received {
            Some(received) if now < received.at + FOLLOWED_FOR => received.share.current,
            Some(received) if received.share.steady < 1.0 && now < received.at + SHARE_TTL => {
                let demand = self.demand.per_s(now).max(f64::MIN_POSITIVE);
                (received.share.steady * received.own_demand / demand).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// The time after which this node admits the next request at the current demand.
    fn retry_after(&self, share: f64, quota: Quota, now: Timestamp) -> Duration {
        let own_rate = share * self.demand.per_s(now);
        let by_share = match share < 1.0 {
            true => (1.0 - self.credit) / own_rate.max(f64::MIN_POSITIVE),
            false => 0.0,
        };
        let by_bucket = (1.0 - self.bucket.tokens()) / quota.rate;
        let wait = by_share.max(by_bucket).max(0.0);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn take_recent(&mut self) -> Counts {
        let Counts { arrived, admitted } = self.reported;
        self.reported = self.total;
        Counts {
            arrived: self.total.arrived.wrapping_sub(arrived),
            admitted: self.total.admitted.wrapping_sub(admitted),
        }
    }
}

/// A number from 0 to 1 that differs between seeds.
fn initial_credit(seed: u64) -> f64 {
    let mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    mixed as f64 / f64::from(u32::MAX)
}
