//! This node's share of the retry budget, which all nodes have in common.
//!
//! The part proportional to requests is divided by demand: retries are paid for by the node's
//! own requests. Every run of retries within one window must be covered by the requests
//! received since one window before the run began. Each request pays only part of the ratio;
//! if it paid all of it, clients that change nodes would count at both.
//!
//! The slack is divided equally among the nodes. The bound holds without any messages: an
//! incarnation of a node uses its whole share only once it is older than the window. All
//! incarnations that do so within some window therefore existed when it began, and no two of
//! them belong to the same node. Each divides by the largest number of nodes known over the
//! last minutes, so that remaining nodes don't reuse what others used before they ended, or
//! are still using while partitioned.

use super::node_count::NodeCount;
use super::retry_value::{BudgetLevel, RetryCandidate, RetryDemand};
use crate::Timestamp;
use crate::identity::ServiceName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The part of its share of the slack that a node uses. Its view of the requests and the
/// service's view differ a little in time.
const USABLE_SLACK_SHARE: f64 = 0.8;
/// The part of the ratio that a request pays for retries. It is below one half because a
/// request counts in its own window and in the next, when its client may be at another node.
const PAID_RATIO_SHARE: f64 = 0.48;
/// The part of its share of the slack that a node uses in the first window of its incarnation,
/// while the other nodes still divide the slack without it. If an earlier incarnation is
/// known, the part grows from zero with age, since what that one used is unknown. However
/// often the node restarts, its incarnations stay below its whole share together with
/// `USABLE_SLACK_SHARE`.
const FIRST_WINDOW_SLACK_SHARE: f64 = 0.15;
/// How long the largest number of nodes is remembered. A node partitioned from the store is no
/// longer registered but still sends. Partitions last for minutes at most.
const NODE_COUNT_TTL: Duration = Duration::from_secs(300);

/// Limits of a deployment's retry budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed in each window, over all nodes.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Usage {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    demand: RetryDemand,
}

