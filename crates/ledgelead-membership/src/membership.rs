//! State machine of the membership of one node, after SWIM (Das, Gupta, Motivala: "SWIM:
//! Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002),
//! with two differences described in `docs/design/membership.md`: no node tells another that
//! a third one is dead, and a new incarnation of a process replaces the previous one by
//! raising its version.

mod contacts;
mod probing;
mod receiving;
mod sending;

use crate::death_proofs::DeathProofs;
use crate::gossip_queue::GossipQueue;
use crate::members::{Members, Merge};
use crate::message::{NodeRecord, NodeStatus, StatusVersion};
use crate::probes::{Probe, ProbeOrder, SentPings};
use crate::settings::{MembershipInput, MembershipOutput, MembershipSettings};
use contacts::Contacts;
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::event::Event;
use ledgelead_types::platform::{MachineEntry, MachineState};
use ledgelead_types::view::NodeStatusView;
use ledgelead_types::{ConfigurationVersion, Incarnation, Member, NodeId, Span, Text, Time};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Interval in which one node is probed (SWIM's protocol period).
pub(crate) const PERIOD: Span = Span::from_millis(500);
/// Minimum duration of a suspicion, in periods.
const SUSPICION_PERIODS: f64 = 3.0;
/// Additional periods for each factor of ten in cluster size, because the refutation needs
/// time to spread.
const SUSPICION_PERIODS_PER_DECADE: f64 = 2.0;
/// Factor for the duration of a suspicion when the platform also reports that the machine is
/// leaving.
const SUSPICION_WITH_HINT: f64 = 0.5;
/// If the process was not run for longer than this, it was paused; messages missed in the
/// meantime are no evidence against other nodes.
const PAUSE_THRESHOLD: Span = Span::from_seconds(1);
/// Minimum time between two comparisons of the whole state.
pub(crate) const COMPARISON_INTERVAL: Span = Span::from_seconds(5);
/// Number of nodes notified directly by a leaving node; gossip reaches the others.
const LEAVE_FANOUT: usize = 8;

/// Why another node's whole state was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StateUse {
    /// This node was partitioned or has just started: nodes that are live for the other node
    /// are live.
    Heal,
    /// The live sets of both nodes differ although there is nothing left to gossip: learn of
    /// nodes that gossip missed.
    Compare,
}

/// One node's view of the live nodes.
pub struct Membership {
    own: NodeRecord,
    members: Members,
    gossip: GossipQueue,
    proofs: DeathProofs,
    sent: SentPings,
    order: ProbeOrder,
    probe: Option<Probe>,
    contacts: Contacts,
    announced_addresses: BTreeMap<NodeId, Text>,
    requested_states: BTreeMap<NodeId, StateUse>,
    contradicted: BTreeSet<NodeId>,
    leaving_machines: BTreeSet<NodeId>,
    version_cursor: Option<NodeId>,
    next_period: Time,
    next_state_request: Time,
    next_comparison: Time,
    proof_probes_due: bool,
    last_call: Time,
    random: Pcg64Mcg,
    outputs: Vec<MembershipOutput>,
}

impl Membership {
    /// A node that knows no other nodes. It contacts its seeds at the first tick.
    pub fn new(settings: MembershipSettings, now: Time) -> Membership {
        let mut random = Pcg64Mcg::seed_from_u64(settings.random_seed);
        let first_nonce = random.next_u64();
        let node = settings.identity.node;
        Membership {
            own: NodeRecord {
                member: settings.identity,
                version: StatusVersion(0),
                status: NodeStatus::Alive,
                zone: settings.zone,
                address: settings.address,
                configuration: ConfigurationVersion(0),
            },
            members: Members::default(),
            gossip: GossipQueue::default(),
            proofs: DeathProofs::default(),
            sent: SentPings::starting_at(first_nonce),
            order: ProbeOrder::default(),
            probe: None,
            contacts: Contacts::new(node, settings.seeds),
            announced_addresses: BTreeMap::new(),
            requested_states: BTreeMap::new(),
            contradicted: BTreeSet::new(),
            leaving_machines: BTreeSet::new(),
            version_cursor: None,
            next_period: now,
            next_state_request: now,
            next_comparison: now + COMPARISON_INTERVAL,
            proof_probes_due: false,
            last_call: now,
            random,
            outputs: Vec::new(),
        }
    }

