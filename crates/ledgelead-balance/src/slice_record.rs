//! What the planner remembers of one slice.

use crate::input::SliceState;
use crate::rate::Rate;
use ledgelead_types::dispatch::HotPosition;
use ledgelead_types::{PositionRange, ServerId, Time};

/// A change of owner that was asked for and not yet seen.
#[derive(Clone, Copy, Debug)]
pub struct PlannedOwner {
    /// The owner to be.
    pub to: ServerId,
    /// When the change is taken to have failed.
    pub until: Time,
}

/// A slice with its smoothed load and what was lately asked for it.
#[derive(Clone, Debug)]
pub struct SliceRecord {
    /// Its positions.
    pub range: PositionRange,
    /// Its owner as last observed.
    pub owner: Option<ServerId>,
    /// Load as last observed, or estimated from that of the slices that this
    /// one was cut or joined from.
    pub reported: Rate,
    /// Whether any load is known.
    pub has_load: bool,
    /// Load as an exponentially weighted mean over time.
    pub smoothed: Rate,
    /// Its hottest position as last observed.
    pub hottest: Option<HotPosition>,
    /// Whether a hand-over is under way.
    pub moving: bool,
    /// A change of owner that is awaited.
    pub planned: Option<PlannedOwner>,
    /// Until when a split or merge of it is awaited.
    pub reshaping_until: Time,
    /// Until when it stays where it is.
    pub cooldown_until: Time,
    /// When it got its present bounds.
    pub shaped_at: Time,
}

impl SliceRecord {
    /// A record of a slice seen for the first time.
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

    /// Whether `state` says nothing new.
    pub fn matches(&self, state: &SliceState) -> bool {
        self.owner == state.owner
            && state.reported().is_none_or(|load| self.reported == load)
            && self.hottest == state.hottest
            && self.moving == state.moving
    }

    /// The server that carries the load once what was asked for is done.
    pub fn holder(&self) -> Option<ServerId> {
        self.planned.map(|planned| planned.to).or(self.owner)
    }

    /// Number of positions.
    pub fn width(&self) -> u128 {
        width(&self.range)
    }

    /// Whether it holds one position, so it can't be split.
    pub fn is_single(&self) -> bool {
        self.range.first == self.range.last
    }

    /// Smoothed load for each position: the order of moves, cheapest first.
    pub fn density(&self) -> f64 {
        self.smoothed.as_per_second() / self.width() as f64
    }

    /// Whether no change of it is under way.
    pub fn has_no_pending_change(&self, now: Time) -> bool {
        !self.moving && self.planned.is_none() && self.reshaping_until <= now
    }

    /// Whether it may change owner for the sake of balance.
    pub fn is_movable(&self, now: Time) -> bool {
        self.has_no_pending_change(now) && self.cooldown_until <= now
    }

    /// Load of the hottest position, never above the slice's own.
    pub fn hottest_rate(&self) -> Rate {
        self.hottest.map_or(Rate::ZERO, |hottest| {
            Rate::per_second(hottest.requests_per_second).min(self.smoothed)
        })
    }

    /// Estimated load of a part of the slice: its share of the width, with
    /// the hottest position counted where it lies.
    pub fn estimate(&self, part: &PositionRange) -> Rate {
        let hottest = self.hottest_rate();
        let share = width(part) as f64 / self.width() as f64;
        let mut rate = self.smoothed.less(hottest).part(share);
        if self.hottest.is_some_and(|hot| part.contains(hot.position)) {
            rate += hottest;
        }
        rate
    }

    /// The record of a part of the slice that is left after another part was
    /// observed with bounds of its own.
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
