//! Requests that crash the instances which run them, recognised over tries and nodes.
//!
//! A node that loses an attempt suspects what was in flight there ([`lost_attempts`]), until
//! the instance is shown to have ended, or to live. What is shown becomes [`evidence`]: a
//! set of facts that only grows, shared by all nodes, so that order, repeats and losses of
//! messages, former coordinators and two coordinators at once undo nothing. A request under
//! which three instances have ended, and which no instance ever answered, is quarantined.

mod answers;
mod entry;
mod evidence;
mod lost_attempts;
mod record;
mod unconfirmed_answers;

pub use answers::RecentAnswers;
pub use entry::{CallerId, Entry, InstanceEnd};
pub use evidence::{Evidence, NewQuarantines};
pub use lost_attempts::{LostAttempt, LostAttempts};
pub use record::QuarantineRecord;
pub use unconfirmed_answers::UnconfirmedAnswers;
