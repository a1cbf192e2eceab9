//! New versions of items that are still being offered to random nodes.

use super::message::ItemKey;
use ledgelead_types::{Span, Time};
use std::collections::BTreeMap;

/// Delays after the first announcement at which an item is offered again. These rounds reach
/// nearly all nodes that the first one missed.
const ROUNDS: [Span; 2] = [Span::from_millis(60), Span::from_millis(180)];

/// Recently updated items with their next round.
#[derive(Debug, Default)]
pub(super) struct Rumors {
    rounds: BTreeMap<ItemKey, Round>,
}

#[derive(Clone, Copy, Debug)]
struct Round {
    started: Time,
    index: usize,
}

impl Round {
    fn due(&self) -> Time {
        self.started + ROUNDS[self.index]
    }
}

impl Rumors {
    /// Starts the rounds of an item with a new version.
    pub(super) fn start(&mut self, now: Time, key: ItemKey) {
        let round = Round {
            started: now,
            index: 0,
        };
        self.rounds.insert(key, round);
    }

    /// Items due to be offered at `now`; each advances to its next round.
    pub(super) fn take_due(&mut self, now: Time) -> Vec<ItemKey> {
        let mut due = Vec::new();
        for (key, round) in &mut self.rounds {
            if round.due() <= now {
                due.push(*key);
                round.index += 1;
            }
        }
        self.rounds.retain(|_, round| round.index < ROUNDS.len());
        due
    }

    /// When the next offer is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.rounds.values().map(Round::due).min()
    }

    /// Retains the items selected by `keep`.
    pub(super) fn retain(&mut self, keep: impl Fn(ItemKey) -> bool) {
        self.rounds.retain(|key, _| keep(*key));
    }
}
