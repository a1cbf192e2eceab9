//! Determines group, slice, owner, fencing token and dispatcher of a request, and reacts to
//! new routes.

use super::Gateway;
use super::request::{ActiveRequest, PermitSearch, SearchStage, Target};
use crate::message::{DispatchRequest, ServerSelector};
use ledgelead_types::request::OwnershipClaim;
use ledgelead_types::routes::GroupRoutes;
use ledgelead_types::{GroupId, NodeId, RequestId, Span, Time};
use rand::RngExt;
use std::sync::Arc;

/// First and longest delay between two attempts to locate a held request. New routes end the
/// delay early, so it only matters when a refusal arrives before the routes it refers to.
const MIN_HOLD_WAIT: Span = Span::from_millis(10);
const MAX_HOLD_WAIT: Span = Span::from_millis(100);

/// The dispatcher to ask for a permit, and the servers to ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Location {
    pub(super) group: GroupId,
    pub(super) dispatcher: NodeId,
    pub(super) selector: ServerSelector,
}

impl Gateway {
    /// Starts a search for a permit, or continues a waiting one.
    pub(super) fn locate(&mut self, now: Time, id: RequestId) {
        self.locate_avoiding(now, id, None);
    }

    /// Like [`Gateway::locate`], but avoids a dispatcher that does not reply.
    pub(super) fn locate_avoiding(
        &mut self,
        now: Time,
        id: RequestId,
        avoid_dispatcher: Option<NodeId>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (target, service, avoid) = (request.target, request.service, request.avoid);
        let location = match target {
            Target::Key { group, position } => self.locate_owner(group, position),
            Target::Group(group) => self
                .choose_dispatcher(service, Some(group), avoid_dispatcher)
                .map(|(group, dispatcher)| Location {
                    group,
                    dispatcher,
                    selector: ServerSelector::Any { avoid },
                }),
            Target::Service => self.choose_dispatcher(service, None, avoid_dispatcher).map(
                |(group, dispatcher)| Location {
                    group,
                    dispatcher,
                    selector: ServerSelector::Any { avoid },
                },
            ),
        };
        match location {
            Some(location) => self.acquire(now, id, location),
            None => self.hold(now, id),
        }
    }

    fn locate_owner(
        &self,
        group: GroupId,
        position: ledgelead_types::Position,
    ) -> Option<Location> {
        let slice = self.directory.slice(group, position)?;
        let server = slice.owner?;
        let route = self.directory.server(group, server)?;
        Some(Location {
            group,
            dispatcher: route.dispatcher,
            selector: ServerSelector::Owner {
                server,
                claim: OwnershipClaim {
                    position,
                    token: slice.token,
                },
            },
        })
    }

    /// Picks a dispatcher with a probability proportional to its active servers. A group
    /// with a single dispatcher leaves no choice.
    fn choose_dispatcher(
        &mut self,
        service: ledgelead_types::ServiceId,
        group: Option<GroupId>,
        avoid_dispatcher: Option<NodeId>,
    ) -> Option<(GroupId, NodeId)> {
        let candidates = self.directory.candidates(service);
        if candidates.is_empty() {
            return None;
        }
        let start = self.random.random_range(0..candidates.len());
        let in_order = candidates[start..].iter().chain(&candidates[..start]);
        let fits = |candidate: &&super::directory::Candidate| {
            group.is_none_or(|group| candidate.group == group)
        };
        let mut fitting = in_order.filter(fits);
        let first = fitting.next()?;
        let chosen = if Some(first.dispatcher) == avoid_dispatcher {
            fitting
                .find(|candidate| Some(candidate.dispatcher) != avoid_dispatcher)
                .unwrap_or(first)
        } else {
            first
        };
        Some((chosen.group, chosen.dispatcher))
    }

    /// Holds the request, for a bounded time, until an owner, a dispatcher or a server can
    /// take it.
    pub(super) fn hold(&mut self, now: Time, id: RequestId) {
        let jitter: f64 = self.random.random_range(0.5..1.0);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.search.is_some_and(|search| search.hedge) {
            request.search = None;
            return;
        }
        request.held_since.get_or_insert(now);
        let doubled = MIN_HOLD_WAIT.times(f64::from(1_u32 << request.holds.min(4)));
        request.holds = request.holds.saturating_add(1);
        let wait = doubled.min(MAX_HOLD_WAIT).times(jitter);
        request.search = Some(PermitSearch {
            number: request.last_number,
            hedge: false,
            stage: SearchStage::Waiting {
                retry_at: now + wait,
                wake_on_routes: true,
            },
        });
    }

    /// Applies new routes and redirects the searches that they affect.
    pub(super) fn routes_changed(&mut self, now: Time, routes: Arc<GroupRoutes>) {
        let group = routes.group;
        let service = group.service;
        let lost_before = self.directory.lost_servers(group);
        if !self.directory.route(routes) {
            return;
        }
        for server in self.directory.lost_servers(group) {
            if !lost_before.contains(&server) {
                self.server_lost(now, server);
            }
        }
        let searching: Vec<RequestId> = self
            .searching
            .get(&service)
            .map(|requests| requests.iter().copied().collect())
            .unwrap_or_default();
        for id in searching {
            self.relocate_if_moved(now, id);
            self.reschedule(id);
        }
    }

    fn relocate_if_moved(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(search) = request.search else {
            return;
        };
        match search.stage {
            SearchStage::Waiting { wake_on_routes, .. } => {
                if wake_on_routes {
                    self.locate(now, id);
                }
            }
            SearchStage::Acquiring(acquiring) => {
                let location = Location {
                    group: acquiring.group,
                    dispatcher: acquiring.dispatcher,
                    selector: acquiring.selector,
                };
                if self.is_current(request, &location) {
                    return;
                }
                self.withdraw(id);
                self.locate(now, id);
            }
        }
    }

    /// Whether the current routes still lead to the location that was asked.
    fn is_current(&self, request: &ActiveRequest, location: &Location) -> bool {
        match request.target {
            Target::Key { group, position } => {
                self.locate_owner(group, position).as_ref() == Some(location)
            }
            Target::Group(_) | Target::Service => self
                .directory
                .candidates(request.service)
                .iter()
                .any(|candidate| {
                    candidate.group == location.group && candidate.dispatcher == location.dispatcher
                }),
        }
    }

    /// Withdraws the permit request that a search has sent.
    pub(super) fn withdraw(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(PermitSearch {
            number,
            stage: SearchStage::Acquiring(acquiring),
            ..
        }) = request.search
        else {
            return;
        };
        let message = DispatchRequest::Withdraw {
            gateway: self.member.incarnation,
            attempt: request.attempt(number),
        };
        self.send(acquiring.dispatcher, message);
    }
}
