//! Measures how long changes take to reach all nodes.

use ledgelead_types::{ConfigurationVersion, FencingToken, GroupId, PositionRange, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A change of a slice's owner that is being distributed to the gateways.
#[derive(Clone, Debug)]
struct OwnerChange {
    token: FencingToken,
    at: Time,
    reached: BTreeSet<usize>,
}

/// Times from decisions until nodes apply them.
#[derive(Debug, Default)]
pub struct Lags {
    counted_since: Option<Time>,
    stored: BTreeMap<ConfigurationVersion, Time>,
    applied: BTreeMap<usize, ConfigurationVersion>,
    configuration_lags: Vec<Span>,
    owner_changes: BTreeMap<GroupId, Vec<OwnerChange>>,
    seen: BTreeSet<(GroupId, PositionRange, FencingToken)>,
    routes_lags: Vec<Span>,
    reached_after: Vec<Span>,
    assigned: Vec<Time>,
}

impl Lags {
    /// Starts a measurement and discards earlier events.
    pub fn start(&mut self, now: Time) {
        self.counted_since = Some(now);
        self.stored.clear();
        self.configuration_lags.clear();
        self.owner_changes.clear();
        self.seen.clear();
        self.routes_lags.clear();
        self.reached_after.clear();
        self.assigned.clear();
    }

    /// The platform stored a configuration.
    pub fn stored(&mut self, now: Time, version: ConfigurationVersion) {
        if self.counted_since.is_some() {
            self.stored.insert(version, now);
        }
    }

    /// A node applied a configuration.
    pub fn applied(&mut self, now: Time, node: usize, version: ConfigurationVersion) {
        let before = self.applied.insert(node, version);
        let Some(before) = before.filter(|before| *before < version) else {
            return;
        };
        for (_, stored) in self.stored.range(before..=version) {
            self.configuration_lags.push(now.since(*stored));
        }
    }

    /// A node's process ended; it restarts without state.
    pub fn node_ended(&mut self, node: usize) {
        self.applied.remove(&node);
    }

    /// A group assigned a slice to a new owner.
    pub fn owner_changed(
        &mut self,
        now: Time,
        group: GroupId,
        range: PositionRange,
        token: FencingToken,
    ) {
        if self.counted_since.is_none() || !self.seen.insert((group, range, token)) {
            return;
        }
        self.assigned.push(now);
        self.owner_changes
            .entry(group)
            .or_default()
            .push(OwnerChange {
                token,
                at: now,
                reached: BTreeSet::new(),
            });
    }

    /// A node received a version of a group's routes.
    pub fn routes_reached(
        &mut self,
        now: Time,
        node: usize,
        group: GroupId,
        version: FencingToken,
    ) {
        let Some(changes) = self.owner_changes.get_mut(&group) else {
            return;
        };
        for change in changes {
            if change.token <= version && change.reached.insert(node) {
                self.routes_lags.push(now.since(change.at));
                let since = self.counted_since.unwrap_or(change.at);
                self.reached_after.push(now.since(since));
            }
        }
    }

    /// Times from the storage of a configuration until a node applied it.
    pub fn configuration(&self) -> LagSummary {
        LagSummary::of(&self.configuration_lags)
    }

    /// Times from the assignment of an owner until a node had the routes.
    pub fn routes(&self) -> LagSummary {
        LagSummary::of(&self.routes_lags)
    }

    /// Times from the start of the measurement until a node had the routes of a new owner.
    pub fn reached_after(&self) -> LagSummary {
        LagSummary::of(&self.reached_after)
    }

    /// Times at which slices were assigned, since the start of the measurement.
    pub fn assigned(&self) -> &[Time] {
        &self.assigned
    }
}

/// Distribution of lags, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct LagSummary {
    /// Number of pairs of node and change.
    pub count: usize,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl LagSummary {
    fn of(lags: &[Span]) -> LagSummary {
        let mut sorted = lags.to_vec();
        sorted.sort();
        let at = |share: f64| {
            let index = (sorted.len() as f64 * share) as usize;
            let last = sorted.len().saturating_sub(1);
            sorted
                .get(index.min(last))
                .map_or(0.0, |lag| lag.as_millis())
        };
        LagSummary {
            count: sorted.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}
