//! The planner's input: slices and servers of a group.

use crate::rate::Rate;
use ledgelead_types::configuration::BalanceConfiguration;
use ledgelead_types::dispatch::HotPosition;
use ledgelead_types::{PositionRange, ServerId, ZoneId};

/// Marks a load that was not reported: the planner keeps its estimate. Zero would mean that
/// the slice is idle.
pub const UNKNOWN_LOAD: f64 = f64::NAN;

/// A slice with its load.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceState {
    /// Its positions.
    pub range: PositionRange,
    /// The server that owns it, if any.
    pub owner: Option<ServerId>,
    /// Its load in requests per second, or [`UNKNOWN_LOAD`] while no load has been reported
    /// for its current bounds.
    pub requests_per_second: f64,
    /// The position with the highest load, if one stands out.
    pub hottest: Option<HotPosition>,
    /// Whether a handover is in progress; such a slice is not changed.
    pub moving: bool,
}

impl SliceState {
    /// Its load, if known.
    pub(crate) fn reported(&self) -> Option<Rate> {
        let is_known = !self.requests_per_second.is_nan();
        is_known.then(|| Rate::per_second(self.requests_per_second))
    }
}

/// A server that may own slices.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerState {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it executes concurrently.
    pub capacity: f64,
    /// Whether slices may be assigned to it. A draining server does not accept slices, and
    /// its slices are moved away.
    pub accepting: bool,
    /// Whether it has recently started and can't use its full capacity yet.
    pub cold: bool,
}

/// State of a group in one round.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanInput {
    /// All slices of the group.
    pub slices: Vec<SliceState>,
    /// All live servers of the group.
    pub servers: Vec<ServerState>,
    /// The operator's policy on imbalance and churn.
    pub policy: BalanceConfiguration,
}
