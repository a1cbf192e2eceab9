//! Calls to the store: watches that keep this node's view of it up to date, and conditional
//! writes.

mod connections;
mod era;
mod health;
mod watcher;

pub use connections::{ConnectionChoice, StoreConnections};
pub use era::{MAX_ERA, era_of, first_in_era, with_era, with_store_revisions};
pub use health::StoreHealth;
pub use watcher::{Backoff, WatchChange, Watcher, WatcherPace};
