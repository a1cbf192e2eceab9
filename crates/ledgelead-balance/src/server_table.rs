//! Servers of a group: their weight in the balance, and since when they have been out of
//! balance.

use crate::input::ServerState;
use ledgelead_types::{ServerId, Span, Time, ZoneId};
use std::collections::BTreeMap;

/// Part of its capacity that load is planned for when a server starts cold.
const COLD_START_PART: f64 = 0.25;
/// Time until the weight of a cold server reaches its full capacity.
const COLD_RAMP: Span = Span::from_seconds(60);
/// Minimum capacity, so that a server that reports none causes no division by zero.
const MIN_CAPACITY: f64 = 0.01;

/// State kept for one server.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it may be given slices.
    pub accepting: bool,
    /// Since when its load has been above the target.
    pub overloaded_since: Option<Time>,
    /// Whether it sheds load until it is well below the target.
    pub shedding: bool,
    /// Since when its load has been far below the mean.
    pub underfilled_since: Option<Time>,
    capacity: f64,
    cold_since: Option<Time>,
}

impl ServerRecord {
    /// Capacity that load may be planned for.
    pub fn weight(&self, now: Time) -> f64 {
        let ramp = self.cold_since.map_or(1.0, |since| {
            let grown = now.since(since).as_seconds() / COLD_RAMP.as_seconds();
            COLD_START_PART + (1.0 - COLD_START_PART) * grown.min(1.0)
        });
        self.capacity.max(MIN_CAPACITY) * ramp
    }

    fn observe(&mut self, state: &ServerState, now: Time) {
        self.zone = state.zone;
        self.accepting = state.accepting;
        self.capacity = state.capacity;
        self.cold_since = state.cold.then(|| self.cold_since.unwrap_or(now));
    }
}

/// Servers by identifier.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    records: BTreeMap<ServerId, ServerRecord>,
}

impl ServerTable {
    /// Replaces the set of live servers. The state of the remaining servers is kept.
    pub fn replace(&mut self, servers: &[ServerState], now: Time) {
        let mut former = std::mem::take(&mut self.records);
        for state in servers {
            let mut record = former.remove(&state.server).unwrap_or(ServerRecord {
                zone: state.zone,
                accepting: state.accepting,
                overloaded_since: None,
                shedding: false,
                underfilled_since: None,
                capacity: state.capacity,
                cold_since: None,
            });
            record.observe(state, now);
            self.records.insert(state.server, record);
        }
    }

    /// Whether the server may be given slices.
    pub fn accepts(&self, server: ServerId) -> bool {
        self.records
            .get(&server)
            .is_some_and(|record| record.accepting)
    }

    /// The server's record.
    pub fn get(&self, server: ServerId) -> Option<&ServerRecord> {
        self.records.get(&server)
    }

    /// The server's record, mutable.
    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut ServerRecord> {
        self.records.get_mut(&server)
    }

    /// All servers, ordered by identifier.
    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &ServerRecord)> {
        self.records
            .iter()
            .map(|(server, record)| (*server, record))
    }
}