/// Retry budget by service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    usage: BTreeMap<ServiceName, Usage>,
    /// When this incarnation began. `None` if unknown, which counts as long ago.
    started_at: Option<Timestamp>,
    /// Whether an earlier incarnation of the node is known.
    has_earlier_incarnation: bool,
    nodes: NodeCount,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(bounds: BudgetBounds) -> RetryBudget {
        RetryBudget {
            bounds,
            usage: BTreeMap::new(),
            started_at: None,
            has_earlier_incarnation: false,
            nodes: NodeCount::default(),
        }
    }

    /// Marks the start of this incarnation of the node.
    pub fn start(&mut self, now: Timestamp) {
        self.started_at = Some(now);
    }

    /// Records that the node had an earlier incarnation.
    pub fn record_earlier_incarnation(&mut self) {
        self.has_earlier_incarnation = true;
    }

    /// Records the number of nodes that are registered now.
    pub fn record_node_count(&mut self, nodes: usize, now: Timestamp) {
        self.nodes.record(nodes, NODE_COUNT_TTL, now);
    }

    /// Replaces the limits of the budget.
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
        self.bounds = bounds;
    }

    /// Records a client's request for the service.
    pub fn record_request(&mut self, service: &ServiceName, now: Timestamp) {
        let window = self.bounds.window;
        let usage = self.usage.entry(service.clone()).or_default();
        usage.requests.push_back(now);
        usage.expire(now, window);
    }

    /// Takes one retry if this node's share among `nodes` nodes allows it. A node that knows
    /// no other nodes has no share of the slack.
    pub fn try_acquire(&mut self, service: &ServiceName, nodes: usize, now: Timestamp) -> bool {
        let window = self.bounds.window;
        self.record_node_count(nodes, now);
        if let Some(usage) = self.usage.get_mut(service) {
            usage.expire(now, window);
        }
        if !self.has_retry_left(service, nodes, now) {
            return false;
        }
        let usage = self.usage.entry(service.clone()).or_default();
        usage.retries.push_back(now);
        true
    }

    /// Like `try_acquire`, for a retry that must also be valuable enough compared to the
    /// others requested recently.
    pub fn try_acquire_for(
        &mut self,
        service: &ServiceName,
        candidate: &RetryCandidate,
        nodes: usize,
        now: Timestamp,
    ) -> RetryDecision {
        let usage = self.usage.entry(service.clone()).or_default();
        usage.expire(now, self.bounds.window);
        usage.demand.record_request(candidate, now);
        if !self.is_worthwhile(service, candidate, nodes, now) {
            return RetryDecision::HeldBack;
        }
        if !self.try_acquire(service, nodes, now) {
            return RetryDecision::Exhausted;
        }
        let usage = self.usage.entry(service.clone()).or_default();
        usage
            .demand
            .record_grant(candidate.rank, self.bounds.window, now);
        RetryDecision::Granted
    }

    /// Returns a retry that never reached an instance.
    pub fn refund(&mut self, service: &ServiceName) {
        if let Some(usage) = self.usage.get_mut(service) {
            usage.retries.pop_back();
        }
    }

    /// Like `refund`, for a retry of a request with this rank.
    pub fn refund_for(&mut self, service: &ServiceName, rank: u32) {
        self.refund(service);
        if let Some(usage) = self.usage.get_mut(service) {
            usage.demand.remove_grant(rank);
        }
    }

    /// Whether a retry could be taken.
    pub fn has_retry_left(&self, service: &ServiceName, nodes: usize, now: Timestamp) -> bool {
        self.level(service, nodes, now).left >= 1.0
    }

    /// Whether a retry is valuable enough to be taken.
    pub fn is_worthwhile(
        &self,
        service: &ServiceName,
        candidate: &RetryCandidate,
        nodes: usize,
        now: Timestamp,
    ) -> bool {
        let level = self.level(service, nodes, now);
        self.usage
            .get(service)
            .is_none_or(|usage| usage.demand.is_worthwhile(candidate, level, now))
    }

    fn level(&self, service: &ServiceName, nodes: usize, now: Timestamp) -> BudgetLevel {
        let slack = self.slack(nodes, now);
        let ratio = self.bounds.ratio;
        match self.usage.get(service) {
            Some(usage) => usage.level(ratio, slack, now, self.bounds.window),
            None => BudgetLevel {
                capacity: slack,
                left: slack,
            },
        }
    }

    fn slack(&self, nodes: usize, now: Timestamp) -> f64 {
        if nodes == 0 {
            return 0.0;
        }
        self.bounds.slack * self.usable_share(now) / self.nodes.largest(nodes) as f64
    }

    fn usable_share(&self, now: Timestamp) -> f64 {
        let window = self.bounds.window;
        match self.started_at.map(|began| now.saturating_sub(began)) {
            Some(age) if age < window && self.has_earlier_incarnation => {
                FIRST_WINDOW_SLACK_SHARE * age.div_duration_f64(window)
            }
            Some(age) if age < window => FIRST_WINDOW_SLACK_SHARE,
            _ => USABLE_SLACK_SHARE,
        }
    }
}

/// The decision about a requested retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The retry may be sent.
    Granted,
    /// The budget is kept for more valuable retries.
    HeldBack,
    /// The budget is exhausted.
    Exhausted,
}

impl Usage {
    /// The budget left for a retry now: the minimum over all runs of retries that end with it.
    fn level(&self, ratio: f64, slack: f64, now: Timestamp, window: Duration) -> BudgetLevel {
        let before = |limit: Timestamp| self.requests.partition_point(|at| *at < limit);
        let paid = |began: Timestamp| {
            let from = began.checked_sub(window).map_or(0, before);
            let requests = (self.requests.len() - from) as f64;
            ratio * requests * PAID_RATIO_SHARE + slack
        };
        let capacity = paid(now);
        let forgotten = self.retries.partition_point(|at| *at + window <= now);
        let series = (forgotten..self.retries.len()).map(|first| {
            let taken = (self.retries.len() - first) as f64;
            paid(self.retries[first]) - taken
        });
        let left = series.fold(capacity, f64::min);
        BudgetLevel { capacity, left }
    }

    /// Drops entries that no longer count. Requests pay for runs of retries that begin up to
    /// one window later.
    fn expire(&mut self, now: Timestamp, window: Duration) {
        drop_before(&mut self.requests, now, window * 2);
        drop_before(&mut self.retries, now, window);
    }
}

fn drop_before(times: &mut VecDeque<Timestamp>, now: Timestamp, max_age: Duration) {
    while times.front().is_some_and(|time| *time + max_age <= now) {
        times.pop_front();
    }
}
