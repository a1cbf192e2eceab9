//! Rebuild of the slice table from the servers' claims.
//!
//! After the loss of a quorum, the snapshot may be older than the last assignments. Of two
//! claims to a position, the one with the higher token is the later assignment. Positions
//! without a claim have no owner.

use super::{GroupState, Server, Slice, SlicePhase, SliceTable};
use crate::command::ServerClaim;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::*;

impl GroupState {
    /// Adopts the claims and frees all other slices.
    pub(super) fn recover(
        &mut self,
        space: Option<PositionRange>,
        claims: &[ServerClaim],
        token: FencingToken,
    ) {
        if !self.recovering {
            return;
        }
        self.recovering = false;
        let mut moves = Vec::new();
        if let Some(space) = space {
            moves = self.moves_under_way();
            let adopted = self.adopt(space, claims);
            self.slices = fill_gaps(adopted, &self.slices, space);
        }
        for server in self.servers.values_mut() {
            server.set_changed = token;
            let claim = claims
                .iter()
                .find(|claim| claim.server == server.definition.server);
            admit_or_lose(server, claim, token.revision);
        }
        self.finish_moves(&moves, token);
    }

    /// Slices in planned moves, with their next owners.
    fn moves_under_way(&self) -> Vec<(PositionRange, ServerId)> {
        let moving = |slice: &Slice| Some((slice.range, slice.phase.next_owner()?));
        self.slices.iter().filter_map(moving).collect()
    }

    /// Assigns slices that their former owner has released to the next owner, because the
    /// moves were acknowledged.
    fn finish_moves(&mut self, moves: &[(PositionRange, ServerId)], token: FencingToken) {
        for (range, to) in moves {
            let slice = self.slices.exact(*range);
            let free = slice.is_some_and(|slice| slice.phase == SlicePhase::Free);
            if free && self.servers.get(to).is_some_and(Server::accepts) {
                self.assign(*range, *to, token, true, &mut Vec::new());
            }
        }
    }

    /// The claims of known servers, without those that overlap a claim with a higher token.
    fn adopt(&self, space: PositionRange, claims: &[ServerClaim]) -> Vec<Slice> {
        let mut candidates: Vec<Slice> = Vec::new();
        for claim in claims {
            if !self.servers.contains_key(&claim.server) {
                continue;
            }
            let owner = claim.server;
            candidates.extend(claim.held.iter().map(|held| Slice {
                range: held.range,
                phase: self.phase_of_claim(owner, held),
                token: held.token,
            }));
        }
        candidates.sort_by(|one, other| {
            let by_token = other.token.cmp(&one.token);
            by_token.then(one.range.cmp(&other.range))
        });
        let mut adopted: Vec<Slice> = Vec::new();
        for candidate in candidates {
            let inside = space.covers(&candidate.range);
            let claimed = adopted
                .iter()
                .any(|slice| slice.range.overlaps(&candidate.range));
            if inside && !claimed {
                adopted.push(candidate);
            }
        }
        adopted.sort_by_key(|slice| slice.range);
        adopted
    }
}

impl GroupState {
    /// The phase of a claimed slice. A planned move in the snapshot continues, because it
    /// was acknowledged.
    fn phase_of_claim(&self, owner: ServerId, held: &GrantedSlice) -> SlicePhase {
        let known = self.slices.exact(held.range);
        let known = known.filter(|slice| slice.token == held.token);
        let moving = known.map(|slice| slice.phase).filter(|phase| {
            let continues = phase
                .next_owner()
                .is_some_and(|next| self.servers.contains_key(&next));
            phase.holder() == Some(owner) && continues
        });
        moving.unwrap_or(SlicePhase::Held { owner })
    }
}

fn admit_or_lose(server: &mut Server, claim: Option<&ServerClaim>, revision: Revision) {
    if let Some(claim) = claim {
        server.run = Some(claim.run);
        server.admitted = revision;
        if server.status == ServerStatus::Lost {
            server.status = ServerStatus::Active;
        }
    } else if server.status != ServerStatus::Retired {
        server.status = ServerStatus::Lost;
    }
}

/// Fills the gaps between claims with ownerless slices, split at the former boundaries.
fn fill_gaps(adopted: Vec<Slice>, former: &SliceTable, space: PositionRange) -> SliceTable {
    if adopted.is_empty() && former.is_empty() {
        return SliceTable::default();
    }
    let single = SliceTable::single(space);
    let former = if former.is_empty() { &single } else { former };
    let mut table = adopted.clone();
    for old in former.iter() {
        let mut next = Some(old.range.first);
        for slice in adopted
            .iter()
            .filter(|slice| slice.range.overlaps(&old.range))
        {
            push_free(&mut table, next, slice.range.first, old);
            next = slice.range.last.0.checked_add(1).map(Position);
        }
        if let Some(first) = next
            && first <= old.range.last
        {
            table.push(free(first, old.range.last, old));
        }
    }
    table.into_iter().collect()
}

fn push_free(table: &mut Vec<Slice>, from: Option<Position>, until: Position, old: &Slice) {
    if let Some(first) = from
        && first < until
    {
        table.push(free(first, Position(until.0 - 1), old));
    }
}

fn free(first: Position, last: Position, old: &Slice) -> Slice {
    Slice {
        range: PositionRange { first, last },
        phase: SlicePhase::Free,
        token: old.token,
    }
}
