//! Answers that wait until it is known which incarnation of an instance gave them.

use crate::Timestamp;
use crate::identity::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which an incarnation that answers has written its entry (a heartbeat, 0.9 to
/// 1.3 s), and nodes have read it.
const NEW_INCARNATION_KNOWN_WITHIN: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Answer {
    sent_at: Timestamp,
    due: Timestamp,
}

/// Answers under the ids of instances that are suspected to have ended. A later incarnation
/// answers under the id of the earlier one as well, and proves nothing about that.
#[derive(Debug, Default)]
pub struct UnconfirmedAnswers(BTreeMap<InstanceId, Answer>);

impl UnconfirmedAnswers {
    /// Records an answer under an instance's id to something sent at `sent_at`. Only the first
    /// answer counts, so that later ones do not extend the wait.
    pub fn record(&mut self, instance: &InstanceId, sent_at: Timestamp, now: Timestamp) {
        let due = now + NEW_INCARNATION_KNOWN_WITHIN;
        let answer = Answer { sent_at, due };
        self.0.entry(instance.clone()).or_insert(answer);
    }

    /// Returns and removes the answers for which a later incarnation would be known by now,
    /// with the time at which the answered message was sent.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(InstanceId, Timestamp)> {
        let is_due = |answer: &Answer| answer.due <= now;
        let due = self.0.iter().filter(|(_, answer)| is_due(answer));
        let taken = due
            .map(|(instance, answer)| (instance.clone(), answer.sent_at))
            .collect();
        self.0.retain(|_, answer| !is_due(answer));
        taken
    }

    /// When the next answer is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.0.values().map(|answer| answer.due).min()
    }
}
