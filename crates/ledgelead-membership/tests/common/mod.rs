//! Nodes with membership and dissemination only, connected by a simulated network in virtual
//! time. Shared by the tests and the cost example.
#![allow(dead_code)]

use ledgelead_membership::*;
use ledgelead_types::codec::encode;
use ledgelead_types::protections::Protections;
use ledgelead_types::{Incarnation, Member, NodeId, Span, Text, Time, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A membership or dissemination message.
#[derive(Clone, Debug)]
pub enum Message {
    Membership(MembershipMessage),
    Dissemination(DisseminationMessage),
}

enum NetworkEvent {
    Wake,
    Arrival { from: usize, message: Message },
}

/// One simulated node.
pub struct Node {
    pub membership: Membership,
    pub dissemination: Dissemination,
    pub updated: BTreeMap<ItemKey, Vec<(Time, ItemVersion)>>,
    pub membership_bytes: u64,
    pub dissemination_bytes: u64,
    pub is_running: bool,
    woken_at: Time,
}

/// All nodes and the network between them.
pub struct Network {
    pub nodes: Vec<Node>,
    pub now: Time,
    pub loss: f64,
    pub latency: Span,
    /// Partition of each node; nodes in different partitions can't communicate.
    pub partitions: Vec<u8>,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: BTreeMap<u64, NetworkEvent>,
    sequence: u64,
    random: Pcg64Mcg,
}

pub fn node_id(index: usize) -> NodeId {
    NodeId(index as u32 + 1)
}

impl Network {
    /// `count` nodes in three zones; the first three are seeds of all nodes.
    pub fn new(count: usize, seed: u64) -> Network {
        let mut network = Network {
            nodes: Vec::new(),
            now: Time(1),
            loss: 0.0,
            latency: Span::from_millis(2),
            partitions: vec![0; count],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for index in 0..count {
            let node = network.new_node(index);
            network.nodes.push(node);
            network.schedule_wake(index);
        }
        network
    }

    fn new_node(&mut self, index: usize) -> Node {
        let seed_of = |seed: usize| SeedAddress {
            node: node_id(seed),
            address: address(seed),
        };
        let settings = MembershipSettings {
            identity: Member {
                node: node_id(index),
                incarnation: Incarnation(self.random.random()),
            },
            zone: ZoneId(index as u16 % 3),
            address: address(index),
            seeds: (0..3).map(seed_of).collect(),
            random_seed: self.random.random(),
        };
        let of_items = DisseminationSettings {
            node: node_id(index),
            random_seed: self.random.random(),
            protections: Protections::default(),
        };
        Node {
            membership: Membership::new(settings, self.now),
            dissemination: Dissemination::new(of_items, self.now),
            updated: BTreeMap::new(),
            membership_bytes: 0,
            dissemination_bytes: 0,
            is_running: true,
            woken_at: Time(u64::MAX),
        }
    }

    pub fn member(&self, index: usize) -> Member {
        let live = self.nodes[index].membership.live_nodes();
        let own = live.iter().find(|node| node.member.node == node_id(index));
        own.expect("a node considers itself live").member
    }

    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.new_node(index);
        self.schedule_wake(index);
    }

    /// Pauses or resumes a process; messages that arrive during the pause are lost.
    pub fn set_running(&mut self, index: usize, is_running: bool) {
        self.nodes[index].is_running = is_running;
        self.nodes[index].woken_at = Time(u64::MAX);
        self.schedule_wake(index);
    }

    pub fn membership_input(&mut self, index: usize, input: MembershipInput) {
        self.nodes[index].membership.step(self.now, input);
        self.forward_outputs(index);
    }

    pub fn dissemination_input(&mut self, index: usize, input: DisseminationInput) {
        self.nodes[index].dissemination.step(self.now, input);
        self.forward_outputs(index);
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((time, sequence, index))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            let event = self.events.remove(&sequence);
            self.take(index, event.expect("every entry has its event"));
        }
        self.now = end;
    }

    fn take(&mut self, index: usize, event: NetworkEvent) {
        let node = &mut self.nodes[index];
        if !node.is_running {
            return;
        }
        match event {
            NetworkEvent::Wake => {
                if node.woken_at > self.now {
                    return;
                }
                node.woken_at = Time(u64::MAX);
                node.membership.tick(self.now);
                node.dissemination.tick(self.now);
            }
            NetworkEvent::Arrival { from, message } => {
                if self.partitions[from] != self.partitions[index] {
                    return;
                }
                let from = node_id(from);
                match message {
                    Message::Membership(message) => node
                        .membership
                        .step(self.now, MembershipInput::Message { from, message }),
                    Message::Dissemination(message) => node
                        .dissemination
                        .step(self.now, DisseminationInput::Message { from, message }),
                }
            }
        }
        self.forward_outputs(index);
    }

    fn forward_outputs(&mut self, index: usize) {
        let outputs = self.nodes[index].membership.take_outputs();
        let is_changed = outputs.contains(&MembershipOutput::Changed);
        for output in outputs {
            if let MembershipOutput::Send { to, message } = output {
                self.nodes[index].membership_bytes += encode(&message).len() as u64;
                self.send(index, to, Message::Membership(message));
            }
        }
        if is_changed {
            let live = self.nodes[index].membership.live_nodes();
            let peers = live.iter().map(|node| node.member.node);
            let peers = peers.filter(|node| *node != node_id(index)).collect();
            let input = DisseminationInput::Peers(peers);
            self.nodes[index].dissemination.step(self.now, input);
        }
        for output in self.nodes[index].dissemination.take_outputs() {
            match output {
                DisseminationOutput::Send { to, message } => {
                    self.nodes[index].dissemination_bytes += encode(&message).len() as u64;
                    self.send(index, to, Message::Dissemination(message));
                }
                DisseminationOutput::Updated { key, version, .. } => {
                    let seen = self.nodes[index].updated.entry(key).or_default();
                    seen.push((self.now, version));
                }
            }
        }
        self.schedule_wake(index);
    }

    fn send(&mut self, from: usize, to: NodeId, message: Message) {
        if self.random.random_bool(self.loss) {
            return;
        }
        let jitter = Span(self.random.random_range(0..=self.latency.as_micros() / 10));
        let due = self.now + self.latency + jitter;
        let event = NetworkEvent::Arrival { from, message };
        self.schedule(due, to.0 as usize - 1, event);
    }

    fn schedule_wake(&mut self, index: usize) {
        let node = &self.nodes[index];
        let due = node
            .membership
            .next_wakeup()
            .min(node.dissemination.next_wakeup())
            .max(self.now);
        if due < node.woken_at {
            self.nodes[index].woken_at = due;
            self.schedule(due, index, NetworkEvent::Wake);
        }
    }

    fn schedule(&mut self, due: Time, index: usize, event: NetworkEvent) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((due, self.sequence, index)));
    }

    /// Number of running nodes whose live set differs from the set of running nodes.
    pub fn disagreements(&self) -> usize {
        let running: Vec<Member> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].is_running)
            .map(|index| self.member(index))
            .collect();
        let differs = |node: &&Node| {
            let live = node.membership.live_nodes();
            let live: Vec<Member> = live.iter().map(|node| node.member).collect();
            node.is_running && live != running
        };
        self.nodes.iter().filter(differs).count()
    }
}

fn address(index: usize) -> Text {
    Text(format!("10.0.{}.{}:7001", index / 250, index % 250))
}
