//! Checks leaving servers and planned stops.

use super::violation::{Violation, Violations};
use ledgelead_types::{ServerId, Span, Time};
use std::collections::BTreeMap;

/// Time after the announcement during which a leaving server may still be given new requests.
pub const NEW_REQUESTS_STOP_WITHIN: Span = Span::from_seconds(3);

/// Checks leaving servers and planned stops.
#[derive(Clone, Debug, Default)]
pub struct LeavingChecker {
    announced: BTreeMap<ServerId, Time>,
}

impl LeavingChecker {
    /// The system was told that a server is leaving or is to be drained.
    pub fn leave_announced(&mut self, now: Time, server: ServerId) {
        self.announced.entry(server).or_insert(now);
    }

    /// The server is active again or has ended.
    pub fn returned(&mut self, server: ServerId) {
        self.announced.remove(&server);
    }

    /// Forgets all announcements. After losses beyond the tolerance the system may forget them
    /// too.
    pub fn clear(&mut self) {
        self.announced.clear();
    }

    /// A server started to execute a request.
    pub fn started(&mut self, now: Time, server: ServerId, violations: &mut Violations) {
        let Some(announced) = self.announced.get(&server) else {
            return;
        };
        let since = now.since(*announced);
        if since > NEW_REQUESTS_STOP_WITHIN {
            violations.add(now, Violation::NoNewWorkAfterLeave, || {
                format!("{server} was given new work {since:?} after it was told")
            });
        }
    }

    /// A process was stopped as planned while requests were in flight.
    pub fn stopped(
        &mut self,
        now: Time,
        process: &str,
        interrupted: usize,
        violations: &mut Violations,
    ) {
        for _ in 0..interrupted {
            violations.add(now, Violation::PlannedStopCutsNothing, || {
                format!("the planned stop of {process} cut a request")
            });
        }
    }
}
