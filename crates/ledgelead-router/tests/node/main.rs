//! Whole nodes against a store and peers that a test plays.

mod configuration;
mod crashing;
mod evacuation;
mod fixture;
mod former_coordinator;
mod open_requests;
mod outage;
mod overload;
mod placement;
mod registration;
mod rejections;
mod review;
mod snapshot;
mod zone_relay;
