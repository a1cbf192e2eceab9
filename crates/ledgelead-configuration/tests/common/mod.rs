//! An in-memory store with failures per call, and sample configurations.
#![allow(dead_code)]

use ledgelead_types::configuration::*;
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::platform::*;
use ledgelead_types::{
    Bytes, Incarnation, List, Member, NodeId, ServerId, ServiceId, Text, TierId, ZoneId,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Outcome of one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallOutcome {
    #[default]
    Answered,
    Unavailable,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call does not take effect, and the caller can't tell.
    RequestLost,
}

pub fn any_outcome() -> impl Strategy<Value = CallOutcome> {
    prop::sample::select(vec![
        CallOutcome::Answered,
        CallOutcome::Unavailable,
        CallOutcome::AnswerLost,
        CallOutcome::RequestLost,
    ])
}

#[derive(Debug, Default)]
pub struct Platform {
    pub objects: BTreeMap<Text, (ObjectVersion, Bytes)>,
}

impl Platform {
    pub fn answer(
        &mut self,
        call: &PlatformCall,
        outcome: CallOutcome,
    ) -> Result<PlatformReply, PlatformError> {
        let is_write = matches!(call, PlatformCall::CompareAndSwap { .. });
        match outcome {
            CallOutcome::Answered => Ok(self.perform(call)),
            CallOutcome::AnswerLost if is_write => {
                self.perform(call);
                Err(PlatformError::AnswerLost)
            }
            CallOutcome::RequestLost if is_write => Err(PlatformError::AnswerLost),
            _ => Err(PlatformError::Unavailable),
        }
    }

    fn perform(&mut self, call: &PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::Get { name } => self.read(name, ObjectVersion(0)),
            PlatformCall::Watch { name, after } => self.read(name, *after),
            PlatformCall::CompareAndSwap {
                name,
                expected,
                value,
            } => self.swap(name, *expected, value),
            PlatformCall::ListMachines => PlatformReply::Machines(List::default()),
        }
    }

    fn read(&self, name: &Text, after: ObjectVersion) -> PlatformReply {
        match self.objects.get(name) {
            None => PlatformReply::NotFound,
            Some((version, _)) if *version <= after => PlatformReply::Unchanged,
            Some((version, value)) => PlatformReply::Object {
                version: *version,
                value: value.clone(),
            },
        }
    }

    fn swap(&mut self, name: &Text, expected: ObjectVersion, value: &Bytes) -> PlatformReply {
        let existing = self.objects.get(name).map(|(version, _)| *version);
        let version = existing.unwrap_or_default();
        if version != expected {
            return PlatformReply::Conflict { version };
        }
        let version = ObjectVersion(version.0 + 1);
        self.objects.insert(name.clone(), (version, value.clone()));
        PlatformReply::Swapped { version }
    }
}

pub fn live(nodes: u32) -> Vec<LiveNode> {
    (1..=nodes).map(live_node).collect()
}

pub fn live_node(node: u32) -> LiveNode {
    LiveNode {
        member: Member {
            node: NodeId(node),
            incarnation: Incarnation(u64::from(node) * 100),
        },
        zone: ZoneId(node as u16 % 3 + 1),
    }
}

pub fn zone(id: u16) -> ZoneConfiguration {
    ZoneConfiguration {
        id: ZoneId(id),
        name: Text(format!("zone-{id}")),
        region: Text::default(),
    }
}

pub fn service(id: u32) -> ServiceConfiguration {
    ServiceConfiguration {
        id: ServiceId(id),
        name: Text(format!("service-{id}")),
        groups: 1,
        replicas: 3,
        slices_per_server: 8,
        default_deadline_ms: 1_000,
        ..ServiceConfiguration::default()
    }
}

pub fn server(id: u32, service: u32) -> ServerConfiguration {
    ServerConfiguration {
        id: ServerId(id),
        name: Text(format!("server-{id}")),
        service: ServiceId(service),
        zone: ZoneId(1),
        address: Text(format!("127.0.0.1:{}", 9_000 + id)),
        slots: 2,
        max_connections: 50,
    }
}

pub fn tier(id: u8) -> TierConfiguration {
    TierConfiguration {
        id: TierId(id),
        name: Text(format!("tier-{id}")),
        weight: 10,
        guaranteed_percent: 0,
    }
}

pub fn configuration() -> Configuration {
    Configuration {
        zones: vec![zone(1), zone(2), zone(3)].into(),
        services: vec![service(1)].into(),
        servers: vec![server(1, 1)].into(),
        tiers: vec![tier(1)].into(),
        highest_service: ServiceId(1),
        ..Configuration::default()
    }
}
