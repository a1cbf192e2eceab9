//! A dispatcher's session with one server: renews its lease and tracks how long any granted
//! lease can last.
//!
//! Two bounds are kept, both on this node's clock (`docs/design/leases.md`):
//! - `usable_until` is a lower bound: the lease counts from a timestamp of the server's
//!   clock, taken after we sent the call that returned it. If the server accepted the
//!   renewal, the lease lasts at least until `sent + shortened_for_drift(LEASE)`.
//! - `granted_until` is an upper bound: the timestamp was taken before we received it, so
//!   no renewal that echoes it lasts beyond `received + lengthened_for_drift(LEASE)`,
//!   whether or not the renewal was answered.

mod renewing;
mod replying;

use crate::state::{GroupState, Server};
use ledgelead_types::dispatch::SliceClaim;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::server::*;
use ledgelead_types::timing::{LEASE, RENEW_INTERVAL, lengthened_for_drift, shortened_for_drift};
use ledgelead_types::*;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// Interval of probes to servers that own no slices because their service is not
/// partitioned by key.
pub const PROBE_INTERVAL: Span = Span::from_millis(500);
/// Failed probes after which such a server is marked as lost, if gateways also observed
/// failures.
pub const FAILED_PROBES_WITH_EVIDENCE: u32 = 3;
/// Failed probes after which it is marked as lost without other evidence.
pub const FAILED_PROBES: u32 = 6;
/// How long a gateway's evidence against a server is considered.
const EVIDENCE_WINDOW: Span = Span::from_seconds(3);
/// Timeout of a call to a server.
const CALL_TIMEOUT: Span = Span::from_millis(240);
/// Maximum number of concurrent calls to one server.
const MAXIMUM_CALLS: usize = 4;
/// A changed slice set that was not confirmed is sent again after this time.
const RESEND_INTERVAL: Span = Span::from_millis(40);
/// Interval at which a server that is releasing slices is asked whether it is done.
const RELEASE_POLL_INTERVAL: Span = Span::from_millis(20);
/// When less than this is left of the authority, it may not be renewed in this term. Leases
/// are then renewed faster, so that they outlast the election.
pub(crate) const AUTHORITY_ENDING: Span = Span::from_millis(60);
/// Interval of renewals when the authority is ending.
const ENDING_RENEW_INTERVAL: Span = Span::from_millis(20);

/// Time without a reply after which a server is marked as lost if the wait for its lease is
/// switched off, which is done to verify that the checker detects it.
const LOSS_TIMEOUT_WITHOUT_LEASE_WAIT: Span = Span::from_millis(200);

/// Wakeup time when nothing is scheduled.
const NEVER: Time = Time(u64::MAX);

/// Authority to grant leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantAuthority {
    /// Epoch and term of the leader, and the latest entry applied on this replica.
    pub token: FencingToken,
    /// Until when it lasts on this node's clock.
    pub until: Time,
}

/// Status of a session, as reported to the leader.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct SessionStatus {
    /// Identifies the run of the server's process; `None` before its first reply.
    pub run: Option<u64>,
    /// Whether it replied to the latest calls.
    pub answering: bool,
    /// Log position at which the session stopped granting leases because the server was
    /// unresponsive or restarted; it grants leases again only after a later admission.
    pub lapsed_at: Option<Revision>,
    /// How long from now any lease that this session granted can last.
    pub lease_left: Span,
    /// Slices that the server has released.
    pub released: List<SliceClaim>,
    /// Slices that the server reported to hold, while the group is being rebuilt.
    pub held: List<GrantedSlice>,
    /// Whether the server wants to leave.
    pub leaving: bool,
}

/// A timestamp of the server's clock.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    /// Reading of the server's clock.
    reading: Time,
    /// When the call that returned it was sent.
    sent: Time,
    /// When it was received.
    received: Time,
}

/// A call in progress.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent: Time,
    /// The echoed timestamp, with the server's run that it belongs to.
    echoed: Option<(Stamp, u64)>,
}

/// Session with one server.
pub struct ServerSession {
    server: ServerId,
    partitioned: bool,
    lease_wait: bool,
    started: Time,
    run: Option<u64>,
    stamp: Option<Stamp>,
    last_contact: Option<Time>,
    granted_until: Time,
    usable_until: Option<Time>,
    lapsed_at: Option<Revision>,
    granting: bool,
    confirmed_set: FencingToken,
    sent_set: Option<FencingToken>,
    calls: BTreeMap<u64, Call>,
    next_renewal: Time,
    last_sent: Time,
    failures: u32,
    last_evidence: Option<Time>,
    released: Vec<SliceClaim>,
    held: List<GrantedSlice>,
    leaving: bool,
    load: LoadReport,
}

impl ServerSession {
    /// A session that starts at `now`. An earlier session of this node may have granted
    /// leases until just before.
    pub fn new(server: ServerId, partitioned: bool, lease_wait: bool, now: Time) -> ServerSession {
        ServerSession {
            server,
            partitioned,
            lease_wait,
            started: now,
            run: None,
            stamp: None,
            last_contact: None,
            granted_until: now + lengthened_for_drift(LEASE),
            usable_until: None,
            lapsed_at: None,
            granting: false,
            confirmed_set: FencingToken::default(),
            sent_set: None,
            calls: BTreeMap::new(),
            next_renewal: now,
            last_sent: Time::ZERO,
            failures: 0,
            last_evidence: None,
            released: Vec::new(),
            held: List::default(),
            leaving: false,
            load: LoadReport::default(),
        }
    }

