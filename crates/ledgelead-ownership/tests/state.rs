//! The replicated state: determinism, snapshots, the slice table, and malformed messages.

use googletest::prelude::*;
use ledgelead_ownership::command::*;
use ledgelead_ownership::message::{GroupRequest, NumberedRequest};
use ledgelead_ownership::state::*;
use ledgelead_ownership::{GroupMessage, SnapshotWriter};
use ledgelead_types::administration::GroupOperation;
use ledgelead_types::codec::{decode, encode};
use ledgelead_types::dispatch::*;
use ledgelead_types::*;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq};
use proptest::prop_oneof;
use proptest::test_runner::RngSeed;

const SERVERS: u32 = 4;
const SLICES: u64 = 8;

fn server() -> impl Strategy<Value = ServerId> {
    (0..SERVERS).prop_map(ServerId)
}

/// A range that is a slice as long as nothing was split.
fn range() -> impl Strategy<Value = PositionRange> {
    (0..SLICES).prop_map(|index| PositionRange::ALL.part(index, SLICES))
}

fn operation() -> impl Strategy<Value = GroupOperation> {
    let position = any::<u64>().prop_map(Position);
    prop_oneof![
        server().prop_map(GroupOperation::Drain),
        server().prop_map(GroupOperation::Activate),
        (position.clone(), server())
            .prop_map(|(position, to)| GroupOperation::MoveSlice { position, to }),
        position
            .clone()
            .prop_map(|at| GroupOperation::SplitSlice { at }),
        (position.clone(), position).prop_map(|(first, last)| {
            let range = PositionRange { first, last };
            GroupOperation::Isolate { range }
        }),
    ]
}

fn command() -> impl Strategy<Value = GroupCommand> {
    let run = 1..3_u64;
    let owner = (0..3_u64).prop_map(|request| IdempotencyOwner {
        gateway: Member::default(),
        request: RequestId(request),
    });
    let key = (0..4_u64).prop_map(IdempotencyKey);
    let ended = prop_oneof![
        Just(None),
        Just(Some(IdempotencyState::Answered)),
        Just(Some(IdempotencyState::Unknown)),
    ];
    prop_oneof![
        server().prop_map(|server| GroupCommand::PutServer(ServerDefinition {
            server,
            ..ServerDefinition::default()
        })),
        server().prop_map(GroupCommand::RemoveServer),
        Just(GroupCommand::CreateSlices {
            space: PositionRange::ALL,
            count: SLICES as u32
        }),
        (server(), run).prop_map(|(server, run)| GroupCommand::Admit { server, run }),
        (server(), 0..200_u64).prop_map(|(server, at)| GroupCommand::Lose {
            server,
            lapsed_at: Revision(at),
        }),
        server().prop_map(GroupCommand::Retire),
        (range(), server()).prop_map(|(range, to)| GroupCommand::Assign { range, to }),
        (range(), server(), server()).prop_map(|(range, from, to)| GroupCommand::Release {
            range,
            from,
            to
        }),
        (range(), 0..200_u64).prop_map(|(range, revision)| GroupCommand::Released {
            range,
            token: FencingToken {
                epoch: Epoch(1),
                term: Term(1),
                revision: Revision(revision),
            },
        }),
        any::<u64>().prop_map(|at| GroupCommand::Split { at: Position(at) }),
        (range(), range()).prop_map(|(first, second)| GroupCommand::Merge { first, second }),
        (owner.clone(), key.clone())
            .prop_map(|(owner, key)| GroupCommand::BeginIdempotencyRecord { owner, key }),
        (owner, key, ended).prop_map(|(owner, key, state)| GroupCommand::EndIdempotencyRecord {
            owner,
            key,
            state
        }),
        (0..200_u64).prop_map(|at| GroupCommand::ExpireRecords {
            through: Revision(at)
        }),
        (0..20_u32, operation()).prop_map(|(id, operation)| GroupCommand::Operate {
            command_id: Text(format!("operation-{id}")),
            operation,
        }),
    ]
}

/// Whether the slices have no gaps and are held only by known servers.
fn is_consistent(state: &GroupState) -> bool {
    let mut next = Some(Position(0));
    for slice in state.slices.iter() {
        if next != Some(slice.range.first) {
            return false;
        }
        next = slice.range.last.0.checked_add(1).map(Position);
        let holder = slice.phase.holder();
        if holder.is_some_and(|holder| !state.servers.contains_key(&holder)) {
            return false;
        }
    }
    let complete = state.slices.is_empty() || next.is_none();
    complete && (0..SERVERS).all(|server| index_matches(state, ServerId(server)))
}

