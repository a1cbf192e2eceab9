//! Which instance owns which keys.
//!
//! One record in the store says it. A range of keys changes its owner only by
//! a conditional write to that record; a coordinator, named in the record
//! under an epoch, alone gives orders to instances. See
//! `docs/design/platform.md` for the inequality that keeps owners single.

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
