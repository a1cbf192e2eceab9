//! Upper bounds for the end of every lease that a server may hold, on the leader's clock
//! (`docs/design/leases.md`, "The leader's bound").

use crate::session::SessionStatus;
use crate::state::GroupState;
use ledgelead_types::timing::{LEASE, lengthened_for_drift};
use ledgelead_types::*;
use std::collections::BTreeMap;

/// A replica that may have granted a server a lease in this term.
#[derive(Clone, Copy, Debug)]
struct Grantor {
    /// Log position at which it was assigned the server, or at which the server was last
    /// admitted. Reports from earlier positions don't count.
    since: Revision,
    /// Position at or before which the assignment ended.
    closed: Option<Revision>,
    /// Time by which its leases have ended; known once it reported that it grants no more.
    ends: Option<Time>,
}

/// Bounds of the leases of all servers of the group.
pub struct LeaseBounds {
    /// Time by which the leases of earlier terms have ended.
    former_ends: Time,
    grantors: BTreeMap<ServerId, BTreeMap<Member, Grantor>>,
}

impl LeaseBounds {
    /// Creates the bounds at the start of a term.
    pub fn new(former_ends: Time) -> LeaseBounds {
        LeaseBounds {
            former_ends,
            grantors: BTreeMap::new(),
        }
    }

    /// Updates which replicas may grant leases. Followers learn of commits only from the
    /// leader, so the leader always knows of an assignment first.
    pub fn observe_state(&mut self, state: &GroupState) {
        self.grantors
            .retain(|server, _| state.servers.contains_key(server));
        for (id, server) in &state.servers {
            let grantors = self.grantors.entry(*id).or_default();
            for (member, grantor) in grantors.iter_mut() {
                if server.dispatcher != Some(*member) && grantor.closed.is_none() {
                    grantor.closed = Some(state.applied);
                }
            }
            if let Some(dispatcher) = server.dispatcher {
                record_grantor(grantors, dispatcher, server.admitted, state.applied);
            }
        }
    }

    /// Records that a replica has applied the log up to a position. For assignments that
    /// had ended by then, its last lease ends at most one lease duration from now.
    pub fn note_applied(&mut self, now: Time, from: Member, applied: Revision) {
        for grantors in self.grantors.values_mut() {
            let Some(grantor) = grantors.get_mut(&from) else {
                continue;
            };
            let has_ended = grantor.closed.is_some_and(|closed| applied >= closed);
            if has_ended && grantor.ends.is_none() {
                grantor.ends = Some(now + lengthened_for_drift(LEASE));
            }
        }
    }

    /// Records a dispatcher's report on whether it grants leases to a server.
    pub fn record_status(
        &mut self,
        now: Time,
        from: Member,
        server: ServerId,
        applied: Revision,
        status: &SessionStatus,
    ) {
        let grantors = self.grantors.get_mut(&server);
        let Some(grantor) = grantors.and_then(|grantors| grantors.get_mut(&from)) else {
            return;
        };
        if status.lapsed_at.is_some() && applied >= grantor.since {
            grantor.ends = Some(now + lengthened_for_drift(status.lease_left));
        }
    }

    /// Whether every lease of the server has ended by `now`.
    pub fn all_ended(
        &self,
        now: Time,
        server: ServerId,
        delegated_authority_until: &dyn Fn(Member) -> Time,
    ) -> bool {
        if now < self.former_ends {
            return false;
        }
        let Some(grantors) = self.grantors.get(&server) else {
            return true;
        };
        grantors.iter().all(|(member, grantor)| {
            let by_authority = delegated_authority_until(*member) + lengthened_for_drift(LEASE);
            let ends = grantor.ends.unwrap_or(by_authority);
            now >= ends
        })
    }
}

fn record_grantor(
    grantors: &mut BTreeMap<Member, Grantor>,
    dispatcher: Member,
    admitted: Revision,
    applied: Revision,
) {
    let fresh = Grantor {
        since: applied,
        closed: None,
        ends: None,
    };
    let Some(grantor) = grantors.get_mut(&dispatcher) else {
        grantors.insert(dispatcher, fresh);
        return;
    };
    let taken_back = grantor.closed.is_some();
    let admitted_again = admitted > grantor.since;
    if taken_back || admitted_again {
        *grantor = fresh;
    }
}