/// Whether the index by server matches the table.
fn index_matches(state: &GroupState, server: ServerId) -> bool {
    let all = state.slices.iter();
    let affected = all.filter(|slice| slice.phase.servers().any(|id| id == server));
    let found = state.slices.of_server(server).count();
    affected.eq(state.slices.of_server(server)) && found == state.slice_count(server)
}

proptest::proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x6f77_6e65),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn apply_is_deterministic_and_a_restored_state_goes_on_the_same(
        commands in proptest::collection::vec(command(), 1..120),
        restore_at in 0..120_usize,
    ) {
        let mut whole = GroupState::start(Epoch(1), &[]).expect("empty");
        let mut restored = whole.clone();
        for (index, command) in commands.into_iter().enumerate() {
            let revision = Revision(index as u64 + 1);
            let batch = [command];
            let decided = whole.apply(revision, Term(1), &batch);
            let again = restored.apply(revision, Term(1), &batch);
            prop_assert_eq!(decided, again);
            if index == restore_at {
                restored = GroupState::restore(&whole.snapshot()).expect("its own bytes");
            }
            prop_assert_eq!(&whole, &restored);
            prop_assert!(is_consistent(&whole), "{:?}", whole.slices);
        }
    }

    #[test]
    fn a_recovered_table_has_no_gaps_and_keeps_the_highest_tokens(
        claims in proptest::collection::vec((server(), range(), 0..50_u64), 0..12),
    ) {
        let mut state = GroupState::start(Epoch(2), &[]).expect("empty");
        for id in 0..SERVERS {
            let definition = ServerDefinition { server: ServerId(id), ..ServerDefinition::default() };
            state.apply(Revision(1), Term(1), &[GroupCommand::PutServer(definition)]);
        }
        let claim = |(server, range, revision): &(ServerId, PositionRange, u64)| {
            let token = FencingToken { epoch: Epoch(1), term: Term(1), revision: Revision(*revision) };
            let held = vec![server::GrantedSlice { range: *range, token }].into();
            ServerClaim { server: *server, run: 1, held }
        };
        let sent: List<ServerClaim> = claims.iter().map(claim).collect();
        let space = Some(PositionRange::ALL);
        state.apply(Revision(2), Term(1), &[GroupCommand::Recover { space, claims: sent }]);
        prop_assert!(is_consistent(&state));
        for (_, range, revision) in claims {
            let slice = state.slices.at(range.first).expect("no gaps");
            prop_assert!(slice.token.revision >= Revision(revision));
        }
    }

    #[test]
    fn malformed_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<GroupMessage>(&bytes);
        let _ = decode::<List<GroupCommand>>(&bytes);
        let _ = GroupState::restore(&bytes);
    }
}

#[gtest]
fn truncated_messages_are_rejected() {
    let message = GroupMessage::Requests(List(vec![NumberedRequest {
        number: 7,
        request: GroupRequest::Operate {
            command_id: "operation-1".into(),
            operation: GroupOperation::Drain(ServerId(1)),
        },
    }]));
    let bytes = encode(&message);
    for length in 0..bytes.len() {
        expect_that!(decode::<GroupMessage>(&bytes[..length]), err(anything()));
    }
    expect_that!(decode::<GroupMessage>(&bytes), ok(eq(&message)));
}

/// A large snapshot delays the next one, but not a change of the voters.
#[gtest]
fn snapshots_are_paced_by_their_size() {
    let start = Time(1_000_000);
    let mut writer = SnapshotWriter::default();
    writer.members_changed(start);
    expect_that!(writer.is_due(start), eq(true));
    writer.sent(start, Revision(1), 15_000);
    writer.stored(Revision(1));
    expect_that!(writer.due_at(), none());
    writer.ownership_changed(start);
    expect_that!(writer.due_at(), some(eq(start + Span::from_seconds(10))));
    writer.members_changed(start);
    expect_that!(writer.due_at(), some(eq(start + Span::from_seconds(1))));
    writer.sent(start, Revision(2), 15_000_000);
    writer.stored(Revision(2));
    writer.records_changed(start);
    expect_that!(writer.due_at(), some(eq(start + Span::from_seconds(60))));
}

