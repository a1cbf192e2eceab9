//! Which repeats the retry budget is spent on while it runs short.
//!
//! Far from used up, it goes to whoever asks first. After that a repeat is drawn only
//! beside what those that win more are likely to ask for until new requests have paid for
//! others, and each kind of request that asks keeps a small share. Where nothing better
//! asks, all of the budget is spent.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Fewest repeats that are divided: one that is kept for others must leave one.
const LEAST_DIVIDED: f64 = 2.0;
/// Share of what can be drawn at once that goes to whoever asks first. A failed instance
/// or a cut link is over before it is used; only a failure of a whole service lasts longer.
const FREE_SHARE: f64 = 0.5;
/// Share of what is drawn that all kinds of requests together keep for themselves, so that
/// no kind is served far less often than what is right above it.
const KEPT_SHARE: f64 = 0.3;
/// How long what was asked for tells what will be asked for: enough for some requests of
/// each kind at a node with few clients.
const ASKED_WITHIN: Duration = Duration::from_secs(1);
/// How much of the last second's demand is kept for repeats that win more: by then, new
/// requests have paid for others.
const KEPT_SECONDS: f64 = 1.0;
/// What a repeat wins by one more step of priority, against the step before.
const RANK_WEIGHT: f64 = 0.6;
/// What a repeat wins whose caller can come back: a refusal as not run costs it a pause,
/// a lost answer all of the request.
const RETURNING_WEIGHT: f64 = 0.5;
/// What an answer after its target still earns.
const LATE_WEIGHT: f64 = 0.4;
/// Steps in which the gain is compared; finer ones differ by less than what is known.
const STEPS: f64 = 16.0;

/// What is known of a repeat when it is asked for.
#[derive(Clone, Copy, Debug)]
pub struct RetryCandidate {
    /// The request's priority; 0 is the most urgent.
    pub rank: u32,
    /// Whether its answer can still come within the target latency.
    pub meets_target: bool,
    /// Whether it surely has not run, so that its caller can be told to come back.
    pub not_run: bool,
    /// How likely the next instance takes it, 0 to 1.
    pub acceptance: f64,
}

impl RetryCandidate {
    /// What the repeat wins, from 0 to 1.
    pub fn gain(&self) -> f64 {
        let rank = i32::try_from(self.rank).unwrap_or(i32::MAX);
        let urgency = RANK_WEIGHT.powi(rank);
        let lateness = if self.meets_target { 1.0 } else { LATE_WEIGHT };
        let returning = if self.not_run { RETURNING_WEIGHT } else { 1.0 };
        urgency * lateness * returning * self.acceptance.clamp(0.0, 1.0)
    }

    fn step(&self) -> u32 {
        (self.gain() * STEPS) as u32
    }
}

/// How much of the budget is there.
#[derive(Clone, Copy, Debug)]
pub struct BudgetLevel {
    /// Repeats that can be drawn at once, if none was before.
    pub capacity: f64,
    /// Repeats that can be drawn now.
    pub left: f64,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Timestamp,
    rank: u32,
    step: u32,
}

#[derive(Clone, Copy, Debug)]
struct Drawn {
    at: Timestamp,
    rank: u32,
}

/// What was lately asked for and drawn for one service.
#[derive(Clone, Debug, Default)]
pub struct RetryDemand {
    asked: VecDeque<Asked>,
    drawn: VecDeque<Drawn>,
}

impl RetryDemand {
    /// A repeat is asked for, whether or not it is drawn.
    pub fn record_request(&mut self, facts: &RetryCandidate, now: Timestamp) {
        let asked = Asked {
            at: now,
            rank: facts.rank,
            step: facts.step(),
        };
        self.asked.push_back(asked);
        self.forget_asked(now);
    }

    /// A repeat was drawn.
    pub fn record_grant(&mut self, rank: u32, window: Duration, now: Timestamp) {
        self.drawn.push_back(Drawn { at: now, rank });
        self.forget_drawn(window, now);
    }

    /// The last repeat of this rank reached no instance.
    pub fn remove_grant(&mut self, rank: u32) {
        let last = self.drawn.iter().rposition(|drawn| drawn.rank == rank);
        if let Some(place) = last {
            self.drawn.remove(place);
        }
    }

    /// Whether a repeat wins enough at this level of the budget.
    pub fn is_worthwhile(
        &self,
        facts: &RetryCandidate,
        level: BudgetLevel,
        now: Timestamp,
    ) -> bool {
        let is_free = level.left >= level.capacity * FREE_SHARE;
        if level.capacity < LEAST_DIVIDED || is_free {
            return true;
        }
        let ranks = self.ranks(now).len().max(1);
        let kept = self.drawn.len() as f64 * KEPT_SHARE / ranks as f64;
        if self.drawn_by(facts.rank) < kept {
            return true;
        }
        level.left >= 1.0 + self.asked_above(facts.step(), now) * KEPT_SECONDS
    }

    /// Kinds that have asked lately.
    fn ranks(&self, now: Timestamp) -> Vec<u32> {
        let mut ranks: Vec<u32> = self.lately_asked(now).map(|asked| asked.rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        ranks
    }

    fn asked_above(&self, step: u32, now: Timestamp) -> f64 {
        let above = self.lately_asked(now).filter(|asked| asked.step > step);
        above.count() as f64 / ASKED_WITHIN.as_secs_f64()
    }

    fn lately_asked(&self, now: Timestamp) -> impl Iterator<Item = &Asked> {
        self.asked
            .iter()
            .filter(move |asked| asked.at + ASKED_WITHIN > now)
    }

    fn drawn_by(&self, rank: u32) -> f64 {
        let drawn = self.drawn.iter().filter(|drawn| drawn.rank == rank);
        drawn.count() as f64
    }

    fn forget_asked(&mut self, now: Timestamp) {
        while self
            .asked
            .front()
            .is_some_and(|asked| asked.at + ASKED_WITHIN <= now)
        {
            self.asked.pop_front();
        }
    }

    fn forget_drawn(&mut self, window: Duration, now: Timestamp) {
        while self
            .drawn
            .front()
            .is_some_and(|drawn| drawn.at + window <= now)
        {
            self.drawn.pop_front();
        }
    }
}
