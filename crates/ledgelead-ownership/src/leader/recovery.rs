//! Rebuild of a group that lost its quorum: the leader collects the servers' claims for as
//! long as a lease of the former epoch can last, and then adopts them together.

use super::{Leader, LeaderContext};
use crate::command::{GroupCommand, ServerClaim};
use ledgelead_types::timing::{LEADER_LEASE, LEASE, lengthened_for_drift};
use ledgelead_types::*;

impl Leader {
    /// Adopts the claims once every lease of the former epoch has ended.
    ///
    /// A leader of the former epoch may have had authority for [`LEADER_LEASE`] after the
    /// loss of the quorum, and may have granted a lease at the end of that time.
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
