//! Chooses which service of a route receives a request.

use super::{RequestContext, Requests};
use crate::configuration::{Configuration, Route, RouteTarget};
use crate::identity::{ServiceName, ZoneName};
use crate::mechanisms::Mechanism;
use crate::requests::split::{LARGE_BODY_BYTES, SplitRequest};
use rand::RngExt;

impl Requests {
    /// Chooses one of the route's targets by weight. Which requests make up a target's share
    /// depends on what they cost there.
    pub(super) fn choose_target(
        &mut self,
        route: &Route,
        key: Option<u16>,
        body_bytes: usize,
        context: &RequestContext<'_>,
    ) -> ServiceName {
        let is_large = body_bytes >= LARGE_BODY_BYTES;
        if !is_large || !self.mechanisms.has(Mechanism::SplitLocality) {
            return self.draw_target(route);
        }
        let split = context
            .configuration
            .and_then(|configuration| sharded_split(route, configuration));
        let (Some((sharded, other)), Some(key)) = (split, key) else {
            return self.draw_target(route);
        };
        let request = SplitRequest {
            route: &route.name,
            sharded: &sharded.service,
            share: sharded.weight / (sharded.weight + other.weight),
            body_bytes,
            is_local: owned_in(&self.zone, &sharded.service, key, context),
        };
        let local_keys = || local_keys(&self.zone, &sharded.service, context);
        let goes_to_sharded = self
            .splits
            .draw(&request, local_keys, context.now, &mut self.rng);
        let target = if goes_to_sharded { sharded } else { other };
        target.service.clone()
    }

    /// Chooses one of the route's targets at random, by weight.
    fn draw_target(&mut self, route: &Route) -> ServiceName {
        let total: f64 = route.targets.iter().map(|target| target.weight).sum();
        let mut drawn = if route.targets.len() > 1 && total > 0.0 {
            self.rng.random_range(0.0..total)
        } else {
            0.0
        };
        for target in &route.targets {
            if drawn < target.weight {
                return target.service.clone();
            }
            drawn -= target.weight;
        }
        route.targets[route.targets.len() - 1].service.clone()
    }
}

/// The two targets of a route of which exactly one is a sharded service, that one first. Other
/// splits offer no choice that saves traffic.
fn sharded_split<'a>(
    route: &'a Route,
    configuration: &Configuration,
) -> Option<(&'a RouteTarget, &'a RouteTarget)> {
    let [first, second] = route.targets.as_slice() else {
        return None;
    };
    if first.weight <= 0.0 || second.weight <= 0.0 {
        return None;
    }
    let is_sharded = |target: &RouteTarget| {
        let service = configuration.service(&target.service);
        service.is_some_and(|service| service.sharded)
    };
    match (is_sharded(first), is_sharded(second)) {
        (true, false) => Some((first, second)),
        (false, true) => Some((second, first)),
        _ => None,
    }
}

/// Whether the owner of a key is in the zone, if the owner is known.
fn owned_in(
    zone: &ZoneName,
    service: &ServiceName,
    key: u16,
    context: &RequestContext<'_>,
) -> Option<bool> {
    let assignment = context.ownership.find(service, key)?;
    let owner = context.directory.get(&assignment.owner)?;
    Some(owner.record.zone == *zone)
}

/// The share of a service's owned keys whose owner is in the zone.
fn local_keys(zone: &ZoneName, service: &ServiceName, context: &RequestContext<'_>) -> f64 {
    let mut local = 0.0;
    let mut all = 0.0;
    for assignment in &context.ownership.record().assignments {
        if assignment.service != *service {
            continue;
        }
        let keys = f64::from(assignment.last) - f64::from(assignment.first) + 1.0;
        let owner = context.directory.get(&assignment.owner);
        all += keys;
        if owner.is_some_and(|owner| owner.record.zone == *zone) {
            local += keys;
        }
    }
    if all > 0.0 { local / all } else { 0.0 }
}