#[gtest]
fn records_are_bounded_and_running_ones_are_kept() {
    let mut records = IdempotencyRecords::default();
    let owner = |request| IdempotencyOwner {
        gateway: Member::default(),
        request: RequestId(request),
    };
    for number in 0..MAXIMUM_RECORDS as u64 {
        let verdict = records.begin(owner(number), IdempotencyKey(number), Revision(number));
        expect_that!(verdict, eq(IdempotencyVerdict::Fresh));
    }
    let extra = IdempotencyKey(u64::MAX);
    let refused = records.begin(owner(u64::MAX), extra, Revision(u64::MAX));
    expect_that!(refused, eq(IdempotencyVerdict::Unavailable));
    records.end(
        owner(5),
        IdempotencyKey(5),
        Some(IdempotencyState::Answered),
    );
    let taken = records.begin(owner(u64::MAX), extra, Revision(u64::MAX));
    expect_that!(taken, eq(IdempotencyVerdict::Fresh));
    expect_that!(records.len(), eq(MAXIMUM_RECORDS));
}

/// Commands for two servers and one slice of all positions that the first server holds.
fn one_slice_at(from: ServerId, to: ServerId) -> Vec<GroupCommand> {
    let range = PositionRange::ALL;
    let mut commands = vec![GroupCommand::CreateSlices {
        space: range,
        count: 1,
    }];
    for server in [from, to] {
        let definition = ServerDefinition {
            server,
            ..ServerDefinition::default()
        };
        commands.push(GroupCommand::PutServer(definition));
        commands.push(GroupCommand::Admit { server, run: 1 });
    }
    commands.push(GroupCommand::Assign { range, to: from });
    commands
}

/// If the former owner is lost before it has released the slice, the slice must go to the
/// acknowledged next owner instead of any server.
#[gtest]
fn an_acknowledged_move_outlives_the_loss_of_the_former_owner() {
    let mut state = GroupState::start(Epoch(1), &[]).expect("empty");
    let (from, to) = (ServerId(0), ServerId(1));
    let range = PositionRange::ALL;
    let commands = one_slice_at(from, to);
    state.apply(Revision(1), Term(1), &commands);
    let operation = GroupOperation::MoveSlice {
        position: range.first,
        to,
    };
    let asked = GroupCommand::Operate {
        command_id: "move-1".into(),
        operation,
    };
    state.apply(Revision(2), Term(1), &[asked]);
    let lost = GroupCommand::Lose {
        server: from,
        lapsed_at: Revision(2),
    };
    state.apply(Revision(3), Term(1), &[lost]);
    let granted = state.granted(to);
    expect_that!(granted.len(), eq(1));
    expect_that!(granted[0].token.revision, eq(Revision(3)));
    expect_that!(state.granted(from).is_empty(), eq(true));
}

/// An answered request keeps its record when an earlier request to begin is canceled late.
/// Otherwise a retry would be executed again.
#[gtest]
fn a_late_cancel_removes_no_ended_record() {
    let owner = |request| IdempotencyOwner {
        gateway: Member::default(),
        request: RequestId(request),
    };
    let key = IdempotencyKey(1);
    let mut records = IdempotencyRecords::default();
    records.begin(owner(1), key, Revision(1));
    records.end(owner(1), key, Some(IdempotencyState::Answered));
    records.end(owner(1), key, None);
    let repeat = records.begin(owner(2), key, Revision(2));
    let answered = IdempotencyVerdict::Duplicate(IdempotencyState::Answered);
    expect_that!(repeat, eq(answered));
}

/// If the group is rebuilt while a slice is being moved, the former owner must not keep the
/// slice, because the move was acknowledged.
#[gtest]
fn an_acknowledged_move_outlives_a_rebuild() {
    let (from, to) = (ServerId(0), ServerId(1));
    let range = PositionRange::ALL;
    for still_held in [true, false] {
        let mut state = GroupState::start(Epoch(1), &[]).expect("empty");
        let mut commands = one_slice_at(from, to);
        commands.push(GroupCommand::Release { range, from, to });
        state.apply(Revision(1), Term(1), &commands);
        let token = state.slices.at(range.first).expect("a slice").token;
        let mut rebuilt = GroupState::start(Epoch(2), &state.snapshot()).expect("its own bytes");
        let claim = |server, held: Vec<server::GrantedSlice>| ServerClaim {
            server,
            run: 1,
            held: held.into(),
        };
        let held = vec![server::GrantedSlice { range, token }];
        let held = if still_held { held } else { Vec::new() };
        let claims = vec![claim(from, held), claim(to, Vec::new())].into();
        let space = Some(range);
        rebuilt.apply(
            Revision(1),
            Term(1),
            &[GroupCommand::Recover { space, claims }],
        );
        let phase = rebuilt.slices.at(range.first).expect("a slice").phase;
        let expected = if still_held {
            SlicePhase::Releasing { from, to }
        } else {
            SlicePhase::Held { owner: to }
        };
        expect_that!(phase, eq(expected));
    }
}
