//! Per-caller limits on this node: request rate and concurrency.

use super::directory::CallerEntry;
use crate::token_bucket::RateLimit;
use ledgelead_types::{CallerId, Span, Time};
use std::collections::BTreeMap;

/// Retry delay for a caller that exceeds its concurrency limit.
const CONCURRENCY_RETRY_AFTER: Span = Span::from_millis(100);

struct CallerUse {
    rate: RateLimit,
    in_flight: u32,
}

/// Current usage of each caller.
#[derive(Default)]
pub(super) struct CallerLimits {
    uses: BTreeMap<CallerId, CallerUse>,
}

impl CallerLimits {
    /// Counts a request in, or returns when to retry if a limit is exceeded.
    pub(super) fn enter(&mut self, caller: &CallerEntry, now: Time) -> Result<(), Span> {
        let per_second = f64::from(caller.max_requests_per_second);
        let used = self.uses.entry(caller.id).or_insert_with(|| CallerUse {
            rate: RateLimit::new(per_second, now),
            in_flight: 0,
        });
        if caller.max_concurrent > 0 && used.in_flight >= caller.max_concurrent {
            return Err(CONCURRENCY_RETRY_AFTER);
        }
        if caller.max_requests_per_second > 0 {
            used.rate.set_rate(per_second);
            used.rate.take(now)?;
        }
        used.in_flight += 1;
        Ok(())
    }

    /// Counts a request out.
    pub(super) fn leave(&mut self, caller: CallerId) {
        if let Some(used) = self.uses.get_mut(&caller) {
            used.in_flight = used.in_flight.saturating_sub(1);
        }
    }
}
