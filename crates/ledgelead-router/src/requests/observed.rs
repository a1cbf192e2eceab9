//! What is logged of the end of an attempt: enough to see on which proof its request counts as
//! run or not run.

use crate::dialect::HeaderNames;
use crate::io::ExchangeFailure;
use crate::whole_millis;
use ledgelead_http::Response;
use std::time::Duration;

/// The observations at the end of an attempt.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The name of the outcome.
    pub ended: &'static str,
    /// The end of the exchange with the peer that was asked to forward.
    pub forward: Option<&'static str>,
    /// Why there is no answer.
    pub failure: Option<&'static str>,
    /// The status of an answer other than a success.
    pub status: Option<u16>,
    /// The instance that such an answer names as its sender.
    pub answered_by: Option<Box<str>>,
    /// Milliseconds for which the connection was idle before; none if it was new or in use
    /// until then.
    pub idle_ms: Option<u64>,
}

impl Observed {
    /// An attempt that this node ended itself.
    pub fn ended_by_node(ended: &'static str) -> Observed {
        Observed {
            ended,
            ..Observed::default()
        }
    }

    /// The end of an exchange with an instance.
    pub fn of_exchange(
        result: &Result<Response, ExchangeFailure>,
        idle_for: Duration,
        headers: &HeaderNames,
    ) -> Observed {
        let answer = result.as_ref().ok();
        let answer = answer.filter(|response| !response.is_success());
        let answered_by = answer.and_then(|response| response.headers.text(&headers.instance));
        Observed {
            ended: "",
            forward: None,
            failure: result.as_ref().err().map(|failure| failure.name()),
            status: answer.map(|response| response.status),
            answered_by: answered_by.map(Into::into),
            idle_ms: (!idle_for.is_zero()).then(|| whole_millis(idle_for)),
        }
    }
}
