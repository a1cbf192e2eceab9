//! The life of a client's request: route, wait, attempts, answer.

mod answers;
mod budget;
mod cold_start;
mod digest;
mod lifecycle;
mod open_request;
mod outcome;
mod overload;
mod permits;
mod refusal_share;
mod rest_limit;
mod selection;
mod split;
mod statistics;

pub use answers::refusal;
pub use budget::{BudgetBounds, RetryBudget};
pub use cold_start::{ColdBound, ColdGate, ColdSends};
pub use digest::{DIGEST_BYTES, RequestDigest};
pub use lifecycle::{CrashSigns, PermitDecision, RequestContext, RequestCounters, Requests};
pub use open_request::Misdirection;
pub use outcome::{Verdict, judge};
pub use overload::{OverloadedKey, Overloads};
pub use permits::{Ask, PermitCounters, PermitMessage, Permits};
pub use refusal_share::{RefusalShare, RefusalShares, return_after};
pub use rest_limit::RestLimit;
pub use selection::{Selected, SelectionContext};
pub use split::{LARGE_BODY_BYTES, SplitRequest, Splits};
pub use statistics::{ReportedLoad, Statistics, StatisticsTable};
