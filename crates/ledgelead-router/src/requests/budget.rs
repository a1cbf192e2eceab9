//! This node's share of the retry budget that all nodes draw on together.
//!
//! A repeat is paid for by the node's own requests, so that this part is shared by demand.
//! Each series of repeats within a window has to be paid for, by the requests since a
//! window before it began. Were they to pay in whole, clients that change nodes would
//! count at both.
//!
//! The slack is shared by heads, and no message is needed for the bound to hold: a life uses
//! its whole share only once it is older than the window. Lives that did so within some
//! window all lived when it began, thus two of one node are never among them. Each
//! divides by the most nodes that it has known for minutes, so that those that remain
//! don't use again what others have used before they ended, or use while they are cut off.

use super::node_count::NodeCount;
use super::retry_value::{BudgetLevel, RetryCandidate, RetryDemand};
use crate::Timestamp;
use crate::identity::ServiceName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The share of its part of the slack that a node uses: what it sees and what the
/// service receives differ a little in time.
const SLACK_SHARE: f64 = 0.8;
/// The share of the ratio that a request pays for repeats. Below one half: a request pays
/// in its own window and in the next, where its client may be another node's.
const PAID_SHARE: f64 = 0.48;
/// The share of its part of the slack that a node uses in the first window of its life:
/// the others still use theirs as if it weren't there. Where an earlier life of it is
/// known, it grows from nothing with the age, since nobody knows what that has used:
/// however often the node starts, with `SLACK_SHARE` its lives stay below the whole.
const YOUNG_SHARE: f64 = 0.15;
/// How long the most nodes are remembered: a node that is cut off from the store isn't
/// registered any more and still sends. Cuts last for minutes at most.
const NODES_REMEMBERED: Duration = Duration::from_secs(300);

/// What the budget of a deployment is.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries besides in each window, over all nodes.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Usage {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    demand: RetryDemand,
}

/// Retries by service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    usage: BTreeMap<ServiceName, Usage>,
    /// When this life began; long ago, if that isn't known.
    began: Option<Timestamp>,
    /// Whether an earlier life of the node is known.
    has_earlier_life: bool,
    nodes: NodeCount,
}

impl RetryBudget {
    /// Nothing used yet.
    pub fn new(bounds: BudgetBounds) -> RetryBudget {
        RetryBudget {
            bounds,
            usage: BTreeMap::new(),
            began: None,
            has_earlier_life: false,
            nodes: NodeCount::default(),
        }
    }

    /// This life of the node begins.
    pub fn start(&mut self, now: Timestamp) {
        self.began = Some(now);
    }

    /// There was another life of the node before.
    pub fn note_earlier_incarnation(&mut self) {
        self.has_earlier_life = true;
    }

    /// So many nodes are registered now.
    pub fn record_node_count(&mut self, nodes: usize, now: Timestamp) {
        self.nodes.saw(nodes, NODES_REMEMBERED, now);
    }

