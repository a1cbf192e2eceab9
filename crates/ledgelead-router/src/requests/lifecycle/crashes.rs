//! Collects evidence from ended attempts about crashed instances and the requests that crash
//! them.

use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::events::Event;
use crate::identity::InstanceId;
use crate::io::{ClientId, ExchangeFailure};
use crate::quarantine::{CallerId, LostAttempt, TURN, Turns, Verdict};
use crate::requests::answers::Refusal;
use crate::requests::digest::RequestDigest;
use crate::requests::open_request::{Attempt, OpenRequest};
use ledgelead_http::Response;
use std::time::Duration;

/// Number of instances that may end without a response during attempts of a request, in this
/// and earlier submissions, before this node stops retrying it. Any further submission is the
/// client's.
const MAX_ENDED_INSTANCES: usize = 2;
/// Maximum `Retry-After` for a quarantined request, since an operator may lift the quarantine.
const MAX_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Maximum length in bytes of the path that is kept for operators.
const MAX_PATH_BYTES: usize = 96;

/// Evidence collected since the last call of `take_crash_signs`.
#[derive(Debug, Default)]
pub struct CrashSigns {
    /// Attempts whose connection was lost.
    pub lost: Vec<(InstanceId, LostAttempt)>,
    /// Instances that refused a connection.
    pub refused: Vec<InstanceId>,
    /// Instances that answered, and when the request was sent to them.
    pub answered: Vec<(InstanceId, Timestamp)>,
    /// Requests that an instance ran to a complete response.
    pub completed: Vec<(RequestDigest, CallerId)>,
}

impl Requests {
    /// Returns the evidence collected since the last call.
    pub fn take_crash_signs(&mut self) -> CrashSigns {
        std::mem::take(&mut self.crash_signs)
    }

    pub(super) fn collect_crash_signs(
        &mut self,
        client: ClientId,
        attempt: &Attempt,
        result: &Result<Response, ExchangeFailure>,
        context: &RequestContext<'_>,
    ) {
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        let signs = &mut self.crash_signs;
        let is_own_failure = attempt.via.is_none() && context.reachability.is_isolated();
        match result {
            // An isolated node loses all of its connections.
            Err(ExchangeFailure::Lost | ExchangeFailure::Refused) if is_own_failure => {}
            Err(ExchangeFailure::Lost) => {
                open.lost_attempts += 1;
                let instance = context.directory.get(&attempt.instance);
                // The end of a leaving instance is planned and no crash.
                if instance.is_some_and(|instance| instance.leaving_since().is_none()) {
                    let lost_attempt = lost_attempt(open, context.now);
                    signs.lost.push((attempt.instance.clone(), lost_attempt));
                }
            }
            Err(ExchangeFailure::Refused) => signs.refused.push(attempt.instance.clone()),
            Err(_) => {}
            Ok(response) => {
                let is_other = response
                    .headers
                    .text(&context.headers.instance)
                    .is_some_and(|id| id != attempt.instance.name());
                if (context.suspects || !context.evidence.is_empty()) && !is_other {
                    let answered = (attempt.instance.clone(), attempt.sent);
                    signs.answered.push(answered);
                }
                if was_run(response, context) {
                    signs.completed.push((open.digest(), open.caller));
                }
            }
        }
    }

    /// Why a request may not be sent now, if instances have ended during it: it is quarantined,
    /// or suspected and not to be tried by this node at this time.
    pub(super) fn held_back(
        &self,
        client: ClientId,
        open: &OpenRequest,
        context: &RequestContext<'_>,
    ) -> Option<Refusal> {
        match verdict(open, context) {
            Verdict::Clear => None,
            Verdict::Quarantined { .. } => Some(Refusal::Quarantined),
            Verdict::Suspected { since } => {
                let is_turn = wait_for_turn(open, since, context).is_zero();
                let may_try = is_turn && self.is_only_trial(client, open, context.now);
                (!may_try).then_some(Refusal::Suspected)
            }
        }
    }

