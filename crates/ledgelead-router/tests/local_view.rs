//! A node's view of instances, watches, the store and other nodes' load.

use googletest::prelude::*;
use ledgelead_router::configuration::{
    ClientLimits, Configuration, Repeatability, Route, RouteTable, RouteTarget,
};
use ledgelead_router::dialect::{
    Object, ObjectContent, ObjectEvent, ObjectKind, StoreAnswer, StoreCall,
};
use ledgelead_router::directory::{Directory, InstanceRecord, Presence};
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::peers::{OpenRequests, PeerMessage, SharedLoad, decode, encode};
use ledgelead_router::store::{StoreHealth, WatchChange, Watcher, WatcherPace};
use ledgelead_types::codec::List;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(id: &str, port: u16) -> InstanceRecord {
    InstanceRecord {
        id: InstanceId::from(id),
        service: ServiceName::from("s"),
        address: ([10, 0, 0, 1], port).into(),
        zone: ZoneName::from("z"),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
    }
}

fn directory(records: Vec<InstanceRecord>) -> Directory {
    let mut directory = Directory::default();
    directory.replace_all(records, ms(0));
    directory
}

fn serves(directory: &Directory, id: &str) -> bool {
    directory
        .get(&InstanceId::from(id))
        .is_some_and(|instance| instance.serves())
}

#[gtest]
fn a_deleted_entry_removes_its_instance_while_the_store_serves() {
    let mut directory = directory(vec![record("a", 1)]);
    directory.remove("a", ms(5_000));
    expect_that!(serves(&directory, "a"), eq(false));
}

#[gtest]
fn an_entry_missing_after_an_outage_counts_as_unconfirmed_for_two_seconds() {
    let mut directory = directory(vec![record("a", 1), record("b", 2)]);
    directory.record_store_outage(ms(10_000));
    directory.replace_all(Vec::<InstanceRecord>::new(), ms(10_000));
    expect_that!(serves(&directory, "a"), eq(true));
    directory.upsert(record("a", 1), ms(11_000));
    directory.expire(ms(12_000));
    expect_that!(serves(&directory, "b"), eq(true));
    directory.expire(ms(12_500));
    expect_that!(serves(&directory, "a"), eq(true));
    expect_that!(serves(&directory, "b"), eq(false));
}

#[gtest]
fn an_entry_deleted_while_only_this_node_was_cut_off_is_gone_at_once() {
    let mut directory = directory(vec![record("a", 1), record("b", 2)]);
    directory.record_store_outage(ms(14_000));
    directory.replace_all(vec![record("b", 2)], ms(14_000));
    expect_that!(serves(&directory, "a"), eq(true));
    // The store served the coordinator all the time.
    directory.record_store_served_since(ms(1_000));
    directory.expire(ms(14_100));
    expect_that!(serves(&directory, "a"), eq(false));
    directory.replace_all(Vec::<InstanceRecord>::new(), ms(14_200));
    expect_that!(serves(&directory, "b"), eq(false));
    let left = directory.get(&InstanceId::from("a")).expect("remembered");
    expect_that!(left.leaving_since(), some(eq(ms(0))));
}

#[gtest]
fn leaving_counts_from_the_last_time_at_which_the_instance_was_known_to_serve() {
    let mut directory = directory(vec![record("a", 1), record("b", 2)]);
    directory.advance_current_at(ms(8_300));
    directory.advance_current_at(ms(7_000));
    let leaving = |id, port| InstanceRecord {
        draining: true,
        ..record(id, port)
    };
    directory.upsert(leaving("a", 1), ms(9_000));
    directory.remove("b", ms(9_000));
    directory.advance_current_at(ms(9_500));
    // Instance a ends; its entry reappears as leaving and is removed again. It counts as
    // leaving all the time.
    directory.remove("a", ms(10_000));
    directory.upsert(leaving("a", 1), ms(10_500));
    directory.remove("a", ms(11_000));
    for id in ["a", "b"] {
        let instance = directory.get(&InstanceId::from(id)).expect("remembered");
        expect_that!(instance.leaving_since(), some(eq(ms(8_300))));
    }
    // An instance that serves again is no longer leaving.
    directory.upsert(record("a", 1), ms(12_000));
    expect_that!(serves(&directory, "a"), eq(true));
    directory.remove("a", ms(12_100));
    let instance = directory.get(&InstanceId::from("a")).expect("remembered");
    expect_that!(instance.leaving_since(), some(eq(ms(9_500))));
}

