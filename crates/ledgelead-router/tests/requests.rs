//! Which attempts are made, and what the outcomes of attempts prove.

mod support;

use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::directory::{Directory, InstanceRecord};
use ledgelead_router::forwarding::forward_outcome;
use ledgelead_router::identity::{InstanceId, NodeName, ServiceName, ZoneName};
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::mechanisms::{Mechanism, Mechanisms};
use ledgelead_router::ownership::record::Assignment;
use ledgelead_router::peers::{
    DigestEntry, ForwardAnswer, ForwardFailure, OpenRequests, Registry, SharedLoad,
};
use ledgelead_router::protections::Protections;
use ledgelead_router::reachability::Reachability;
use ledgelead_router::requests::{
    AttemptOutcome, BudgetBounds, ColdBound, ColdGate, ColdSends, IdleLimit, Misdirection, Notice,
    RetryBudget, Selected, SelectionContext, StatisticsTable, classify_outcome,
};
use ledgelead_types::codec;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use support::headers;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn answer(status: u16, headers: &[(&str, &str)]) -> Response {
    let mut response = Response::new(status, "");
    for (name, value) in headers {
        response.headers.push(name, *value);
    }
    response
}

fn outcome(result: std::result::Result<Response, ExchangeFailure>) -> AttemptOutcome {
    classify_outcome(result, &InstanceId::from("a"), &headers())
}

#[gtest]
fn incomplete_attempt_of_a_peer_is_neither_repeated_nor_promised_not_to_have_run() {
    let failed = ForwardAnswer::Failed(ForwardFailure::Incomplete);
    let response = Response::new(200, codec::encode(&failed));
    let result = forward_outcome(Ok(response)).into_result();
    let outcome = outcome(result);
    expect_that!(
        matches!(outcome, AttemptOutcome::Unknown { timed_out: false }),
        eq(true)
    );
}

#[gtest]
fn answer_by_way_of_a_peer_without_a_final_status_is_no_answer() {
    for status in [0, 100, 600] {
        let answered = ForwardAnswer::new(Ok(answer(status, &[])));
        let response = Response::new(200, codec::encode(&answered));
        let result = forward_outcome(Ok(response)).into_result();
        expect_that!(result.err(), some(eq(ExchangeFailure::Malformed)));
    }
}

#[gtest]
fn a_request_counts_as_not_run_only_if_proved() {
    let not_connected = outcome(Err(ExchangeFailure::NotConnected));
    expect_that!(
        matches!(not_connected, AttemptOutcome::NeverSent { refused: false }),
        eq(true)
    );
    let refused = outcome(Err(ExchangeFailure::Refused));
    expect_that!(
        matches!(refused, AttemptOutcome::NeverSent { refused: true }),
        eq(true)
    );
    for timed_out in [false, true] {
        let incomplete = outcome(Err(ExchangeFailure::Incomplete { timed_out }));
        let expected = matches!(incomplete, AttemptOutcome::Unknown { timed_out: unknown } if unknown == timed_out);
        expect_that!(expected, eq(true));
    }
    for failure in [
        ExchangeFailure::Lost,
        ExchangeFailure::TimedOut,
        ExchangeFailure::Malformed,
    ] {
        let unknown = outcome(Err(failure));
        expect_that!(matches!(unknown, AttemptOutcome::Unknown { .. }), eq(true));
    }
    let shed = outcome(Ok(answer(503, &[("not-executed", "1")])));
    expect_that!(
        matches!(
            shed,
            AttemptOutcome::Rejected {
                misdirected: false,
                ended: false
            }
        ),
        eq(true)
    );
    // A 503 without the header proves nothing: an instance has executed the request and
    // failed. It must not be reported as refused.
    let without_header = outcome(Ok(answer(503, &[("signature", "s")])));
    expect_that!(
        matches!(without_header, AttemptOutcome::Failed(_)),
        eq(true)
    );
    let unsigned = outcome(Ok(answer(200, &[])));
    expect_that!(matches!(unsigned, AttemptOutcome::Unknown { .. }), eq(true));
    let signed = outcome(Ok(answer(200, &[("signature", "s")])));
    expect_that!(matches!(signed, AttemptOutcome::Relay(_)), eq(true));
}

#[gtest]
fn a_misdirected_answer_with_the_id_of_an_incarnation_proves_no_end() {
    let misdirected = Ok(answer(421, &[("instance", "a")]));
    let unknown = classify_outcome(
        misdirected,
        &InstanceId::with_start_time("a", 10),
        &headers(),
    );
    expect_that!(
        matches!(unknown, AttemptOutcome::Rejected { ended: false, .. }),
        eq(true)
    );
}

