//! The dispatcher's lease handling: one session for each assigned server, and reports to
//! the leader.

use crate::message::{DispatcherReport, ServerLoad, ServerReport};
use crate::schedule::Schedule;
use crate::session::{AUTHORITY_ENDING, GrantAuthority, ServerSession};
use crate::state::{GroupState, Server};
use ledgelead_types::dispatch::{DispatchedServer, SliceLoad};
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::server::{LeaseRenewal, LoadReport, RenewalReply};
use ledgelead_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// Interval of reports that include load.
const LOAD_REPORT_INTERVAL: Span = Span::from_seconds(1);
/// A status that the leader has not acted on is sent again after this time.
const REPORT_RETRY_INTERVAL: Span = Span::from_millis(80);

/// Wakeup time when nothing is scheduled.
const NEVER: Time = Time(u64::MAX);

/// A renewal to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Renewal {
    /// The server.
    pub server: ServerId,
    /// Its `IP:port`.
    pub address: Text,
    /// Identifies the reply.
    pub sequence: u64,
    /// The renewal.
    pub renewal: LeaseRenewal,
}

/// What a dispatcher needs to grant leases.
pub struct GrantContext<'a> {
    /// The group's state as applied on this replica.
    pub state: &'a GroupState,
    /// Authority to grant leases; `None` if there is none.
    pub authority: Option<GrantAuthority>,
}

/// The server sessions of one replica.
///
/// A session is updated when it is scheduled, when its server has replied and when the
/// state has changed, so the cost of an input depends only on the sessions that it affects.
pub struct Dispatcher {
    group: GroupId,
    identity: Member,
    partitioned: bool,
    lease_wait: bool,
    sessions: BTreeMap<ServerId, ServerSession>,
    slice_loads: BTreeMap<ServerId, Vec<SliceLoad>>,
    next_sequence: u64,
    next_load_report: Time,
    next_retry: Time,
    report_due: bool,
    stopping: bool,
    reported: BTreeMap<ServerId, ReportedStatus>,
    schedule: Schedule,
    /// Sessions to update regardless of their schedule.
    pending: BTreeSet<ServerId>,
    /// The state has changed since the last update.
    state_changed: bool,
    /// Whether there was authority to grant leases at the last update.
    granting: bool,
    /// End of the authority, once it is known to end soon.
    ending: Option<Time>,
    /// Sessions updated since the last report.
    unreported: BTreeSet<ServerId>,
    /// Sessions with a status that the leader has to act on.
    awaiting_leader: BTreeSet<ServerId>,
    /// Sessions updated since the last [`Dispatcher::take_updated`].
    updated: BTreeSet<ServerId>,
}

/// Result of updating the sessions.
#[derive(Debug, Default)]
pub struct SessionUpdates {
    /// Servers just found unresponsive beyond their lease.
    pub unresponsive: Vec<ServerId>,
    /// Renewals to send.
    pub renewals: Vec<Renewal>,
}

/// The part of a session's status that is reported immediately when it changes.
#[derive(Clone, Debug, PartialEq)]
struct ReportedStatus {
    run: Option<u64>,
    answering: bool,
    lapsed_at: Option<Revision>,
    released: usize,
    leaving: bool,
}

impl Dispatcher {
    /// A dispatcher without servers. With `lease_wait` off it reports an unresponsive
    /// server as lost before its lease has ended; this is used to verify that the checker
    /// detects it.
    pub fn new(
        group: GroupId,
        identity: Member,
        partitioned: bool,
        lease_wait: bool,
        now: Time,
    ) -> Dispatcher {
        Dispatcher {
            group,
            identity,
            partitioned,
            lease_wait,
            sessions: BTreeMap::new(),
            slice_loads: BTreeMap::new(),
            next_sequence: 0,
            next_load_report: now + LOAD_REPORT_INTERVAL,
            next_retry: now,
            report_due: false,
            stopping: false,
            reported: BTreeMap::new(),
            schedule: Schedule::default(),
            pending: BTreeSet::new(),
            state_changed: true,
            granting: false,
            ending: None,
            unreported: BTreeSet::new(),
            awaiting_leader: BTreeSet::new(),
            updated: BTreeSet::new(),
        }
    }

    /// Sets whether the service is partitioned by key.
    pub fn set_partitioned(&mut self, partitioned: bool, now: Time) {
        if self.partitioned != partitioned {
            self.partitioned = partitioned;
            self.sessions.clear();
            self.schedule.clear();
            self.state_changed = true;
            self.next_retry = now;
        }
    }

