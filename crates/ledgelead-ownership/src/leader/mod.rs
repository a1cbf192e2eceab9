//! The leader's duties. They read the applied state and the dispatchers' reports, and
//! produce commands for the log. Nothing here is replicated: a new leader starts from the
//! state and receives the reports again.
//!
//! Only one batch of commands is in progress at a time. Each pass starts from the current
//! state, so an action that did not take effect is proposed again.

mod balance;
mod dispatchers;
mod leases;
mod members;
mod placement;
mod records;
mod recovery;
mod servers;

pub use members::MemberContact;

use crate::command::GroupCommand;
use crate::message::{DispatcherReport, ServerLoad};
use crate::session::SessionStatus;
use crate::state::GroupState;
use leases::LeaseBounds;
use ledgelead_balance::baseline::{Assigner, new_assigner};
use ledgelead_replication::MembershipChange;
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::configuration::{Configuration, Partitioning, ServiceConfiguration};
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::timing::{LEASE, lengthened_for_drift};
use ledgelead_types::*;
use records::RecordMaintenance;
use std::collections::{BTreeMap, BTreeSet};

/// Interval between passes while a duty waits for a lease to end.
const RECHECK_INTERVAL: Span = Span::from_millis(5);
/// Maximum time between passes, so that an unresponsive dispatcher is noticed.
const ROUTINE_INTERVAL: Span = Span::from_millis(20);
/// Time for which a new leader collects loads before it plans moves.
const FIRST_PLAN_DELAY: Span = Span::from_millis(1_500);

/// Input of one pass over the leader's duties.
pub struct LeaderContext<'a> {
    /// The current time.
    pub now: Time,
    /// This replica.
    pub identity: Member,
    /// The group.
    pub group: GroupId,
    /// Applied state.
    pub state: &'a GroupState,
    /// Active configuration of this node, if any.
    pub configuration: Option<&'a Configuration>,
    /// Live nodes, as known to the membership.
    pub live: &'a [LiveNode],
    /// Voters and learners with their latest contact.
    pub members: &'a [MemberContact],
}

impl LeaderContext<'_> {
    fn service(&self) -> Option<&ServiceConfiguration> {
        self.configuration?.service(self.group.service)
    }

    fn partitioned(&self) -> bool {
        self.service()
            .is_some_and(|service| service.partitioning != Partitioning::None)
    }

    /// The group's part of the position space.
    fn space(&self) -> Option<PositionRange> {
        let service = self.service()?;
        let parts = u64::from(service.groups.max(1));
        let part = u64::from(self.group.part);
        let divided = self.partitioned() && part < parts;
        divided.then(|| PositionRange::ALL.part(part, parts))
    }

    fn dispatchable_members(&self) -> impl Iterator<Item = &MemberContact> {
        self.members.iter().filter(|member| member.voter)
    }
}

/// Actions that result from one pass.
#[derive(Debug, Default, PartialEq)]
pub struct LeaderActions {
    /// Commands for one entry of the log.
    pub commands: Vec<GroupCommand>,
    /// A change of the replica set.
    pub membership: Option<MembershipChange>,
}

/// The latest report on a server from its current dispatcher.
#[derive(Clone, Debug)]
struct LatestReport {
    status: SessionStatus,
    load: ServerLoad,
}

/// The leader's volatile state in one term.
pub struct Leader {
    term: Term,
    since: Time,
    lease_wait: bool,
    leases: LeaseBounds,
    /// Replicas whose nodes are stopping.
    stopping: BTreeSet<Member>,
    latest_reports: BTreeMap<ServerId, LatestReport>,
    last_proposed: Revision,
    assigner: Box<dyn Assigner>,
    next_plan: Time,
    next_spread: Time,
    next_member_change: Time,
    records: RecordMaintenance,
    /// Until when the first placement waits.
    first_placement: Option<Time>,
    /// Whether a duty waits for a deadline in the near future.
    awaits_deadline: bool,
    /// The configuration that the registered servers are known to match; `None` after they
    /// changed.
    registered: Option<ConfigurationVersion>,
}

