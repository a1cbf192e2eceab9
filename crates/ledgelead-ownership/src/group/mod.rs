//! A replica of one group on one node.

mod applying;
mod leading;
mod requesting;
mod unavailable;
mod viewing;

use crate::dispatcher::{Dispatcher, GrantContext};
use crate::io::{GroupInput, GroupOutput, GroupReplicaSettings};
use crate::leader::Leader;
use crate::message::{DispatcherReport, GroupMessage};
use crate::record_batch::RecordBatch;
use crate::requests::Requests;
use crate::session::GrantAuthority;
use crate::snapshots::SnapshotWriter;
use crate::state::GroupState;
use ledgelead_replication::{Replica, ReplicaSettings};
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::codec::DecodeError;
use ledgelead_types::configuration::{Configuration, Partitioning};
use ledgelead_types::dispatch::{DispatchedServer, LiveNode};
use ledgelead_types::event::Event;
use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::routes::GroupRoutes;
use ledgelead_types::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use unavailable::UnavailableSlices;

/// Maximum number of rounds of proposing and applying in one step.
const MAX_ROUNDS: usize = 16;
/// Minimum time between two wakeups.
const MIN_WAKEUP_DELAY: Span = Span::from_millis(1);

/// One replica of one group: the replicated log and state, the leader's duties while it is
/// the leader, and the dispatcher's.
pub struct GroupReplica {
    identity: Member,
    group: GroupId,
    protections: Protections,
    assigner: AssignerChoice,
    replica: Replica,
    state: GroupState,
    compacted: Revision,
    dispatcher: Dispatcher,
    leader: Option<Leader>,
    unavailable: UnavailableSlices,
    known_leader: Option<(Term, Member)>,
    requests: Requests,
    record_batch: RecordBatch,
    configuration: Option<Arc<Configuration>>,
    live: Vec<LiveNode>,
    snapshots: SnapshotWriter,
    routes: Option<GroupRoutes>,
    dispatched: BTreeMap<ServerId, DispatchedServer>,
    outputs: Vec<GroupOutput>,
    now: Time,
    next_reconcile: Time,
    /// Whether state that routes, dispatching or the leader's duties depend on has changed
    /// since it was last published.
    ownership_changed: bool,
    /// The same since the leader and the dispatcher last observed the state.
    duties_stale: bool,
}

impl GroupReplica {
    /// Creates a replica that starts at `now`. A replica that isn't among the record's
    /// members is a learner and waits until a leader contacts it.
    ///
    /// # Errors
    /// If the record's snapshot can't be decoded.
    pub fn new(settings: GroupReplicaSettings, now: Time) -> Result<GroupReplica, DecodeError> {
        let GroupReplicaSettings {
            identity,
            record,
            random_seed,
            protections,
            assigner,
        } = settings;
        let state = GroupState::start(record.epoch, &record.snapshot.0)?;
        let replica = Replica::new(
            ReplicaSettings {
                group: record.group,
                epoch: record.epoch,
                identity,
                voters: record.members.0,
                start_state: state.snapshot(),
                random_seed,
                protections,
            },
            now,
        );
        let lease_wait = protections.has(Protection::LeaseWait);
        let dispatcher = Dispatcher::new(record.group, identity, true, lease_wait, now);
        Ok(GroupReplica {
            identity,
            group: record.group,
            protections,
            assigner,
            replica,
            state,
            compacted: Revision(0),
            dispatcher,
            leader: None,
            unavailable: UnavailableSlices::new(now),
            known_leader: None,
            requests: Requests::default(),
            record_batch: RecordBatch::default(),
            configuration: None,
            live: Vec::new(),
            snapshots: SnapshotWriter::default(),
            routes: None,
            dispatched: BTreeMap::new(),
            outputs: Vec::new(),
            now,
            next_reconcile: now,
            ownership_changed: true,
            duties_stale: true,
        })
    }

    /// Handles an input that arrived at `now`.
    pub fn step(&mut self, now: Time, input: GroupInput) {
        self.now = now;
        match input {
            GroupInput::Message { from, message } => self.handle_message(now, from, message),
            GroupInput::ServerReplied {
                server,
                sequence,
                reply,
            } => self
                .dispatcher
                .replied(now, server, sequence, reply, &self.state),
            GroupInput::Configuration(configuration) => self.configure(now, configuration),
            GroupInput::LiveNodes(live) => {
                self.live = live;
                self.next_reconcile = now;
            }
            GroupInput::SliceLoads { server, loads } => self.dispatcher.slice_loads(server, loads),
            GroupInput::ServerEvidence { server, failures } => {
                self.dispatcher.evidence(now, server, failures);
            }
            GroupInput::Operate { .. }
            | GroupInput::BeginIdempotencyRecord { .. }
            | GroupInput::EndIdempotencyRecord { .. }
            | GroupInput::CancelIdempotencyRecord { .. } => self.start_request(now, input),
            GroupInput::SnapshotStored { revision } => self.snapshots.stored(revision),
            GroupInput::TransferLeadership => self.prepare_shutdown(now),
        }
        self.advance(now);
    }

