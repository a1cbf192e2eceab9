//! State kept by the planner for one slice.

use crate::input::SliceState;
use crate::rate::Rate;
use ledgelead_types::dispatch::HotPosition;
use ledgelead_types::{PositionRange, ServerId, Time};

/// A change of owner that was requested but not observed yet.
#[derive(Clone, Copy, Debug)]
pub struct PlannedOwner {
    /// The new owner.
    pub to: ServerId,
    /// When the change is considered failed.
    pub until: Time,
}

/// A slice with its smoothed load and its pending changes.
#[derive(Clone, Debug)]
pub struct SliceRecord {
    /// Its positions.
    pub range: PositionRange,
    /// Its owner as last observed.
    pub owner: Option<ServerId>,
    /// Load as last observed, or estimated from the slices that this one was split or merged
    /// from.
    pub reported: Rate,
    /// Whether any load is known.
    pub has_load: bool,
    /// Load as an exponentially weighted mean over time.
    pub smoothed: Rate,
    /// Its hottest position as last observed.
    pub hottest: Option<HotPosition>,
    /// Whether a handover is in progress.
    pub moving: bool,
    /// The pending change of owner.
    pub planned: Option<PlannedOwner>,
    /// Until when a pending split or merge is awaited.
    pub reshaping_until: Time,
    /// Until when it may not be moved for balance.
    pub cooldown_until: Time,
    /// When it got its current bounds.
    pub shaped_at: Time,
}

impl SliceRecord {
    /// A record of a newly observed slice.
    pub fn new(state: &SliceState, now: Time) -> SliceRecord {
        let reported = state.reported().unwrap_or_default();
        SliceRecord {
            range: state.range,
            owner: state.owner,
            reported,
            has_load: state.reported().is_some(),
            smoothed: reported,
            hottest: state.hottest,
            moving: state.moving,
            planned: None,
            reshaping_until: Time::ZERO,
            cooldown_until: Time::ZERO,
            shaped_at: now,
        }
    }

    /// Whether `state` contains no change.
    pub fn matches(&self, state: &SliceState) -> bool {
        self.owner == state.owner
            && state.reported().is_none_or(|load| self.reported == load)
            && self.hottest == state.hottest
            && self.moving == state.moving
    }

    /// The server that carries the load after the pending change.
    pub fn holder(&self) -> Option<ServerId> {
        self.planned.map(|planned| planned.to).or(self.owner)
    }

    /// Number of positions.
    pub fn width(&self) -> u128 {
        width(&self.range)
    }

    /// Whether it has a single position and can't be split.
    pub fn is_single(&self) -> bool {
        self.range.first == self.range.last
    }

    /// Smoothed load per position. The slice with the highest density is the cheapest to
    /// move for its load.
    pub fn density(&self) -> f64 {
        self.smoothed.as_per_second() / self.width() as f64
    }

    /// Whether no handover, change of owner, split or merge is pending.
    pub fn has_no_pending_change(&self, now: Time) -> bool {
        !self.moving && self.planned.is_none() && self.reshaping_until <= now
    }

    /// Whether it may be moved for balance.
    pub fn is_movable(&self, now: Time) -> bool {
        self.has_no_pending_change(now) && self.cooldown_until <= now
    }

    /// Load of the hottest position, at most the load of the slice.
    pub fn hottest_rate(&self) -> Rate {
        self.hottest.map_or(Rate::ZERO, |hottest| {
            Rate::per_second(hottest.requests_per_second).min(self.smoothed)
        })
    }

    /// Estimated load of a part of the slice: proportional to the width, with the hottest
    /// position counted where it is.
    pub fn estimate(&self, part: &PositionRange) -> Rate {
        let hottest = self.hottest_rate();
        let share = width(part) as f64 / self.width() as f64;
        let mut rate = self.smoothed.less(hottest).part(share);
        if self.hottest.is_some_and(|hot| part.contains(hot.position)) {
            rate += hottest;
        }
        rate
    }

    /// The record of the remaining part of the slice, after another part was observed with
    /// its own bounds.
    pub fn remainder(&self, part: PositionRange) -> SliceRecord {
        let rate = self.estimate(&part);
        SliceRecord {
            range: part,
            reported: rate,
            smoothed: rate,
            hottest: self.hottest.filter(|hot| part.contains(hot.position)),
            ..self.clone()
        }
    }
}

/// Number of positions in a range.
pub fn width(range: &PositionRange) -> u128 {
    u128::from(range.last.0 - range.first.0) + 1
}
