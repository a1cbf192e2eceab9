//! Attempts that this node has lost, until it is known whether their instances ended.

use super::entry::CallerId;
use crate::Timestamp;
use crate::identity::InstanceId;
use crate::requests::RequestDigest;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long to wait for proof of an end: an entry expires 4.5 s after its last heartbeat, and
/// nodes learn of that with some delay.
const PROOF_TIMEOUT: Duration = Duration::from_secs(8);
/// Minimum interval between two probes of an instance.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of pending attempts per instance.
const MAX_PENDING: usize = 32;

/// A request that was in flight at an instance when the connection was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostAttempt {
    /// The request.
    pub request: RequestDigest,
    /// Its caller.
    pub caller: CallerId,
    /// Its path.
    pub path: String,
    /// When the connection was lost.
    pub at: Timestamp,
}

#[derive(Debug, Default)]
struct Pending {
    attempts: Vec<LostAttempt>,
    next_probe: Timestamp,
    /// Whether an attempt was lost since the last probe.
    unprobed: bool,
}

impl Pending {
    /// Whether to probe the instance now; the next probe then follows after a pause.
    fn take_probe(&mut self, now: Timestamp) -> bool {
        let probes = self.unprobed && self.next_probe <= now;
        if probes {
            self.next_probe = now + PROBE_PAUSE;
            self.unprobed = false;
        }
        probes
    }
}

/// Lost attempts by instance, while it is unknown whether the instance ended.
#[derive(Debug, Default)]
pub struct LostAttempts(BTreeMap<InstanceId, Pending>);

impl LostAttempts {
    /// Whether no attempt is pending.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Instances with pending attempts.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.0.keys()
    }

    /// Whether an instance has pending attempts.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.0.contains_key(instance)
    }

    /// Adds a lost attempt. Returns whether the instance should be probed now.
    pub fn record(&mut self, instance: &InstanceId, attempt: LostAttempt, now: Timestamp) -> bool {
        let pending = self.0.entry(instance.clone()).or_default();
        if pending.attempts.len() < MAX_PENDING {
            pending.attempts.push(attempt);
        }
        pending.unprobed = true;
        pending.take_probe(now)
    }

    /// The instances to probe now, since an attempt was lost within the pause after the last
    /// probe.
    pub fn take_due_probes(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let pending = self.0.iter_mut();
        let due = pending.filter_map(|(instance, pending)| {
            let is_due = pending.take_probe(now);
            is_due.then(|| instance.clone())
        });
        due.collect()
    }

    /// When the next probe is due.
    pub fn next_probe(&self) -> Option<Timestamp> {
        let unprobed = self.0.values().filter(|pending| pending.unprobed);
        unprobed.map(|pending| pending.next_probe).min()
    }

    /// The instance has ended. Removes and returns its pending attempts.
    pub fn take_ended(&mut self, instance: &InstanceId) -> Vec<LostAttempt> {
        let pending = self.0.remove(instance);
        pending.map_or(Vec::new(), |pending| pending.attempts)
    }

    /// The instance has answered a request that was sent at this time. Attempts lost before
    /// that time lost only their answer, so they are removed.
    pub fn record_answer(&mut self, instance: &InstanceId, sent: Timestamp) {
        if self.0.is_empty() {
            return;
        }
        if let Some(pending) = self.0.get_mut(instance) {
            pending.attempts.retain(|attempt| attempt.at > sent);
            if pending.attempts.is_empty() {
                self.0.remove(instance);
            }
        }
    }

    /// Removes attempts for which no proof has arrived in time.
    pub fn expire(&mut self, now: Timestamp) {
        for pending in self.0.values_mut() {
            pending
                .attempts
                .retain(|attempt| attempt.at + PROOF_TIMEOUT > now);
        }
        self.0.retain(|_, pending| !pending.attempts.is_empty());
    }
}
