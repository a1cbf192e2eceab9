//! Whole nodes against a store and peers that a test plays.

mod configuration;
mod crashing;
mod eras;
mod evacuation;
mod fixture;
mod foreign;
mod former_coordinator;
mod hostile;
mod incomplete;
mod leaving;
mod notices;
mod open_requests;
mod outage;
mod overload;
mod permits;
mod placement;
mod rate_limits;
mod registration;
mod rejections;
mod review;
mod snapshot;
mod split;
mod starting;
#[path = "../support/mod.rs"]
mod support;
mod transfer;
mod zone_relay;
mod zone_traffic;