#[gtest]
fn an_unconfirmed_missing_entry_counts_as_a_change_of_the_directory() {
    let mut directory = directory(vec![record("a", 1)]);
    directory.record_store_outage(ms(10_000));
    let before = directory.changes();
    directory.replace_all(Vec::<InstanceRecord>::new(), ms(10_000));
    let after = directory.changes();
    expect_that!(after, gt(before));
    directory.replace_all(Vec::<InstanceRecord>::new(), ms(10_500));
    expect_that!(directory.changes(), eq(after));
}

#[gtest]
fn a_later_start_at_an_address_permanently_ends_the_previous_instance() {
    let started = |name: &str, start_ms| InstanceRecord {
        id: InstanceId::with_start_time(name, start_ms),
        ..record(name, 1)
    };
    let (a, b) = (started("a", 10), started("b", 20));
    let mut directory = directory(vec![a.clone()]);
    directory.upsert(b.clone(), ms(1_000));
    expect_that!(directory.has_ended(&a.id), eq(true));
    directory.upsert(a.clone(), ms(1_100));
    let serves = |id| directory.get(id).is_some_and(|instance| instance.serves());
    expect_that!(serves(&a.id), eq(false));
    expect_that!(serves(&b.id), eq(true));
}

#[gtest]
fn a_new_instance_at_an_address_gets_the_requests_of_the_previous_one() {
    let mut directory = directory(vec![record("a", 1)]);
    directory.upsert(record("b", 1), ms(1_000));
    expect_that!(directory.has_ended(&InstanceId::from("a")), eq(false));
    directory.upsert(record("a", 1), ms(1_100));
    expect_that!(serves(&directory, "a"), eq(false));
    expect_that!(serves(&directory, "b"), eq(true));
}

#[gtest]
fn an_instance_leaving_before_the_first_list_may_have_left_at_any_time() {
    let leaving = InstanceRecord {
        draining: true,
        ..record("a", 1)
    };
    let mut listed_late = Directory::default();
    listed_late.replace_all(vec![leaving.clone()], ms(9_000));
    let presence = listed_late
        .get(&leaving.id)
        .map(|instance| instance.presence);
    expect_that!(presence, some(eq(Presence::Draining { since: ms(0) })));
    let mut seen_serving = directory(vec![record("a", 1)]);
    seen_serving.advance_current_at(ms(9_000));
    seen_serving.upsert(leaving.clone(), ms(9_000));
    seen_serving.upsert(leaving.clone(), ms(9_500));
    let presence = seen_serving
        .get(&leaving.id)
        .map(|instance| instance.presence);
    expect_that!(presence, some(eq(Presence::Draining { since: ms(9_000) })));
}

fn watcher() -> Watcher {
    let pace = WatcherPace {
        after_events: ms(100),
        after_nothing: ms(0),
        wait: ms(1_000),
    };
    Watcher::new(ObjectKind::Nodes, pace)
}

fn gone(name: &str, revision: u64) -> ObjectEvent {
    let object = Object {
        name: name.to_owned(),
        revision,
        content: Ok(ObjectContent::Instance(record(name, 1))),
    };
    ObjectEvent { object, gone: true }
}

fn page(revision: u64, more: bool) -> StoreAnswer {
    StoreAnswer::Objects {
        objects: Vec::new(),
        more,
        revision,
    }
}

#[gtest]
fn a_watch_continues_from_the_first_page_of_its_list() {
    let mut watcher = watcher();
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, true), ms(1));
    watcher.take_call(ms(1));
    let change = watcher.apply_answer(page(9, false), ms(2));
    expect_that!(matches!(change, WatchChange::All(_)), eq(true));
    let call = watcher.take_call(ms(1_500));
    expect_that!(
        matches!(call, Some(StoreCall::Watch { revision: 7, .. })),
        eq(true)
    );
}

#[gtest]
fn a_watch_continues_from_the_oldest_page_of_a_stale_list() {
    let mut watcher = watcher();
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, true), ms(1));
    watcher.take_call(ms(1));
    watcher.apply_answer(page(5, false), ms(2));
    expect_that!(watcher.revision(), some(eq(5)));
}

fn named_page(names: &[&str], more: bool) -> StoreAnswer {
    let object = |name: &&str| Object {
        name: (*name).to_owned(),
        revision: 3,
        content: Err("no entry".to_owned()),
    };
    StoreAnswer::Objects {
        objects: names.iter().map(object).collect(),
        more,
        revision: 7,
    }
}

