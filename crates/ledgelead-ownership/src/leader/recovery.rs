//! Rebuilding a group whose quorum was lost: the servers' claims are heard
//! for as long as a lease of the former epoch can last, and adopted together.

use super::{Leader, LeaderContext};
use crate::command::{GroupCommand, ServerClaim};
use ledgelead_types::timing::{LEADER_LEASE, LEASE, lengthened_for_drift};
use ledgelead_types::*;

impl Leader {
    /// Adopts the claims once every lease of the former epoch has ended.
    ///
    /// A leader of the former epoch may have had authority until a promise
    /// after the quorum's loss, and a lease may have been granted last then.
    pub(super) fn recover(&mut self, context: &LeaderContext, commands: &mut Vec<GroupCommand>) {
        if context.configuration.is_none() {
            return;
        }
        let leases_end =
            self.since + lengthened_for_drift(LEADER_LEASE) + lengthened_for_drift(LEASE);
        if context.now < leases_end && self.lease_wait {
            self.awaits_deadline = true;
            return;
        }
        let claims: List<ServerClaim> = self
            .latest_reports
            .iter()
            .filter(|(_, latest)| latest.status.answering)
            .filter_map(|(id, latest)| {
                Some(ServerClaim {
                    server: *id,
                    run: latest.status.run?,
                    held: latest.status.held.clone(),
                })
            })
            .collect();
        commands.push(GroupCommand::Recover {
            space: context.space(),
            claims,
        });
    }
}
