//! Instances that announce a rate limit in their responses, and the check that all nodes
//! together comply.

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

/// How long an instance announces limits, in milliseconds.
const ANNOUNCED_MS: Range<u64> = 2_000..20_000;
/// Limits of key owners, in thousandths of a request per second: from a third of the usual
/// load of an owner to more than that load.
const OWNER_LIMIT: Range<u32> = 4_000..15_000;
/// Limits of unsharded instances, in thousandths of a request per second. Other instances can
/// take over their requests.
const OTHER_LIMIT: Range<u32> = 0..6_000;
/// Time from the first response that announces a limit until the limit is enforced.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// Time until a node that forwarded such a response must respect the limit.
const NODE_BINDS_AFTER: Duration = Duration::from_millis(500);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the limit that may arrive in a window.
const OVERAGE: f64 = 1.5;
/// How long a node is exempt from the check after a partition or a freeze.
const GRACE_AFTER_DISTURBANCE: Duration = Duration::from_secs(2);
/// Requests that may arrive in addition.
const SLACK: f64 = 5.0;

/// A limit that an instance announces.
#[derive(Debug)]
struct AnnouncedLimit {
    since: Duration,
    /// Limits with the times at which they were first announced, newest last.
    history: Vec<(Duration, f64)>,
    /// Nodes that have forwarded a response announcing a limit, and since when.
    notified: HashMap<Caller, Duration>,
    arrived: VecDeque<Duration>,
}

impl AnnouncedLimit {
    /// The highest limit in effect since `from`.
    fn highest_since(&self, from: Duration) -> f64 {
        let is_over = |later: Option<&(Duration, f64)>| later.is_some_and(|(at, _)| *at < from);
        let announced = self.history.iter().enumerate();
        let applicable = announced.filter(|(index, _)| !is_over(self.history.get(index + 1)));
        applicable.map(|(_, (_, limit))| *limit).fold(0.0, f64::max)
    }
}

/// Announced limits by instance.
#[derive(Debug, Default)]
pub(super) struct Limits {
    announced: HashMap<usize, AnnouncedLimit>,
    /// Responses in flight that announce a limit.
    in_flight: HashMap<(Caller, ExchangeId), usize>,
}

impl Schedule {
    /// Draws instances that announce limits, which rise, fall and end.
    pub(super) fn draw_limits(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(2..6) {
            let position = rng.random_range(0..ALL_INSTANCES);
            let at = draw_time(rng, from, to);
            let duration = Duration::from_millis(rng.random_range(ANNOUNCED_MS));
            for change in 0..rng.random_range(1..4) {
                let millis_per_s = match position < SHARDED_INSTANCES {
                    true => rng.random_range(OWNER_LIMIT),
                    false => rng.random_range(OTHER_LIMIT),
                };
                let begins = at + duration * change / 3;
                let name = FaultKind::AnnounceLimit(position, millis_per_s);
                schedule = schedule.and(begins, at + duration - begins, name);
            }
        }
        schedule
    }
}

impl World {
    /// An instance announces a limit from now on.
    pub(super) fn announce_limit(&mut self, position: usize, millis_per_s: u32) {
        let index = self.instance_at(position);
        let limit = f64::from(millis_per_s) / 1_000.0;
        let now = self.now;
        self.trace(|| format!("instance {index} announces a limit of {limit}"));
        let announced = self
            .limits
            .announced
            .entry(index)
            .or_insert(AnnouncedLimit {
                since: now,
                history: Vec::new(),
                notified: HashMap::new(),
                arrived: VecDeque::new(),
            });
        announced.history.push((now, limit));
    }

    /// An instance stops announcing a limit.
    pub(super) fn end_limit(&mut self, position: usize) {
        let index = self.instance_at(position);
        self.limits.announced.remove(&index);
    }

    /// Adds the announced limit, if any, to the response of an instance.
    pub(super) fn with_limit(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        index: usize,
        mut response: Response,
    ) -> Response {
        let announced = self.limits.announced.get(&index);
        if let Some((_, limit)) = announced.and_then(|announced| announced.history.last()) {
            response.headers.push("rate-limit", limit.to_string());
            self.limits.in_flight.insert((caller, exchange), index);
        }
        response
    }

    /// Records that a response with a limit reached a node.
    pub(super) fn limit_arrives(&mut self, caller: Caller, exchange: ExchangeId) {
        let now = self.now;
        let index = self.limits.in_flight.remove(&(caller, exchange));
        if let Some(announced) = index.and_then(|index| self.limits.announced.get_mut(&index)) {
            announced.notified.entry(caller).or_insert(now);
        }
    }

    /// Checks a request that reached an instance which may announce a limit.
    pub(super) fn check_limit(&mut self, caller: Caller, index: usize) {
        let now = self.now;
        let node = &self.nodes[caller.0];
        let disturbed_at = node.thawed_at.max(node.healed_at);
        let is_partitioned = self.network.cut_from_nodes.contains(&caller.0);
        let Some(announced) = self.limits.announced.get_mut(&index) else {
            return;
        };
        if now >= announced.since + BINDS_AFTER {
            self.report.arrived_under_limit += 1;
        }
        let Some(notified) = announced.notified.get(&caller) else {
            return;
        };
        // A node that was partitioned or frozen may not know what the others know.
        let is_exempt = is_partitioned
            || (disturbed_at > Duration::ZERO && now < disturbed_at + GRACE_AFTER_DISTURBANCE);
        if is_exempt || now < *notified + NODE_BINDS_AFTER {
            return;
        }
        announced.arrived.push_back(now);
        while announced
            .arrived
            .front()
            .is_some_and(|at| *at + WINDOW <= now)
        {
            announced.arrived.pop_front();
        }
        let highest = announced.highest_since(now.saturating_sub(WINDOW + NODE_BINDS_AFTER));
        let allowed = highest * WINDOW.as_secs_f64() * OVERAGE + SLACK;
        let arrived = announced.arrived.len();
        if arrived as f64 > allowed && now >= announced.since + BINDS_AFTER {
            let limited = &self.instances[index];
            self.checker
                .requests_beyond_limit(limited, arrived, allowed, now);
        }
    }
}
