//! Nodes that are partitioned from all instances, while clients, the store and the other nodes
//! still reach them, and how well callers are served meanwhile.

use super::event::Caller;
use super::faults::{FaultKind, Schedule, Target, draw_time};
use super::world::World;
use ledgelead_router::io::{ExchangeFailure, ExchangeId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::time::Duration;

/// Time after the start of a partition from which on requests are counted: nodes have to find
/// out about it first.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Time before the end of a partition after which requests are not counted, since they may end
/// after it.
const LAST_REQUEST: Duration = Duration::from_secs(2);
/// Of this many requests in a group, one may remain unserved.
const REQUESTS_PER_FAILURE: u32 = 50;
/// Duration of partitions, in milliseconds.
const ISOLATION_MS: std::ops::Range<u64> = 8_000..16_000;
/// Time between two partitions of a series, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 500..6_000;

/// Which nodes are partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolatedNodes {
    /// The coordinator and some other nodes, this many in total.
    WithCoordinator(usize),
    /// This many nodes other than the coordinator.
    WithoutCoordinator(usize),
    /// All nodes of a zone.
    Zone(usize),
}

/// What happens to the connections between an isolated node and the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolationEffect {
    /// Packets are dropped: established connections hang, new ones time out.
    Drops,
    /// Established connections are reset, new ones refused.
    Resets,
    /// Established connections work, new ones are refused.
    RefusesNew,
}

/// How many requests of a group were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Requests sent.
    pub sent: u32,
    /// Those answered by an instance.
    pub served: u32,
}

impl Service {
    /// Whether so many requests remained unserved that callers notice.
    pub fn is_degraded(self) -> bool {
        (self.sent - self.served) * REQUESTS_PER_FAILURE > self.sent
    }
}

/// A partition and the service during it.
#[derive(Clone, Debug)]
pub struct IsolationWindow {
    /// When it began.
    pub began: Duration,
    ends: Duration,
    /// The isolated nodes.
    pub nodes: Vec<usize>,
    /// Service at these nodes.
    pub isolated: Service,
    /// Service at all other nodes.
    pub others: Service,
}

impl IsolationWindow {
    fn group(&mut self, is_isolated: bool) -> &mut Service {
        match is_isolated {
            true => &mut self.isolated,
            false => &mut self.others,
        }
    }
}

/// All partitions of a run, and the requests that are counted for them.
#[derive(Debug, Default)]
pub struct Isolations {
    windows: Vec<IsolationWindow>,
    /// The window and group of each counted request.
    counted: HashMap<u64, (usize, bool)>,
}

impl Isolations {
    /// A client sends a request to a node.
    pub fn request_sent(&mut self, attempt: u64, node: usize, now: Duration) {
        let covers = |window: &IsolationWindow| {
            window.began + DETECTION_TIME <= now && now + LAST_REQUEST < window.ends
        };
        let Some(index) = self.windows.iter().rposition(covers) else {
            return;
        };
        let window = &mut self.windows[index];
        let is_isolated = window.nodes.contains(&node);
        window.group(is_isolated).sent += 1;
        self.counted.insert(attempt, (index, is_isolated));
    }

    /// An instance's answer reached the client.
    pub fn request_served(&mut self, attempt: u64) {
        if let Some((index, is_isolated)) = self.counted.remove(&attempt) {
            self.windows[index].group(is_isolated).served += 1;
        }
    }

    /// The partitions of the run.
    pub fn take_windows(&mut self) -> Vec<IsolationWindow> {
        std::mem::take(&mut self.windows)
    }
}

impl Schedule {
    /// Whether nothing but isolated nodes disturbs the service.
    pub(super) fn only_isolates(&self) -> bool {
        let is_isolation = |kind: &FaultKind| matches!(kind, FaultKind::IsolateNodes(..));
        self.0.iter().all(|fault| is_isolation(&fault.kind))
    }

    /// Draws a series of partitions between nodes and all instances.
    pub(super) fn draw_isolations(
        rng: &mut Pcg64Mcg,
        nodes: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        let mut at = draw_time(rng, from, from + (to - from) / 4);
        while at < to {
            let duration = Duration::from_millis(rng.random_range(ISOLATION_MS));
            let isolated = match rng.random_range(0..4) {
                0 => IsolatedNodes::Zone(rng.random_range(0..3)),
                1 => IsolatedNodes::WithoutCoordinator(rng.random_range(1..nodes)),
                _ => IsolatedNodes::WithCoordinator(rng.random_range(1..nodes)),
            };
            let effect = match rng.random_range(0..3) {
                0 => IsolationEffect::Drops,
                1 => IsolationEffect::Resets,
                _ => IsolationEffect::RefusesNew,
            };
            schedule = schedule.and(at, duration, FaultKind::IsolateNodes(isolated, effect));
            at += duration + Duration::from_millis(rng.random_range(PAUSE_MS));
        }
        schedule
    }
}

impl World {
    fn isolated_nodes(&self, isolated: IsolatedNodes) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        let coordinator = self.target(Target::Coordinator);
        let others = nodes.clone().filter(|node| *node != coordinator);
        match isolated {
            IsolatedNodes::WithCoordinator(count) => [coordinator]
                .into_iter()
                .chain(others)
                .take(count)
                .collect(),
            IsolatedNodes::WithoutCoordinator(count) => others.take(count).collect(),
            IsolatedNodes::Zone(zone) => nodes.filter(|node| node % 3 == zone).collect(),
        }
    }

    pub(super) fn isolate_nodes(
        &mut self,
        isolated: IsolatedNodes,
        effect: IsolationEffect,
        duration: Duration,
    ) {
        let nodes = self.isolated_nodes(isolated);
        self.trace(|| format!("nodes {nodes:?} lose all instances"));
        for node in &nodes {
            self.network.isolated.insert(*node, effect);
            if effect == IsolationEffect::Resets {
                self.reset_connections(*node);
            }
        }
        self.isolations.windows.push(IsolationWindow {
            began: self.now,
            ends: self.now + duration,
            nodes,
            isolated: Service::default(),
            others: Service::default(),
        });
    }

    pub(super) fn rejoin_nodes(&mut self) {
        self.network.isolated.clear();
    }

    /// Resets all connections of a node to instances.
    fn reset_connections(&mut self, node: usize) {
        let lost: Vec<(Caller, ExchangeId)> = self
            .pending
            .keys()
            .filter(|(caller, exchange)| {
                caller.0 == node && self.connections.carrying(*caller, *exchange).is_some()
            })
            .copied()
            .collect();
        let mut lost = lost;
        lost.sort_unstable();
        for (caller, exchange) in lost {
            let lost = ExchangeFailure::Lost;
            self.exchange_fails_after(Duration::ZERO, caller, exchange, lost);
        }
        self.connections.close_node(node);
    }

    /// Reports the partitions in which callers were served worse than without one.
    pub(super) fn check_isolations(&mut self) {
        let windows = self.isolations.take_windows();
        if self.settings.schedule.only_isolates() {
            for window in &windows {
                self.checker.service_during_isolation(window);
            }
        }
    }
}
