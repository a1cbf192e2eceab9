//! What the store keeps of a request that crashes instances, over the loss of all nodes.

use super::entry::{CallerId, Entry, InstanceEnd};
use crate::Timestamp;
use serde::{Deserialize, Serialize};

/// What is kept of one request. Numbers stand as text, since they use all of their 64 bits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Its path.
    pub path: String,
    /// Caller and instance of each end that counts.
    pub ends: Vec<(String, String)>,
    /// Callers whose requests are held back; "0" stands for all.
    pub quarantined: Vec<String>,
}

impl QuarantineRecord {
    /// What counts of an entry.
    pub fn new(entry: &Entry) -> QuarantineRecord {
        let counts = |end: &&InstanceEnd| !entry.is_void(end.caller, end.at);
        let end = |end: &InstanceEnd| (hex(end.caller.0), hex(end.instance));
        let quarantined = entry.quarantined.keys();
        let held = quarantined.filter(|caller| entry.is_quarantined_for(**caller));
        QuarantineRecord {
            path: entry.path.clone(),
            ends: entry.ends.iter().filter(counts).map(end).collect(),
            quarantined: held.map(|caller| hex(caller.0)).collect(),
        }
    }

    /// The entry of a node that reads it now.
    pub fn entry(&self, now: Timestamp) -> Entry {
        let end = |(caller, instance): &(String, String)| {
            Some(InstanceEnd {
                caller: CallerId(number(caller)?),
                instance: number(instance)?,
                at: now,
                settled: true,
            })
        };
        let held = self.quarantined.iter();
        let held = held.filter_map(|caller| Some((CallerId(number(caller)?), now)));
        Entry {
            path: self.path.clone(),
            ends: self.ends.iter().filter_map(end).collect(),
            quarantined: held.collect(),
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
