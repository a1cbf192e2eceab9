//! The lifecycle of a client's request: routing, waiting, attempts and the response.

mod answers;
mod budget;
mod cold_start;
mod common_rejection;
mod digest;
mod idle_limit;
mod lifecycle;
mod node_count;
mod notice;
mod observed;
mod open_request;
mod outcome;
mod overload;
mod permits;
mod refusal_share;
mod rejection_cause;
mod retry_value;
mod selection;
mod slow_requests;
mod split;
mod statistics;
mod tokens;

pub use answers::refusal;
pub use budget::{BudgetBounds, RetryBudget, RetryDecision};
pub use cold_start::{ColdBound, ColdGate, ColdSends};
pub use common_rejection::CommonRejections;
pub use digest::{DIGEST_BYTES, RequestDigest};
pub use idle_limit::IdleLimit;
pub use lifecycle::{
    CrashSigns, Declined, PermitDecision, RequestContext, RequestCounters, RequestProfile,
    Requests, request_options,
};
pub use notice::Notice;
pub use observed::Observed;
pub use open_request::Misdirection;
pub use outcome::{AttemptOutcome, classify_outcome, promises_not_run};
pub use overload::{OverloadedKey, Overloads};
pub use permits::{PermitCounters, PermitMessage, PermitRequest, Permits, pool_hash};
pub use refusal_share::{RefusalShare, RefusalShares, retry_after};
pub use rejection_cause::RejectionCause;
pub use retry_value::{BudgetLevel, RetryCandidate, RetryDemand};
pub use selection::{Selected, SelectionContext};
pub use split::{LARGE_BODY_BYTES, SplitRequest, Splits};
pub use statistics::{ReportedLoad, Statistics, StatisticsTable};
pub use tokens::{TokenDecision, TokenRequest};