    /// Handles an input at `now`.
    pub fn step(&mut self, now: Time, input: MembershipInput) {
        self.detect_pause(now);
        match input {
            MembershipInput::Message { from, message } => self.receive(now, from, message),
            MembershipInput::MachineList(machines) => self.apply_machine_list(now, machines),
            MembershipInput::ConfigurationVersion(version) => self.own.configuration = version,
            MembershipInput::Leave => self.leave(),
        }
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Time) {
        self.detect_pause(now);
        self.expire_suspicions(now);
        self.probe_indirectly(now);
        if self.proof_probes_due {
            self.probe_unproven(now);
        }
        if now >= self.next_period {
            self.begin_period(now);
        }
    }

    /// When [`Membership::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        let indirect = self.probe.and_then(|probe| probe.indirect_at);
        let proof_probes = self.proof_probes_due.then_some(self.last_call);
        let soonest = self.next_period.min(self.members.next_expiry());
        [indirect, proof_probes]
            .into_iter()
            .flatten()
            .fold(soonest, Time::min)
    }

    /// Takes the outputs produced since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<MembershipOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Live nodes including this one, ordered by identifier.
    pub fn live_nodes(&self) -> Vec<LiveNode> {
        let own = (self.own.status == NodeStatus::Alive).then_some(&self.own);
        let others = self.members.iter().filter(|(_, entry)| entry.is_live());
        let mut nodes: Vec<LiveNode> = others
            .map(|(_, entry)| &entry.record)
            .chain(own)
            .map(|record| LiveNode {
                member: record.member,
                zone: record.zone,
            })
            .collect();
        nodes.sort_by_key(|node| node.member);
        nodes
    }

    /// All known nodes including this one.
    pub fn nodes(&self) -> Vec<NodeStatusView> {
        let own = (&self.own, self.own.status == NodeStatus::Alive);
        let others = self.members.iter();
        let mut nodes: Vec<NodeStatusView> = others
            .map(|(_, entry)| (&entry.record, entry.is_live()))
            .chain([own])
            .map(|(record, live)| status_view(record, live))
            .collect();
        nodes.sort_by_key(|node| node.node);
        nodes
    }

    /// The last known incarnation of a node's process.
    pub fn incarnation_of(&self, node: NodeId) -> Option<Incarnation> {
        if node == self.own.member.node {
            return Some(self.own.member.incarnation);
        }
        let entry = self.members.get(node)?;
        Some(entry.record.member.incarnation)
    }

    /// Whether this incarnation of a node's process has certainly ended: a later incarnation
    /// answered this node directly, or the platform lists the machine as gone. A query about
    /// an incarnation that is reported as replaced makes this node ping the successor;
    /// [`MembershipOutput::Changed`] is sent when the end is proven.
    pub fn is_proven_dead(&mut self, member: Member) -> bool {
        if member.node == self.own.member.node {
            return member.incarnation != self.own.member.incarnation;
        }
        if self.proofs.has_ended(member) {
            return true;
        }
        self.proofs.note(self.last_call, member);
        let held = self.members.get(member.node);
        if held.is_some_and(|entry| entry.is_live() && entry.record.member != member) {
            self.proofs.request_proof(member.node);
            self.proof_probes_due = true;
        }
        false
    }

    /// After a pause all suspicions are extended by its length, since answers that arrived
    /// in the meantime have not been read yet.
    fn detect_pause(&mut self, now: Time) {
        let gap = now.since(self.last_call);
        self.last_call = self.last_call.max(now);
        if gap > PAUSE_THRESHOLD {
            self.members.postpone_suspicions(gap);
            self.probe = None;
        }
    }

    /// Hash over the live nodes and their incarnations, independent of their order.
    fn live_hash(&self) -> u64 {
        let own = (self.own.status == NodeStatus::Alive).then_some(self.own.member);
        let others = self.members.iter().filter(|(_, entry)| entry.is_live());
        others
            .map(|(_, entry)| entry.record.member)
            .chain(own)
            .fold(0, |hash, member| hash ^ hash_of(member))
    }

    fn cluster_size(&self) -> usize {
        self.members.live().count() + 1
    }

    fn suspicion(&self) -> Span {
        let decades = (self.cluster_size() as f64).log10();
        PERIOD.times(SUSPICION_PERIODS + SUSPICION_PERIODS_PER_DECADE * decades)
    }

    fn expire_suspicions(&mut self, now: Time) {
        let died = self.members.expire(now);
        for node in died {
            self.gossip.remove(node);
            self.report(node, false);
        }
    }

    fn report(&mut self, node: NodeId, live: bool) {
        self.outputs
            .push(MembershipOutput::Event(Event::NodeStatusChanged {
                node,
                live,
            }));
        self.outputs.push(MembershipOutput::Changed);
    }

    /// Applies a received record of any node.
    fn apply_record(&mut self, now: Time, record: &NodeRecord) {
        if record.member.node == self.own.member.node {
            self.refute(record);
            return;
        }
        self.proofs.note(now, record.member);
        let node = record.member.node;
        let was_live = self.is_live(node);
        let until = now + self.suspicion();
        let size = self.cluster_size();
        match self.members.merge(now, record, until) {
            Merge::Older => {}
            Merge::Same => self.gossip.count(node),
            Merge::Newer { visible } => {
                self.gossip.push(node, size);
                self.report_change(node, was_live, visible);
            }
        }
    }

    fn report_change(&mut self, node: NodeId, was_live: bool, visible: bool) {
        let is_live = self.is_live(node);
        if was_live != is_live {
            self.report(node, is_live);
        } else if visible {
            self.outputs.push(MembershipOutput::Changed);
        }
    }

    /// Raises this node's version above the claimed one, unless the claim is that this
    /// incarnation has its actual status.
    fn refute(&mut self, claimed: &NodeRecord) {
        let is_accurate = claimed.member == self.own.member && claimed.status == self.own.status;
        if is_accurate || claimed.version < self.own.version {
            return;
        }
        if claimed.version <= StatusVersion::MAX_ACCEPTED {
            self.own.version = claimed.version.next();
        }
    }

    fn is_live(&self, node: NodeId) -> bool {
        self.members.get(node).is_some_and(|entry| entry.is_live())
    }

    fn apply_machine_list(&mut self, now: Time, machines: Vec<MachineEntry>) {
        self.leaving_machines = machines
            .iter()
            .filter(|machine| machine.state != MachineState::Live)
            .map(|machine| machine.node)
            .collect();
        let soon = now + self.suspicion().times(SUSPICION_WITH_HINT);
        for machine in &machines {
            let is_live = self.is_live(machine.node);
            match machine.state {
                MachineState::Live => {}
                MachineState::Leaving => self.members.shorten_suspicion(machine.node, soon),
                MachineState::Gone if is_live => self.members.shorten_suspicion(machine.node, soon),
                MachineState::Gone => self.apply_machine_gone(now, machine.node),
            }
        }
        self.contacts.apply_machine_list(machines);
    }

    fn apply_machine_gone(&mut self, now: Time, node: NodeId) {
        let is_other = node != self.own.member.node;
        if is_other && self.proofs.machine_gone(now, node) {
            self.outputs.push(MembershipOutput::Changed);
        }
    }

    fn leave(&mut self) {
        if self.own.status == NodeStatus::Left {
            return;
        }
        self.own.status = NodeStatus::Left;
        self.own.version = self.own.version.next();
        self.probe = None;
        let live: Vec<NodeId> = self.members.live().collect();
        let notified: Vec<NodeId> = live
            .sample(&mut self.random, LEAVE_FANOUT)
            .copied()
            .collect();
        for node in notified {
            self.notify(node);
        }
        self.outputs.push(MembershipOutput::Changed);
    }
}

fn hash_of(member: Member) -> u64 {
    let mut bytes = [0_u8; 12];
    bytes[..4].copy_from_slice(&member.node.0.to_le_bytes());
    bytes[4..].copy_from_slice(&member.incarnation.0.to_le_bytes());
    xxh3_64(&bytes)
}

fn status_view(record: &NodeRecord, live: bool) -> NodeStatusView {
    NodeStatusView {
        node: record.member.node,
        incarnation: record.member.incarnation,
        zone: record.zone,
        address: record.address.0.clone(),
        live,
        configuration: record.configuration,
    }
}
