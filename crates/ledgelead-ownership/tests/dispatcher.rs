//! Which sessions a dispatcher updates.

use googletest::prelude::*;
use ledgelead_ownership::command::*;
use ledgelead_ownership::dispatcher::*;
use ledgelead_ownership::session::GrantAuthority;
use ledgelead_ownership::state::*;
use ledgelead_types::timing::{LEADER_LEASE, RENEW_INTERVAL};
use ledgelead_types::*;
use std::collections::BTreeSet;

const SERVERS: u32 = 50;
const START: Time = Time(1_000_000);

/// A state in which all servers are assigned to one member.
fn state() -> GroupState {
    let mut state = GroupState::start(Epoch(1), &[]).expect("empty");
    for server in (0..SERVERS).map(ServerId) {
        let definition = ServerDefinition {
            server,
            ..ServerDefinition::default()
        };
        let dispatcher = Some(Member::default());
        let commands = [
            GroupCommand::PutServer(definition),
            GroupCommand::SetDispatcher { server, dispatcher },
        ];
        state.apply(Revision(u64::from(server.0) + 1), Term(1), &commands);
    }
    state
}

fn updated(
    dispatcher: &mut Dispatcher,
    now: Time,
    state: &GroupState,
    authority_ends: Option<Time>,
) -> BTreeSet<ServerId> {
    let authority = authority_ends.map(|until| GrantAuthority {
        token: FencingToken::default(),
        until,
    });
    dispatcher.update_sessions(now, &GrantContext { state, authority });
    dispatcher.take_updated()
}

/// An input must update only the sessions that it affects, or its cost would grow with the
/// number of servers. Authority that is regained or about to end affects all sessions.
#[gtest]
fn only_affected_sessions_are_updated() {
    let state = state();
    let group = GroupId::default();
    let mut dispatcher = Dispatcher::new(group, Member::default(), true, true, START);
    let ends = Some(START + LEADER_LEASE);
    let all: BTreeSet<ServerId> = (0..SERVERS).map(ServerId).collect();
    expect_that!(updated(&mut dispatcher, START, &state, ends), eq(&all));
    expect_that!(updated(&mut dispatcher, START, &state, ends), is_empty());

    let one = ServerId(7);
    dispatcher.replied(START, one, 7, None, &state);
    let affected = updated(&mut dispatcher, START, &state, ends);
    expect_that!(affected, eq(&BTreeSet::from([one])));

    let due = START + RENEW_INTERVAL;
    expect_that!(dispatcher.next_wakeup(None), le(due));
    expect_that!(updated(&mut dispatcher, due, &state, ends), eq(&all));

    let ending = START + LEADER_LEASE - Span::from_millis(50);
    expect_that!(updated(&mut dispatcher, ending, &state, ends), eq(&all));
    let later = Some(ending + LEADER_LEASE);
    expect_that!(updated(&mut dispatcher, ending, &state, None), is_empty());
    expect_that!(updated(&mut dispatcher, ending, &state, later), eq(&all));

    dispatcher.state_changed();
    expect_that!(updated(&mut dispatcher, ending, &state, later), eq(&all));
}