    /// From now on the budget is this.
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
        self.bounds = bounds;
    }

    /// A client's request for the service came.
    pub fn requested(&mut self, service: &ServiceName, now: Timestamp) {
        let window = self.bounds.window;
        let usage = self.usage.entry(service.clone()).or_default();
        usage.requests.push_back(now);
        usage.forget(now, window);
    }

    /// Draws one retry, if the share of one among `nodes` nodes allows it.
    /// A node that knows no other nodes has no share of the slack.
    pub fn try_acquire(&mut self, service: &ServiceName, nodes: usize, now: Timestamp) -> bool {
        let window = self.bounds.window;
        self.record_node_count(nodes, now);
        if let Some(usage) = self.usage.get_mut(service) {
            usage.forget(now, window);
        }
        if !self.has_retry_left(service, nodes, now) {
            return false;
        }
        let usage = self.usage.entry(service.clone()).or_default();
        usage.retries.push_back(now);
        true
    }

    /// The same for a repeat that also has to win enough, beside the others that are
    /// asked for.
    pub fn try_acquire_for(
        &mut self,
        service: &ServiceName,
        facts: &RetryCandidate,
        nodes: usize,
        now: Timestamp,
    ) -> RetryDecision {
        let usage = self.usage.entry(service.clone()).or_default();
        usage.forget(now, self.bounds.window);
        usage.demand.record_request(facts, now);
        if !self.is_worthwhile(service, facts, nodes, now) {
            return RetryDecision::HeldBack;
        }
        if !self.try_acquire(service, nodes, now) {
            return RetryDecision::Exhausted;
        }
        let usage = self.usage.entry(service.clone()).or_default();
        usage
            .demand
            .record_grant(facts.rank, self.bounds.window, now);
        RetryDecision::Granted
    }

    /// A retry that was drawn has not reached an instance.
    pub fn refund(&mut self, service: &ServiceName) {
        if let Some(usage) = self.usage.get_mut(service) {
            usage.retries.pop_back();
        }
    }

    /// The same for a repeat of this rank.
    pub fn refund_for(&mut self, service: &ServiceName, rank: u32) {
        self.refund(service);
        if let Some(usage) = self.usage.get_mut(service) {
            usage.demand.remove_grant(rank);
        }
    }

    /// Whether a retry could be drawn.
    pub fn has_retry_left(&self, service: &ServiceName, nodes: usize, now: Timestamp) -> bool {
        self.level(service, nodes, now).left >= 1.0
    }

    /// Whether a repeat wins enough to be drawn.
    pub fn is_worthwhile(
        &self,
        service: &ServiceName,
        facts: &RetryCandidate,
        nodes: usize,
        now: Timestamp,
    ) -> bool {
        let level = self.level(service, nodes, now);
        self.usage
            .get(service)
            .is_none_or(|usage| usage.demand.is_worthwhile(facts, level, now))
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
        self.bounds.slack * self.usable_share(now) / self.nodes.most(nodes) as f64
    }

    fn usable_share(&self, now: Timestamp) -> f64 {
        let window = self.bounds.window;
        match self.began.map(|began| now.saturating_sub(began)) {
            Some(age) if age < window && self.has_earlier_life => {
                YOUNG_SHARE * age.div_duration_f64(window)
            }
            Some(age) if age < window => YOUNG_SHARE,
            _ => SLACK_SHARE,
        }
    }
}

/// What became of a repeat that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It may be sent.
    Granted,
    /// Others win more.
    HeldBack,
    /// Nothing is left.
    Exhausted,
}

impl Usage {
    /// What is left for a repeat now: the least over all series of repeats that end with
    /// it.
    fn level(&self, ratio: f64, slack: f64, now: Timestamp, window: Duration) -> BudgetLevel {
        let before = |limit: Timestamp| self.requests.partition_point(|at| *at < limit);
        let paid = |began: Timestamp| {
            let from = began.checked_sub(window).map_or(0, before);
            let requests = (self.requests.len() - from) as f64;
            ratio * requests * PAID_SHARE + slack
        };
        let capacity = paid(now);
        let forgotten = self.retries.partition_point(|at| *at + window <= now);
        let series = (forgotten..self.retries.len()).map(|first| {
            let drawn = (self.retries.len() - first) as f64;
            paid(self.retries[first]) - drawn
        });
        let left = series.fold(capacity, f64::min);
        BudgetLevel { capacity, left }
    }

    /// Requests pay for series of repeats that began a window after them.
    fn forget(&mut self, now: Timestamp, window: Duration) {
        forget_before(&mut self.requests, now, window * 2);
        forget_before(&mut self.retries, now, window);
    }
}

fn forget_before(times: &mut VecDeque<Timestamp>, now: Timestamp, kept: Duration) {
    while times.front().is_some_and(|time| *time + kept <= now) {
        times.pop_front();
    }
}
