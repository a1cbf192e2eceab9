//! At most one owner, and acknowledged assignments that stay.
//!
//! A server *claims* a position while it holds a slice with the position under
//! a lease that is unexpired in true time. Claims change only when a server
//! takes a renewal or dies, so overlaps are looked for at each renewal that
//! changed what a server claims. A server that started a request under a valid
//! lease and was lost afterwards may still be executing when its successor
//! starts: work in a lost server's own memory can't be recalled. So an overlap
//! of executions counts while the earlier server's lease runs: then the
//! handover did not wait.

use super::partition_map::{LastGrant, PartitionMap};
use super::violation::{Violation, Violations};
use crate::standin::execution::{AttemptKey, Execution};
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::{Position, PositionRange, ServerId, ServiceId, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// How long an acknowledged move may take to reach the server, apart from
/// losses.
const MOVE_TAKES_EFFECT_WITHIN: Span = Span::from_seconds(5);

/// What a server holds, as the server itself recorded it.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Its service.
    pub service: ServiceId,
    /// Slices.
    pub held: Vec<GrantedSlice>,
    /// End of its lease in true time.
    pub lease_until: Time,
}

impl Claim {
    fn holds_at(&self, now: Time, position: Position) -> bool {
        now < self.lease_until && self.held.iter().any(|slice| slice.range.contains(position))
    }
}

/// A move that an operator was told is decided.
#[derive(Clone, Copy, Debug)]
pub struct AcknowledgedMove {
    /// The service.
    pub service: ServiceId,
    /// A position in the slice.
    pub position: Position,
    /// The new owner.
    pub to: ServerId,
    /// When the operator was told.
    pub at: Time,
}

/// Checks ownership.
#[derive(Clone, Debug, Default)]
pub struct OwnershipChecker {
    claims: BTreeMap<ServerId, Claim>,
    executing: BTreeMap<AttemptKey, (ServerId, ServiceId, Position)>,
    granted: BTreeMap<ServiceId, PartitionMap>,
    lost_since_grant: BTreeSet<ServerId>,
    /// Moves whose new owner does not hold the slice yet.
    moves: Vec<AcknowledgedMove>,
    /// All moves, in the order in which operators were told.
    acknowledged_moves: Vec<AcknowledgedMove>,
    beyond_tolerance: bool,
    churned_share: BTreeMap<ServiceId, f64>,
}

impl OwnershipChecker {
    /// A server took a renewal and now has this claim.
    pub fn renewed(
        &mut self,
        now: Time,
        server: ServerId,
        claim: Claim,
        violations: &mut Violations,
    ) {
        let gained = self.gained(now, server, &claim);
        self.check_overlaps(now, server, claim.service, &gained, violations);
        let serves = !gained.is_empty();
        for slice in gained {
            self.record_grant(now, server, claim.service, slice, violations);
            self.drop_superseded_moves(now, server, claim.service, slice.range);
        }
        if serves {
            self.lost_since_grant.remove(&server);
        }
        self.moves.retain(|acknowledged| {
            acknowledged.to != server || !claim.holds_at(now, acknowledged.position)
        });
        self.claims.insert(server, claim);
    }

    /// Slices that the server claims now and did not claim just before. A
    /// renewal that a frozen server takes after its lease has run out grants
    /// nothing.
    fn gained(&self, now: Time, server: ServerId, claim: &Claim) -> Vec<GrantedSlice> {
        if now >= claim.lease_until {
            return Vec::new();
        }
        let before = self.claims.get(&server).filter(|old| now < old.lease_until);
        let new = |slice: &&GrantedSlice| before.is_none_or(|old| !old.held.contains(slice));
        claim.held.iter().filter(new).copied().collect()
    }

    fn check_overlaps(
        &self,
        now: Time,
        server: ServerId,
        service: ServiceId,
        gained: &[GrantedSlice],
        violations: &mut Violations,
    ) {
        for (other, theirs) in self.others(server, service) {
            let overlap = gained.iter().find(|mine| {
                now < theirs.lease_until
                    && theirs
                        .held
                        .iter()
                        .any(|held| held.range.overlaps(&mine.range))
            });
            if let Some(slice) = overlap {
                violations.add(now, Violation::SingleOwner, || {
                    format!("{server} claims {slice:?}, which {other} claims too")
                });
            }
        }
    }

    fn others(
        &self,
        server: ServerId,
        service: ServiceId,
    ) -> impl Iterator<Item = (&ServerId, &Claim)> {
        self.claims
            .iter()
            .filter(move |(other, claim)| **other != server && claim.service == service)
    }

    fn record_grant(
        &mut self,
        now: Time,
        server: ServerId,
        service: ServiceId,
        slice: GrantedSlice,
        violations: &mut Violations,
    ) {
        let map = self.granted.entry(service).or_default();
        for old in map.overlapping(slice.range) {
            let reverts = old.token > slice.token && old.server != server;
            if reverts && !self.beyond_tolerance {
                violations.add(now, Violation::AcknowledgedAssignmentKept, || {
                    format!("{server} was granted {slice:?} after {old:?}")
                });
            }
            if old.server != server && !self.lost_since_grant.contains(&old.server) {
                *self.churned_share.entry(service).or_insert(0.0) += old.range.share();
            }
        }
        map.put(LastGrant {
            range: slice.range,
            server,
            token: slice.token,
        });
    }