fn list_after(call: Option<StoreCall>) -> Option<String> {
    match call {
        Some(StoreCall::List { after, .. }) => after,
        other => panic!("no list: {other:?}"),
    }
}

#[gtest]
fn a_list_continues_after_the_last_readable_name() {
    let mut watcher = watcher();
    watcher.take_call(ms(0));
    watcher.apply_answer(named_page(&["a", "b", ""], true), ms(1));
    let call = watcher.take_call(ms(1));
    expect_that!(list_after(call), some(eq("b")));
    watcher.apply_answer(named_page(&["", "c", ""], true), ms(2));
    let call = watcher.take_call(ms(2));
    expect_that!(list_after(call), some(eq("c")));
    let change = watcher.apply_answer(named_page(&["", "d"], false), ms(3));
    let WatchChange::All(objects) = change else {
        panic!("no list: {change:?}");
    };
    expect_that!(objects.len(), eq(8));
    expect_that!(watcher.as_of(), none());
    expect_that!(watcher.revision(), some(eq(7)));
}

#[gtest]
fn a_page_without_a_new_name_ends_the_list_and_removes_no_object() {
    for stuck in [&[""][..], &["a"], &["", "a", ""]] {
        let mut watcher = watcher();
        watcher.take_call(ms(0));
        watcher.apply_answer(named_page(&["a"], true), ms(1));
        watcher.take_call(ms(1));
        let first = watcher.apply_answer(named_page(stuck, true), ms(2));
        expect_that!(matches!(first, WatchChange::All(_)), eq(true));

        watcher.refresh(ms(3));
        watcher.take_call(ms(3));
        watcher.apply_answer(named_page(&["a"], true), ms(4));
        watcher.take_call(ms(4));
        let later = watcher.apply_answer(named_page(stuck, true), ms(5));
        expect_that!(matches!(later, WatchChange::Events(_)), eq(true));
        expect_that!(watcher.revision(), some(eq(7)));
    }
}

#[gtest]
fn only_the_first_list_of_a_node_may_be_stale() {
    let pace = watcher().pace();
    let is_stale = |call| matches!(call, Some(StoreCall::List { stale: true, .. }));
    for kind in ObjectKind::ALL {
        let mut watcher = Watcher::new(kind, pace);
        expect_that!(is_stale(watcher.take_call(ms(0))), eq(true));
        watcher.apply_answer(page(7, false), ms(1));
        // It does not count as the newest state, so it confirms nothing.
        expect_that!(watcher.as_of(), none());
        watcher.refresh(ms(2));
        expect_that!(is_stale(watcher.take_call(ms(2))), eq(false));
        watcher.apply_answer(page(9, false), ms(3));
        expect_that!(watcher.as_of(), some(eq(ms(2))));
        // Elections of a starting deployment and coordinators need an exact list.
        let mut exact = Watcher::new(kind, pace);
        exact.set_first_may_be_stale(false);
        expect_that!(is_stale(exact.take_call(ms(0))), eq(false));
    }
}

#[gtest]
fn the_first_watch_waits_for_a_coordinators_heartbeat() {
    for kind in ObjectKind::ALL {
        let mut watcher = Watcher::new(kind, watcher().pace());
        watcher.take_call(ms(0));
        watcher.apply_answer(page(7, false), ms(1));
        expect_that!(watcher.take_call(ms(1_000)).is_none(), eq(true));
        expect_that!(watcher.take_call(ms(1_500)).is_some(), eq(true));
    }
}

#[gtest]
fn a_paused_watch_calls_until_answered_after_a_catch_up_request() {
    let mut watcher = watcher();
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, false), ms(1));
    watcher.set_paused(true);
    watcher.request_catch_up(ms(1_010));
    expect_that!(watcher.take_call(ms(1_010)).is_some(), eq(true));
    watcher.record_failure(ms(1_020));
    expect_that!(watcher.take_call(ms(1_020)).is_none(), eq(true));
    expect_that!(watcher.take_call(ms(1_200)).is_some(), eq(true));
    let nothing = StoreAnswer::Events {
        events: Vec::new(),
        revision: 8,
    };
    watcher.apply_answer(nothing, ms(1_210));
    expect_that!(watcher.take_call(ms(9_000)).is_none(), eq(true));
    watcher.advance(12);
    expect_that!(watcher.revision(), some(eq(12)));
}

