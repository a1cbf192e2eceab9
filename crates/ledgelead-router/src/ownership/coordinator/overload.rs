//! Which keys are asked for more often than their owners can work.

use super::Coordinator;
use crate::identity::ServiceName;
use crate::ownership::load::KeyLoad;
use crate::ownership::planner::Candidate;
use crate::requests::OverloadedKey;

/// Utilisation of an owner by one key from which part of its requests is
/// refused: by chance, counts of a second reach 1.3 at a capacity of 12 a second.
const OVERLOAD: f64 = 1.5;
/// InstanceShare of the owner's capacity that is admitted. Somewhat more than all of it,
/// so that its slots never wait for the next request.
const ADMITTED: f64 = 1.1;
/// InstanceShare of the owner's capacity that such a key gets at least, whatever the
/// owner's other keys are asked for: those move away.
const LEAST_LEFT: f64 = 0.3;
/// Most keys that are announced, those that exceed their owners the most.
const MAX_KEYS: usize = 16;

impl Coordinator {
    /// The overloaded keys of a service: each asks more of its owner than that
    /// can work on, so that moving its neighbours away wouldn't help.
    pub(super) fn overloaded(
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

/// The key that overloads an owner by itself, if there is one, with its rate
/// over the capacity that the owner's other keys leave.
fn overloaded_key(
    service: &ServiceName,
    owner: &Candidate,
    load: &KeyLoad,
) -> Option<(f64, OverloadedKey)> {
    let rates = owner.ranges.iter().map(|range| load.rate(*range));
    let total: f64 = rates.sum();
    if total <= owner.capacity * OVERLOAD {
        return None;
    }
    let hottest = owner.ranges.iter().map(|range| load.hottest(*range));
    let (key, rate) = hottest.max_by(|(_, left), (_, right)| left.total_cmp(right))?;
    if rate <= owner.capacity * OVERLOAD {
        return None;
    }
    let left = (owner.capacity - (total - rate)).max(owner.capacity * LEAST_LEFT);
    let excess = rate / left;
    let key = OverloadedKey {
        service: service.stable_hash(),
        key,
        admitted_permille: (ADMITTED / excess * 1_000.0).min(1_000.0) as u16,
    };
    Some((excess, key))
}
