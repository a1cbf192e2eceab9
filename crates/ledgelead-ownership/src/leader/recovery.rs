//! Rebuilding a group whose quorum was lost: the servers' claims are heard
//! for as long as a lease of the former epoch can last, and adopted together.

use super::{Leader, Turn};
use crate::command::{GroupCommand, ServerClaim};
use ledgelead_types::timing::{LEADER_LEASE, LEASE, lengthened_for_drift};
use ledgelead_types::*;

impl Leader {
    /// Adopts the claims once every lease of the former epoch has ended.
    ///
    /// A leader of the former epoch may have had authority until a promise
    /// after the quorum's loss, and a lease may have been granted last then.
    pub(super) fn recover(&mut self, turn: &Turn, commands: &mut Vec<GroupCommand>) {
        if turn.configuration.is_none() {
            return;
        }
        let heard_all =
            self.since + lengthened_for_drift(LEADER_LEASE) + lengthened_for_drift(LEASE);
        if turn.now < heard_all && self.lease_wait {
            self.waiting = true;
            return;
        }
        let claims: List<ServerClaim> = self
            .heard
            .iter()
            .filter(|(_, heard)| heard.news.answering)
            .filter_map(|(id, heard)| {
                Some(ServerClaim {
                    server: *id,
                    run: heard.news.run?,
                    held: heard.news.held.clone(),
                })
            })
            .collect();
        commands.push(GroupCommand::Recover {
            space: turn.space(),
            claims,
        });
    }
}
