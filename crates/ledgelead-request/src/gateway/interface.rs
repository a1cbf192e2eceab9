//! Settings, inputs and outputs of the gateway.

use crate::message::{DispatchReply, DispatchRequest};
use ledgelead_types::configuration::Configuration;
use ledgelead_types::event::Event;
use ledgelead_types::protections::Protections;
use ledgelead_types::request::{AttemptId, Forward, RequestArrival};
use ledgelead_types::routes::GroupRoutes;
use ledgelead_types::server::{AttemptResult, LoadReport};
use ledgelead_types::{GroupId, Member, NodeId, Outcome, RequestId, ServerId, Span, Text, ZoneId};
use std::sync::Arc;

/// Initial settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// This node and the incarnation of its process.
    pub member: Member,
    /// Its zone.
    pub zone: ZoneId,
    /// Seed of its random decisions.
    pub random_seed: u64,
    /// Protections in force; all are on except in simulations that verify their checker.
    pub protections: Protections,
}

/// An input to the gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayInput {
    /// A caller's request has been read completely.
    Arrived(RequestArrival),
    /// An attempt at a server ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
        /// Load reported with the server's answer.
        load: Option<LoadReport>,
    },
    /// The caller closed its connection before receiving an answer.
    CallerLeft(RequestId),
    /// A dispatcher replied.
    Dispatch {
        /// The dispatcher.
        from: NodeId,
        /// Its reply.
        message: DispatchReply,
    },
    /// A configuration; ignored if older than the current one.
    Configuration(Arc<Configuration>),
    /// Routes of a group; ignored if older than the current ones.
    Routes(Arc<GroupRoutes>),
    /// Accept no more requests; [`GatewayOutput::Drained`] reports the completion.
    Stop,
}

/// An action that the caller of the gateway has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayOutput {
    /// Send a message to a dispatcher. The message may be lost.
    Dispatch {
        /// The dispatcher.
        to: NodeId,
        /// The message.
        message: DispatchRequest,
    },
    /// Send a request to a server.
    Forward(Forward),
    /// Abort an attempt and ask the server to cancel it. Its end is still reported.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// Its `IP:port`.
        address: Text,
    },
    /// Keep a copy of an attempt's answer for retries under its idempotency key.
    KeepAnswer(AttemptId),
    /// Drop a kept copy.
    ForgetAnswer(AttemptId),
    /// Answer the caller.
    Respond {
        /// The request.
        request: RequestId,
        /// The outcome reported to the caller.
        outcome: Outcome,
        /// The attempt whose answer is delivered. It belongs to another request when a kept
        /// answer is delivered.
        attempt: Option<AttemptId>,
        /// For a refusal, when the caller may retry.
        retry_after: Option<Span>,
    },
    /// This gateway observes a server failing. Sent at most once every
    /// [`super::evidence::EVIDENCE_INTERVAL`] for each server.
    Evidence {
        /// Group of the server.
        group: GroupId,
        /// The server.
        server: ServerId,
        /// Consecutive failed attempts.
        failures: u32,
    },
    /// An event for the log and the metrics.
    Event(Event),
    /// After a stop: all requests are finished and all idempotency records are ended.
    Drained,
}
