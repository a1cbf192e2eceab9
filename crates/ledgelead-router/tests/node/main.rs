//! Whole nodes against a store and peers that a test plays.

mod fixture;
mod open_requests;
