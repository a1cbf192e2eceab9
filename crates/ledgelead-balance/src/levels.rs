//! Load and utilization of each accepting server, updated with the changes of a round.

use crate::server_table::ServerTable;
use crate::slice_table::SliceTable;
use ledgelead_types::{ServerId, Time, ZoneId};
use std::collections::BTreeMap;

/// Servers whose utilization exceeds the lowest one by at most this part of the mean count
/// as equal; a slice then stays in its zone.
const ZONE_PREFERENCE: f64 = 0.02;
/// Weight of an even spread of positions relative to an even spread of load when a slice is
/// assigned, because positions that are cold now may become hot later.
const WIDTH_WEIGHT: f64 = 0.25;

/// Load and positions of one server.
#[derive(Clone, Copy, Debug)]
pub struct Level {
    /// Requests per second.
    pub load: f64,
    /// Share of the group's positions.
    pub width_share: f64,
    /// Capacity that load may be planned for.
    pub weight: f64,
    /// Its zone.
    pub zone: ZoneId,
}

impl Level {
    /// Requests per second for each unit of capacity.
    pub fn utilization(&self) -> f64 {
        self.load / self.weight
    }
}

/// The levels of all accepting servers.
#[derive(Clone, Debug)]
pub struct Levels {
    levels: BTreeMap<ServerId, Level>,
    load: f64,
    weight: f64,
    group_width: f64,
}

impl Levels {
    /// The levels at the start of a round.
    pub fn new(slices: &SliceTable, servers: &ServerTable, now: Time) -> Levels {
        let group_width = (slices.width() as f64).max(1.0);
        let level = |server: ServerId, weight: f64, zone: ZoneId| {
            let held = slices.held_by(server);
            Level {
                load: held.map_or(0.0, |held| held.load.as_per_second()),
                width_share: held.map_or(0.0, |held| held.width as f64 / group_width),
                weight,
                zone,
            }
        };
        let levels: BTreeMap<ServerId, Level> = servers
            .iter()
            .filter(|(_, record)| record.accepting)
            .map(|(server, record)| (server, level(server, record.weight(now), record.zone)))
            .collect();
        let weight = levels.values().map(|level| level.weight).sum();
        Levels {
            levels,
            load: slices.load().as_per_second(),
            weight,
            group_width,
        }
    }

    /// Number of accepting servers.
    pub fn count(&self) -> usize {
        self.levels.len()
    }

    /// Utilization if the load were spread evenly.
    pub fn mean(&self) -> f64 {
        self.load / self.weight
    }

    /// Load of a server with mean capacity if the load were spread evenly.
    pub fn mean_server_load(&self) -> f64 {
        self.load / self.count().max(1) as f64
    }

    /// The share of `width` positions in the group's positions, in percent.
    pub fn percent(&self, width: u128) -> f64 {
        100.0 * width as f64 / self.group_width
    }

    /// The level of a server.
    pub fn get(&self, server: ServerId) -> Option<&Level> {
        self.levels.get(&server)
    }

    /// All levels, ordered by server.
    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &Level)> {
        self.levels.iter().map(|(server, level)| (*server, level))
    }

    /// The accepting server with the highest utilization.
    pub fn fullest(&self) -> Option<ServerId> {
        self.iter()
            .max_by(|a, b| a.1.utilization().total_cmp(&b.1.utilization()))
            .map(|(server, _)| server)
    }

    /// The server other than `from` with the lowest utilization, or one in the zone of
    /// `from` with about the same utilization.
    pub fn emptiest_for(&self, from: ServerId) -> Option<ServerId> {
        let zone = self.levels.get(&from).map(|level| level.zone);
        let slack = self.mean() * ZONE_PREFERENCE;
        let cost = |level: &Level| {
            let away = if Some(level.zone) == zone { 0.0 } else { slack };
            level.utilization() + away
        };
        self.iter()
            .filter(|(server, _)| *server != from)
            .min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))
            .map(|(server, _)| server)
    }

    /// The best server for a slice without an owner, by load and by width.
    pub fn best_owner(&self, load: f64, width: u128) -> Option<ServerId> {
        let mean = self.mean();
        let width_share = width as f64 / self.group_width;
        let cost = |level: &Level| {
            let filling = if mean > 0.0 {
                (level.load + load) / (level.weight * mean)
            } else {
                0.0
            };
            let fair_share = level.weight / self.weight;
            filling + WIDTH_WEIGHT * (level.width_share + width_share) / fair_share
        };
        self.iter()
            .min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))
            .map(|(server, _)| server)
    }

    /// Accounts for moved load and positions.
    pub fn shift(&mut self, from: Option<ServerId>, to: ServerId, load: f64, width: u128) {
        let width_share = width as f64 / self.group_width;
        if let Some(level) = from.and_then(|from| self.levels.get_mut(&from)) {
            level.load = (level.load - load).max(0.0);
            level.width_share -= width_share;
        }
        if let Some(level) = self.levels.get_mut(&to) {
            level.load += load;
            level.width_share += width_share;
        }
    }
}