    /// Performs what is due at `now`.
    pub fn tick(&mut self, now: Time) {
        self.now = now;
        self.replica.tick(now);
        self.advance(now);
    }

    /// When [`GroupReplica::tick`] has to be called next, unless there is an input before.
    pub fn next_wakeup(&self) -> Time {
        let authority = self.grant_authority(self.now);
        let mut next = self.replica.next_wakeup();
        next = next.min(self.dispatcher.next_wakeup(authority));
        if self.leader.is_some() {
            next = next.min(self.next_reconcile);
            next = next.min(self.snapshots.due_at().unwrap_or(next));
        }
        let reachable = self.replica.leader().is_some();
        next = next.min(self.requests.next_wakeup(reachable).unwrap_or(next));
        next = next.min(self.record_batch.due_at().unwrap_or(next));
        next.max(self.now + MIN_WAKEUP_DELAY)
    }

    /// Takes the actions to perform since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<GroupOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn handle_message(&mut self, now: Time, from: Member, message: GroupMessage) {
        match message {
            GroupMessage::Replication(message) => self.replica.step(now, from, message),
            GroupMessage::Report(report) => self.handle_report(now, from, report),
            GroupMessage::Requests(asked) => self.handle_requests(now, from, asked),
            GroupMessage::Answers(answered) => {
                for answered in answered {
                    self.handle_answer(now, answered.number, answered.answer);
                }
            }
        }
    }

    fn configure(&mut self, now: Time, configuration: Arc<Configuration>) {
        let service = configuration.service(self.group.service);
        if let Some(service) = service {
            let partitioned = service.partitioning != Partitioning::None;
            self.dispatcher.set_partitioned(partitioned, now);
        }
        self.configuration = Some(configuration);
        self.next_reconcile = now;
    }

    /// Applies, dispatches and proposes until there is no further progress.
    fn advance(&mut self, now: Time) {
        for _ in 0..MAX_ROUNDS {
            self.apply_ready(now);
            self.note_leader_change(now);
            self.dispatch(now);
            let proposed_duties = self.lead(now);
            let proposed_requests = self.forward_requests(now);
            let proposed_records = self.propose_records(now);
            if !proposed_duties && !proposed_requests && !proposed_records {
                break;
            }
        }
        self.expire_requests(now);
        self.publish(now);
    }

    /// Detects a change of the leader or its term.
    fn note_leader_change(&mut self, now: Time) {
        let term = self.replica.term();
        let present = self.replica.leader().map(|leader| (term, leader));
        if present == self.known_leader {
            return;
        }
        self.known_leader = present;
        if present.is_some() {
            self.requests.leader_changed(now);
        }
    }

    /// The authority to grant leases: authority of the current term, once this replica has
    /// applied the first command of that term's leader.
    fn grant_authority(&self, now: Time) -> Option<GrantAuthority> {
        let authority = self.replica.authority(now)?;
        let current = authority.term == self.state.term;
        current.then_some(GrantAuthority {
            token: FencingToken {
                epoch: self.state.epoch,
                term: authority.term,
                revision: self.state.applied,
            },
            until: authority.until,
        })
    }

    /// Renews leases and reports to the leader.
    fn dispatch(&mut self, now: Time) {
        let context = GrantContext {
            state: &self.state,
            authority: self.grant_authority(now),
        };
        let updates = self.dispatcher.update_sessions(now, &context);
        for server in updates.unresponsive {
            let group = self.group;
            self.event(Event::LeaseLapsed { group, server });
        }
        for due in updates.renewals {
            self.outputs.push(GroupOutput::Renew {
                server: due.server,
                address: due.address,
                sequence: due.sequence,
                renewal: due.renewal,
            });
        }
        let ready_leader = self.replica.leader().filter(|_| {
            // The leader ignores reports until this replica has applied the start of its
            // term.
            self.replica.term() == self.state.term
        });
        let Some(leader) = ready_leader else {
            return;
        };
        if let Some(report) = self.dispatcher.report(now, &self.state) {
            self.send_report(now, leader, report);
        }
    }

    fn send_report(&mut self, now: Time, leader: Member, report: DispatcherReport) {
        if leader == self.identity {
            self.handle_report(now, leader, report);
            return;
        }
        self.outputs.push(GroupOutput::Send {
            to: leader,
            message: GroupMessage::Report(report),
        });
    }
}