#[gtest]
fn a_misdirected_answer_of_another_instance_proves_an_end() {
    let other = outcome(Ok(answer(421, &[("instance", "b")])));
    expect_that!(
        matches!(other, AttemptOutcome::Rejected { ended: true, .. }),
        eq(true)
    );
    let same = outcome(Ok(answer(421, &[("instance", "a")])));
    expect_that!(
        matches!(same, AttemptOutcome::Rejected { ended: false, .. }),
        eq(true)
    );
    let unnamed = outcome(Ok(answer(421, &[])));
    expect_that!(
        matches!(unnamed, AttemptOutcome::Rejected { ended: false, .. }),
        eq(true)
    );
}

#[gtest]
fn the_shares_of_all_nodes_stay_within_the_budget() {
    let bounds = BudgetBounds {
        ratio: 0.2,
        slack: 62.0,
        window: ms(10_000),
    };
    let service = ServiceName::from("s");
    let nodes = 11;
    let mut drawn = 0.0;
    for _ in 0..nodes {
        let mut budget = RetryBudget::new(bounds);
        for request in 0..100 {
            budget.record_request(&service, ms(request * 50));
        }
        while budget.try_acquire(&service, nodes, ms(5_000)) {
            drawn += 1.0;
        }
    }
    expect_that!(drawn, gt(100.0));
    expect_that!(drawn, le(0.2 * 1_100.0 + 62.0));
    let mut lone = RetryBudget::new(bounds);
    expect_that!(lone.try_acquire(&service, 0, ms(0)), eq(false));
}

#[gtest]
fn a_budget_refills_after_its_window() {
    let bounds = BudgetBounds {
        ratio: 0.0,
        slack: 10.0,
        window: ms(10_000),
    };
    let service = ServiceName::from("s");
    let mut budget = RetryBudget::new(bounds);
    while budget.try_acquire(&service, 2, ms(0)) {}
    expect_that!(budget.try_acquire(&service, 2, ms(9_999)), eq(false));
    expect_that!(budget.try_acquire(&service, 2, ms(10_000)), eq(true));
}

struct Fixture {
    directory: Directory,
    statistics: StatisticsTable,
    shared: SharedLoad,
    zone: ZoneName,
    mechanisms: Mechanisms,
}

impl Fixture {
    /// Two instances in the node's own zone, one in another.
    fn new() -> Fixture {
        let mut directory = Directory::default();
        let record = |id: &str, zone: &str, port| InstanceRecord {
            id: InstanceId::from(id),
            service: ServiceName::from("s"),
            address: ([10, 0, 0, 1], port).into(),
            zone: ZoneName::from(zone),
            slots: 2,
            draining: false,
            warmup_left: Duration::ZERO,
        };
        let records = vec![
            record("a", "here", 1),
            record("b", "here", 2),
            record("c", "there", 3),
        ];
        directory.replace_all(records, ms(0));
        let mut statistics = StatisticsTable::default();
        for id in ["a", "b", "c"] {
            let seen = statistics.entry(&InstanceId::from(id));
            seen.record_success(ms(50), 1.0, ms(0));
        }
        Fixture {
            directory,
            statistics,
            shared: SharedLoad::default(),
            zone: ZoneName::from("here"),
            mechanisms: Mechanisms::default(),
        }
    }

    fn open(&mut self, id: &str, count: u32) {
        self.statistics.entry(&InstanceId::from(id)).open = count;
    }

    fn select(&self, tried: &[&str]) -> Option<Selected> {
        self.select_with(tried, &mut Pcg64Mcg::seed_from_u64(1))
    }

    fn select_with(&self, tried: &[&str], rng: &mut Pcg64Mcg) -> Option<Selected> {
        let context = SelectionContext {
            now: ms(1_000),
            directory: &self.directory,
            statistics: &self.statistics,
            shared: &self.shared,
            reachability: &Reachability::new(1, Protections::default()),
            zone: &self.zone,
            zones: 2,
            cold: ColdGate {
                bound: ColdBound::default(),
                configuration: None,
                registry: &Registry::default(),
                node: &NodeName::from("n"),
                sends: &ColdSends::default(),
            },
            mechanisms: self.mechanisms,
        };
        let tried: Vec<InstanceId> = tried.iter().map(|id| InstanceId::from(*id)).collect();
        context.select(&ServiceName::from("s"), &tried, ms(200), rng)
    }

