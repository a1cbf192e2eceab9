//! HTTP encoding of the messages between nodes and servers
//! (`docs/server-interface.md`).

use super::exchange::BufferedResponse;
use crate::callers::headers;
use crate::callers::request_head::CallerRequest;
use ledgelead_types::request::{AttemptId, Forward};
use ledgelead_types::server::{AttemptResult, LoadReport, ServerRefusal};
use ledgelead_types::{Incarnation, NodeId, Span};
use ureq::http::Request;

/// Path for lease renewals.
pub const LEASE_PATH: &str = "/ledgelead/lease";
/// Path for cancellations.
pub const CANCEL_PATH: &str = "/ledgelead/cancel";

/// Names of the refusals in the header [`headers::REFUSED`].
const REFUSALS: [(&str, ServerRefusal); 6] = [
    ("not-owner", ServerRefusal::NotOwner),
    ("lease-expired", ServerRefusal::LeaseExpired),
    ("busy", ServerRefusal::Busy),
    ("draining", ServerRefusal::Draining),
    ("cancelled", ServerRefusal::Cancelled),
    ("deadline-passed", ServerRefusal::DeadlinePassed),
];

/// The sender of an attempt, which makes the attempt's name unique across nodes and
/// their restarts.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSender {
    /// This node.
    pub node: NodeId,
    /// Incarnation of this run of the node.
    pub incarnation: Incarnation,
}

impl AttemptSender {
    /// The attempt's name, `NODE-INCARNATION-REQUEST-N`, with the incarnation in
    /// hexadecimal.
    pub fn name(&self, attempt: AttemptId) -> String {
        format!(
            "{}-{:x}-{}-{}",
            self.node.0, self.incarnation.0, attempt.request.0, attempt.number
        )
    }
}

/// Builds the request to a server.
///
/// # Errors
/// When the caller's method, path or headers can't be sent as HTTP/1.1.
pub fn server_request(
    forward: &Forward,
    request: &CallerRequest,
    time_left: Span,
    sender: &AttemptSender,
) -> Result<Request<Vec<u8>>, ureq::http::Error> {
    let uri = format!("http://{}{}", forward.address, request.target);
    let mut builder = Request::builder().method(request.method.as_str()).uri(uri);
    for header in &request.headers {
        builder = builder.header(&header.name, &header.value);
    }
    builder = builder
        .header(headers::ATTEMPT, sender.name(forward.attempt))
        .header(
            headers::DEADLINE_MS,
            (time_left.as_micros() / 1_000).to_string(),
        )
        .header(headers::TIER, forward.tier.0.to_string());
    if let Some(claim) = forward.ownership {
        builder = builder
            .header(headers::TOKEN, claim.token.to_string())
            .header(headers::POSITION, format!("{:016x}", claim.position.0));
    }
    builder.body(request.body.clone())
}

/// Derives the result of an attempt from the server's response.
pub fn attempt_result(answer: &BufferedResponse) -> AttemptResult {
    if let Some(refusal) = refusal_of(answer) {
        return AttemptResult::Refused(refusal);
    }
    AttemptResult::Answered {
        failure: answer.status >= 500,
    }
}

fn refusal_of(answer: &BufferedResponse) -> Option<ServerRefusal> {
    if !matches!(answer.status, 409 | 503) {
        return None;
    }
    let name = answer.header(headers::REFUSED)?;
    REFUSALS
        .iter()
        .find(|(refusal_name, _)| *refusal_name == name)
        .map(|(_, refusal)| *refusal)
}

/// Parses `executing=1,waiting=0,utilization=0.5,cold=0`. Fields may have any order,
/// unknown ones are skipped.
pub fn parse_load(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for field in text.split(',') {
        let (name, value) = field.trim().split_once('=')?;
        match name {
            "executing" => report.executing = value.parse().ok()?,
            "waiting" => report.waiting = value.parse().ok()?,
            "utilization" => report.utilization = parse_share(value)?,
            "cold" => report.cold = value == "1",
            _ => {}
        }
    }
    Some(report)
}

/// Parses a finite number and clamps it to the range from 0 to 1.
fn parse_share(text: &str) -> Option<f64> {
    let share: f64 = text.parse().ok()?;
    share.is_finite().then(|| share.clamp(0.0, 1.0))
}