    /// A server died and has forgotten its slices.
    pub fn died(&mut self, server: ServerId) {
        self.claims.remove(&server);
        self.executing.retain(|_, (owner, _, _)| *owner != server);
        self.allow_loss(server);
    }

    /// A server froze, was cut off, is leaving or is drained: it may lose its
    /// slices without a command.
    pub fn allow_loss(&mut self, server: ServerId) {
        self.lost_since_grant.insert(server);
        self.moves.retain(|acknowledged| acknowledged.to != server);
    }

    /// More replicas were lost at once than the system claims to tolerate:
    /// from now on acknowledged assignments may revert.
    pub fn record_beyond_tolerance(&mut self) {
        self.beyond_tolerance = true;
        self.moves.clear();
    }

    /// An operator was told that a move is decided.
    pub fn acknowledged(&mut self, acknowledged: AcknowledgedMove) {
        let superseded = |old: &AcknowledgedMove| {
            old.service == acknowledged.service && old.position == acknowledged.position
        };
        self.moves.retain(|old| !superseded(old));
        self.acknowledged_moves.push(acknowledged);
        let claim = self.claims.get(&acknowledged.to);
        let held = claim.filter(|claim| claim.holds_at(acknowledged.at, acknowledged.position));
        let slice = held.and_then(|claim| {
            let mut slices = claim.held.iter();
            slices.find(|slice| slice.range.contains(acknowledged.position))
        });
        if let Some(range) = slice.map(|slice| slice.range) {
            let (service, to) = (acknowledged.service, acknowledged.to);
            self.drop_superseded_moves(acknowledged.at, to, service, range);
        } else if !self.beyond_tolerance {
            self.moves.push(acknowledged);
        }
    }

    /// A server has a slice. Where an operator was lately told that another
    /// position of this slice moves there, moves that were told before it are
    /// superseded: the later of two may have come before the slice reached the
    /// owner of the first. A move told after it still has to come into force.
    fn drop_superseded_moves(
        &mut self,
        now: Time,
        server: ServerId,
        service: ServiceId,
        range: PositionRange,
    ) {
        let concerns = |acknowledged: &AcknowledgedMove| {
            acknowledged.service == service && range.contains(acknowledged.position)
        };
        let lately = now.before(MOVE_TAKES_EFFECT_WITHIN);
        let latest_effective = self
            .acknowledged_moves
            .iter()
            .filter(|acknowledged| {
                concerns(acknowledged) && acknowledged.to == server && acknowledged.at >= lately
            })
            .map(|acknowledged| acknowledged.at)
            .max();
        if let Some(latest_effective) = latest_effective {
            self.moves
                .retain(|pending| !concerns(pending) || pending.at > latest_effective);
        }
    }

    /// An execution started.
    pub fn started(
        &mut self,
        now: Time,
        service: ServiceId,
        execution: &Execution,
        violations: &mut Violations,
    ) {
        let Some(position) = execution.ownership.map(|claim| claim.position) else {
            return;
        };
        let server = execution.server;
        let claimed_by = self
            .others(server, service)
            .find(|(_, claim)| claim.holds_at(now, position));
        let executed_by = self
            .executing
            .values()
            .find(|(other, other_service, other_position)| {
                *other != server
                    && *other_service == service
                    && *other_position == position
                    && self
                        .claims
                        .get(other)
                        .is_some_and(|claim| now < claim.lease_until)
            });
        if let Some(other) = claimed_by
            .map(|(other, _)| other)
            .or(executed_by.map(|(other, _, _)| other))
        {
            violations.add(now, Violation::SingleOwner, || {
                format!("{server} starts {execution:?} for a position of {other}")
            });
        }
        self.executing
            .insert(execution.key, (server, service, position));
    }

    /// An execution ended.
    pub fn ended(&mut self, key: AttemptKey) {
        self.executing.remove(&key);
    }

    /// The run ended: moves that never reached their server are found.
    pub fn finish(&mut self, now: Time, violations: &mut Violations) {
        for acknowledged in &self.moves {
            if acknowledged.at + MOVE_TAKES_EFFECT_WITHIN < now {
                violations.add(now, Violation::AcknowledgedAssignmentKept, || {
                    format!("never in force: {acknowledged:?}")
                });
            }
        }
    }

    /// Share of a service's position space that changed owner while its owner
    /// lived, added up.
    pub fn churned_share(&self, service: ServiceId) -> f64 {
        self.churned_share.get(&service).copied().unwrap_or(0.0)
    }

    /// Slices that a server claims at a time.
    pub fn claimed(&self, now: Time, server: ServerId) -> Vec<GrantedSlice> {
        self.claims
            .get(&server)
            .filter(|claim| now < claim.lease_until)
            .map(|claim| claim.held.clone())
            .unwrap_or_default()
    }
}
