//! Which instance owns which keys.
//!
//! A single record in the store assigns ranges of keys to owners. A range changes its owner
//! only by a conditional write to that record. Only the coordinator, which the record names
//! together with an epoch, sends orders to instances. See `docs/design/platform.md` for the
//! inequality that guarantees a single owner per key.

pub mod cold_keys;
pub mod coordinator;
pub mod election;
pub mod lease;
pub mod load;
pub mod next_owner;
pub mod planner;
pub mod record;
pub mod view;
pub mod work;
