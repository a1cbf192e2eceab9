//! Processes what instances announce about themselves in responses, and its effect on
//! requests.

use super::decide::Step;
use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::directory::{Directory, Instance};
use crate::events::Event;
use crate::identity::{InstanceId, ServiceName};
use crate::protections::Protection;
use crate::rate_limit::{KnownLimits, RateLimit, RateNotice};
use crate::requests::answers::Refusal;
use crate::requests::notice::Notice;
use crate::requests::open_request::OpenRequest;
use crate::whole_millis;
use std::collections::HashSet;
use std::time::Duration;

impl Requests {
    /// Applies what an instance announces about itself in a response.
    pub(super) fn apply_notice(
        &mut self,
        instance: &InstanceId,
        notice: Notice,
        context: &RequestContext<'_>,
    ) {
        if notice == Notice::default() {
            return;
        }
        let known = context.directory.get(instance);
        let leaves = notice.leaving && known.is_some_and(|known| known.leaving_since().is_none());
        let honors_backoff = self.protections.has(Protection::HonorBackoff);
        let earlier = self.statistics.backoff_left(instance, context.now);
        let pauses = notice.backoff.is_some() && earlier.is_none();
        if let Some(backoff) = notice.backoff.filter(|_| honors_backoff) {
            self.statistics
                .record_backoff(instance, backoff, context.now);
        }
        if notice.leaving {
            self.announced_leaving.push(instance.clone());
        }
        let counts = &mut self.counters.notices;
        *counts.entry("leaving").or_default() += u64::from(notice.leaving);
        *counts.entry("backoff").or_default() += u64::from(notice.backoff.is_some());
        *counts.entry("unreadable").or_default() += u64::from(notice.is_unreadable);
        if leaves || pauses {
            let noticed = Event::InstanceNotice {
                instance,
                leaving: notice.leaving,
                backoff_ms: notice.backoff.map(whole_millis),
            };
            noticed.emit();
        }
    }

    /// Applies what a response announces about its instance's rate limit.
    pub(super) fn apply_rate_notice(
        &mut self,
        instance: &InstanceId,
        notice: RateNotice,
        now: Timestamp,
    ) {
        let limit = notice.limit();
        let kind = match notice {
            RateNotice::Limited(_) => Some("rate_limit"),
            RateNotice::Unreadable => Some("unreadable"),
            RateNotice::Unlimited | RateNotice::NotStated => None,
        };
        if let Some(kind) = kind {
            *self.counters.notices.entry(kind).or_default() += 1;
        }
        let is_new = match notice {
            RateNotice::NotStated | RateNotice::Unreadable => false,
            // True of nearly all responses: no lookup is needed.
            RateNotice::Unlimited if self.statistics.limits.is_empty() => false,
            RateNotice::Unlimited | RateNotice::Limited(_) => {
                let limits = &mut self.statistics.limits;
                limits.record_from_response(instance.stable_hash(), limit, now)
            }
        };
        if is_new {
            let rate_limit = limit.map(RateLimit::per_s);
            let noticed = Event::RateLimitNotice {
                instance,
                rate_limit,
            };
            noticed.emit();
        }
    }

    /// Rate limits announced by instances.
    pub fn limits(&self) -> &KnownLimits {
        &self.statistics.limits
    }

    /// Like `limits`, for updates received from other nodes.
    pub fn limits_mut(&mut self) -> &mut KnownLimits {
        &mut self.statistics.limits
    }

    /// Drops the rate limits of instances that are no longer known.
    pub(super) fn expire_limits(&mut self, directory: &Directory, now: Timestamp) {
        let limits = &mut self.statistics.limits;
        if limits.is_empty() {
            return;
        }
        let hash = |instance: &Instance| instance.record.id.stable_hash();
        let known: HashSet<u64> = directory.iter().map(hash).collect();
        limits.expire(|instance| known.contains(&instance), now);
    }

    /// Next step of a request for which every instance has requested a pause or lacks a token
    /// for another `left`. The request waits if that ends soon. A longer wait would use up the
    /// time in which its caller can retry.
    pub(super) fn step_in_backoff(
        &self,
        open: &OpenRequest,
        left: Duration,
        context: &RequestContext<'_>,
    ) -> Step {
        let retry_at = context.now + left;
        let reason = match self.lacks_tokens(open, context) {
            true => Refusal::RateLimited,
            false => Refusal::BackedOff,
        };
        match retry_at <= open.wait_limit_from(context.now) {
            true => Step::Wait {
                retry_at: Some(retry_at),
                reason,
            },
            false => Step::Refuse(reason),
        }
    }

    /// Whether some instance that could run a request has no token for it.
    fn lacks_tokens(&self, open: &OpenRequest, context: &RequestContext<'_>) -> bool {
        let limits = &self.statistics.limits;
        if limits.is_empty() {
            return false;
        }
        let lacks = |id: &InstanceId| limits.token_wait(id.stable_hash(), context.now).is_some();
        match open.key {
            Some(key) => context
                .ownership
                .find(&open.service, key)
                .is_some_and(|assignment| lacks(&assignment.owner)),
            None => context
                .directory
                .of_service(&open.service)
                .any(|instance| lacks(&instance.record.id)),
        }
    }

    /// How long a request's service accepts nothing from this node: until the owner of its key
    /// does again, or else the first of its instances. `None` if an instance accepts requests
    /// now.
    pub(super) fn backoff_of(
        &self,
        service: &ServiceName,
        key: Option<u16>,
        context: &RequestContext<'_>,
    ) -> Option<Duration> {
        let left_at = |id: &InstanceId| self.statistics.unavailable_for(id, context.now);
        if let Some(key) = key {
            return left_at(&context.ownership.find(service, key)?.owner);
        }
        let serving = |instance: &&Instance| instance.serves();
        let instances = context.directory.of_service(service).filter(serving);
        let mut shortest = None;
        for instance in instances {
            let left = left_at(&instance.record.id)?;
            shortest = Some(shortest.map_or(left, |known: Duration| known.min(left)));
        }
        shortest
    }
}