    /// Until when the server is certain to be allowed to serve its slices.
    pub fn usable_until(&self) -> Option<Time> {
        self.usable_until
    }

    /// Whether the server replied to its latest renewals.
    pub fn responsive(&self) -> bool {
        self.last_contact.is_some() && self.failures == 0 && self.lapsed_at.is_none()
    }

    /// Load reported by the server.
    pub fn load(&self) -> LoadReport {
        self.load
    }

    /// Records failures of the server that gateways observed.
    pub fn evidence(&mut self, now: Time, failures: u32) {
        if failures > 0 {
            self.last_evidence = Some(now);
        }
    }

    /// Handles newly applied state and timeouts. Returns whether the server has just been
    /// found unresponsive beyond its lease.
    pub fn advance(&mut self, now: Time, state: &GroupState, server: &Server) -> bool {
        if self.lapsed_at.is_some_and(|at| server.admitted > at) {
            self.lapsed_at = None;
        }
        self.stop_for_unadmitted_run(state.applied, server);
        self.time_out_calls(now);
        let lapses = self.lapsed_at.is_none() && self.is_unresponsive(now);
        if lapses {
            self.lapse(state.applied);
        }
        self.released.retain(|claim| {
            let slice = state.slices.exact(claim.range);
            slice.is_some_and(|slice| {
                slice.token == claim.token && slice.phase.holder() == Some(self.server)
            })
        });
        lapses
    }

    /// When [`ServerSession::advance`] or [`ServerSession::renewal`] has to
    /// be called next.
    pub fn next_wakeup(&self, authority: Option<GrantAuthority>) -> Time {
        let oldest_call = self.calls.values().next().map(|call| call.sent);
        let timeout = oldest_call.map(|sent| sent + CALL_TIMEOUT);
        let watched = self.lapsed_at.is_none() && self.partitioned;
        let lapse = watched.then(|| self.lapse_time());
        let room = self.calls.len() < MAXIMUM_CALLS;
        let authority = authority.filter(|_| room);
        let ending = authority.filter(|_| self.granting);
        let ending = ending.map(|held| self.ending_renewal(held));
        let renewal = authority.map(|_| self.next_renewal);
        let times = [timeout, lapse, renewal, ending].into_iter().flatten();
        times.min().unwrap_or(NEVER)
    }

    /// The current status, to be reported to the leader.
    pub fn status(&self, now: Time) -> SessionStatus {
        SessionStatus {
            run: self.run,
            answering: self.last_contact.is_some() && self.failures == 0,
            lapsed_at: self.lapsed_at,
            lease_left: self.granted_until.since(now),
            released: self.released.clone().into(),
            held: self.held.clone(),
            leaving: self.leaving,
        }
    }

    /// Whether the leader has to act on the session's status.
    pub fn needs_leader(&self, state: &GroupState, server: &Server) -> bool {
        let answered = self.last_contact.is_some();
        let silent = self.lapsed_at.is_some() && server.status != ServerStatus::Lost;
        let unadmitted = answered
            && (server.run != self.run
                || (server.status == ServerStatus::Lost && self.failures == 0));
        let leaving = self.leaving && server.drain.is_none();
        let recovering = state.recovering && answered;
        silent || unadmitted || leaving || recovering || !self.released.is_empty()
    }

    fn is_unresponsive(&self, now: Time) -> bool {
        if !self.partitioned {
            return self.probes_failed(now);
        }
        now >= self.lapse_time()
    }

    /// When the session lapses if the server remains unresponsive. All of its leases have
    /// ended by then.
    fn lapse_time(&self) -> Time {
        let last_contact = self.last_contact.unwrap_or(self.started);
        if !self.lease_wait {
            return last_contact + LOSS_TIMEOUT_WITHOUT_LEASE_WAIT;
        }
        self.granted_until
            .max(last_contact + lengthened_for_drift(LEASE))
    }

    fn probes_failed(&self, now: Time) -> bool {
        let evidence = self
            .last_evidence
            .is_some_and(|at| now.since(at) < EVIDENCE_WINDOW);
        let enough = if evidence {
            FAILED_PROBES_WITH_EVIDENCE
        } else {
            FAILED_PROBES
        };
        self.failures >= enough
    }

    fn lapse(&mut self, applied: Revision) {
        self.lapsed_at = Some(applied);
        self.usable_until = None;
        // Earlier replies of a lapsed server no longer count.
        self.failures = self.failures.max(1);
    }

    fn time_out_calls(&mut self, now: Time) {
        let overdue = |call: &Call| now >= call.sent + CALL_TIMEOUT;
        let last_contact = self.last_contact;
        // A call that timed out although the server replied after it was sent does not
        // count as a failure.
        let unanswered =
            |call: &Call| last_contact.is_none_or(|last_contact| last_contact < call.sent);
        let all = self.calls.values();
        let failed = all.filter(|call| overdue(call) && unanswered(call)).count();
        self.calls.retain(|_, call| !overdue(call));
        for _ in 0..failed {
            self.call_failed();
        }
    }
}