#[gtest]
fn many_changes_in_a_row_are_read_with_few_calls() {
    let mut watcher = watcher();
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, false), ms(1));
    watcher.set_paused(true);
    let mut calls = 0;
    // A change every 80 ms for four seconds, and one much later.
    for at in (1..=50).map(|change| ms(80 * change)).chain([ms(9_000)]) {
        watcher.request_catch_up(at);
        if watcher.take_call(at).is_some() {
            calls += 1;
            let nothing = StoreAnswer::Events {
                events: Vec::new(),
                revision: 8,
            };
            watcher.apply_answer(nothing, at);
        }
    }
    expect_that!(calls, all!(ge(8), le(11)));
}

#[gtest]
fn a_watch_may_pause_between_answers_without_changes() {
    let pace = WatcherPace {
        after_nothing: ms(2_500),
        ..watcher().pace()
    };
    let mut watcher = Watcher::new(ObjectKind::Ownership, pace);
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, false), ms(1));
    expect_that!(watcher.take_call(ms(2_000)).is_some(), eq(true));
    let nothing = StoreAnswer::Events {
        events: Vec::new(),
        revision: 7,
    };
    watcher.apply_answer(nothing, ms(2_010));
    expect_that!(watcher.take_call(ms(4_500)).is_none(), eq(true));
    expect_that!(watcher.take_call(ms(4_510)).is_some(), eq(true));
}

#[gtest]
fn a_new_coordinator_calls_without_waiting_for_a_change() {
    let mut watcher = watcher();
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, false), ms(1));
    watcher.call_now_with_short_wait(ms(10));
    let wait = |call| match call {
        Some(StoreCall::Watch { wait, .. }) => wait,
        _ => Duration::MAX,
    };
    expect_that!(wait(watcher.take_call(ms(10))), le(ms(100)));
    let nothing = StoreAnswer::Events {
        events: Vec::new(),
        revision: 7,
    };
    watcher.apply_answer(nothing, ms(60));
    expect_that!(wait(watcher.take_call(ms(60))), eq(watcher.pace().wait));
}

#[gtest]
fn a_compacted_history_leads_to_a_new_list() {
    let mut watcher = watcher();
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, false), ms(1));
    expect_that!(watcher.take_call(ms(1_500)).is_some(), eq(true));
    watcher.apply_answer(StoreAnswer::HistoryLost, ms(1_502));
    let call = watcher.take_call(ms(1_502));
    expect_that!(matches!(call, Some(StoreCall::List { .. })), eq(true));
}

#[gtest]
fn changes_older_than_those_reported_by_another_node_are_dropped() {
    let mut watcher = watcher();
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, false), ms(1));
    expect_that!(watcher.take_call(ms(1_500)).is_some(), eq(true));
    watcher.advance(12);
    let older = StoreAnswer::Events {
        events: vec![gone("a", 9)],
        revision: 9,
    };
    let change = watcher.apply_answer(older, ms(1_600));
    expect_that!(matches!(change, WatchChange::Unchanged), eq(true));
    expect_that!(watcher.revision(), some(eq(12)));
}

#[gtest]
fn a_watch_reports_until_when_it_is_complete() {
    let mut watcher = watcher();
    watcher.set_first_may_be_stale(false);
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, false), ms(300));
    expect_that!(watcher.as_of(), some(eq(ms(0))));
    // No change until the end of the wait.
    watcher.take_call(ms(1_500));
    let nothing = StoreAnswer::Events {
        events: Vec::new(),
        revision: 8,
    };
    watcher.apply_answer(nothing, ms(2_900));
    expect_that!(watcher.as_of(), some(eq(ms(2_500))));
    // The answer may have been in transit for long.
    watcher.take_call(ms(3_000));
    let something = StoreAnswer::Events {
        events: vec![gone("a", 9)],
        revision: 9,
    };
    watcher.apply_answer(something, ms(3_900));
    expect_that!(watcher.as_of(), some(eq(ms(3_000))));
    // A list that may be stale proves nothing.
    let mut stale = Watcher::new(ObjectKind::Instances, watcher.pace());
    stale.take_call(ms(0));
    stale.apply_answer(page(7, false), ms(1));
    expect_that!(stale.as_of(), none());
}

