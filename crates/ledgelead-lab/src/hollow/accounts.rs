//! Traffic and processor time of each node in a phase.

use ledgelead_core::message::MessageKind;
use ledgelead_types::NodeId;
use std::collections::BTreeSet;

/// Purpose of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Traffic {
    /// Messages between nodes.
    Peer(MessageKind),
    /// Lease renewals of servers.
    Lease,
    /// Calls to the platform.
    Platform,
}

impl Traffic {
    /// All purposes.
    pub const ALL: [Traffic; 7] = [
        Traffic::Peer(MessageKind::Membership),
        Traffic::Peer(MessageKind::Dissemination),
        Traffic::Peer(MessageKind::Group),
        Traffic::Peer(MessageKind::Administration),
        Traffic::Peer(MessageKind::Dispatch),
        Traffic::Lease,
        Traffic::Platform,
    ];

    /// Stable name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Traffic::Peer(kind) => kind.name(),
            Traffic::Lease => "lease",
            Traffic::Platform => "platform",
        }
    }

    /// Whether it counts as control traffic rather than request traffic.
    pub fn is_control(self) -> bool {
        match self {
            Traffic::Peer(kind) => kind.is_control(),
            Traffic::Lease | Traffic::Platform => true,
        }
    }

    fn index(self) -> usize {
        let place = Traffic::ALL.iter().position(|traffic| *traffic == self);
        place.expect("every purpose is listed")
    }
}

/// Bytes and messages with the same purpose, by direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// Bytes sent.
    pub bytes_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Messages received.
    pub messages_in: u64,
}

impl Flow {
    /// Bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_out + self.bytes_in
    }
}

/// Direction of traffic from the point of view of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Sent.
    Out,
    /// Received.
    In,
}

/// Traffic and processor time of a node since the last reset.
#[derive(Clone, Debug, Default)]
pub struct NodeAccount {
    flows: [Flow; Traffic::ALL.len()],
    /// Time spent in the state machine, in nanoseconds.
    pub decision_nanos: u64,
    /// Time spent on encoding, decoding and authentication, in nanoseconds.
    pub codec_nanos: u64,
    /// Control bytes in the current virtual second.
    pub second_bytes: u64,
    /// Maximum control bytes in a virtual second.
    pub busiest_second_bytes: u64,
    /// Nodes with which the node exchanged frames.
    pub partners: BTreeSet<NodeId>,
}

impl NodeAccount {
    /// Counts one message.
    pub fn count(&mut self, traffic: Traffic, direction: Direction, bytes: usize) {
        let bytes = bytes as u64;
        let flow = &mut self.flows[traffic.index()];
        match direction {
            Direction::Out => {
                flow.bytes_out += bytes;
                flow.messages_out += 1;
            }
            Direction::In => {
                flow.bytes_in += bytes;
                flow.messages_in += 1;
            }
        }
        if traffic.is_control() {
            self.second_bytes += bytes;
        }
    }

    /// Ends a virtual second.
    pub fn end_second(&mut self) {
        self.busiest_second_bytes = self.busiest_second_bytes.max(self.second_bytes);
        self.second_bytes = 0;
    }

    /// Traffic with one purpose.
    pub fn flow(&self, traffic: Traffic) -> Flow {
        self.flows[traffic.index()]
    }

    /// Control bytes in both directions.
    pub fn control_bytes(&self) -> u64 {
        let control = Traffic::ALL.into_iter().filter(|kind| kind.is_control());
        control.map(|kind| self.flow(kind).bytes()).sum()
    }

    /// Control bytes in one direction.
    pub fn control_bytes_of(&self, direction: Direction) -> u64 {
        let control = Traffic::ALL.into_iter().filter(|kind| kind.is_control());
        control
            .map(|kind| match direction {
                Direction::Out => self.flow(kind).bytes_out,
                Direction::In => self.flow(kind).bytes_in,
            })
            .sum()
    }

    /// Frames exchanged with other nodes.
    pub fn frames(&self) -> u64 {
        let peers = Traffic::ALL
            .into_iter()
            .filter(|kind| matches!(kind, Traffic::Peer(_)));
        peers
            .map(|kind| self.flow(kind).messages_out + self.flow(kind).messages_in)
            .sum()
    }
}
