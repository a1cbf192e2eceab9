//! Calls to the store: watches that keep this node's picture of it up to date,
//! and conditional writes.

mod health;
mod watcher;

pub use health::StoreHealth;
pub use watcher::{Backoff, WatchChange, Watcher, WatcherPace};