#[gtest]
fn a_paused_watch_lists_only_on_request() {
    let mut watcher = watcher();
    watcher.take_call(ms(0));
    watcher.apply_answer(page(7, false), ms(1));
    watcher.set_paused(true);
    expect_that!(watcher.take_call(ms(2)).is_none(), eq(true));
    expect_that!(watcher.next_call(), none());
    watcher.refresh(ms(3));
    let call = watcher.take_call(ms(3));
    expect_that!(matches!(call, Some(StoreCall::List { .. })), eq(true));
    watcher.apply_answer(page(9, false), ms(4));
    expect_that!(watcher.take_call(ms(5)).is_none(), eq(true));
    watcher.set_paused(false);
    let call = watcher.take_call(ms(6));
    expect_that!(
        matches!(call, Some(StoreCall::Watch { revision: 9, .. })),
        eq(true)
    );
}

#[gtest]
fn failed_calls_are_retried_with_backoff() {
    let mut watcher = watcher();
    let mut now = ms(0);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        expect_that!(watcher.take_call(now).is_some(), eq(true));
        expect_that!(watcher.take_call(now).is_none(), eq(true));
        watcher.record_failure(now);
        let next = watcher.next_call().expect("a call is due");
        pauses.push(next - now);
        now = next;
    }
    expect_that!(pauses.is_sorted(), eq(true));
    expect_that!(pauses[0], gt(ms(0)));
    expect_that!(pauses[5], le(ms(1_000)));
}

#[gtest]
fn the_store_is_unavailable_only_after_continued_failures() {
    let mut health = StoreHealth::default();
    health.record_success(ms(100));
    health.record_failure(ms(200));
    expect_that!(health.serves(), eq(false));
    expect_that!(health.is_unavailable(ms(300)), eq(false));
    expect_that!(health.is_unavailable(ms(2_000)), eq(true));
    expect_that!(health.record_success(ms(2_100)), eq(true));
    expect_that!(health.serves(), eq(true));
}

#[gtest]
fn a_store_that_was_not_called_for_long_may_have_been_unavailable() {
    let mut health = StoreHealth::default();
    health.record_success(ms(100));
    expect_that!(health.record_success(ms(1_900)), eq(false));
    expect_that!(health.serving_since(), some(eq(ms(100))));
    // A coordinator served by the store has relayed its changes until here.
    health.record_relay(ms(9_000));
    expect_that!(health.record_success(ms(10_800)), eq(false));
    expect_that!(health.record_success(ms(12_800)), eq(true));
    expect_that!(health.serving_since(), some(eq(ms(12_800))));
}

/// A store that is unavailable at times and loses all entries meanwhile.
#[derive(Clone, Debug)]
struct Outages {
    /// Start and end of each outage, and the time at which the entries have reappeared.
    times: Vec<(Duration, Duration, Duration)>,
}

impl Outages {
    /// Built from pauses, durations and delays of entries, all in milliseconds.
    fn new(drawn: &[(u64, u64, u64)]) -> Outages {
        let mut times = Vec::new();
        let mut at = Duration::ZERO;
        for (pause, length, reappears) in drawn {
            let begin = at + ms(*pause);
            at = begin + ms(*length);
            times.push((begin, at, at + ms(*reappears)));
        }
        Outages { times }
    }

    fn serves(&self, now: Duration) -> bool {
        !self
            .times
            .iter()
            .any(|(from, to, _)| *from <= now && now < *to)
    }

