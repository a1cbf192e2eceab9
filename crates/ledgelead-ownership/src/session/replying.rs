//! Handling of a server's replies.

use super::*;

impl ServerSession {
    /// Handles the end of a call; `None` if it failed.
    pub fn replied(
        &mut self,
        now: Time,
        sequence: u64,
        reply: Option<RenewalReply>,
        state: &GroupState,
        server: &Server,
    ) {
        let Some(call) = self.calls.remove(&sequence) else {
            return;
        };
        let Some(reply) = reply else {
            self.call_failed();
            return;
        };
        self.failures = 0;
        self.last_contact = Some(now);
        if self.run != Some(reply.run) {
            self.start_run(reply.run, now, state.applied, server);
        }
        self.record_stamp(now, call.sent, reply.stamp);
        self.confirmed_set = reply.holding;
        self.load = reply.load;
        self.leaving = reply.leaving;
        self.apply_verdict(now, call, &reply, state, server);
    }

    pub(super) fn call_failed(&mut self) {
        self.failures += 1;
    }

    /// Handles a restart of the server's process: its clock is a different one, and it
    /// holds no slices. The slices of the former run are not granted again before the
    /// leader has admitted this run.
    fn start_run(&mut self, run: u64, now: Time, applied: Revision, server: &Server) {
        self.run = Some(run);
        self.stamp = None;
        self.usable_until = None;
        self.released.clear();
        self.granting = false;
        self.next_renewal = now;
        self.stop_for_unadmitted_run(applied, server);
    }

    /// Stops granting leases to a run that was not admitted. An admission may refer to a
    /// run that has ended since; the current run then still needs its own.
    pub(super) fn stop_for_unadmitted_run(&mut self, applied: Revision, server: &Server) {
        let other_run = self.run.is_some() && server.run.is_some() && self.run != server.run;
        if other_run && self.lapsed_at.is_none() {
            self.lapsed_at = Some(applied);
        }
    }

    fn record_stamp(&mut self, now: Time, sent: Time, reading: Time) {
        if self.stamp.is_none_or(|known| reading > known.reading) {
            self.stamp = Some(Stamp {
                reading,
                sent,
                received: now,
            });
        }
    }

    fn apply_verdict(
        &mut self,
        now: Time,
        call: Call,
        reply: &RenewalReply,
        state: &GroupState,
        server: &Server,
    ) {
        match reply.verdict {
            RenewalVerdict::Taken => {
                self.confirm_lease(call, reply.run);
                self.record_released(reply, state, server);
            }
            RenewalVerdict::Fenced { .. } => self.usable_until = None,
            RenewalVerdict::SetUnknown => self.next_renewal = now,
            RenewalVerdict::StampOnly => {}
        }
        if reply.verdict != RenewalVerdict::Taken {
            self.held = reply.held.clone();
        }
    }

    fn confirm_lease(&mut self, call: Call, run: u64) {
        let Some((stamp, stamped_run)) = call.echoed else {
            return;
        };
        if stamped_run == run && self.lapsed_at.is_none() && self.partitioned {
            let until = stamp.sent + shortened_for_drift(LEASE);
            self.usable_until = self.usable_until.max(Some(until));
        }
    }

    /// Records released slices. A slice is released when the server holds the set without
    /// it and doesn't list it among those with requests that are still executing.
    fn record_released(&mut self, reply: &RenewalReply, state: &GroupState, server: &Server) {
        if reply.holding != server.set_changed {
            return;
        }
        for slice in state.releasing(self.server) {
            let executing = reply
                .releasing
                .iter()
                .any(|claim| claim.range.overlaps(&slice.range));
            let claim = SliceClaim {
                range: slice.range,
                token: slice.token,
            };
            if !executing && !self.released.contains(&claim) {
                self.released.push(claim);
            }
        }
    }
}
