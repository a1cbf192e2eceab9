//! Answers that wait until it is known which life of an instance gave them.

use crate::Timestamp;
use crate::identity::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which a life that answers has written its entry (a heartbeat, 0.9 to
/// 1.3 s), and nodes have read it.
const NEW_INCARNATION_KNOWN_WITHIN: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Answer {
    asked: Timestamp,
    due: Timestamp,
}

/// Answers under the ids of instances that are in question. A later life answers under
/// the id of the earlier one, and shows nothing of that.
#[derive(Debug, Default)]
pub struct UnconfirmedAnswers(BTreeMap<InstanceId, Answer>);

impl UnconfirmedAnswers {
    /// What was asked of a life at this time was answered under its id. The first
    /// answer counts, so that later ones don't put it off.
    pub fn answered(&mut self, instance: &InstanceId, asked: Timestamp, now: Timestamp) {
        let due = now + NEW_INCARNATION_KNOWN_WITHIN;
        let answer = Answer { asked, due };
        self.0.entry(instance.clone()).or_insert(answer);
    }

    /// Answers of lives that would be known for later ones by now, and when they were
    /// asked for.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(InstanceId, Timestamp)> {
        let is_due = |answer: &Answer| answer.due <= now;
        let due = self.0.iter().filter(|(_, answer)| is_due(answer));
        let taken = due
            .map(|(instance, answer)| (instance.clone(), answer.asked))
            .collect();
        self.0.retain(|_, answer| !is_due(answer));
        taken
    }

    /// When the next one is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.0.values().map(|answer| answer.due).min()
    }
}