impl Leader {
    /// A leader elected at `now`. By `former_authority_ends` the authority of every earlier
    /// leader has ended.
    pub fn new(
        term: Term,
        now: Time,
        former_authority_ends: Time,
        lease_wait: bool,
        assigner: AssignerChoice,
    ) -> Leader {
        let former_ends = former_authority_ends.max(now) + lengthened_for_drift(LEASE);
        Leader {
            term,
            since: now,
            lease_wait,
            leases: LeaseBounds::new(former_ends),
            stopping: BTreeSet::new(),
            latest_reports: BTreeMap::new(),
            last_proposed: Revision(0),
            assigner: new_assigner(assigner),
            next_plan: now + FIRST_PLAN_DELAY,
            next_spread: now,
            next_member_change: now,
            records: RecordMaintenance::new(now),
            first_placement: None,
            awaits_deadline: false,
            registered: None,
        }
    }

    /// The term in which it is the leader.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether it has proposed anything.
    pub fn has_proposed(&self) -> bool {
        self.last_proposed > Revision(0)
    }

    /// Records that a batch of commands was proposed at this position.
    pub fn proposed(&mut self, revision: Revision) {
        self.last_proposed = revision;
    }

    /// Handles a dispatcher's report.
    pub fn handle_report(
        &mut self,
        now: Time,
        from: Member,
        report: DispatcherReport,
        state: &GroupState,
    ) {
        if report.term != self.term || state.term != self.term {
            return;
        }
        self.leases.note_applied(now, from, report.applied);
        if report.stopping {
            self.stopping.insert(from);
        }
        for entry in report.servers {
            let Some(server) = state.servers.get(&entry.server) else {
                continue;
            };
            if server.dispatcher != Some(from) {
                continue;
            }
            self.leases
                .record_status(now, from, entry.server, report.applied, &entry.status);
            let known = self.latest_reports.remove(&entry.server);
            let known_load = known.map(|latest| latest.load).unwrap_or_default();
            let latest = LatestReport {
                status: entry.status,
                load: entry.load.unwrap_or(known_load),
            };
            self.latest_reports.insert(entry.server, latest);
        }
    }

    /// Handles newly applied state.
    pub fn observe_state(&mut self, state: &GroupState) {
        if state.term != self.term {
            return;
        }
        self.registered = None;
        self.leases.observe_state(state);
        self.latest_reports
            .retain(|server, _| state.servers.contains_key(server));
    }

    /// Runs one pass over the duties and returns the resulting actions.
    pub fn reconcile(
        &mut self,
        context: &LeaderContext,
        delegated_authority_until: &dyn Fn(Member) -> Time,
    ) -> LeaderActions {
        self.awaits_deadline = false;
        if context.state.term != self.term || context.state.applied < self.last_proposed {
            return LeaderActions::default();
        }
        let mut commands = Vec::new();
        self.register_servers(context, &mut commands);
        self.place_dispatchers(context, &mut commands);
        if context.state.recovering {
            self.recover(context, &mut commands);
        } else {
            self.check_servers(context, delegated_authority_until, &mut commands);
            self.create_slices(context, &mut commands);
            self.place_free_slices(context, &mut commands);
            self.move_off_draining_servers(context, &mut commands);
            self.balance(context, &mut commands);
        }
        self.records.maintain(context, &mut commands);
        LeaderActions {
            commands,
            membership: self.repair_members(context),
        }
    }

    /// When the next pass is due, unless there is an input before.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let interval = if self.awaits_deadline {
            RECHECK_INTERVAL
        } else {
            ROUTINE_INTERVAL
        };
        now + interval
    }

    /// Requests per second of each slice, as last reported.
    pub fn slice_loads(&self, state: &GroupState) -> Vec<f64> {
        let loads = self.loads_by_range(state);
        let load = |slice: &crate::state::Slice| {
            let load = loads.get(&slice.range);
            load.map_or(0.0, |load| load.requests_per_second)
        };
        state.slices.iter().map(load).collect()
    }

    /// Whether slices may be assigned to a server.
    fn accepts(&self, state: &GroupState, id: ServerId) -> bool {
        let admitted = state
            .servers
            .get(&id)
            .is_some_and(crate::state::Server::accepts);
        let answering = self.latest_reports.get(&id).is_some_and(|latest| {
            let status = &latest.status;
            status.answering && status.lapsed_at.is_none() && !status.leaving
        });
        admitted && answering
    }
}
