//! Whole nodes against a store and peers that a test plays.

mod configuration;
mod crashing;
mod evacuation;
mod fixture;
mod foreign;
mod former_coordinator;
mod hostile;
mod open_requests;
mod outage;
mod overload;
mod placement;
mod registration;
mod review;
mod snapshot;
mod zone_relay;
