//! Which replica is the dispatcher of which server.
//!
//! Followers take the servers, evenly; the leader only when it is alone. All
//! servers of a service that is not divided by key have one dispatcher, which
//! sees the whole queue.

use super::{Leader, LeaderContext, MemberContact};
use crate::command::GroupCommand;
use crate::state::Server;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::*;
use std::collections::BTreeMap;

/// A replica that has not answered for this long is no dispatcher. It is
/// longer than two heartbeats, so one lost message changes nothing.
const DISPATCHER_SILENCE: Span = Span::from_millis(180);
/// Interval between moves that only even out the dispatchers.
const SPREAD_INTERVAL: Span = Span::from_seconds(1);

impl Leader {
    /// Puts servers without a usable dispatcher into another's care, and
    /// evens the numbers out slowly.
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
        self.even_out(context, &counts, commands);
    }

    /// Replicas that may be dispatchers now.
    fn candidates(&self, context: &LeaderContext) -> Vec<Member> {
        let lately = |heard| context.now.since(heard) < DISPATCHER_SILENCE;
        let usable = |contact: &&MemberContact| {
            let other = contact.member != context.identity;
            let stopping = self.stopping.contains(&contact.member);
            other && !stopping && contact.last_contact.is_some_and(lately)
        };
        let followers = context.dispatchable_members().filter(usable);
        let followers: Vec<Member> = followers.map(|contact| contact.member).collect();
        if followers.is_empty() {
            vec![context.identity]
        } else {
            followers
        }
    }

    fn even_out(
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

/// The least busy candidate; for an undivided service the one that has the
/// others already.
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
