//! Load-based placement of slices on servers, and sketches that detect hot keys.
//!
//! The planner is a state machine without I/O: it takes loads, servers, policy and time, and
//! returns changes. See `docs/design/assignment.md`.

pub mod baseline;
pub mod change;
mod churn;
pub mod input;
mod levels;
mod planner;
mod rate;
mod server_table;
pub mod sketch;
mod slice_record;
mod slice_table;

pub use change::PlannedChange;
pub use input::{PlanInput, ServerState, SliceState, UNKNOWN_LOAD};
pub use ledgelead_types::dispatch::HotPosition;
pub use planner::{Planner, PlannerMemory, SMOOTHING_TIME_CONSTANT, plan, plan_owners};
