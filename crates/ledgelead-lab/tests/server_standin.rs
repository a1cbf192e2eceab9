//! Tests that a simulated server respects its lease, its tokens and its slots.

use googletest::prelude::*;
use ledgelead_lab::standin::Moment;
use ledgelead_lab::standin::execution::*;
use ledgelead_lab::standin::server::*;
use ledgelead_types::protections::Protections;
use ledgelead_types::request::{AttemptId, OwnershipClaim};
use ledgelead_types::server::*;
use ledgelead_types::timing::LEASE;
use ledgelead_types::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn server(slots: u16, keyed: bool) -> ServerState {
    let settings = ServerSettings {
        server: ServerId(1),
        slots,
        queue: usize::from(slots),
        keyed,
        cold_for: Span::ZERO,
        cold_factor: 1.0,
        protections: Protections::default(),
    };
    ServerState::new(settings, 1, Moment::exact(Time(1_000)))
}

fn token(revision: u64) -> FencingToken {
    FencingToken {
        epoch: Epoch(1),
        term: Term(1),
        revision: Revision(revision),
    }
}

fn renewal(stamp: Option<Time>, authority: u64, slices: &[GrantedSlice]) -> LeaseRenewal {
    LeaseRenewal {
        group: GroupId::default(),
        authority: token(authority),
        echoed_stamp: stamp,
        lease: LEASE,
        slices: Some(List(slices.to_vec())),
        unchanged_since: token(authority),
        draining: false,
    }
}

fn slice(revision: u64) -> GrantedSlice {
    GrantedSlice {
        range: PositionRange::ALL,
        token: token(revision),
    }
}

fn request(number: u64, revision: u64) -> ServerRequest {
    ServerRequest {
        key: AttemptKey {
            gateway: Member::default(),
            attempt: AttemptId {
                request: RequestId(number),
                number: 1,
            },
        },
        body: number,
        ownership: Some(OwnershipClaim {
            position: Position(7),
            token: token(revision),
        }),
        deadline: Span::from_seconds(1),
        tier: TierId(0),
        service_time: Span::from_millis(10),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// However long a grant was in flight, no request starts after the echoed stamp plus the
    /// lease, and a stamp from before the server's start grants nothing.
    #[test]
    fn lease_runs_from_the_echoed_stamp(stamp in 0_u64..2_000_000, delay in 0_u64..2_000_000) {
        let mut server = server(1, true);
        let arrival = Time(stamp + delay + 1_000);
        server.renew(Moment::exact(arrival), &renewal(Some(Time(stamp)), 1, &[slice(1)]));
        server.request(Moment::exact(arrival), request(1, 1));
        let expected = stamp >= 1_000 && arrival < Time(stamp) + LEASE;
        let started = matches!(server.take_actions()[..], [ServerAction::Started { .. }]);
        prop_assert_eq!(started, expected);
    }
}

#[gtest]
fn lower_authority_is_fenced_and_changes_nothing() {
    let now = Moment::exact(Time(5_000));
    let mut server = server(1, true);
    server.renew(now, &renewal(Some(now.local), 4, &[slice(4)]));
    let reply = server.renew(now, &renewal(Some(now.local), 3, &[]));
    let highest = token(4);
    expect_that!(reply.verdict, eq(RenewalVerdict::Fenced { highest }));
    expect_that!(reply.held.0, container_eq([slice(4)]));
    server.request(now, request(1, 3));
    let refused = ServerAction::Ended {
        key: request(1, 3).key,
        answer: ServerAnswer::Refused(ServerRefusal::NotOwner),
    };
    expect_that!(server.take_actions(), container_eq([refused]));
}

#[gtest]
fn slice_is_releasing_until_its_last_execution_ends() {
    let now = Moment::exact(Time(5_000));
    let mut server = server(1, true);
    server.renew(now, &renewal(Some(now.local), 1, &[slice(1)]));
    server.request(now, request(1, 1));
    server.request(now, request(2, 1));
    let reply = server.renew(now, &renewal(Some(now.local), 2, &[]));
    expect_that!(reply.releasing.0, container_eq([slice(1)]));
    server.finish(now, request(1, 1).key);
    let waited = ServerAction::Ended {
        key: request(2, 1).key,
        answer: ServerAnswer::Refused(ServerRefusal::NotOwner),
    };
    expect_that!(server.take_actions(), contains(eq(&waited)));
    let reply = server.renew(now, &renewal(Some(now.local), 2, &[]));
    expect_that!(reply.releasing.0, is_empty());
    expect_that!(server.take_executions().len(), eq(1));
}

#[gtest]
fn full_queue_and_passed_deadlines_are_refused_without_a_start() {
    let mut server = server(1, false);
    for number in 1..=3 {
        server.request(Moment::exact(Time(2_000)), request(number, 1));
    }
    server.finish(Moment::exact(Time(5_000_000)), request(1, 1).key);
    let refusals = server
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            ServerAction::Ended {
                answer: ServerAnswer::Refused(refusal),
                ..
            } => Some(refusal),
            _ => None,
        })
        .collect::<Vec<_>>();
    expect_that!(
        refusals,
        container_eq([ServerRefusal::Busy, ServerRefusal::DeadlinePassed])
    );
}
