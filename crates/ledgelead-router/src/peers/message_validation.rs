//! Messages that no node sends: with numbers that would block a revision for good, or
//! with ranges of keys that are none.

use super::message::{ChangeSpan, ChangedAssignment, ChangedNode, PeerMessage};
use crate::validation::MAX_REVISION;

impl PeerMessage {
    /// Whether its numbers can be what a node counted up to.
    pub fn is_within_bounds(&self) -> bool {
        match self {
            PeerMessage::CoordinatorHeartbeat(heartbeat) => are_counted(&[
                heartbeat.epoch,
                heartbeat.record_revision,
                heartbeat.configuration_version,
                heartbeat.instances_revision,
                heartbeat.nodes_revision,
                heartbeat.evacuations.revision,
            ]),
            PeerMessage::InstancesChanged { span, .. }
            | PeerMessage::InstancesListed { span, .. }
            | PeerMessage::ConfigurationChanged { span, .. } => is_counted(*span),
            PeerMessage::NodesChanged { span, changes } => {
                is_counted(*span) && changes.iter().all(is_registered)
            }
            PeerMessage::OwnershipChanged { span, changes } => {
                is_counted(*span) && changes.iter().all(is_range)
            }
            PeerMessage::CoordinatorTookOver {
                base,
                revision,
                first_fence,
                ..
            } => are_counted(&[*base, *revision, *first_fence]),
            PeerMessage::CoordinatorResigned { epoch } => are_counted(&[*epoch]),
            PeerMessage::LoadReport {
                configuration_version,
                nodes_revision,
                ..
            } => are_counted(&[*configuration_version, *nodes_revision]),
            PeerMessage::ResyncRequest { since, .. } => are_counted(&[*since]),
            PeerMessage::Forwarded { .. }
            | PeerMessage::OpenRequestCounts { .. }
            | PeerMessage::LoadDigest { .. }
            | PeerMessage::ZoneSums { .. }
            | PeerMessage::PermitAsk(_)
            | PeerMessage::PermitDecision { .. }
            | PeerMessage::PermitReturn { .. }
            | PeerMessage::LeavingInstances { .. }
            | PeerMessage::RateLimits { .. }
            | PeerMessage::TokenAsk { .. }
            | PeerMessage::TokenDecision { .. }
            | PeerMessage::LimiterProbe { .. }
            | PeerMessage::Evidence { .. } => true,
        }
    }
}

fn are_counted(numbers: &[u64]) -> bool {
    numbers.iter().all(|number| *number <= MAX_REVISION)
}

fn is_counted(span: ChangeSpan) -> bool {
    are_counted(&[span.base, span.revision])
}

fn is_registered(change: &ChangedNode) -> bool {
    let entry = change.entry.as_ref();
    entry.is_none_or(|entry| are_counted(&[entry.revision]))
}

fn is_range(change: &ChangedAssignment) -> bool {
    change.first <= change.last && are_counted(&[change.fence])
}
