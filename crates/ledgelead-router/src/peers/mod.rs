//! The other nodes: their registrations, and the messages between nodes.
//!
//! Datagrams only speed up what the store or an answer would show later. Any of them may be
//! lost, delayed or duplicated without harm.

mod change_list;
mod change_log;
mod configuration;
mod delay;
mod evidence;
mod forward;
mod instance_table;
mod message;
mod message_validation;
mod registry;
mod shared_load;
mod traffic;
mod transfer;

pub use change_list::{ChangeList, ChangeListAssembler, MAX_PARTS};
pub use change_log::{ChangeLog, Changes};
pub use configuration::{
    ConfigurationChange, ConfigurationDelta, LimitsEntry, RouteEntry, ServiceEntry, TargetEntry,
};
pub use delay::DelayEstimate;
pub use evidence::{
    AgedEntry, EndEntry, RequestEntry, age_ms, aged_instances, evidence_parts, time_from_age,
};
pub(crate) use forward::headers_of;
pub use forward::{
    ForwardAnswer, ForwardDecline, ForwardFailure, ForwardPurpose, ForwardRequest, HeaderEntry,
};
pub use instance_table::InstanceTable;
pub use message::{
    ChangeSpan, ChangedAssignment, ChangedInstance, ChangedNode, Datagram, DigestEntry, Heartbeat,
    InstanceEntry, KeyReport, NodeEntry, OpenRequests, PeerAddress, PeerMessage,
    PermitRequestEntry, PermitReturnReason, PermitStatus, QuotaCountsEntry, QuotaShareEntry,
    RateLimitEntry, RelayedKind, TokenStatusEntry, WorkReport, ZoneSum, decode, encode,
};
pub use registry::{NodeRecord, Registration, Registry};
pub use shared_load::{SharedLoad, SpeedSample};
pub use traffic::{PeerTraffic, TrafficCount};
pub use transfer::{
    CoordinatorEntry, FullConfiguration, RecordEntry, TransferAnswer, TransferRequest,
    TransferredObjects, TransferredState,
};
