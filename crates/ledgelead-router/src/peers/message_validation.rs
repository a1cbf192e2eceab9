//! Rejects messages that no node sends: revisions so large that no later one could follow, and
//! invalid key ranges.

use super::message::{ChangeSpan, ChangedAssignment, ChangedNode, PeerMessage};
use crate::validation::MAX_REVISION;

impl PeerMessage {
    /// Whether all numbers and ranges of the message are valid.
    pub fn is_valid(&self) -> bool {
        match self {
            PeerMessage::CoordinatorHeartbeat(heartbeat) => are_valid_revisions(&[
                heartbeat.epoch,
                heartbeat.record_revision,
                heartbeat.configuration_version,
                heartbeat.instances_revision,
                heartbeat.nodes_revision,
                heartbeat.evacuations.revision,
            ]),
            PeerMessage::InstancesChanged { span, .. }
            | PeerMessage::InstancesListed { span, .. }
            | PeerMessage::ConfigurationChanged { span, .. } => is_valid_span(*span),
            PeerMessage::NodesChanged { span, changes } => {
                is_valid_span(*span) && changes.iter().all(is_valid_node)
            }
            PeerMessage::OwnershipChanged { span, changes } => {
                is_valid_span(*span) && changes.iter().all(is_valid_range)
            }
            PeerMessage::CoordinatorTookOver {
                base,
                revision,
                first_fence,
                ..
            } => are_valid_revisions(&[*base, *revision, *first_fence]),
            PeerMessage::CoordinatorResigned { epoch } | PeerMessage::QuotaShares { epoch, .. } => {
                are_valid_revisions(&[*epoch])
            }
            PeerMessage::LoadReport {
                configuration_version,
                nodes_revision,
                ..
            } => are_valid_revisions(&[*configuration_version, *nodes_revision]),
            PeerMessage::OwnershipAckRequest { revision }
            | PeerMessage::OwnershipAck { revision } => are_valid_revisions(&[*revision]),
            PeerMessage::ResyncRequest { since, .. }
            | PeerMessage::ResyncUnavailable { since, .. } => are_valid_revisions(&[*since]),
            PeerMessage::Forwarded { .. }
            | PeerMessage::OpenRequestCounts { .. }
            | PeerMessage::LoadDigest { .. }
            | PeerMessage::ZoneSums { .. }
            | PeerMessage::PermitRequest(_)
            | PeerMessage::PermitDecision { .. }
            | PeerMessage::PermitReturn { .. }
            | PeerMessage::LeavingInstances { .. }
            | PeerMessage::RateLimits { .. }
            | PeerMessage::TokenRequest { .. }
            | PeerMessage::TokenDecision { .. }
            | PeerMessage::LimiterProbe { .. }
            | PeerMessage::QuotaReport { .. }
            | PeerMessage::Evidence { .. } => true,
        }
    }
}

fn are_valid_revisions(numbers: &[u64]) -> bool {
    numbers.iter().all(|number| *number <= MAX_REVISION)
}

fn is_valid_span(span: ChangeSpan) -> bool {
    are_valid_revisions(&[span.base, span.revision])
}

fn is_valid_node(change: &ChangedNode) -> bool {
    let entry = change.entry.as_ref();
    entry.is_none_or(|entry| are_valid_revisions(&[entry.revision]))
}

fn is_valid_range(change: &ChangedAssignment) -> bool {
    change.first <= change.last && are_valid_revisions(&[change.fence])
}
