//! Instances that name a rate limit in their answers, and the promise that all nodes together
//! keep to it.

use super::event::Caller;
use super::faults::{FaultKind, Schedule, draw_time};
use super::world::{ALL_INSTANCES, SHARDED_INSTANCES, World};
use ledgelead_http::Response;
use ledgelead_router::io::ExchangeId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// How long an instance names a limit, in milliseconds.
const NAMED_MS: Range<u64> = 2_000..20_000;
/// Limits of owners of keys, in thousandths of a request a second: a third of what is asked
/// of one, and more than that.
const OWNER_LIMIT: Range<u32> = 4_000..15_000;
/// The same for instances without keys, which others can stand in for.
const OTHER_LIMIT: Range<u32> = 0..6_000;
/// Time from the first answer that names a limit until it binds.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// Time from such an answer until the node that has passed it on is bound.
const NODE_BINDS_AFTER: Duration = Duration::from_millis(500);
/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the limit that may arrive in a window.
const OVERAGE: f64 = 1.5;
/// How long a node isn't judged after it was cut or stood still.
const EXCUSED: Duration = Duration::from_secs(2);
/// Requests that may arrive beyond that.
const SLACK: f64 = 5.0;

/// A limit that an instance names.
#[derive(Debug)]
struct NamedLimit {
    since: Duration,
    /// Limits with the times at which they were named first, the newest last.
    history: Vec<(Duration, f64)>,
    /// Nodes that have passed on an answer that names one, since when.
    notified: HashMap<Caller, Duration>,
    arrived: VecDeque<Duration>,
}

impl NamedLimit {
    /// The highest limit that was named in a window.
    fn highest_since(&self, from: Duration) -> f64 {
        let is_over = |later: Option<&(Duration, f64)>| later.is_some_and(|(at, _)| *at < from);
        let named = self.history.iter().enumerate();
        let counts = named.filter(|(index, _)| !is_over(self.history.get(index + 1)));
        counts.map(|(_, (_, limit))| *limit).fold(0.0, f64::max)
    }
}

/// Limits that are named, by instance.
#[derive(Debug, Default)]
pub(super) struct Limits {
    named: HashMap<usize, NamedLimit>,
    /// Answers on their way that name one.
    on_the_way: HashMap<(Caller, ExchangeId), usize>,
}

impl Schedule {
    /// Instances that name limits, which rise, fall and end.
    pub(super) fn draw_limits(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(2..6) {
            let place = rng.random_range(0..ALL_INSTANCES);
            let at = draw_time(rng, from, to);
            let lasts = Duration::from_millis(rng.random_range(NAMED_MS));
            for change in 0..rng.random_range(1..4) {
                let millis_per_s = match place < SHARDED_INSTANCES {
                    true => rng.random_range(OWNER_LIMIT),
                    false => rng.random_range(OTHER_LIMIT),
                };
                let begins = at + lasts * change / 3;
                let name = FaultKind::NameLimit(place, millis_per_s);
                schedule = schedule.and(begins, at + lasts - begins, name);
            }
        }
        schedule
    }
}

impl World {
    /// An instance names a limit from now on.
    pub(super) fn name_limit(&mut self, place: usize, millis_per_s: u32) {
        let index = self.present(place);
        let limit = f64::from(millis_per_s) / 1_000.0;
        let now = self.now;
        self.trace(|| format!("{index} names a limit of {limit}"));
        let named = self.limits.named.entry(index).or_insert(NamedLimit {
            since: now,
            history: Vec::new(),
            notified: HashMap::new(),
            arrived: VecDeque::new(),
        });
        named.history.push((now, limit));
    }

    /// An instance names no limit any more.
    pub(super) fn end_limit(&mut self, place: usize) {
        let index = self.present(place);
        self.limits.named.remove(&index);
    }

    /// An instance's answer, with the limit that it names.
    pub(super) fn with_limit(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        index: usize,
        mut response: Response,
    ) -> Response {
        let named = self.limits.named.get(&index);
        if let Some((_, limit)) = named.and_then(|named| named.history.last()) {
            response.headers.push("rate-limit", limit.to_string());
            self.limits.on_the_way.insert((caller, exchange), index);
        }
        response
    }

    /// An answer has reached a node.
    pub(super) fn limit_arrives(&mut self, caller: Caller, exchange: ExchangeId) {
        let now = self.now;
        let index = self.limits.on_the_way.remove(&(caller, exchange));
        if let Some(named) = index.and_then(|index| self.limits.named.get_mut(&index)) {
            named.notified.entry(caller).or_insert(now);
        }
    }

    /// A request has reached an instance that may name a limit.
    pub(super) fn check_limit(&mut self, caller: Caller, index: usize) {
        let now = self.now;
        let node = &self.nodes[caller.0];
        let touched = node.thawed_at.max(node.healed_at);
        let is_cut = self.network.cut_from_nodes.contains(&caller.0);
        let Some(named) = self.limits.named.get_mut(&index) else {
            return;
        };
        if now >= named.since + BINDS_AFTER {
            self.report.arrived_under_limit += 1;
        }
        let Some(notified) = named.notified.get(&caller) else {
            return;
        };
        // A node that was cut or stood still may not have learned what others know.
        let excused = is_cut || (touched > Duration::ZERO && now < touched + EXCUSED);
        if excused || now < *notified + NODE_BINDS_AFTER {
            return;
        }
        named.arrived.push_back(now);
        while named.arrived.front().is_some_and(|at| *at + WINDOW <= now) {
            named.arrived.pop_front();
        }
        let highest = named.highest_since(now.saturating_sub(WINDOW + NODE_BINDS_AFTER));
        let allowed = highest * WINDOW.as_secs_f64() * OVERAGE + SLACK;
        let arrived = named.arrived.len();
        if arrived as f64 > allowed && now >= named.since + BINDS_AFTER {
            let limited = &self.instances[index];
            self.checker
                .sent_beyond_limit(limited, arrived, allowed, now);
        }
    }
}
