//! Decides which retries the budget is spent on when it runs short.
//!
//! While plenty is left, retries are granted in order of arrival. Below that, a retry is
//! granted only if enough is left for the more valuable ones that are likely to be requested
//! before new requests have replenished the budget. Each rank that requests retries keeps a
//! small share. If nothing more valuable is requested, the whole budget is spent.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum capacity to divide: reserving one retry must leave another.
const MIN_DIVIDED_CAPACITY: f64 = 2.0;
/// Share of the capacity that is granted in order of arrival. The failure of an instance or a
/// network partition is over before it is used up; only the failure of a whole service lasts
/// longer.
const UNRESERVED_SHARE: f64 = 0.5;
/// Share of the granted retries that is reserved for all ranks together, so that no rank is
/// served far less often than the one just above it.
const RANK_RESERVED_SHARE: f64 = 0.3;
/// How long past requests for retries predict future ones: enough for some requests of each
/// rank at a node with few clients.
const REQUESTED_TTL: Duration = Duration::from_secs(1);
/// Seconds of recent demand for more valuable retries to reserve. After that time, new
/// requests have replenished the budget.
const RESERVED_SECONDS: f64 = 1.0;
/// Value of a retry relative to one of the next more urgent rank.
const RANK_WEIGHT: f64 = 0.6;
/// Value of a retry whose caller can retry by itself: a refusal of a request that has not run
/// costs the caller a pause, a lost response costs it the whole request.
const NOT_RUN_WEIGHT: f64 = 0.5;
/// Value of a response after the target latency.
const LATE_WEIGHT: f64 = 0.4;
/// Number of steps in which values are compared; smaller differences are below the accuracy of
/// the estimates.
const VALUE_STEPS: f64 = 16.0;

/// What is known about a requested retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryCandidate {
    /// The request's priority; 0 is the most urgent.
    pub rank: u32,
    /// Whether the response can still meet the target latency.
    pub meets_target: bool,
    /// Whether the request certainly has not run, so that its caller can be told to retry.
    pub not_run: bool,
    /// Probability that the next instance accepts the request, 0 to 1.
    pub acceptance: f64,
}

impl RetryCandidate {
    /// The value of the retry, from 0 to 1.
    pub fn value(&self) -> f64 {
        let rank = i32::try_from(self.rank).unwrap_or(i32::MAX);
        let urgency = RANK_WEIGHT.powi(rank);
        let lateness = if self.meets_target { 1.0 } else { LATE_WEIGHT };
        let not_run = if self.not_run { NOT_RUN_WEIGHT } else { 1.0 };
        urgency * lateness * not_run * self.acceptance.clamp(0.0, 1.0)
    }

    fn step(&self) -> u32 {
        (self.value() * VALUE_STEPS) as u32
    }
}

/// State of the retry budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetLevel {
    /// Retries that can be granted at once if none was granted before.
    pub capacity: f64,
    /// Retries that can be granted now.
    pub left: f64,
}

#[derive(Clone, Copy, Debug)]
struct RequestedRetry {
    at: Timestamp,
    rank: u32,
    step: u32,
}

#[derive(Clone, Copy, Debug)]
struct GrantedRetry {
    at: Timestamp,
    rank: u32,
}

/// Recently requested and granted retries of one service.
#[derive(Clone, Debug, Default)]
pub struct RetryDemand {
    requested: VecDeque<RequestedRetry>,
    granted: VecDeque<GrantedRetry>,
}

impl RetryDemand {
    /// Records a requested retry, whether or not it is granted.
    pub fn record_request(&mut self, candidate: &RetryCandidate, now: Timestamp) {
        let requested = RequestedRetry {
            at: now,
            rank: candidate.rank,
            step: candidate.step(),
        };
        self.requested.push_back(requested);
        self.expire_requested(now);
    }

    /// Records a granted retry.
    pub fn record_grant(&mut self, rank: u32, window: Duration, now: Timestamp) {
        self.granted.push_back(GrantedRetry { at: now, rank });
        self.expire_granted(window, now);
    }

    /// Removes the last retry of this rank, which reached no instance.
    pub fn remove_grant(&mut self, rank: u32) {
        let last = self
            .granted
            .iter()
            .rposition(|granted| granted.rank == rank);
        if let Some(place) = last {
            self.granted.remove(place);
        }
    }

    /// Whether a retry is valuable enough at this level of the budget.
    pub fn is_worthwhile(
        &self,
        candidate: &RetryCandidate,
        level: BudgetLevel,
        now: Timestamp,
    ) -> bool {
        let is_unreserved = level.left >= level.capacity * UNRESERVED_SHARE;
        if level.capacity < MIN_DIVIDED_CAPACITY || is_unreserved {
            return true;
        }
        let ranks = self.ranks(now).len().max(1);
        let reserved = self.granted.len() as f64 * RANK_RESERVED_SHARE / ranks as f64;
        if self.granted_to(candidate.rank) < reserved {
            return true;
        }
        level.left >= 1.0 + self.requested_above(candidate.step(), now) * RESERVED_SECONDS
    }

    /// Ranks that requested retries recently.
    fn ranks(&self, now: Timestamp) -> Vec<u32> {
        let mut ranks: Vec<u32> = self
            .recently_requested(now)
            .map(|requested| requested.rank)
            .collect();
        ranks.sort_unstable();
        ranks.dedup();
        ranks
    }

    fn requested_above(&self, step: u32, now: Timestamp) -> f64 {
        let above = self
            .recently_requested(now)
            .filter(|requested| requested.step > step);
        above.count() as f64 / REQUESTED_TTL.as_secs_f64()
    }

    fn recently_requested(&self, now: Timestamp) -> impl Iterator<Item = &RequestedRetry> {
        self.requested
            .iter()
            .filter(move |requested| requested.at + REQUESTED_TTL > now)
    }

    fn granted_to(&self, rank: u32) -> f64 {
        let granted = self.granted.iter().filter(|granted| granted.rank == rank);
        granted.count() as f64
    }

    fn expire_requested(&mut self, now: Timestamp) {
        while self
            .requested
            .front()
            .is_some_and(|requested| requested.at + REQUESTED_TTL <= now)
        {
            self.requested.pop_front();
        }
    }

    fn expire_granted(&mut self, window: Duration, now: Timestamp) {
        while self
            .granted
            .front()
            .is_some_and(|granted| granted.at + window <= now)
        {
            self.granted.pop_front();
        }
    }
}
