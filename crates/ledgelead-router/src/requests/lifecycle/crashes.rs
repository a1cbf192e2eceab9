//! What the ends of attempts show of instances that end, and of requests that end them.

use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::identity::InstanceId;
use crate::io::{ClientId, ExchangeFailure};
use crate::quarantine::{CallerId, LostAttempt};
use crate::requests::digest::RequestDigest;
use crate::requests::open_request::{Attempt, OpenRequest};
use ledgelead_http::Response;

/// Instances that may end under the attempts of one request, in this try and before,
/// without an answer, until it is not sent again by this node: the next try is the client's.
const ENDS_BEFORE_NO_REPEAT: usize = 2;
/// Most bytes of a path that is kept for operators.
const MAX_PATH_BYTES: usize = 96;

/// What was seen since the last call of `take_crash_signs`.
#[derive(Debug, Default)]
pub struct CrashSigns {
    /// Attempts whose connection was lost.
    pub lost: Vec<(InstanceId, LostAttempt)>,
    /// Instances that refused a connection.
    pub refused: Vec<InstanceId>,
    /// Instances that answered, and when they were asked.
    pub answered: Vec<(InstanceId, Timestamp)>,
    /// Requests that an instance ran to a whole answer.
    pub completed: Vec<(RequestDigest, CallerId)>,
}

impl Requests {
    /// What was seen since the last call.
    pub fn take_crash_signs(&mut self) -> CrashSigns {
        std::mem::take(&mut self.crash_signs)
    }

    pub(super) fn note_crash_signs(
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
        match result {
            Err(ExchangeFailure::Lost) => {
                open.lost += 1;
                let instance = context.directory.get(&attempt.instance);
                // One that leaves ends as planned.
                if instance.is_some_and(|instance| instance.leaving_since().is_none()) {
                    let accusation = accusation(open, context.now);
                    signs.lost.push((attempt.instance.clone(), accusation));
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

    /// Whether a request is one that crashes instances.
    pub(super) fn is_held_back(&self, open: &OpenRequest, context: &RequestContext<'_>) -> bool {
        let evidence = context.evidence;
        !evidence.is_empty() && evidence.is_quarantined_for(&open.digest(), open.caller)
    }

    /// Whether a request that was lost with its instance is sent again by this node.
    pub(super) fn is_repeat_too_risky(
        &self,
        open: &OpenRequest,
        context: &RequestContext<'_>,
    ) -> bool {
        if open.lost == 0 {
            return false;
        }
        let before = match context.evidence.is_empty() {
            true => 0,
            false => context.evidence.ends_of(&open.digest(), open.caller),
        };
        // What was lost in this try is part of that, once the end is proved.
        open.lost.max(before) >= ENDS_BEFORE_NO_REPEAT
    }
}

/// Whether an instance has run the request to a whole answer. 504 may mean that its time
/// was over before it began.
fn was_run(response: &Response, context: &RequestContext<'_>) -> bool {
    let headers = &response.headers;
    response.status != 421
        && response.status != 504
        && headers.get(&context.headers.not_executed).is_none()
        && headers.get(&context.headers.signature).is_some()
}

fn accusation(open: &OpenRequest, now: Timestamp) -> LostAttempt {
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
