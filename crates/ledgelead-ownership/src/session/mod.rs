//! A dispatcher's session with one server: renewing its lease and knowing how
//! long any lease that was granted can last.
//!
//! Two bounds are kept, both on this node's clock (`docs/design/leases.md`):
//! - `usable_until` is early: the lease runs from a stamp that the server took
//!   after we sent the call which brought it, so it lasts at least until
//!   `sent + shortened_for_drift(LEASE)` when the server took the renewal.
//! - `granted_until` is late: the stamp was taken before we received it, so no
//!   renewal that echoes it lasts beyond `received + lengthened_for_drift(LEASE)`, whether
//!   or not the renewal was answered.

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

/// Interval of probes to servers that own nothing because their service is
/// not divided by key.
pub const PROBE_INTERVAL: Span = Span::from_millis(500);
/// Failed probes after which such a server is lost, when gateways had
/// failures too.
pub const FAILED_PROBES_WITH_EVIDENCE: u32 = 3;
/// Failed probes after which it is lost on their account alone.
pub const FAILED_PROBES: u32 = 6;
/// How long a gateway's evidence against a server counts.
const EVIDENCE_WINDOW: Span = Span::from_seconds(3);
/// How long a call to a server may take.
const CALL_TIMEOUT: Span = Span::from_millis(240);
/// Calls to one server at once at most.
const MAXIMUM_CALLS: usize = 4;
/// A changed set that was not confirmed is sent again after this.
const RESEND_INTERVAL: Span = Span::from_millis(40);
/// A server that is giving slices up is asked this often whether it is done.
const RELEASE_POLL_INTERVAL: Span = Span::from_millis(20);
/// When the authority has less than this left, it may be the last one in this
/// term: the lease is renewed faster, so that it outlasts the election.
pub(crate) const AUTHORITY_ENDING: Span = Span::from_millis(60);
/// Interval of renewals when the authority is ending.
const ENDING_RENEW_INTERVAL: Span = Span::from_millis(20);

/// Silence after which a server is taken as lost when the wait for its lease
/// is switched off, for the proof of the checker.
const LOSS_TIMEOUT_WITHOUT_LEASE_WAIT: Span = Span::from_millis(200);

/// A point in time that is never reached.
const NEVER: Time = Time(u64::MAX);

/// A right to grant leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantAuthority {
    /// Epoch and term of the leader, and the latest entry applied here.
    pub token: FencingToken,
    /// Until when it lasts on this node's clock.
    pub until: Time,
}

/// What a session has to tell the leader.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct SessionStatus {
    /// Run of the server's process, once it answered.
    pub run: Option<u64>,
    /// Whether it has answered lately.
    pub answering: bool,
    /// Log position at which the session stopped granting because the server
    /// was silent; it grants again only after an admission behind this.
    pub lapsed_at: Option<Revision>,
    /// How long any lease that this session granted can last from now.
    pub lease_left: Span,
    /// Slices that the server has given up.
    pub released: List<SliceClaim>,
    /// Slices that the server said it holds, while the group is rebuilt.
    pub held: List<GrantedSlice>,
    /// The server wants to leave.
    pub leaving: bool,
}

/// A stamp of the server's clock.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    /// Reading of the server's clock.
    reading: Time,
    /// When the call that brought it was sent.
    sent: Time,
    /// When it was received.
    received: Time,
}

/// A call under way.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent: Time,
    /// The stamp echoed, with the run that it belongs to.
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
    /// A session that starts at `now`. An earlier session of this node may
    /// have granted until a moment ago.
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

    /// Until when the server may surely serve what it holds.
    pub fn usable_until(&self) -> Option<Time> {
        self.usable_until
    }

    /// Whether the server answered its latest renewals.
    pub fn responsive(&self) -> bool {
        self.last_contact.is_some() && self.failures == 0 && self.lapsed_at.is_none()
    }

    /// The server's own report of its load.
    pub fn load(&self) -> LoadReport {
        self.load
    }

    /// Gateways saw failures of the server.
    pub fn evidence(&mut self, now: Time, failures: u32) {
        if failures > 0 {
            self.last_evidence = Some(now);
        }
    }

    /// Takes note of newly applied state and of time passing. Returns whether
    /// the server has just been found silent beyond its lease.
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

    /// What there is to tell the leader now.
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

    /// Whether the leader has to act on the session's state.
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

    /// When the session lapses if the server stays silent: its lease has
    /// ended for certain.
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
        // Nothing that a lapsed server said before counts as an answer.
        self.failures = self.failures.max(1);
    }

    fn time_out_calls(&mut self, now: Time) {
        let overdue = |call: &Call| now >= call.sent + CALL_TIMEOUT;
        let last_contact = self.last_contact;
        // A call that a later answer has overtaken proves nothing.
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
