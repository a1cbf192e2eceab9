//! Queues before instances: in which order requests reach them, and how many at once.
//!
//! With sixty nodes and a hundred owners of keys a node sends an owner one request in
//! seconds, and knows of the others' only what a digest said 100 to 400 ms ago. Requests then
//! meet in the queue of an instance, behind others that can't be in time any more. So one
//! node of the instance's zone, its dispatcher, hands out permits: as many at once as there
//! are slots, in the order of urgency and of the time that is left. Whoever can't be in time
//! is refused at once. An owner of keys has a queue of its own, the instances of a zone that
//! serve a service without keys have one together. `docs/design/dispatch.md` says what
//! happens when a message or a node is lost.

mod candidates;
mod dispatcher;
mod queue;
mod refused;
mod servers;

pub use candidates::Candidates;
pub use dispatcher::{
    DispatchDecision, DispatchRequest, Dispatcher, DispatcherCounters, QueueKind,
};
pub use queue::{Admission, AdmissionRequest, InstanceLoad, PermitId, PermitOutcome, PermitQueue};
pub use refused::{Refused, RefusedCallers};
pub use servers::Server;