    /// Whether no other request of this node is the try of the current turn, or still in
    /// flight from an earlier one.
    fn is_only_trial(&self, client: ClientId, open: &OpenRequest, now: Timestamp) -> bool {
        let Some((latest, is_current)) = self.trials.latest(&open.digest(), now) else {
            return true;
        };
        let is_in_flight = |open: &OpenRequest| open.attempt.is_some();
        latest == client || !is_current && !self.open.get(&latest).is_some_and(is_in_flight)
    }

    /// Records that a request is about to be sent to an instance, if it is suspected.
    pub(super) fn record_trial(
        &mut self,
        client: ClientId,
        instance: &InstanceId,
        context: &RequestContext<'_>,
    ) {
        let Some(open) = self.open.get(&client) else {
            return;
        };
        if is_trial(open, context) {
            let digest = open.digest();
            Event::SuspectTried { digest, instance }.emit();
            self.trials.record(digest, client, context.now);
        }
    }

    /// When a request that is held back may be sent.
    pub(super) fn held_back_for(
        &self,
        open: &OpenRequest,
        context: &RequestContext<'_>,
    ) -> Option<Duration> {
        match verdict(open, context) {
            Verdict::Clear => None,
            Verdict::Quarantined { until } => {
                let left = until.saturating_sub(context.now);
                Some(left.min(MAX_QUARANTINE_RETRY_AFTER))
            }
            Verdict::Suspected { since } => {
                let wait = wait_for_turn(open, since, context);
                Some(if wait.is_zero() { TURN } else { wait })
            }
        }
    }

    /// Whether a request that was lost with its instance has ended too many instances to be
    /// sent again by this node. The try of a turn is a single attempt.
    pub(super) fn is_retry_too_risky(
        &self,
        open: &OpenRequest,
        context: &RequestContext<'_>,
    ) -> bool {
        if open.lost_attempts == 0 {
            return false;
        }
        if is_trial(open, context) {
            return true;
        }
        let before = match context.evidence.is_empty() {
            true => 0,
            false => context.evidence.ends_of(&open.digest(), open.caller),
        };
        // Instances lost in this submission are counted in `before` as well, once their end is
        // proved.
        open.lost_attempts.max(before) >= MAX_ENDED_INSTANCES
    }
}

fn verdict(open: &OpenRequest, context: &RequestContext<'_>) -> Verdict {
    match context.evidence.is_empty() {
        true => Verdict::Clear,
        false => context
            .evidence
            .verdict(&open.digest(), open.caller, context.now),
    }
}

/// Whether a request that is sent is one of the tries of a suspected request.
pub(super) fn is_trial(open: &OpenRequest, context: &RequestContext<'_>) -> bool {
    matches!(verdict(open, context), Verdict::Suspected { .. })
}

/// How long this node waits for its turn to try a request.
fn wait_for_turn(open: &OpenRequest, since: Timestamp, context: &RequestContext<'_>) -> Duration {
    let digest = open.digest();
    let (share, shared_since) = context.evidence.turn_share(&digest, context.now);
    let turns = Turns::new(&digest, share, context.node, context.registry);
    turns.wait(since.max(shared_since), context.now)
}

/// Whether an instance has run the request to a complete response. A 504 may mean that the
/// deadline had passed before the request began.
fn was_run(response: &Response, context: &RequestContext<'_>) -> bool {
    let headers = &response.headers;
    response.status != 421
        && response.status != 504
        && headers.get(&context.headers.not_executed).is_none()
        && headers.get(&context.headers.signature).is_some()
}

fn lost_attempt(open: &OpenRequest, now: Timestamp) -> LostAttempt {
    let path = open.request.path();
    let mut end = path.len().min(MAX_PATH_BYTES);
    while !path.is_char_boundary(end) {
        end -= 1;
    }
    LostAttempt {
        request: open.digest(),
        caller: open.caller,
        path: path[..end].to_owned(),
        at: now,
    }
}
