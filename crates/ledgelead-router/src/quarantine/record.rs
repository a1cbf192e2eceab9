//! The part of the evidence that is kept in the store and survives the loss of all nodes.

use super::entry::{CallerId, Entry, InstanceEnd};
use super::verdict::SETTLE_TIME;
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The stored evidence about one request. Numbers are stored as text since they use all of
/// their 64 bits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Its path.
    pub path: String,
    /// The caller and the instance of each end that counts.
    pub ends: Vec<(String, String)>,
    /// Callers whose requests are quarantined; "0" stands for all.
    pub quarantined: Vec<String>,
    /// The instances among those in `ends` that ended together with others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub coincident: Vec<String>,
    /// Whether an answer to another caller leaves all ends to their own callers.
    #[serde(default, skip_serializing_if = "is_false")]
    pub answered: bool,
}

impl QuarantineRecord {
    /// Converts the evidence that counts.
    pub fn new(entry: &Entry) -> QuarantineRecord {
        let counts = |end: &&InstanceEnd| !entry.is_voided(end.caller, end.at);
        let end = |end: &InstanceEnd| (hex(end.caller.0), hex(end.instance));
        let quarantined = entry.quarantined.keys();
        let active = quarantined.filter(|scope| entry.is_active(**scope));
        let counted: Vec<&InstanceEnd> = entry.ends.iter().filter(counts).collect();
        let together = counted.iter().filter(|end| !end.settled);
        let coincident: BTreeSet<u64> = together.map(|end| end.instance).collect();
        QuarantineRecord {
            path: entry.path.clone(),
            ends: counted.iter().copied().map(end).collect(),
            quarantined: active.map(|scope| hex(scope.0)).collect(),
            coincident: coincident.into_iter().map(hex).collect(),
            answered: !counted.is_empty() && entry.ends_of(CallerId::ALL) == 0,
        }
    }

    /// Converts the record to evidence, with `now` as the time of all events.
    pub fn entry(&self, now: Timestamp) -> Entry {
        let coincident = self
            .coincident
            .iter()
            .filter_map(|instance| number(instance));
        let coincident: BTreeSet<u64> = coincident.collect();
        // Other nodes must not take an end for one that is yet to be judged.
        let judged_at = now.saturating_sub(SETTLE_TIME);
        let end = |(caller, instance): &(String, String)| {
            let instance = number(instance)?;
            let settled = !coincident.contains(&instance);
            Some(InstanceEnd {
                caller: CallerId(number(caller)?),
                instance,
                at: if settled { now } else { judged_at },
                settled,
            })
        };
        let active = self.quarantined.iter();
        let active = active.filter_map(|caller| Some((CallerId(number(caller)?), now)));
        Entry {
            path: self.path.clone(),
            ends: self.ends.iter().filter_map(end).collect(),
            coincident: coincident.clone(),
            cleared: self
                .answered
                .then_some((CallerId::SOME_OTHER, now))
                .into_iter()
                .collect(),
            quarantined: active.collect(),
            ..Entry::default()
        }
    }
}

fn hex(number: u64) -> String {
    format!("{number:x}")
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde calls"
)]
fn is_false(value: &bool) -> bool {
    !*value
}

fn number(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
