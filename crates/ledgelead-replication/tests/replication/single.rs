//! A single replica driven by hand-written messages.

use crate::simulation::member;
use googletest::prelude::*;
use ledgelead_replication::*;
use ledgelead_types::protections::Protections;
use ledgelead_types::timing::{
    ELECTION_JITTER, HEARTBEAT_INTERVAL, LEADER_LEASE, lengthened_for_drift,
};
use ledgelead_types::{Bytes, Epoch, GroupId, List, Member, Revision, Span, Term, Time};

const START: Time = Time(1_000_000);

fn voters() -> Vec<Member> {
    (1..=3).map(|node| member(node, 1)).collect()
}

fn replica() -> Replica {
    replica_as(member(1, 1))
}

fn replica_as(identity: Member) -> Replica {
    replica_from(identity, Vec::new())
}

fn replica_from(identity: Member, start_state: Vec<u8>) -> Replica {
    let settings = ReplicaSettings {
        group: GroupId::default(),
        epoch: Epoch(1),
        identity,
        voters: voters(),
        start_state,
        random_seed: 1,
        protections: Protections::default(),
    };
    Replica::new(settings, START)
}

fn message(term: u64, body: Body) -> ReplicationMessage {
    ReplicationMessage {
        epoch: Epoch(1),
        term: Term(term),
        to: member(1, 1).incarnation,
        body,
    }
}

/// An append of one command of the leader's term.
fn append(term: u64, previous: (u64, u64), commit: u64) -> ReplicationMessage {
    let command = Payload::Command(Bytes(vec![previous.0 as u8]));
    let entry = Entry {
        term: Term(term),
        payload: command,
    };
    let start = replica().start_digest().expect("position 0 is kept");
    let previous_term = if previous.0 == 0 { start } else { previous.1 };
    let append = Append {
        sent: START,
        previous: Revision(previous.0),
        previous_term: Term(previous_term),
        commit: Revision(commit),
        delegation: None,
        lazy: false,
        entries: List(vec![entry]),
    };
    message(term, Body::Append(append))
}

fn vote(term: u64) -> ReplicationMessage {
    let request = VoteRequest {
        last_revision: Revision(9),
        last_term: Term(9),
        transfer: false,
    };
    message(term, Body::Vote(request))
}

/// A promise blocks votes of any term, and the refused request doesn't change the term.
#[gtest]
fn promise_blocks_votes() {
    let mut replica = replica();
    replica.step(START, member(2, 1), append(1, (0, 0), 0));
    replica.take_ready();
    let ends = START + lengthened_for_drift(LEADER_LEASE);
    replica.step(Time(ends.0 - 1), member(3, 1), vote(7));
    expect_that!(replica.term(), eq(Term(1)));
    expect_that!(replica.take_ready().messages, is_empty());
    replica.step(ends, member(3, 1), vote(7));
    let granted = Body::VoteReply(VoteReply { granted: true });
    expect_that!(replica.term(), eq(Term(7)));
    expect_that!(replica.take_ready().messages[0].1.body, eq(&granted));
}

/// Messages for another incarnation or of another epoch are ignored.
#[gtest]
fn messages_for_others_are_ignored() {
    let mut replica = replica();
    let mut for_old_run = append(1, (0, 0), 0);
    for_old_run.to = member(1, 2).incarnation;
    let mut of_old_epoch = append(1, (0, 0), 0);
    of_old_epoch.epoch = Epoch(0);
    for foreign in [for_old_run, of_old_epoch] {
        replica.step(START, member(2, 1), foreign);
        expect_that!(replica.take_ready(), eq(&Ready::default()));
        expect_that!(replica.term(), eq(Term(0)));
    }
}

/// A restarted voter has no vote, and no state until it is sent a snapshot.
#[gtest]
fn newcomer_waits_for_a_snapshot() {
    let mut replica = replica_as(member(1, 2));
    expect_that!(replica.role(), eq(Role::Learner));
    expect_that!(replica.next_wakeup(), eq(Time(u64::MAX)));
    let mut request = vote(7);
    request.to = member(1, 2).incarnation;
    replica.step(START, member(3, 1), request);
    expect_that!(replica.take_ready().messages, is_empty());
    let mut entries = append(1, (0, 0), 0);
    entries.to = member(1, 2).incarnation;
    replica.step(START, member(2, 1), entries);
    let needs_snapshot = Body::AppendReply(AppendReply {
        sent: START,
        stamp: START,
        lazy: false,
        outcome: AppendOutcome::NeedsSnapshot,
    });
    let messages = replica.take_ready().messages;
    expect_that!(messages[0].1.body, eq(&needs_snapshot));
}

/// Majorities of memberships that differ by one voter share a voter.
#[gtest]
fn majorities_overlap() {
    let quorum =
        |count| Membership::of_voters((0..count).map(|node| member(node, 1)).collect()).quorum();
    for count in 1..9_u32 {
        let together = quorum(count) + quorum(count + 1);
        expect_that!(together, gt(count as usize + 1));
        expect_that!(quorum(count) * 2, gt(count as usize));
    }
}

