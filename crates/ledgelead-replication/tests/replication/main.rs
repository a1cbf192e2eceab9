//! Tests of replicas: single, in groups, and under random faults.

mod elections;
mod messages;
mod safety;
mod simulation;
mod single;
