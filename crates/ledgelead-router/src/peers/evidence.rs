//! Facts about requests under which instances ended, as nodes send them to each other.

use crate::Timestamp;
use crate::quarantine::{CallerId, Entry, InstanceEnd};
use crate::requests::RequestDigest;
use crate::whole_millis;
use ledgelead_types::codec::{self, List, Text};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use std::time::Duration;

/// Most bytes of facts in one datagram, so that it fits the shortest usual MTU.
const MAX_FACT_BYTES: usize = 1_100;
/// Most ends of one request that are sent: three lead to a quarantine.
const MAX_ENDS: usize = 24;

/// An instance has ended under a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct EndEntry {
    /// The caller.
    pub caller: u64,
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
    /// Whether it counts whatever else ended at that moment.
    pub settled: bool,
}

/// Something that holds for a caller, or an instance.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct AgedEntry {
    /// The caller, or the stable hash of the instance's id.
    pub subject: u64,
    /// How long ago it began to hold, in milliseconds.
    pub age_ms: u32,
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct RequestEntry {
    /// Its digest, in two halves.
    pub digest: [u64; 2],
    /// Its path, for operators.
    pub path: Text,
    /// Instances that ended.
    pub ends: List<EndEntry>,
    /// Callers whose requests were answered by an instance.
    pub cleared: List<AgedEntry>,
    /// Callers whose requests are held back.
    pub quarantined: List<AgedEntry>,
}

impl RequestEntry {
    /// What is known, as of now.
    pub fn new(request: &RequestDigest, entry: &Entry, now: Timestamp) -> RequestEntry {
        let end = |end: &InstanceEnd| EndEntry {
            caller: end.caller.0,
            instance: end.instance,
            age_ms: age_ms(end.at, now),
            settled: end.settled,
        };
        let number = u128::from_be_bytes(request.0);
        RequestEntry {
            digest: [(number >> 64) as u64, number as u64],
            path: Text(entry.path.clone()),
            ends: List(entry.ends.iter().take(MAX_ENDS).map(end).collect()),
            cleared: aged(&entry.cleared, now),
            quarantined: aged(&entry.quarantined, now),
        }
    }

    /// The request, and what is known of it, at the receiver.
    pub fn received(&self, now: Timestamp) -> (RequestDigest, Entry) {
        let [high, low] = self.digest;
        let number = (u128::from(high) << 64) | u128::from(low);
        let end = |end: &EndEntry| InstanceEnd {
            caller: CallerId(end.caller),
            instance: end.instance,
            at: time_from_age(end.age_ms, now),
            settled: end.settled,
        };
        let entry = Entry {
            path: self.path.0.clone(),
            ends: self.ends.iter().map(end).collect(),
            cleared: times(&self.cleared, now),
            quarantined: times(&self.quarantined, now),
        };
        (RequestDigest(number.to_be_bytes()), entry)
    }
}

/// Splits entries so that each part fits a datagram; none if there are none.
pub fn evidence_parts(entries: Vec<RequestEntry>) -> Vec<List<RequestEntry>> {
    let mut parts: Vec<List<RequestEntry>> = Vec::new();
    let mut bytes = usize::MAX;
    for entry in entries {
        let length = codec::encode(&entry).len();
        if bytes.saturating_add(length) > MAX_FACT_BYTES {
            parts.push(List(Vec::new()));
            bytes = 0;
        }
        bytes += length;
        if let Some(part) = parts.last_mut() {
            part.0.push(entry);
        }
    }
    parts
}

/// Instances that live after all, with ages.
pub fn aged_instances<'a>(
    alive: impl Iterator<Item = (&'a u64, &'a Timestamp)>,
    now: Timestamp,
) -> Vec<AgedEntry> {
    let aged = |(instance, at): (&u64, &Timestamp)| AgedEntry {
        subject: *instance,
        age_ms: age_ms(*at, now),
    };
    alive.map(aged).collect()
}

/// When something began to hold, by the receiver's clock.
pub fn time_from_age(age_ms: u32, now: Timestamp) -> Timestamp {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}

/// How long ago something began to hold, in milliseconds or the most that fits.
pub fn age_ms(at: Timestamp, now: Timestamp) -> u32 {
    u32::try_from(whole_millis(now.saturating_sub(at))).unwrap_or(u32::MAX)
}

fn aged(known: &BTreeMap<CallerId, Timestamp>, now: Timestamp) -> List<AgedEntry> {
    let aged = |(caller, at): (&CallerId, &Timestamp)| AgedEntry {
        subject: caller.0,
        age_ms: age_ms(*at, now),
    };
    List(known.iter().map(aged).collect())
}

fn times(entries: &List<AgedEntry>, now: Timestamp) -> BTreeMap<CallerId, Timestamp> {
    let time = |entry: &AgedEntry| (CallerId(entry.subject), time_from_age(entry.age_ms, now));
    entries.iter().map(time).collect()
}
