//! Wire format of the evidence about requests during which instances ended.

use crate::Timestamp;
use crate::quarantine::{CallerId, Entry, InstanceEnd, SETTLE_TIME};
use crate::requests::RequestDigest;
use crate::whole_millis;
use ledgelead_types::codec::{self, List, Text};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum size of the evidence in one datagram, in bytes, so that it fits the shortest usual
/// MTU.
const MAX_EVIDENCE_BYTES: usize = 1_100;
/// Maximum number of instance ends that are sent per request; three lead to a quarantine.
const MAX_ENDS: usize = 24;

/// An instance that ended while a caller's request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct EndEntry {
    /// The caller.
    pub caller: u64,
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// Age of the event, in milliseconds.
    pub age_ms: u32,
    /// Whether it counts no matter which other instances ended at the same time.
    pub settled: bool,
}

/// A fact about a caller or an instance, with its age.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct AgedEntry {
    /// The caller, or the stable hash of the instance's id.
    pub subject: u64,
    /// How long ago the fact began to hold, in milliseconds.
    pub age_ms: u32,
}

/// The evidence about one request.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct RequestEntry {
    /// Its digest, as two halves.
    pub digest: [u64; 2],
    /// Its path, for operators.
    pub path: Text,
    /// Instances that ended while processing it.
    pub ends: List<EndEntry>,
    /// Callers whose requests were answered by an instance.
    pub cleared: List<AgedEntry>,
    /// Callers whose requests are quarantined.
    pub quarantined: List<AgedEntry>,
}

impl RequestEntry {
    /// Encodes the evidence, with ages relative to `now`.
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

    /// Decodes the request's digest and the evidence about it.
    pub fn received(&self, now: Timestamp) -> (RequestDigest, Entry) {
        let [high, low] = self.digest;
        let number = (u128::from(high) << 64) | u128::from(low);
        let end = |end: &EndEntry| InstanceEnd {
            caller: CallerId(end.caller),
            instance: end.instance,
            at: time_from_age(end.age_ms, now),
            settled: end.settled,
        };
        let is_coincident =
            |end: &&EndEntry| !end.settled && u128::from(end.age_ms) >= SETTLE_TIME.as_millis();
        let coincident = self.ends.iter().filter(is_coincident);
        let entry = Entry {
            path: self.path.0.clone(),
            ends: self.ends.iter().map(end).collect(),
            coincident: coincident.map(|end| end.instance).collect(),
            cleared: times(&self.cleared, now),
            quarantined: times(&self.quarantined, now),
            ..Entry::default()
        };
        (RequestDigest(number.to_be_bytes()), entry)
    }
}

/// Splits entries into parts that each fit a datagram.
pub fn evidence_parts(entries: Vec<RequestEntry>) -> Vec<List<RequestEntry>> {
    let mut parts: Vec<List<RequestEntry>> = Vec::new();
    let mut bytes = usize::MAX;
    for entry in entries {
        let length = codec::encode(&entry).len();
        if bytes.saturating_add(length) > MAX_EVIDENCE_BYTES {
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

/// Encodes instances that are alive although they were reported as ended.
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

/// The time that lies `age_ms` before `now`.
pub fn time_from_age(age_ms: u32, now: Timestamp) -> Timestamp {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}

/// Milliseconds from `at` to `now`, saturating.
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