    /// Records that servers or slices have changed in the replicated state.
    pub fn state_changed(&mut self) {
        self.state_changed = true;
    }

    /// Adds and removes sessions to match the assignments in the state, updates timeouts,
    /// and renews the leases that are due.
    pub fn update_sessions(&mut self, now: Time, context: &GrantContext) -> SessionUpdates {
        let authority = context.authority.filter(|held| now < held.until);
        let all = self.authority_changed(now, authority) || self.state_changed;
        if std::mem::take(&mut self.state_changed) {
            self.sync_sessions(now, context.state);
        }
        let mut due = std::mem::take(&mut self.pending);
        if all {
            due.extend(self.sessions.keys());
        }
        due.extend(self.schedule.due(now));
        let mut updates = SessionUpdates::default();
        for id in due {
            self.update_session(now, id, context.state, authority, &mut updates);
        }
        updates
    }

    fn sync_sessions(&mut self, now: Time, state: &GroupState) {
        let before = self.sessions.len();
        let identity = self.identity;
        self.sessions
            .retain(|server, _| is_assigned(state, *server, identity));
        if self.sessions.len() < before {
            // The leader learns from this report that this dispatcher no longer serves the
            // removed servers. It counts the end of their leases from the report.
            self.report_due = true;
        }
        for id in state.servers.keys() {
            if is_assigned(state, *id, identity) && !self.sessions.contains_key(id) {
                let session = ServerSession::new(*id, self.partitioned, self.lease_wait, now);
                self.sessions.insert(*id, session);
                self.report_due = true;
            }
        }
    }

    /// Records the authority to grant leases. Returns whether it was regained or is about
    /// to end; in both cases all renewals may be due.
    fn authority_changed(&mut self, now: Time, authority: Option<GrantAuthority>) -> bool {
        let regained = authority.is_some() && !self.granting;
        self.granting = authority.is_some();
        let ends = authority.map(|held| held.until);
        let ending = ends.filter(|until| now >= until.before(AUTHORITY_ENDING));
        let newly_ending = ending.is_some() && ending != self.ending;
        self.ending = ending;
        regained || newly_ending
    }

    fn update_session(
        &mut self,
        now: Time,
        id: ServerId,
        state: &GroupState,
        authority: Option<GrantAuthority>,
        updates: &mut SessionUpdates,
    ) {
        let server = state.servers.get(&id);
        let (Some(session), Some(server)) = (self.sessions.get_mut(&id), server) else {
            self.schedule.remove(id);
            return;
        };
        if session.advance(now, state, server) {
            updates.unresponsive.push(id);
        }
        if let Some(authority) = authority {
            let sequence = self.next_sequence;
            let renewal = session.renewal(now, sequence, state, server, self.group, authority);
            if let Some(renewal) = renewal {
                self.next_sequence += 1;
                updates.renewals.push(Renewal {
                    server: id,
                    address: server.definition.address.clone(),
                    sequence,
                    renewal,
                });
            }
        }
        // Until the end of the authority is near, it is tracked once for all sessions.
        let until = self.ending.unwrap_or(NEVER);
        let authority = authority.map(|held| GrantAuthority { until, ..held });
        self.schedule.set(id, session.next_wakeup(authority));
        self.unreported.insert(id);
        self.updated.insert(id);
    }

    /// Handles the end of a call to a server.
    pub fn replied(
        &mut self,
        now: Time,
        id: ServerId,
        sequence: u64,
        reply: Option<RenewalReply>,
        state: &GroupState,
    ) {
        let server = state.servers.get(&id);
        if let (Some(session), Some(server)) = (self.sessions.get_mut(&id), server) {
            session.replied(now, sequence, reply, state, server);
            self.pending.insert(id);
        }
    }

    /// Records failures of a server that gateways observed.
    pub fn evidence(&mut self, now: Time, server: ServerId, failures: u32) {
        if let Some(session) = self.sessions.get_mut(&server) {
            session.evidence(now, failures);
            self.pending.insert(server);
        }
    }

    /// Sets the load of a server's slices as counted on this node.
    pub fn slice_loads(&mut self, server: ServerId, loads: Vec<SliceLoad>) {
        self.slice_loads.insert(server, loads);
    }

