//! Keeping idempotency records: expiry, an end for those whose gateway is
//! gone, and the doubt about those that were lost with a quorum.

use super::LeaderContext;
use crate::command::GroupCommand;
use ledgelead_types::dispatch::IdempotencyState;
use ledgelead_types::*;

/// How long a record is kept at least.
const RECORD_RETENTION: Span = Span::from_seconds(600);
/// Interval at which the leader notes how far the log is, to date records.
const SAMPLE_INTERVAL: Span = Span::from_seconds(10);
/// Interval of searches for records whose gateway is gone.
const SEARCH_INTERVAL: Span = Span::from_seconds(2);
/// How long after a rebuild keys without a record may be repeats of requests
/// whose records were lost with the quorum.
const MISSING_RECORDS_PERIOD: Span = Span::from_seconds(15);
/// Most such records ended in one batch.
const MAXIMUM_ENDED: usize = 256;

/// The leader's knowledge of the records' age.
pub struct RecordMaintenance {
    /// When the log was how far.
    samples: Vec<(Time, Revision)>,
    next_search: Time,
    /// When records that may be missing are no longer waited for.
    missing_records_until: Time,
}

impl RecordMaintenance {
    /// At the start of a term. Ages count anew, so a record may live longer.
    pub fn new(now: Time) -> RecordMaintenance {
        RecordMaintenance {
            samples: Vec::new(),
            next_search: now + SEARCH_INTERVAL,
            missing_records_until: now + MISSING_RECORDS_PERIOD,
        }
    }

    /// Does what is due.
    pub fn maintain(&mut self, context: &LeaderContext, commands: &mut Vec<GroupCommand>) {
        if context.state.records_may_be_missing && context.now >= self.missing_records_until {
            commands.push(GroupCommand::AssumeRecordsComplete);
        }
        self.expire(context, commands);
        self.end_orphans(context, commands);
    }

    fn expire(&mut self, context: &LeaderContext, commands: &mut Vec<GroupCommand>) {
        let last = self.samples.last().map(|sample| sample.0);
        if last.is_none_or(|at| context.now.since(at) >= SAMPLE_INTERVAL) {
            self.samples.push((context.now, context.state.applied));
        }
        let old = |sample: &&(Time, Revision)| context.now.since(sample.0) >= RECORD_RETENTION;
        let expired = self.samples.iter().filter(old).count();
        let Some((_, through)) = self.samples.drain(..expired).next_back() else {
            return;
        };
        let oldest = context.state.records.oldest();
        if oldest.is_some_and(|oldest| oldest <= through) {
            commands.push(GroupCommand::ExpireRecords { through });
        }
    }

    /// Nobody can tell any more how a request of a lost gateway ended. Should
    /// the gateway live after all, its own word still replaces this.
    fn end_orphans(&mut self, context: &LeaderContext, commands: &mut Vec<GroupCommand>) {
        if context.now < self.next_search || context.live.is_empty() {
            return;
        }
        self.next_search = context.now + SEARCH_INTERVAL;
        let orphans = context.state.records.iter().filter(|record| {
            let gateway = record.owner.gateway;
            let is_live = context.live.iter().any(|node| node.member == gateway);
            record.state == IdempotencyState::Begun && !is_live
        });
        let ends = orphans
            .take(MAXIMUM_ENDED)
            .map(|record| GroupCommand::EndIdempotent {
                owner: record.owner,
                key: record.key,
                state: Some(IdempotencyState::Unknown),
            });
        commands.extend(ends);
    }
}
