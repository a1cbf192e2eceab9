//! When a server's lease is renewed, and the content of the renewal.

use super::*;

impl ServerSession {
    /// The renewal to send now under `sequence`, if one is due.
    pub fn renewal(
        &mut self,
        now: Time,
        sequence: u64,
        state: &GroupState,
        server: &Server,
        group: GroupId,
        authority: GrantAuthority,
    ) -> Option<LeaseRenewal> {
        let grantable = self.may_grant(state, server);
        let set_known = self.confirmed_set == server.set_changed;
        let ending = grantable && now >= self.ending_renewal(authority);
        let due = ending || self.is_due(now, grantable, server.set_changed);
        if !due || self.calls.len() >= MAXIMUM_CALLS {
            return None;
        }
        let mut interval = self.interval(state);
        self.last_sent = now;
        if grantable && !set_known {
            interval = interval.min(RESEND_INTERVAL);
        }
        self.next_renewal = now + interval;
        self.granting = grantable;
        let echoed = self.stamp.filter(|_| grantable);
        if let Some(stamp) = echoed {
            self.granted_until = self
                .granted_until
                .max(stamp.received + lengthened_for_drift(LEASE));
            self.sent_set = Some(server.set_changed);
        }
        let call = Call {
            sent: now,
            echoed: echoed.zip(self.run),
        };
        self.calls.insert(sequence, call);
        let whole_set = echoed.is_some() && !set_known;
        Some(LeaseRenewal {
            group,
            authority: authority.token,
            echoed_stamp: echoed.map(|stamp| stamp.reading),
            lease: LEASE,
            slices: whole_set.then(|| state.granted(self.server)),
            unchanged_since: server.set_changed,
            draining: server.status == ServerStatus::Draining,
        })
    }

    fn may_grant(&self, state: &GroupState, server: &Server) -> bool {
        let admitted = self.run.is_some() && server.run == self.run;
        let owning = !matches!(server.status, ServerStatus::Lost | ServerStatus::Retired);
        admitted && owning && self.stamp.is_some() && self.lapsed_at.is_none() && !state.recovering
    }

    fn is_due(&self, now: Time, grantable: bool, set_changed: FencingToken) -> bool {
        if now >= self.next_renewal {
            return true;
        }
        if !grantable {
            return false;
        }
        let set_unsent = self.confirmed_set != set_changed && self.sent_set != Some(set_changed);
        !self.granting || set_unsent
    }

    /// When to renew early because the authority is about to end and may not be renewed in
    /// this term.
    pub(super) fn ending_renewal(&self, authority: GrantAuthority) -> Time {
        if !self.partitioned {
            return self.next_renewal;
        }
        let ending = authority.until.before(AUTHORITY_ENDING);
        ending.max(self.last_sent + ENDING_RENEW_INTERVAL)
    }

    fn interval(&self, state: &GroupState) -> Span {
        if !self.partitioned {
            return PROBE_INTERVAL;
        }
        if state.releasing(self.server).next().is_some() {
            return RELEASE_POLL_INTERVAL;
        }
        RENEW_INTERVAL
    }
}
