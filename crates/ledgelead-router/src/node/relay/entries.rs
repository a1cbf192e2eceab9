//! Conversion between objects of the store and entries of datagrams.

use crate::dialect::{ObjectContent, ObjectEvent};
use crate::directory::InstanceRecord;
use crate::identity::{InstanceId, NodeIdentity, NodeName, ServiceName, ZoneName};
use crate::ownership::record::Assignment;
use crate::peers::{
    ChangedAssignment, ChangedInstance, ChangedNode, InstanceEntry, NodeEntry, NodeRecord,
    Registration,
};
use crate::validation::{self, MAX_WARMUP};
use ledgelead_types::codec::Text;
use std::time::Duration;

pub(in crate::node) fn changed_assignment(assignment: &Assignment) -> ChangedAssignment {
    ChangedAssignment {
        service: assignment.service.stable_hash(),
        first: assignment.first,
        last: assignment.last,
        owner: Text(assignment.owner.to_string()),
        fence: assignment.fence,
    }
}

pub(super) fn changed_instance(event: &ObjectEvent) -> ChangedInstance {
    match &event.object.content {
        Ok(ObjectContent::Instance(record)) if !event.gone => listed_instance(record),
        _ => ChangedInstance {
            id: Text(InstanceId::from(event.object.name.as_str()).to_string()),
            entry: None,
        },
    }
}

pub(super) fn listed_instance(record: &InstanceRecord) -> ChangedInstance {
    ChangedInstance {
        id: Text(record.id.to_string()),
        entry: Some(instance_entry(record)),
    }
}

fn instance_entry(record: &InstanceRecord) -> InstanceEntry {
    InstanceEntry {
        service: Text(record.service.to_string()),
        address: Text(record.address.to_string()),
        zone: Text(record.zone.to_string()),
        slots: record.slots,
        draining: record.draining,
        warmup_left_ms: u32::try_from(record.warmup_left.as_millis()).unwrap_or(u32::MAX),
    }
}

pub(super) fn changed_node(event: &ObjectEvent) -> ChangedNode {
    let entry = match &event.object.content {
        Ok(ObjectContent::Node(record)) if !event.gone => {
            Some(node_entry(record, event.object.revision))
        }
        _ => None,
    };
    ChangedNode {
        node: Text(event.object.name.clone()),
        entry,
    }
}

pub(in crate::node) fn listed_node(registration: &Registration) -> ChangedNode {
    let Registration { record, revision } = registration;
    ChangedNode {
        node: Text(record.identity.node.to_string()),
        entry: Some(node_entry(record, *revision)),
    }
}

fn node_entry(record: &NodeRecord, revision: u64) -> NodeEntry {
    NodeEntry {
        incarnation: record.identity.incarnation,
        zone: Text(record.zone.to_string()),
        address: Text(record.address.to_string()),
        millicores: record.millicores,
        revision,
    }
}

/// The instance record of an entry, if its values are within bounds.
pub(super) fn instance_record(id: InstanceId, entry: &InstanceEntry) -> Option<InstanceRecord> {
    let record = InstanceRecord {
        id,
        service: ServiceName::from(entry.service.0.as_str()),
        address: entry.address.0.parse().ok()?,
        zone: ZoneName::from(entry.zone.0.as_str()),
        slots: entry.slots,
        draining: entry.draining,
        warmup_left: Duration::from_millis(u64::from(entry.warmup_left_ms)).min(MAX_WARMUP),
    };
    validation::instance(&record).is_ok().then_some(record)
}

/// The node registration of an entry, if its values are within bounds.
pub(in crate::node) fn registration(node: NodeName, entry: &NodeEntry) -> Option<Registration> {
    let record = NodeRecord {
        identity: NodeIdentity {
            node,
            incarnation: entry.incarnation,
        },
        zone: ZoneName::from(entry.zone.0.as_str()),
        address: entry.address.0.parse().ok()?,
        millicores: entry.millicores,
    };
    validation::node(record.identity.node.as_str(), &record).ok()?;
    Some(Registration {
        record,
        revision: entry.revision,
    })
}