    fn chosen(&self, tried: &[&str]) -> String {
        self.select(tried)
            .map_or(String::new(), |selected| selected.id.to_string())
    }
}

#[gtest]
fn requests_stay_in_their_zone_while_it_has_capacity() {
    let mut fixture = Fixture::new();
    fixture.open("a", 3);
    expect_that!(fixture.chosen(&[]), eq("b"));
    fixture.open("a", 8);
    fixture.open("b", 8);
    expect_that!(fixture.chosen(&[]), eq("c"));
}

#[gtest]
fn open_requests_of_other_nodes_count() {
    let mut fixture = Fixture::new();
    fixture.open("b", 2);
    let reported = vec![OpenRequests {
        instance: InstanceId::from("a").stable_hash(),
        count: 5,
        ..OpenRequests::default()
    }];
    let from = ([10, 0, 0, 9], 1).into();
    fixture
        .shared
        .record_node_counts(from, 1, &reported, ms(900));
    expect_that!(fixture.chosen(&[]), eq("b"));
}

#[gtest]
fn repeatedly_failing_instances_are_ejected_unless_they_are_half_of_all() {
    let mut fixture = Fixture::new();
    for _ in 0..3 {
        fixture
            .statistics
            .entry(&InstanceId::from("a"))
            .record_failure(ms(999));
    }
    expect_that!(fixture.chosen(&["b"]), eq("c"));
    for _ in 0..3 {
        fixture
            .statistics
            .entry(&InstanceId::from("b"))
            .record_failure(ms(999));
    }
    // Two of three are more than half, so none is ejected.
    expect_that!(fixture.chosen(&["c"]), any![eq("a"), eq("b")]);
}

#[gtest]
fn an_instance_that_fails_some_requests_is_avoided_for_some_time() {
    let mut fixture = Fixture::new();
    let seen = fixture.statistics.entry(&InstanceId::from("a"));
    // Never three failures in a row.
    for at in [700, 750, 800, 850, 900, 950] {
        seen.record_failure(ms(at));
        seen.record_success(ms(50), 1.0, ms(at + 10));
    }
    expect_that!(seen.is_ejected(ms(1_000)), eq(false));
    fixture.open("b", 3);
    expect_that!(fixture.chosen(&[]), eq("b"));
    // The failure share decays, so that the instance is tried again.
    let seen = fixture.statistics.entry(&InstanceId::from("a"));
    expect_that!(seen.failure_share(ms(1_000)), gt(0.3));
    expect_that!(seen.failure_share(ms(16_000)), lt(0.05));
}

#[gtest]
fn only_the_current_owner_of_a_key_delays_its_requests() {
    let assignment = Assignment {
        service: ServiceName::from("s"),
        first: 0,
        last: 9,
        owner: InstanceId::from("b"),
        fence: 14,
    };
    let at = |id: &str| Misdirection::at(&InstanceId::from(id), Some(&assignment), Some(ms(60)));
    // The previous owner had the request in its queue; the new owner is sent it at once.
    expect_that!(at("a"), none());
    let delayed = Misdirection {
        fence: 14,
        retry_at: Some(ms(60)),
    };
    expect_that!(at("b"), some(eq(&delayed)));
    let unowned = Misdirection::at(&InstanceId::from("a"), None, None);
    expect_that!(unowned, none());
}

/// A digest with the numbers of open requests at the instances and their current slowness.
fn digest(fixture: &mut Fixture, loads: &[(&str, u16, u16)]) {
    let entry = |(id, open, slowness): &(&str, u16, u16)| DigestEntry {
        instance: InstanceId::from(*id).stable_hash(),
        open: *open,
        service_ms: 40,
        slowness: *slowness,
    };
    let entries: Vec<DigestEntry> = loads.iter().map(entry).collect();
    let hub = ([10, 0, 0, 9], 1).into();
    fixture
        .shared
        .record_digest(hub, 2, &entries, |_| 0, ms(950));
}

/// How often each of the three instances is chosen in a hundred selections.
fn choices(fixture: &Fixture) -> [usize; 3] {
    let mut counts = [0; 3];
    for seed in 0..100 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let chosen = fixture.select_with(&[], &mut rng).expect("an instance");
        let position = ["a", "b", "c"]
            .iter()
            .position(|id| chosen.id.as_str() == *id);
        counts[position.expect("one of the three")] += 1;
    }
    counts
}

