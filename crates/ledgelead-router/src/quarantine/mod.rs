//! Detects requests that crash the instances which process them, across submissions and nodes.
//!
//! When a node loses an attempt, it suspects the requests that were in flight at the instance
//! ([`lost_attempts`]) until the instance is shown to have ended or to be alive. The findings
//! become [`evidence`]: a grow-only set that all nodes share. It stays correct if messages are
//! reordered, repeated or lost, and with earlier or several coordinators. After two ends nodes
//! try a request in [`turns`], one instance at a time. It is quarantined after three instances
//! have ended during it, whoever sent it, if no instance has answered it ([`verdict`]).

mod answers;
mod entry;
mod evidence;
mod lost_attempts;
mod record;
mod turns;
mod unconfirmed_answers;
mod verdict;

pub use answers::RecentAnswers;
pub use entry::{CallerId, Entry, InstanceEnd};
pub use evidence::{Evidence, NewQuarantines};
pub use lost_attempts::{LostAttempt, LostAttempts};
pub use record::QuarantineRecord;
pub use turns::{TURN, Trials, TurnShare, Turns};
pub use unconfirmed_answers::UnconfirmedAnswers;
pub use verdict::{Counting, SETTLE_TIME, Verdict};
