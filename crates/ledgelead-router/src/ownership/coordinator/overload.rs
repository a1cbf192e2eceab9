//! Finds keys with more requests than their owners can process.

use super::Coordinator;
use crate::identity::ServiceName;
use crate::ownership::load::KeyLoad;
use crate::ownership::planner::Candidate;
use crate::requests::OverloadedKey;

/// Utilization of an owner by a single key above which part of that key's requests are refused.
/// At a capacity of 12 a second, random deviation alone makes counts of one second reach 1.3.
const OVERLOAD_UTILIZATION: f64 = 1.5;
/// Share of the owner's capacity that is admitted. Slightly above 1, so that its slots never
/// wait for the next request.
const ADMITTED_SHARE: f64 = 1.1;
/// Minimum share of the owner's capacity that such a key gets, however many requests the
/// owner's other keys receive: those move away.
const MIN_SHARE: f64 = 0.3;
/// Maximum number of announced keys; the ones with the largest excess are kept.
const MAX_KEYS: usize = 16;

impl Coordinator {
    /// The overloaded keys of a service. Each exceeds its owner's capacity by itself, so that
    /// moving neighboring keys away would not help.
    pub(super) fn overloaded_keys(
        &self,
        service: &ServiceName,
        candidates: &[Candidate],
    ) -> Vec<OverloadedKey> {
        let Some(load) = self.loads.get(service) else {
            return Vec::new();
        };
        let mut found: Vec<(f64, OverloadedKey)> = candidates
            .iter()
            .filter_map(|owner| overloaded_key(service, owner, load))
            .collect();
        found.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        found.truncate(MAX_KEYS);
        found.into_iter().map(|(_, key)| key).collect()
    }
}

/// The key that overloads an owner by itself, if any, with the ratio of its rate to the
/// capacity that the owner's other keys leave.
fn overloaded_key(
    service: &ServiceName,
    owner: &Candidate,
    load: &KeyLoad,
) -> Option<(f64, OverloadedKey)> {
    let rates = owner.ranges.iter().map(|range| load.rate(*range));
    let total: f64 = rates.sum();
    if total <= owner.capacity * OVERLOAD_UTILIZATION {
        return None;
    }
    let hottest = owner.ranges.iter().map(|range| load.hottest(*range));
    let (key, rate) = hottest.max_by(|(_, left), (_, right)| left.total_cmp(right))?;
    if rate <= owner.capacity * OVERLOAD_UTILIZATION {
        return None;
    }
    let left = (owner.capacity - (total - rate)).max(owner.capacity * MIN_SHARE);
    let excess = rate / left;
    let key = OverloadedKey {
        service: service.stable_hash(),
        key,
        admitted_permille: (ADMITTED_SHARE / excess * 1_000.0).min(1_000.0) as u16,
    };
    Some((excess, key))
}