#[gtest]
fn free_slots_in_a_digest_are_used_by_weighted_random_choice() {
    let mut fixture = Fixture::new();
    digest(&mut fixture, &[("a", 0, 100), ("b", 4, 100), ("c", 2, 100)]);
    let [a, b, c] = choices(&fixture);
    // Nearly twice the free slots, and no more of them in the other zone.
    expect_that!(a, gt(b));
    expect_that!(b, gt(3));
    expect_that!(c, eq(0));
}

#[gtest]
fn a_full_zone_sends_to_others_by_their_free_slots() {
    let mut fixture = Fixture::new();
    digest(
        &mut fixture,
        &[("a", 12, 100), ("b", 12, 100), ("c", 1, 100)],
    );
    expect_that!(choices(&fixture), eq([0, 0, 100]));
    // Traffic between zones is expensive: a few more free slots in another zone are no reason
    // to send requests there.
    digest(&mut fixture, &[("a", 3, 100), ("b", 3, 100), ("c", 0, 100)]);
    expect_that!(choices(&fixture)[2], eq(0));
    // Without any free slots, the least loaded of the drawn instances is chosen.
    digest(
        &mut fixture,
        &[("a", 12, 100), ("b", 12, 100), ("c", 6, 100)],
    );
    let [a, b, c] = choices(&fixture);
    expect_that!(c, gt(60));
    expect_that!(a + b, gt(0));
}

#[gtest]
fn a_currently_slow_instance_is_avoided_for_a_short_time() {
    let mut fixture = Fixture::new();
    digest(&mut fixture, &[("a", 0, 400), ("b", 1, 100), ("c", 0, 100)]);
    // It cannot answer in time: only 200 ms of work are left.
    expect_that!(choices(&fixture)[0], eq(0));
}

#[gtest]
fn a_single_failure_sends_no_requests_out_of_the_zone() {
    let mut fixture = Fixture::new();
    for id in ["a", "b"] {
        let seen = fixture.statistics.entry(&InstanceId::from(id));
        seen.record_failure(ms(999));
    }
    expect_that!(fixture.chosen(&[]), any![eq("a"), eq("b")]);
}

#[gtest]
fn connections_idle_for_too_long_are_not_used_for_some_time() {
    let mut limit = IdleLimit::default();
    limit.record_lost(ms(900), ms(1_000));
    expect_that!(limit.current(ms(1_000)), none());
    limit.record_lost(ms(500), ms(1_100));
    expect_that!(limit.current(ms(1_100)), some(eq(ms(300))));
    expect_that!(limit.own(ms(9_000)), none());
    // A limit reported by another node holds for a while and is not forwarded.
    limit.set_peer_limit(ms(200), ms(9_000));
    expect_that!(limit.current(ms(9_500)), some(eq(ms(200))));
    expect_that!(limit.own(ms(9_500)), none());
    expect_that!(limit.current(ms(12_000)), none());
}

#[gtest]
fn connections_that_end_for_other_reasons_set_no_idle_limit() {
    // Full instances end connections whether these were idle or not.
    let mut full = IdleLimit::default();
    for at in 0..10 {
        full.record_lost(ms(500), ms(at));
        full.record_lost(ms(0), ms(at));
    }
    expect_that!(full.current(ms(20)), none());
    // Most requests on connections that had been idle are answered.
    let mut rare = IdleLimit::default();
    for at in 0..10 {
        rare.record_lost(ms(500), ms(at));
        (0..9).for_each(|_| rare.record_answered(ms(500), ms(at)));
    }
    expect_that!(rare.current(ms(20)), none());
}

#[gtest]
fn a_disabled_mechanism_has_no_effect() {
    let without = |mechanism, prepare: &dyn Fn(&mut Fixture)| {
        let mut fixture = Fixture::new();
        prepare(&mut fixture);
        let with = fixture.chosen(&[]);
        fixture.mechanisms = Mechanisms::without(mechanism);
        (with, fixture.chosen(&[]))
    };
    // A free instance in another zone is preferred to a busy one in this zone.
    let busy_zone = |fixture: &mut Fixture| {
        fixture.open("a", 3);
        fixture.open("b", 3);
    };
    let (with, off) = without(Mechanism::ZonePreference, &busy_zone);
    expect_that!((with != "c", off.as_str()), eq((true, "c")));
    let reported = |fixture: &mut Fixture| {
        fixture.open("b", 2);
        let changes = vec![OpenRequests {
            instance: InstanceId::from("a").stable_hash(),
            count: 5,
            ..OpenRequests::default()
        }];
        fixture
            .shared
            .record_node_counts(([10, 0, 0, 9], 1).into(), 1, &changes, ms(900));
    };
    let (with, off) = without(Mechanism::SharedLoad, &reported);
    expect_that!((with.as_str(), off.as_str()), eq(("b", "a")));
    let failing = |fixture: &mut Fixture| {
        fixture.open("b", 3);
        let seen = fixture.statistics.entry(&InstanceId::from("a"));
        for at in [700, 750, 800, 850, 900, 950] {
            seen.record_failure(ms(at));
            seen.record_success(ms(50), 1.0, ms(at + 10));
        }
    };
    let (with, off) = without(Mechanism::FailureShare, &failing);
    expect_that!((with.as_str(), off.as_str()), eq(("b", "a")));
}

