//! Calls to the store: watches that keep this node's picture of it up to date,
//! and conditional writes.

mod era;
mod health;
mod watcher;

pub use era::{MAX_ERA, answer_in, call_of_store, era_of, first_of};
pub use health::StoreHealth;
pub use watcher::{Backoff, WatchChange, Watcher, WatcherPace};