/// A voter that started from a later state than the leader must not apply the log to it, or
/// entries would be applied twice. It is sent the leader's state first.
#[gtest]
fn different_initial_state_is_replaced() {
    let mut replica = replica_from(member(1, 1), b"later".to_vec());
    replica.step(START, member(2, 1), append(1, (0, 0), 1));
    let reply = replica.take_ready().messages.remove(0).1.body;
    let outcome = AppendOutcome::NeedsSnapshot;
    expect_that!(
        reply,
        pat!(Body::AppendReply(pat!(AppendReply {
            outcome: eq(&outcome),
            ..
        })))
    );
    let install = Install {
        sent: START,
        revision: Revision(0),
        revision_term: Term(0),
        membership: Membership::of_voters(voters()),
        state: Bytes(Vec::new()),
    };
    replica.step(START, member(2, 1), message(1, Body::Install(install)));
    replica.step(START, member(2, 1), append(1, (0, 0), 1));
    let ready = replica.take_ready();
    expect_that!(
        ready.install.map(|installed| installed.state),
        some(is_empty())
    );
    expect_that!(ready.committed.len(), eq(1));
    expect_that!(replica.role(), eq(Role::Follower));
}

/// Delegated authority ends with its term and when it times out on the follower's clock.
#[gtest]
fn delegation_belongs_to_its_term() {
    let mut replica = replica();
    let delegated = |term| {
        let mut message = append(term, (0, 0), 0);
        if let Body::Append(append) = &mut message.body {
            append.delegation = Some(Delegation {
                stamp: START,
                span: Span::from_millis(100),
            });
        }
        message
    };
    replica.step(START, member(2, 1), delegated(1));
    let until = START + Span::from_millis(100);
    let held = Authority {
        term: Term(1),
        until,
    };
    expect_that!(replica.authority(START), some(eq(held)));
    expect_that!(replica.authority(until), none());
    replica.step(START, member(3, 1), append(2, (0, 0), 0));
    expect_that!(replica.authority(START), none());
}

/// A delayed snapshot doesn't drop acknowledged entries after it.
#[gtest]
fn delayed_snapshot_keeps_later_entries() {
    let mut replica = replica();
    replica.step(START, member(2, 1), append(1, (0, 0), 0));
    replica.step(START, member(2, 1), append(1, (1, 1), 0));
    let install = Install {
        sent: START,
        revision: Revision(1),
        revision_term: Term(1),
        membership: Membership::of_voters(voters()),
        state: Bytes(Vec::new()),
    };
    replica.step(START, member(2, 1), message(1, Body::Install(install)));
    expect_that!(replica.last_revision(), eq(Revision(2)));
    expect_that!(replica.commit_revision(), eq(Revision(1)));
}

/// A leader of term 2 with an entry of term 1, and the time of its election.
fn elected() -> (Replica, Time) {
    let mut replica = replica();
    replica.step(START, member(2, 1), append(1, (0, 0), 0));
    let now = START + lengthened_for_drift(LEADER_LEASE) + ELECTION_JITTER;
    replica.tick(now);
    let pre_vote = PreVoteReply {
        for_term: Term(2),
        granted: true,
        wait: Span::ZERO,
    };
    replica.step(now, member(3, 1), message(1, Body::PreVoteReply(pre_vote)));
    let granted = Body::VoteReply(VoteReply { granted: true });
    replica.step(now, member(3, 1), message(2, granted));
    assert_that!(replica.role(), eq(Role::Leader));
    (replica, now)
}

/// Replies to the leader's latest message, which was sent at `now`.
fn reply_to(replica: &mut Replica, now: Time, from: Member) {
    let reply = AppendReply {
        sent: now,
        stamp: now,
        lazy: false,
        outcome: AppendOutcome::Matched(Matched {
            revision: Revision(2),
        }),
    };
    replica.step(now, from, message(2, Body::AppendReply(reply)));
}

/// A follower that receives messages but doesn't reply is delegated no authority beyond
/// [`LEADER_LEASE`] after its latest reply, however long the others reply.
#[gtest]
fn authority_of_an_unresponsive_follower_ends() {
    let (mut replica, elected) = elected();
    reply_to(&mut replica, elected, member(2, 1));
    let mut latest_given = Time::ZERO;
    for round in 0..10 {
        let now = elected + Span(HEARTBEAT_INTERVAL.0 * round);
        reply_to(&mut replica, now, member(3, 1));
        replica.tick(now);
        for (to, sent) in replica.take_ready().messages {
            if let Body::Append(Append {
                delegation: Some(part),
                ..
            }) = sent.body
                && to == member(2, 1)
            {
                latest_given = latest_given.max(part.stamp + part.span);
            }
        }
    }
    let ends = elected + LEADER_LEASE;
    expect_that!(latest_given, all!(gt(elected), le(ends)));
    expect_that!(replica.delegated_authority_until(member(2, 1)), eq(ends));
    expect_that!(replica.delegated_authority_until(member(3, 1)), gt(ends));
}

/// A new leader does not commit an older term's entry by counting its copies
/// (Raft, figure 8).
#[gtest]
fn older_entries_commit_with_the_leaders_own() {
    let (mut replica, now) = elected();
    let addition = MembershipChange::AddLearner(member(4, 1));
    let early = replica.change_membership(now, addition);
    expect_that!(early, err(eq(MembershipError::NotReady)));
    for (agreed, committed) in [(1, 0), (2, 2)] {
        let reply = AppendReply {
            sent: now,
            stamp: START,
            lazy: false,
            outcome: AppendOutcome::Matched(Matched {
                revision: Revision(agreed),
            }),
        };
        replica.step(now, member(3, 1), message(2, Body::AppendReply(reply)));
        expect_that!(replica.commit_revision(), eq(Revision(committed)));
        expect_that!(replica.leader_is_ready(), eq(committed > 0));
    }
    let until = replica.authority(now).map(|held| held.until);
    expect_that!(until, some(eq(now + LEADER_LEASE)));
    expect_that!(replica.authority(now + LEADER_LEASE), none());
}