    fn lists(&self, now: Duration) -> bool {
        !self
            .times
            .iter()
            .any(|(from, _, reappears)| *from <= now && now < *reappears)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6f75_7461),
        ..ProptestConfig::default()
    })]

    /// Whatever calls are in flight when the store becomes unavailable and recovers, including
    /// one that waits through the outage, a running instance stays in use.
    #[test]
    fn a_running_instance_is_never_considered_gone(
        outages in proptest::collection::vec((5_000u64..9_000, 2_000u64..6_000, 0u64..2_000), 1..4),
        short in proptest::collection::vec((1u64..150, 1u64..50), 400),
        long in proptest::collection::vec((1u64..300, 500u64..10_000), 40),
        paused in 0u64..30_000,
    ) {
        let outages = Outages::new(&outages);
        // Start and end of each call, and whether it lists the instances.
        let mut calls = Vec::new();
        let mut last_list = Duration::MAX;
        for (drawn, lists) in [(&short, true), (&long, false)] {
            let mut at = Duration::ZERO;
            for (pause, wait) in drawn {
                let began = at + ms(*pause);
                at = began + ms(*wait);
                calls.push((at, began, lists));
            }
            last_list = last_list.min(at);
        }
        // Without lists the node does not see reappearing entries.
        calls.retain(|(at, _, _)| *at <= last_list);
        calls.sort();
        let mut health = StoreHealth::default();
        let mut directory = directory(vec![record("a", 1)]);
        for (now, began, lists) in calls {
            // For some time the node follows a coordinator, which relays reappearing entries,
            // and makes no calls.
            let follows = ms(paused) <= now && now < ms(paused + 4_000);
            if follows && outages.serves(now) {
                if health.record_relay(now) {
                    directory.record_store_outage(now);
                }
                if outages.lists(now) {
                    directory.upsert(record("a", 1), now);
                }
            }
            if follows && lists {
                continue;
            }
            directory.expire(now);
            if !outages.serves(now) {
                health.record_failure(began);
                continue;
            }
            if health.record_success(now) {
                directory.record_store_outage(now);
            }
            if lists {
                let listed = outages.lists(now).then(|| record("a", 1));
                directory.replace_all(listed.into_iter().collect(), now);
            }
            prop_assert!(serves(&directory, "a"), "gone at {now:?}");
        }
    }
}

#[gtest]
fn counts_of_an_earlier_incarnation_or_expired_ones_are_ignored() {
    let reported = |count| {
        vec![OpenRequests {
            instance: 1,
            count,
            ..OpenRequests::default()
        }]
    };
    let from = ([10, 0, 0, 1], 1).into();
    let mut shared = SharedLoad::default();
    shared.record_node_counts(from, 1, &reported(3), ms(0));
    expect_that!(shared.open_at(1, ms(100)), eq(3));
    shared.record_node_counts(from, 2, &[], ms(100));
    expect_that!(shared.open_at(1, ms(100)), eq(0));
    shared.record_node_counts(from, 2, &reported(2), ms(100));
    expect_that!(shared.open_at(1, ms(5_000)), eq(0));
}

#[gtest]
fn the_longest_matching_prefix_of_the_host_is_chosen() {
    let route = |name: &str, host: &str, prefix: &str| {
        Arc::new(Route {
            name: name.to_owned(),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            targets: vec![RouteTarget {
                service: ServiceName::from("s"),
                weight: 1.0,
            }],
            repeatability: Repeatability::Idempotent,
            timeout: ms(1_000),
            target_latency: ms(100),
            max_attempts: 2,
            priority: 0,
            allows_anonymous: false,
        })
    };
    let table = RouteTable::new(&Configuration {
        version: 1,
        routes: vec![
            route("all", "h", "/"),
            route("a", "h", "/a/"),
            route("ab", "h", "/a/b/"),
            route("other", "o", "/a/"),
        ],
        services: Vec::new(),
        tenants: Vec::new(),
        limits: ClientLimits::default(),
    });
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    expect_that!(found("h", "/a/b/c"), some(eq("ab")));
    expect_that!(found("H:8080", "/a/bc"), some(eq("a")));
    expect_that!(found("h", "/a"), some(eq("all")));
    expect_that!(found("o", "/b/"), none());
}

proptest! {
    #[test]
    fn datagrams_round_trip_and_arbitrary_bytes_do_not_panic(
        counts in proptest::collection::vec((any::<u64>(), any::<u16>()), 0..50),
        noise in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let changes: List<OpenRequests> = counts
            .into_iter()
            .map(|(instance, count)| OpenRequests { instance, count, answered: 3, busy_ms: 40, slowness: 100 })
            .collect();
        let message = PeerMessage::OpenRequestCounts { incarnation: 5, idle_limit_ms: 0, changes };
        prop_assert_eq!(decode(&encode(&message).bytes).ok(), Some(message));
        let _ = decode(&noise);
    }
}

#[gtest]
fn an_instance_with_an_unconfirmed_missing_entry_is_used_but_not_listed() {
    let mut directory = directory(vec![record("a", 1), record("b", 2)]);
    directory.record_store_outage(ms(1_000));
    directory.remove("a", ms(1_100));
    expect_that!(serves(&directory, "a"), eq(true));
    let listed: Vec<&str> = directory
        .listed()
        .map(|instance| instance.record.id.name())
        .collect();
    expect_that!(listed, elements_are![eq(&"b")]);
}
