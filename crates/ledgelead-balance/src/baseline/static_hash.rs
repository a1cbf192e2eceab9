//! Static hashing: the index of the slice modulo the number of servers.

use crate::baseline::Assigner;
use crate::baseline::smoothed_loads::{accepting, change_to};
use crate::change::PlannedChange;
use crate::input::PlanInput;
use ledgelead_types::{ServerId, Time};

/// Assigns each slice by its index alone, regardless of load.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaticHash;

impl Assigner for StaticHash {
    fn plan(&mut self, input: &PlanInput, _now: Time) -> Vec<PlannedChange> {
        let servers: Vec<ServerId> = accepting(input).map(|server| server.server).collect();
        if servers.is_empty() {
            return Vec::new();
        }
        input
            .slices
            .iter()
            .enumerate()
            .filter(|(_, slice)| !slice.moving)
            .filter_map(|(index, slice)| change_to(slice, servers[index % servers.len()]))
            .collect()
    }
}
