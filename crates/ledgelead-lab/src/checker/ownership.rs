//! Checks that each position has at most one owner and that acknowledged assignments persist.
//!
//! A server *claims* a position while it holds a slice containing the position under a lease
//! that is unexpired in true time. Claims change only when a server accepts a renewal or dies,
//! so overlaps are checked after each renewal that changed a claim. A server that started a
//! request under a valid lease and was then lost may still be executing it when its successor
//! starts, since work in a lost server's memory can't be recalled. An overlap of executions is
//! therefore a violation only while the previous server's lease is valid: then the handover
//! did not wait.

use super::partition_map::{LastGrant, PartitionMap};
use super::violation::{Violation, Violations};
use crate::standin::execution::{AttemptKey, Execution};
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::{Position, PositionRange, ServerId, ServiceId, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Time within which an acknowledged move reaches the new owner, unless there are losses.
const MOVE_TAKES_EFFECT_WITHIN: Span = Span::from_seconds(5);

/// Slices held by a server, as recorded by the server itself.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Its service.
    pub service: ServiceId,
    /// The held slices.
    pub held: Vec<GrantedSlice>,
    /// End of its lease in true time.
    pub lease_until: Time,
}

impl Claim {
    fn holds_at(&self, now: Time, position: Position) -> bool {
        now < self.lease_until && self.held.iter().any(|slice| slice.range.contains(position))
    }
}

/// A move that was acknowledged to an operator.
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

/// Checks the ownership of positions.
#[derive(Clone, Debug, Default)]
pub struct OwnershipChecker {
    claims: BTreeMap<ServerId, Claim>,
    executing: BTreeMap<AttemptKey, (ServerId, ServiceId, Position)>,
    granted: BTreeMap<ServiceId, PartitionMap>,
    lost_since_grant: BTreeSet<ServerId>,
    /// Moves whose new owner does not hold the slice yet.
    moves: Vec<AcknowledgedMove>,
    /// All moves, in the order of their acknowledgement.
    acknowledged_moves: Vec<AcknowledgedMove>,
    beyond_tolerance: bool,
    churned_share: BTreeMap<ServiceId, f64>,
}

impl OwnershipChecker {
    /// A server accepted a renewal, which resulted in this claim.
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

    /// Slices that the server claims now but did not claim before. A renewal that a frozen
    /// server accepts after the lease has expired grants nothing.
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

    /// A server died and lost its slices.
    pub fn died(&mut self, server: ServerId) {
        self.claims.remove(&server);
        self.executing.retain(|_, (owner, _, _)| *owner != server);
        self.allow_loss(server);
    }

    /// A server froze, was partitioned, is leaving or is being drained, so it may lose its
    /// slices without a command.
    pub fn allow_loss(&mut self, server: ServerId) {
        self.lost_since_grant.insert(server);
        self.moves.retain(|acknowledged| acknowledged.to != server);
    }

    /// More replicas were lost at once than the system tolerates, so from now on acknowledged
    /// assignments may be reverted.
    pub fn record_beyond_tolerance(&mut self) {
        self.beyond_tolerance = true;
        self.moves.clear();
    }

    /// A move was acknowledged to an operator.
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

    /// A server acquired a slice. If a recent acknowledgement assigned another position of
    /// this slice to the server, moves acknowledged before it are superseded: the later of two
    /// moves may be carried out before the slice reaches the owner named by the first. A move
    /// acknowledged after it must still take effect.
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

    /// Ends the checks and reports moves that never reached their server.
    pub fn finish(&mut self, now: Time, violations: &mut Violations) {
        for acknowledged in &self.moves {
            if acknowledged.at + MOVE_TAKES_EFFECT_WITHIN < now {
                violations.add(now, Violation::AcknowledgedAssignmentKept, || {
                    format!("never in force: {acknowledged:?}")
                });
            }
        }
    }

    /// Accumulated share of a service's position space that changed owner while its owner was
    /// alive.
    pub fn churned_share(&self, service: ServiceId) -> f64 {
        self.churned_share.get(&service).copied().unwrap_or(0.0)
    }

    /// Slices that a server claims at the given time.
    pub fn claimed(&self, now: Time, server: ServerId) -> Vec<GrantedSlice> {
        self.claims
            .get(&server)
            .filter(|claim| now < claim.lease_until)
            .map(|claim| claim.held.clone())
            .unwrap_or_default()
    }
}
