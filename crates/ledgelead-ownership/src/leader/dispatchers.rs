//! Assignment of servers to dispatchers.
//!
//! Servers are spread evenly over the followers, and assigned to the leader only if no
//! follower is usable. All servers of a service that is not partitioned by key have the
//! same dispatcher, which sees the whole queue.

use super::{Leader, LeaderContext, MemberContact};
use crate::command::GroupCommand;
use crate::state::Server;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::*;
use std::collections::BTreeMap;

/// A replica that has not replied for this long can't be a dispatcher. Longer than two
/// heartbeats, so one lost message has no effect.
const DISPATCHER_TIMEOUT: Span = Span::from_millis(180);
/// Interval between reassignments that only balance the dispatchers.
const SPREAD_INTERVAL: Span = Span::from_seconds(1);

impl Leader {
    /// Assigns servers without a usable dispatcher to another one, and gradually balances
    /// the numbers of servers.
    pub(super) fn place_dispatchers(
        &mut self,
        context: &LeaderContext,
        commands: &mut Vec<GroupCommand>,
    ) {
        let candidates = self.candidates(context);
        if candidates.is_empty() {
            return;
        }
        let mut counts: BTreeMap<Member, usize> =
            candidates.iter().map(|member| (*member, 0)).collect();
        for server in context.state.servers.values() {
            if let Some(count) = server.dispatcher.and_then(|held| counts.get_mut(&held)) {
                *count += 1;
            }
        }
        for (id, server) in &context.state.servers {
            if server.status == ServerStatus::Retired || has_usable_dispatcher(server, &candidates)
            {
                continue;
            }
            let least = least_busy(&counts, context.partitioned());
            *counts.get_mut(&least).expect("a candidate") += 1;
            commands.push(set(*id, least));
        }
        self.rebalance(context, &counts, commands);
    }

    /// Replicas that may be dispatchers now.
    fn candidates(&self, context: &LeaderContext) -> Vec<Member> {
        let is_recent = |last_contact| context.now.since(last_contact) < DISPATCHER_TIMEOUT;
        let usable = |contact: &&MemberContact| {
            let other = contact.member != context.identity;
            let stopping = self.stopping.contains(&contact.member);
            other && !stopping && contact.last_contact.is_some_and(is_recent)
        };
        let followers = context.dispatchable_members().filter(usable);
        let followers: Vec<Member> = followers.map(|contact| contact.member).collect();
        if followers.is_empty() {
            vec![context.identity]
        } else {
            followers
        }
    }

    fn rebalance(
        &mut self,
        context: &LeaderContext,
        counts: &BTreeMap<Member, usize>,
        commands: &mut Vec<GroupCommand>,
    ) {
        if context.now < self.next_spread || !context.partitioned() {
            return;
        }
        self.next_spread = context.now + SPREAD_INTERVAL;
        let busiest = counts.iter().max_by_key(|(_, count)| **count);
        let idlest = counts.iter().min_by_key(|(_, count)| **count);
        let (Some((busiest, most)), Some((idlest, fewest))) = (busiest, idlest) else {
            return;
        };
        if *most < fewest + 2 {
            return;
        }
        let moved = context
            .state
            .servers
            .iter()
            .find(|(_, server)| server.dispatcher == Some(*busiest));
        if let Some((id, _)) = moved {
            commands.push(set(*id, *idlest));
        }
    }
}

fn has_usable_dispatcher(server: &Server, candidates: &[Member]) -> bool {
    server
        .dispatcher
        .is_some_and(|dispatcher| candidates.contains(&dispatcher))
}

/// The candidate with the fewest servers; for a service that is not partitioned, the one
/// that already has the other servers.
fn least_busy(counts: &BTreeMap<Member, usize>, partitioned: bool) -> Member {
    let entry = if partitioned {
        counts.iter().min_by_key(|(_, count)| **count)
    } else {
        counts.iter().max_by_key(|(_, count)| **count)
    };
    *entry.expect("there is a candidate").0
}

fn set(server: ServerId, dispatcher: Member) -> GroupCommand {
    GroupCommand::SetDispatcher {
        server,
        dispatcher: Some(dispatcher),
    }
}
