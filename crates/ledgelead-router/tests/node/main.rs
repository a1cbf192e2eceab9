//! Tests of a complete node with a simulated store and simulated peers.

mod arbitrary_input;
mod callers;
mod configuration;
mod crashing_requests;
mod evacuation;
mod evidence_flood;
mod first_election;
mod fixture;
mod former_coordinator;
mod forwarding;
mod incomplete_requests;
mod leaving;
mod open_requests;
mod order_answers;
mod overload;
mod owner_views;
mod permits;
mod placement;
mod punctuality;
mod quotas;
mod rate_limits;
mod registration;
mod rejections;
mod response_notices;
mod slow_attempts;
mod snapshot;
mod split_routes;
mod startup;
mod store_eras;
mod store_outage;
#[path = "../support/mod.rs"]
mod support;
mod transfer;
mod unreadable_objects;
mod zone_relay;
mod zone_traffic;
