//! The part of the evidence that is kept in the store and survives the loss of all nodes.

use super::entry::{CallerId, Entry, InstanceEnd};
use crate::Timestamp;
use serde::{Deserialize, Serialize};

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
}

impl QuarantineRecord {
    /// Converts the evidence that counts.
    pub fn new(entry: &Entry) -> QuarantineRecord {
        let counts = |end: &&InstanceEnd| !entry.is_voided(end.caller, end.at);
        let end = |end: &InstanceEnd| (hex(end.caller.0), hex(end.instance));
        let quarantined = entry.quarantined.keys();
        let active = quarantined.filter(|scope| entry.is_active(**scope));
        QuarantineRecord {
            path: entry.path.clone(),
            ends: entry.ends.iter().filter(counts).map(end).collect(),
            quarantined: active.map(|scope| hex(scope.0)).collect(),
        }
    }

    /// Converts the record to evidence, with `now` as the time of all events.
    pub fn entry(&self, now: Timestamp) -> Entry {
        let end = |(caller, instance): &(String, String)| {
            Some(InstanceEnd {
                caller: CallerId(number(caller)?),
                instance: number(instance)?,
                at: now,
                settled: true,
            })
        };
        let active = self.quarantined.iter();
        let active = active.filter_map(|caller| Some((CallerId(number(caller)?), now)));
        Entry {
            path: self.path.clone(),
            ends: self.ends.iter().filter_map(end).collect(),
            quarantined: active.collect(),
            ..Entry::default()
        }
    }
}

fn hex(number: u64) -> String {
    format!("{number:x}")
}

fn number(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
