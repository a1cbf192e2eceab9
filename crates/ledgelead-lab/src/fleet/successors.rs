//! Instances whose successors start at their addresses under other ids, beside restarts of
//! nodes, which find the entries of instances that have ended.

use super::event::Event;
use super::faults::{FaultKind, Schedule, Target, draw_time};
use super::world::{ALL_INSTANCES, SHARDED_INSTANCES, World};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::Duration;

/// Time from the end of an instance to the start of its successor, in milliseconds. The entry
/// of the earlier one expires later.
const DOWNTIME_MS: Range<u64> = 300..2_600;
/// Time for which a node is away, in milliseconds.
const NODE_DOWNTIME_MS: Range<u64> = 50..600;
/// Latest end of a node before the start of a successor, in milliseconds.
const LEAD_MS: u64 = 1_000;
/// Time from the start of a successor to its first entry, in milliseconds.
const REGISTRATION_MS: Range<u64> = 0..120;
/// Nodes that restart with an instance.
const RESTARTED_NODES: Range<usize> = 1..4;

impl Schedule {
    /// Draws successors, most of them of all instances without keys.
    pub(super) fn draw_successors(
        rng: &mut Pcg64Mcg,
        nodes: usize,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(4..10) {
            let at = draw_time(rng, from, to);
            let downtime = Duration::from_millis(rng.random_range(DOWNTIME_MS));
            let positions = match rng.random_range(0..4) {
                0 => 0..1,
                1 => SHARDED_INSTANCES..SHARDED_INSTANCES + 1,
                _ => SHARDED_INSTANCES..ALL_INSTANCES,
            };
            for position in positions {
                schedule = schedule.and(at, downtime, FaultKind::ReplaceInstance(position));
            }
            for _ in 0..rng.random_range(RESTARTED_NODES) {
                let lead = Duration::from_millis(rng.random_range(0..LEAD_MS));
                let killed = (at + downtime).saturating_sub(lead);
                let away = Duration::from_millis(rng.random_range(NODE_DOWNTIME_MS));
                let node = Target::Node(rng.random_range(0..nodes));
                schedule = schedule.and(killed, away, FaultKind::KillNode(node));
            }
        }
        schedule
    }
}

impl World {
    /// Starts an instance at one of the initial addresses, unless one runs there.
    pub(super) fn start_successor(&mut self, position: usize) {
        let predecessor = self.instance_at(position);
        if self.instances[predecessor].alive {
            return;
        }
        self.replace(predecessor);
        let successor = self.instances.len() - 1;
        let registration = Duration::from_millis(self.rng.random_range(REGISTRATION_MS));
        self.schedule(registration, Event::Heartbeat(successor));
    }
}
