//! The life of a client's request: route, wait, attempts, answer.

mod answers;
mod budget;
mod cold_start;
mod common_rejection;
mod digest;
mod lifecycle;
mod node_count;
mod notice;
mod open_request;
mod outcome;
mod overload;
mod permits;
mod refusal_share;
mod rejection_cause;
mod repeat_value;
mod rest_limit;
mod selection;
mod split;
mod statistics;
mod tokens;

pub use answers::refusal;
pub use budget::{BudgetBounds, Draw, RetryBudget};
pub use cold_start::{ColdBound, ColdGate, ColdSends};
pub use common_rejection::CommonRejections;
pub use digest::{DIGEST_BYTES, RequestDigest};
pub use lifecycle::{
    CrashSigns, Declined, PermitDecision, RequestContext, RequestCounters, Requests,
};
pub use notice::Notice;
pub use open_request::Misdirection;
pub use outcome::{Verdict, judge};
pub use overload::{OverloadedKey, Overloads};
pub use permits::{Ask, PermitCounters, PermitMessage, Permits, pool_hash};
pub use refusal_share::{RefusalShare, RefusalShares, return_after};
pub use rejection_cause::RejectionCause;
pub use repeat_value::{BudgetLevel, RepeatDemand, RepeatFacts};
pub use rest_limit::IdleConnectionLimit;
pub use selection::{Selected, SelectionContext};
pub use split::{LARGE_BODY_BYTES, SplitRequest, Splits};
pub use statistics::{ReportedLoad, Statistics, StatisticsTable};
pub use tokens::{TokenAsk, TokenDecision};
