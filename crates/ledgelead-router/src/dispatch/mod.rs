//! Queues in front of instances, which control the order in which requests reach them, and how
//! many are in flight.
//!
//! With sixty nodes and a hundred owners of keys, a node sends an owner one request every few
//! seconds, and knows the requests of other nodes only from a digest that is 100 to 400 ms old.
//! Without coordination, requests meet in the queue of an instance, behind others that can no
//! longer meet their target. So one node in the instance's zone, its dispatcher, grants
//! permits: as many at a time as there are slots, ordered by urgency and time left. Requests
//! that can't meet their target are refused at once. Each owner of keys has its own queue; the
//! instances of a zone that serve a service without keys share one. `docs/design/dispatch.md`
//! describes what happens if a message or a node is lost.

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
pub use refused::{RefusedCaller, RefusedCallers};
pub use servers::Server;
