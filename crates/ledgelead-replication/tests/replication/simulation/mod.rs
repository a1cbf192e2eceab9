//! A group of replicas in virtual time: processes with clocks of different rates, connected
//! by a network that loses, delays, duplicates and reorders messages.

mod checker;
mod faults;

use checker::Checker;
pub use faults::Faults;
use ledgelead_replication::*;
use ledgelead_types::codec::encode;
use ledgelead_types::protections::Protections;
use ledgelead_types::{Epoch, GroupId, Incarnation, Member, NodeId, Revision, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum deviation of a clock's rate from real time, in parts per million: half of the
/// assumed drift between two clocks, less a margin for the second-order term.
const RATE_PPM: i64 = 4_900;
/// Log length above which a process compacts its log.
const COMPACT_AT: usize = 40;
/// Interval in microseconds between checks for restarted replicas to replace.
const REPLACEMENT_INTERVAL: u64 = 10_000;

/// A node's process.
pub struct Process {
    pub replica: Replica,
    pub member: Member,
    rate_ppm: i64,
    offset: u64,
    /// No input is handled before this real time.
    pub paused_until: u64,
    digest: u64,
    applied: Revision,
    pub membership: Membership,
}

impl Process {
    /// The reading of the process's clock at a real time.
    fn clock(&self, at: u64) -> Time {
        let drift = at as i128 * i128::from(self.rate_ppm) / 1_000_000;
        Time((i128::from(self.offset) + i128::from(at) + drift) as u64)
    }

    /// The real time at which the process's clock reads `time`.
    fn true_time(&self, time: Time) -> u64 {
        let local = time.0.saturating_sub(self.offset);
        (u128::from(local) * 1_000_000 / (1_000_000 + self.rate_ppm) as u128) as u64
    }
}

/// The group, its network and the checker.
pub struct Simulation {
    /// Real time in microseconds.
    pub now: u64,
    pub processes: BTreeMap<NodeId, Process>,
    pub random: Pcg64Mcg,
    pub faults: Faults,
    pub checker: Checker,
    pub proposals: u64,
    /// Whether restarted replicas are replaced in the membership.
    pub replaces_restarted: bool,
    /// Interval between proposals in real time; `None` for no load.
    pub load_interval: Option<u64>,
    protections: Protections,
    in_flight: BTreeMap<(u64, u64), (Member, Member, ReplicationMessage)>,
    sent: u64,
    /// Encoded bytes that each node has sent and received.
    pub bytes: BTreeMap<NodeId, usize>,
    next_replacement: u64,
    next_load: u64,
    first_voters: Vec<Member>,
}

impl Simulation {
    pub fn new(replicas: u32, seed: u64, protections: Protections) -> Simulation {
        let first_voters: Vec<Member> = (1..=replicas).map(|node| member(node, 1)).collect();
        let mut simulation = Simulation {
            now: 0,
            processes: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            faults: Faults::default(),
            checker: Checker::default(),
            proposals: 0,
            replaces_restarted: true,
            load_interval: None,
            protections,
            in_flight: BTreeMap::new(),
            sent: 0,
            bytes: BTreeMap::new(),
            next_replacement: 0,
            next_load: 0,
            first_voters: first_voters.clone(),
        };
        for voter in first_voters {
            simulation.start(voter);
        }
        simulation
    }

    /// Starts a process; it replaces the node's previous one.
    pub fn start(&mut self, identity: Member) {
        let rate_ppm = self.random.random_range(-RATE_PPM..=RATE_PPM);
        let offset = self.random.random_range(0..1_000_000_000_u64);
        let settings = ReplicaSettings {
            group: GroupId::default(),
            epoch: Epoch(1),
            identity,
            voters: self.first_voters.clone(),
            start_state: 0_u64.to_le_bytes().to_vec(),
            random_seed: self.random.random(),
            protections: self.protections,
        };
        let drift = self.now as i128 * i128::from(rate_ppm) / 1_000_000;
        let clock = (i128::from(offset) + i128::from(self.now) + drift) as u64;
        let process = Process {
            replica: Replica::new(settings, Time(clock)),
            member: identity,
            rate_ppm,
            offset,
            paused_until: 0,
            digest: 0,
            applied: Revision(0),
            membership: Membership::of_voters(self.first_voters.clone()),
        };
        self.processes.insert(identity.node, process);
    }

    /// Ends a node's process and starts its next incarnation.
    pub fn restart(&mut self, node: NodeId) {
        let incarnation = self.processes[&node].member.incarnation.0 + 1;
        self.start(member(node.0, incarnation));
    }

    /// Runs until a real time.
    pub fn run_until(&mut self, end: u64) {
        while let Some(at) = self.next_event().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.deliver();
            self.tick_processes();
            self.propose_and_replace();
        }
        self.now = end;
    }

    pub fn run_for(&mut self, span: u64) {
        self.run_until(self.now + span);
    }

    /// Runs in small steps while `wait` holds, for at most `span`. Returns how long it
    /// held, or `None` if it still holds.
    pub fn run_while(&mut self, span: u64, wait: impl Fn(&Simulation) -> bool) -> Option<u64> {
        let start = self.now;
        while wait(self) {
            if self.now - start >= span {
                return None;
            }
            self.run_for(500);
        }
        Some(self.now - start)
    }

    /// The running node that is the ready leader of the highest term.
    pub fn leader(&self) -> Option<NodeId> {
        let ready = self.processes.iter().filter(|(_, process)| {
            process.paused_until <= self.now && process.replica.leader_is_ready()
        });
        let leader = ready.max_by_key(|(_, process)| process.replica.term());
        leader.map(|(node, _)| *node)
    }

    /// Whether the committed voters are exactly the running processes.
    pub fn voters_are_running(&self) -> bool {
        let latest = self.processes.values().max_by_key(|known| known.applied);
        let running: BTreeSet<Member> = self.processes.values().map(|known| known.member).collect();
        latest.is_some_and(|known| {
            known
                .membership
                .voters
                .iter()
                .copied()
                .collect::<BTreeSet<_>>()
                == running
        })
    }

    /// Whether every process has applied every committed entry.
    pub fn all_caught_up(&self) -> bool {
        let last = self.checker.last_revision();
        self.processes
            .values()
            .all(|process| process.applied == last)
    }

    /// Passes an input to a node's replica and performs the resulting actions.
    pub fn with_replica<T>(
        &mut self,
        node: NodeId,
        input: impl FnOnce(&mut Replica, Time) -> T,
    ) -> T {
        let now = self.now;
        let process = self.processes.get_mut(&node).expect("the node runs");
        let clock = process.clock(now);
        let result = input(&mut process.replica, clock);
        let ready = process.replica.take_ready();
        if let Some(installed) = ready.install {
            let state = installed.state.try_into().expect("a digest");
            process.digest = u64::from_le_bytes(state);
            process.applied = installed.revision;
            process.membership = installed.membership;
            self.checker
                .record_applied(installed.revision, process.digest);
        }
        for entry in ready.committed {
            process.digest = checker::digest(process.digest, &entry);
            process.applied = entry.revision;
            self.checker.record_applied(entry.revision, process.digest);
            if let CommittedPayload::Membership(membership) = entry.payload {
                process.membership = membership;
            }
        }
        if process.replica.log_len() > COMPACT_AT {
            let state = process.digest.to_le_bytes().to_vec();
            process.replica.compact(process.applied, state);
        }
        self.checker.observe(process, clock);
        let from = process.member;
        self.check_acknowledged(node);
        for (to, message) in ready.messages {
            self.transmit(from, to, message);
        }
        result
    }

    /// Checks that each member still holds what the leader counts as replicated to it.
    fn check_acknowledged(&mut self, leader: NodeId) {
        let leader = &self.processes[&leader].replica;
        let mut followers = self.processes.values().filter(|one| {
            let same_term = one.replica.term() == leader.term();
            let counted = leader.match_revision(one.member);
            same_term && counted > Some(one.replica.last_revision())
        });
        if let Some(follower) = followers.next() {
            let text = format!("{} dropped what it acknowledged", follower.member);
            self.checker.report(text);
        }
    }

    fn transmit(&mut self, from: Member, to: Member, message: ReplicationMessage) {
        for node in [from.node, to.node] {
            *self.bytes.entry(node).or_default() += encode(&message).len();
        }
        if self.faults.is_partitioned(from.node, to.node) {
            return;
        }
        for delay in self.faults.deliveries(&mut self.random) {
            self.sent += 1;
            let key = (self.now + delay, self.sent);
            self.in_flight.insert(key, (from, to, message.clone()));
        }
    }

    fn next_event(&self) -> Option<u64> {
        let arrival = self.in_flight.keys().next().map(|(at, _)| *at);
        let wakeups = self.processes.values().filter_map(|process| {
            let wakeup = process.replica.next_wakeup();
            // One microsecond more than the rounded real time, so that the process's clock
            // has reached the wakeup.
            let at = (wakeup < Time(u64::MAX)).then(|| process.true_time(wakeup) + 1)?;
            Some(at.max(process.paused_until))
        });
        let load = self.load_interval.map(|_| self.next_load);
        let propose_and_replace = self.replaces_restarted.then_some(self.next_replacement);
        wakeups
            .chain(arrival)
            .chain(load)
            .chain(propose_and_replace)
            .min()
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry()
            && entry.key().0 <= self.now
        {
            let (from, to, message) = entry.remove();
            let process = &self.processes[&to.node];
            if process.paused_until > self.now {
                // The message waits in the paused process's socket buffer.
                let key = (process.paused_until, self.sent);
                self.sent += 1;
                self.in_flight.insert(key, (from, to, message));
                continue;
            }
            self.with_replica(to.node, |replica, now| replica.step(now, from, message));
        }
    }

    fn tick_processes(&mut self) {
        let nodes: Vec<NodeId> = self.processes.keys().copied().collect();
        for node in nodes {
            let process = &self.processes[&node];
            let due = process.replica.next_wakeup() <= process.clock(self.now);
            if due && process.paused_until <= self.now {
                self.with_replica(node, |replica, now| replica.tick(now));
            }
        }
    }

    fn propose_and_replace(&mut self) {
        if let Some(interval) = self.load_interval
            && self.next_load <= self.now
        {
            self.next_load = self.now + interval;
            self.propose();
        }
        if self.replaces_restarted && self.next_replacement <= self.now {
            self.next_replacement = self.now + REPLACEMENT_INTERVAL;
            self.replace_restarted();
        }
    }

    /// Proposes at every process that believes it is the leader.
    pub fn propose(&mut self) {
        let nodes: Vec<NodeId> = self.processes.keys().copied().collect();
        for node in nodes {
            let process = &self.processes[&node];
            if process.paused_until <= self.now && process.replica.role() == Role::Leader {
                self.proposals += 1;
                let command = self.proposals.to_le_bytes().to_vec();
                let _refused =
                    self.with_replica(node, |replica, now| replica.propose(now, command));
            }
        }
    }

    /// Performs one membership change toward a membership of exactly the running processes.
    fn replace_restarted(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let replica = &self.processes[&leader].replica;
        let known = |member: &Member| {
            replica.voters().contains(member) || replica.learners().contains(member)
        };
        let running: Vec<Member> = self.processes.values().map(|one| one.member).collect();
        let gone = |member: &&Member| !running.contains(member);
        let change = if let Some(new) = running.iter().find(|member| !known(member)) {
            MembershipChange::AddLearner(*new)
        } else if let Some(stale) = replica.learners().iter().find(gone) {
            MembershipChange::Remove(*stale)
        } else if let Some(learner) = replica.learners().first() {
            MembershipChange::Promote(*learner)
        } else if let Some(old) = replica.voters().iter().find(gone) {
            MembershipChange::Remove(*old)
        } else {
            return;
        };
        let _refused = self.with_replica(leader, |replica, now| {
            replica.change_membership(now, change)
        });
    }
}

pub fn member(node: u32, incarnation: u64) -> Member {
    Member {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
    }
}