    /// Schedules a full report: a new leader has received no status yet.
    pub fn leader_changed(&mut self) {
        self.reported.clear();
        self.report_due = true;
    }

    /// The node is stopping; this is reported to the leader immediately.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.report_due = true;
    }

    /// The report to the leader, if one is due.
    pub fn report(&mut self, now: Time, state: &GroupState) -> Option<DispatcherReport> {
        let with_load = now >= self.next_load_report;
        let repeat = now >= self.next_retry;
        let mut servers = Vec::new();
        for id in &self.sessions_to_report(with_load, repeat) {
            let session = self.sessions.get(id);
            let (Some(session), Some(server)) = (session, state.servers.get(id)) else {
                self.awaiting_leader.remove(id);
                continue;
            };
            if session.needs_leader(state, server) {
                self.awaiting_leader.insert(*id);
            } else {
                self.awaiting_leader.remove(id);
            }
            let mut status = session.status(now);
            if !state.recovering {
                // The list is long and only needed to rebuild a group.
                status.held = List::default();
            }
            let key = ReportedStatus {
                run: status.run,
                answering: status.answering,
                lapsed_at: status.lapsed_at,
                released: status.released.len(),
                leaving: status.leaving,
            };
            let changed = self.reported.get(id) != Some(&key);
            let awaiting_leader = self.awaiting_leader.contains(id) && (changed || repeat);
            if !awaiting_leader && !with_load && !self.report_due {
                continue;
            }
            self.reported.insert(*id, key);
            let load = with_load.then(|| ServerLoad {
                report: session.load(),
                slices: self.slice_loads.get(id).cloned().unwrap_or_default().into(),
            });
            servers.push(ServerReport {
                server: *id,
                status,
                load,
            });
        }
        if servers.is_empty() && !self.report_due && !with_load {
            return None;
        }
        if with_load {
            self.next_load_report = now + LOAD_REPORT_INTERVAL;
        }
        self.next_retry = now + REPORT_RETRY_INTERVAL;
        self.report_due = false;
        Some(DispatcherReport {
            term: state.term,
            applied: state.applied,
            stopping: self.stopping,
            servers: servers.into(),
        })
    }

    /// The sessions that may have something to report to the leader.
    fn sessions_to_report(&mut self, with_load: bool, repeat: bool) -> BTreeSet<ServerId> {
        let mut sessions = std::mem::take(&mut self.unreported);
        if with_load || self.report_due {
            sessions.extend(self.sessions.keys());
        } else if repeat {
            sessions.extend(&self.awaiting_leader);
        }
        sessions
    }

    /// The servers assigned to this node, for its request dispatcher.
    pub fn dispatched(&self, state: &GroupState) -> Vec<DispatchedServer> {
        let entries = self.sessions.keys();
        entries
            .filter_map(|id| self.dispatched_server(*id, state))
            .collect()
    }

    /// A server assigned to this node, for its request dispatcher.
    pub fn dispatched_server(&self, id: ServerId, state: &GroupState) -> Option<DispatchedServer> {
        let session = self.sessions.get(&id)?;
        let server = state.servers.get(&id)?;
        Some(DispatchedServer {
            group: self.group,
            server: id,
            slots: server.definition.slots,
            status: server.status,
            lease_until: session.usable_until(),
            responsive: session.responsive(),
        })
    }

    /// The servers updated since the last call.
    pub fn take_updated(&mut self) -> BTreeSet<ServerId> {
        std::mem::take(&mut self.updated)
    }

    /// When something is due next.
    pub fn next_wakeup(&self, authority: Option<GrantAuthority>) -> Time {
        let ends = authority.map(|held| held.until);
        let unnoted = ends.filter(|until| self.ending != Some(*until));
        let ending = unnoted.map(|until| until.before(AUTHORITY_ENDING));
        let times = [self.schedule.first(), ending, Some(self.next_load_report)];
        times.into_iter().flatten().min().unwrap_or(NEVER)
    }

    /// Load reported by a server that is assigned to this node.
    pub fn load(&self, server: ServerId) -> Option<LoadReport> {
        self.sessions.get(&server).map(ServerSession::load)
    }
}

fn is_assigned(state: &GroupState, server: ServerId, identity: Member) -> bool {
    state.servers.get(&server).is_some_and(|server: &Server| {
        server.dispatcher == Some(identity) && server.status != ServerStatus::Retired
    })
}
