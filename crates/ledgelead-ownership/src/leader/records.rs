//! Maintenance of idempotency records: expiry, ending of records whose gateway is gone, and
//! the period during which records lost with a quorum may be missing.

use super::LeaderContext;
use crate::command::GroupCommand;
use ledgelead_types::dispatch::IdempotencyState;
use ledgelead_types::*;

/// Minimum time for which a record is kept.
const RECORD_RETENTION: Span = Span::from_seconds(600);
/// Interval at which the leader samples the log position, to determine the age of records.
const SAMPLE_INTERVAL: Span = Span::from_seconds(10);
/// Interval of searches for records whose gateway is gone.
const SEARCH_INTERVAL: Span = Span::from_seconds(2);
/// How long after a rebuild a key without a record may belong to a retry of a request whose
/// record was lost with the quorum.
const MISSING_RECORDS_PERIOD: Span = Span::from_seconds(15);
/// Maximum number of such records ended in one batch.
const MAXIMUM_ENDED: usize = 256;

/// Tracks the age of the records.
pub struct RecordMaintenance {
    /// Log positions by time.
    samples: Vec<(Time, Revision)>,
    next_search: Time,
    /// When missing records are no longer expected.
    missing_records_until: Time,
}

impl RecordMaintenance {
    /// Starts at the beginning of a term. Ages start at zero again, so a record may be kept
    /// longer.
    pub fn new(now: Time) -> RecordMaintenance {
        RecordMaintenance {
            samples: Vec::new(),
            next_search: now + SEARCH_INTERVAL,
            missing_records_until: now + MISSING_RECORDS_PERIOD,
        }
    }

    /// Performs the maintenance that is due.
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

    /// Ends records of lost gateways as unknown, because only the gateway knew how the
    /// request ended. If the gateway turns out to be live, its own report still replaces
    /// this.
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
            .map(|record| GroupCommand::EndIdempotencyRecord {
                owner: record.owner,
                key: record.key,
                state: Some(IdempotencyState::Unknown),
            });
        commands.extend(ends);
    }
}