#[gtest]
fn every_mechanism_has_a_unique_name() {
    for (name, mechanism) in Mechanism::ALL {
        expect_that!(Mechanism::named(name), some(eq(mechanism)));
        expect_that!(Mechanisms::without(mechanism).has(mechanism), eq(false));
        expect_that!(Mechanisms::default().has(mechanism), eq(true));
    }
    expect_that!(Mechanism::named("zone"), none());
}

#[gtest]
fn no_instance_is_tried_twice() {
    let fixture = Fixture::new();
    expect_that!(fixture.chosen(&["a", "b"]), eq("c"));
    expect_that!(fixture.select(&["a", "b", "c"]).is_none(), eq(true));
}

#[gtest]
fn a_retry_that_reached_no_instance_is_returned_to_the_budget() {
    let service = ServiceName::from("s");
    let mut budget = RetryBudget::new(BudgetBounds {
        ratio: 0.0,
        slack: 2.5,
        window: Duration::from_secs(10),
    });
    expect_that!(budget.try_acquire(&service, 1, Duration::ZERO), eq(true));
    expect_that!(budget.try_acquire(&service, 1, Duration::ZERO), eq(true));
    expect_that!(budget.try_acquire(&service, 1, Duration::ZERO), eq(false));
    budget.refund(&service);
    expect_that!(budget.try_acquire(&service, 1, Duration::ZERO), eq(true));
}

/// The notice in an answer of instance `a` with this status and these headers.
fn notice(status: u16, fields: &[(&str, &str)]) -> Notice {
    Notice::of(&InstanceId::from("a"), &answer(status, fields), &headers())
}

#[gtest]
fn a_requested_pause_is_in_seconds_and_the_longest_counts() {
    let notice_with = |values: &[&str]| {
        let fields: Vec<(&str, &str)> =
            values.iter().map(|value| ("retry-after", *value)).collect();
        notice(503, &fields)
    };
    let pause = |time| Notice {
        backoff: Some(time),
        ..Notice::default()
    };
    expect_that!(notice_with(&["3"]), eq(pause(ms(3_000))));
    expect_that!(notice_with(&["0.25"]), eq(pause(ms(250))));
    expect_that!(notice_with(&[" 2 "]), eq(pause(ms(2_000))));
    expect_that!(notice_with(&["1", "4", "2"]), eq(pause(ms(4_000))));
    let one_day = Duration::from_secs(86_400);
    expect_that!(notice_with(&["99999999999999999999"]), eq(pause(one_day)));
    expect_that!(notice_with(&["0"]), eq(Notice::default()));
    expect_that!(notice_with(&[]), eq(Notice::default()));
    let unreadable = Notice {
        is_unreadable: true,
        ..Notice::default()
    };
    for text in [
        "-1",
        "",
        "soon",
        "inf",
        "NaN",
        "1e3",
        "+3",
        "Thu, 03 Dec 2026 05:00:00 GMT",
    ] {
        expect_that!(notice_with(&[text]), eq(unreadable), "{text}");
    }
    let partly_unreadable = Notice {
        is_unreadable: true,
        ..pause(ms(2_000))
    };
    expect_that!(notice_with(&["soon", "2"]), eq(partly_unreadable));
}

#[gtest]
fn only_a_503_of_the_target_instance_requests_a_pause() {
    for status in [200, 429, 500, 502] {
        expect_that!(
            notice(status, &[("retry-after", "3")]),
            eq(Notice::default())
        );
    }
    let other = notice(
        503,
        &[("retry-after", "3"), ("leaving", "1"), ("instance", "b")],
    );
    expect_that!(other, eq(Notice::default()));
    expect_that!(notice(200, &[("leaving", "1")]).leaving, eq(true));
    expect_that!(notice(200, &[("leaving", "0")]).leaving, eq(false));
}
