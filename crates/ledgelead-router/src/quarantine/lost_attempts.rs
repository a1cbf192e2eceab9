//! Attempts that this node has lost, until it is known whether their instances ended.

use super::entry::CallerId;
use crate::Timestamp;
use crate::identity::InstanceId;
use crate::requests::RequestDigest;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an end may take to show: an entry goes 4.5 s after its last heartbeat, and
/// the news of that takes some time.
const PENDING_FOR: Duration = Duration::from_secs(8);
/// Pause between two probes of an instance.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Most requests that wait for one instance.
const MAX_ACCUSED: usize = 32;

/// A request that was in flight at an instance as the connection was lost.
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
    accused: Vec<LostAttempt>,
    next_probe: Timestamp,
}

/// What waits for proof.
#[derive(Debug, Default)]
pub struct LostAttempts(BTreeMap<InstanceId, Pending>);

impl LostAttempts {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The instances in question.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.0.keys()
    }

    /// Whether an instance is in question.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.0.contains_key(instance)
    }

    /// An attempt was lost. Returns whether the instance is to be probed now.
    pub fn record(&mut self, instance: &InstanceId, accused: LostAttempt, now: Timestamp) -> bool {
        let pending = self.0.entry(instance.clone()).or_default();
        if pending.accused.len() < MAX_ACCUSED {
            pending.accused.push(accused);
        }
        let probes = pending.next_probe <= now;
        if probes {
            pending.next_probe = now + PROBE_PAUSE;
        }
        probes
    }

    /// The instance has ended. Returns what was in flight there.
    pub fn take_ended(&mut self, instance: &InstanceId) -> Vec<LostAttempt> {
        let pending = self.0.remove(instance);
        pending.map_or(Vec::new(), |pending| pending.accused)
    }

    /// The instance has answered a request that was sent at this time: what was lost
    /// before was an answer.
    pub fn answered(&mut self, instance: &InstanceId, sent: Timestamp) {
        if self.0.is_empty() {
            return;
        }
        if let Some(pending) = self.0.get_mut(instance) {
            pending.accused.retain(|accused| accused.at > sent);
            if pending.accused.is_empty() {
                self.0.remove(instance);
            }
        }
    }

    /// Forgets what no proof came for.
    pub fn expire(&mut self, now: Timestamp) {
        for pending in self.0.values_mut() {
            pending
                .accused
                .retain(|accused| accused.at + PENDING_FOR > now);
        }
        self.0.retain(|_, pending| !pending.accused.is_empty());
    }
}
