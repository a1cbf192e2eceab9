//! Tests of a single queue: order, shares, timing, resent and lost messages.

use googletest::prelude::*;
use ledgelead_router::dispatch::{
    Admission, AdmissionRequest, DispatchRequest, Dispatcher, InstanceLoad, PermitId,
    PermitOutcome, PermitQueue, QueueKind, RefusedCaller, RefusedCallers, Server,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const SLOTS: usize = 2;
const SERVICE_TIME: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn answered(took: Duration) -> PermitOutcome {
    PermitOutcome::Answered { took, load: None }
}

fn requester(number: u64) -> PermitId {
    PermitId {
        node: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        number,
    }
}

fn admission_request(number: u64, urgency: u8, to_target: u64) -> AdmissionRequest {
    AdmissionRequest {
        requester: requester(number),
        urgency,
        to_target: ms(to_target),
        is_early: false,
        is_cold: false,
        tried: None,
    }
}

/// The stable hash of the owner's id.
const OWNER: u64 = 9;

fn server(id: u64) -> Server {
    Server {
        id,
        slots: SLOTS,
        is_cold: false,
        service_time: Some(SERVICE_TIME),
    }
}

fn queue() -> PermitQueue {
    let mut queue = PermitQueue::of_owner(Duration::ZERO);
    queue.replace_servers([server(OWNER)]);
    queue
}

/// A queue whose permits are all outstanding, granted to the numbers from 1_000 on.
fn full_queue() -> PermitQueue {
    let mut queue = queue();
    for number in 0..3 {
        let admission =
            queue.request_permit(admission_request(1_000 + number, 0, 5_000), Duration::ZERO);
        assert_eq!(admission, Admission::Granted(OWNER));
    }
    queue
}

/// Completes this many requests of an owner one after the other; returns which requests are
/// granted permits.
fn grants(queue: &mut PermitQueue, count: usize) -> Vec<u64> {
    let mut outstanding: Vec<u64> = (1_000..1_003).collect();
    let mut granted = Vec::new();
    for _ in 0..count {
        let ended = requester(outstanding.remove(0));
        queue.return_permit(ended, answered(SERVICE_TIME), ms(1));
        for (next, admission) in queue.advance(ms(1)) {
            assert_eq!(admission, Admission::Granted(OWNER));
            granted.push(next.number);
            outstanding.push(next.number);
        }
    }
    granted
}

#[gtest]
fn owner_queue_grants_one_permit_more_than_slots() {
    let mut queue = queue();
    for number in 0..3 {
        expect_that!(
            queue.request_permit(admission_request(number, 1, 400), ms(0)),
            eq(Admission::Granted(OWNER))
        );
    }
    expect_that!(
        queue.request_permit(admission_request(3, 1, 400), ms(0)),
        eq(Admission::Queued)
    );
    expect_that!(queue.outstanding(), eq(3));
    queue.return_permit(requester(0), answered(SERVICE_TIME), ms(90));
    expect_that!(
        queue.advance(ms(90)),
        elements_are![eq(&(requester(3), Admission::Granted(OWNER)))]
    );
}

#[gtest]
fn most_urgent_goes_first_then_nearest_target() {
    let mut queue = full_queue();
    queue.request_permit(admission_request(1, 1, 2_000), ms(0));
    queue.request_permit(admission_request(2, 1, 1_500), ms(0));
    queue.request_permit(admission_request(3, 0, 3_000), ms(0));
    expect_that!(grants(&mut queue, 3), eq(&vec![3, 2, 1]));
}

#[gtest]
fn less_urgent_requests_get_at_least_a_sixth_of_the_permits() {
    let mut queue = full_queue();
    for number in 0..40 {
        queue.request_permit(admission_request(number, 0, 60_000), ms(0));
        queue.request_permit(admission_request(100 + number, 2, 60_000), ms(0));
    }
    let granted = grants(&mut queue, 36);
    let less_urgent = granted.iter().filter(|number| **number >= 100).count();
    expect_that!(less_urgent, eq(6));
    // Spread out rather than in a row.
    expect_that!(granted[..6].iter().any(|number| *number >= 100), eq(true));
}

#[gtest]
fn request_that_cannot_meet_its_target_is_refused_at_once() {
    let mut queue = full_queue();
    // Three are outstanding at two slots: this one would take 1.5 + 0.5 times the service
    // time.
    expect_that!(
        queue.request_permit(admission_request(1, 1, 200), ms(0)),
        eq(Admission::Refused)
    );
    expect_that!(
        queue.request_permit(admission_request(2, 1, 300), ms(0)),
        eq(Admission::Queued)
    );
}

#[gtest]
fn late_request_only_gets_an_idle_slot() {
    let mut queue = queue();
    expect_that!(
        queue.request_permit(admission_request(1, 1, 0), ms(0)),
        eq(Admission::Granted(OWNER))
    );
    expect_that!(
        queue.request_permit(admission_request(2, 1, 10), ms(0)),
        eq(Admission::Granted(OWNER))
    );
    expect_that!(
        queue.request_permit(admission_request(3, 1, 10), ms(0)),
        eq(Admission::Refused)
    );
    expect_that!(
        queue.request_permit(admission_request(4, 1, 0), ms(0)),
        eq(Admission::Queued)
    );
    expect_that!(
        queue.request_permit(admission_request(5, 1, 900), ms(0)),
        eq(Admission::Queued)
    );
    queue.return_permit(requester(1), answered(SERVICE_TIME), ms(50));
    let granted = queue.advance(ms(50));
    expect_that!(
        granted,
        elements_are![eq(&(requester(5), Admission::Granted(OWNER)))]
    );
    // It waits for an idle slot only for a limited time, not until its caller gives up.
    let refused = queue.advance(ms(210));
    expect_that!(
        refused,
        elements_are![eq(&(requester(4), Admission::Refused))]
    );
}

#[gtest]
fn waiting_request_is_refused_while_its_caller_can_still_retry() {
    let mut queue = full_queue();
    queue.request_permit(admission_request(1, 1, 300), ms(0));
    let at = queue.next_deadline().expect("a deadline");
    expect_that!(at, eq(ms(240)));
    expect_that!(
        queue.advance(at),
        elements_are![eq(&(requester(1), Admission::Refused))]
    );
    expect_that!(queue.waiting(), eq(0));
}

#[gtest]
fn callers_that_retry_too_early_go_last() {
    let mut queue = full_queue();
    let early = AdmissionRequest {
        is_early: true,
        ..admission_request(1, 0, 2_000)
    };
    queue.request_permit(early, ms(0));
    queue.request_permit(admission_request(2, 3, 3_000), ms(0));
    expect_that!(grants(&mut queue, 2), eq(&vec![2, 1]));
}

#[gtest]
fn extra_permits_grow_with_idle_slots_and_shrink_with_waiting_requests() {
    let mut queue = full_queue();
    for number in 0..20 {
        queue.request_permit(admission_request(number, 0, 60_000), ms(0));
    }
    let mut outstanding: Vec<u64> = (1_000..1_003).collect();
    let mut end_one = |queue: &mut PermitQueue, running, waiting| {
        let load = Some(InstanceLoad { running, waiting });
        let outcome = PermitOutcome::Answered {
            took: SERVICE_TIME,
            load,
        };
        queue.return_permit(requester(outstanding.remove(0)), outcome, ms(1));
        outstanding.extend(queue.advance(ms(1)).iter().map(|(next, _)| next.number));
        outstanding.len()
    };
    let with_idle_slots: Vec<usize> = (0..8).map(|_| end_one(&mut queue, 1, 0)).collect();
    expect_that!(with_idle_slots.last(), some(eq(&4)));
    let with_waiting: Vec<usize> = (0..4).map(|_| end_one(&mut queue, 2, 2)).collect();
    expect_that!(with_waiting.last(), some(eq(&3)));
}

#[gtest]
fn requests_for_lost_keys_do_not_delay_others() {
    let mut queue = queue();
    let cold = |number| AdmissionRequest {
        is_cold: true,
        ..admission_request(number, 0, 5_000)
    };
    expect_that!(
        queue.request_permit(cold(1), ms(0)),
        eq(Admission::Granted(OWNER))
    );
    expect_that!(
        queue.request_permit(cold(2), ms(0)),
        eq(Admission::Granted(OWNER))
    );
    // Such requests get free slots, but no permit beyond the slots.
    expect_that!(queue.request_permit(cold(3), ms(0)), eq(Admission::Queued));
    expect_that!(
        queue.request_permit(admission_request(4, 2, 900), ms(0)),
        eq(Admission::Queued)
    );
    expect_that!(
        queue.advance(ms(0)),
        elements_are![eq(&(requester(4), Admission::Granted(OWNER)))]
    );
    // Their service time does not count towards the estimate for other requests.
    queue.return_permit(requester(1), answered(ms(390)), ms(390));
    expect_that!(queue.service_time(), eq(SERVICE_TIME));
}

#[gtest]
fn resent_permit_request_is_not_queued_twice() {
    let mut queue = full_queue();
    expect_that!(
        queue.request_permit(admission_request(1, 1, 900), ms(0)),
        eq(Admission::Queued)
    );
    expect_that!(
        queue.request_permit(admission_request(1, 1, 900), ms(1)),
        eq(Admission::Queued)
    );
    expect_that!(queue.waiting(), eq(1));
    expect_that!(
        queue.request_permit(admission_request(1_000, 1, 900), ms(1)),
        eq(Admission::Granted(OWNER))
    );
    expect_that!(queue.outstanding(), eq(3));
}

#[gtest]
fn permit_that_is_not_returned_is_granted_again() {
    let mut queue = full_queue();
    queue.request_permit(admission_request(1, 1, 2_000), ms(0));
    // The node that holds the permits is lost.
    expect_that!(queue.advance(ms(999)), is_empty());
    expect_that!(
        queue.advance(ms(1_000)),
        elements_are![eq(&(requester(1), Admission::Granted(OWNER)))]
    );
    // Returning it late has no effect.
    expect_that!(
        queue.return_permit(requester(1_000), PermitOutcome::NoSample, ms(1_001)),
        eq(false)
    );
    expect_that!(queue.outstanding(), eq(1));
}

#[gtest]
fn lost_permit_does_not_change_the_service_time() {
    let mut queue = full_queue();
    queue.advance(ms(1_000));
    expect_that!(queue.outstanding(), eq(0));
    expect_that!(queue.service_time(), eq(SERVICE_TIME));
}

#[gtest]
fn urgent_request_gets_the_extra_permit_that_a_late_one_may_not_use() {
    let mut dispatcher = Dispatcher::default();
    let late = DispatchRequest {
        to_target: ms(0),
        ..dispatch_request(3, 1)
    };
    dispatcher.request_permit(&dispatch_request(1, 1), owner, ms(0));
    dispatcher.request_permit(&dispatch_request(2, 1), owner, ms(0));
    dispatcher.request_permit(&late, owner, ms(0));
    let urgent = DispatchRequest {
        to_target: ms(900),
        ..dispatch_request(4, 0)
    };
    let decided = dispatcher
        .request_permit(&urgent, owner, ms(0))
        .expect("decisions");
    let last = decided.last().expect("a decision");
    expect_that!(last.requester, eq(requester(4)));
    expect_that!(last.admission, eq(Admission::Granted(OWNER)));
}

#[gtest]
fn pool_instance_that_does_not_answer_is_ejected() {
    let mut queue = PermitQueue::of_pool(ms(0));
    queue.replace_servers([server(1), server(2), server(3)]);
    let mut run_next = |number: u64, at: u64| {
        let Admission::Granted(to) =
            queue.request_permit(admission_request(number, 1, 400), ms(at))
        else {
            panic!("no permit");
        };
        let outcome = if to == 1 {
            PermitOutcome::Failed
        } else {
            answered(SERVICE_TIME)
        };
        queue.return_permit(requester(number), outcome, ms(at));
        to
    };
    let first: Vec<u64> = (0..10).map(|number| run_next(number, number)).collect();
    expect_that!(first.iter().filter(|to| **to == 1).count(), eq(2));
    expect_that!(run_next(20, 600), eq(1));
}

#[gtest]
fn partly_failing_pool_instance_is_avoided_even_if_fastest() {
    let mut queue = PermitQueue::of_pool(ms(0));
    queue.replace_servers([server(1), server(2), server(3)]);
    let mut sent = 0;
    for number in 0..200 {
        let at = ms(number * 5);
        let Admission::Granted(to) = queue.request_permit(admission_request(number, 1, 400), at)
        else {
            panic!("no permit");
        };
        sent += u64::from(to == 1);
        let outcome = match (to == 1, sent % 2) {
            (true, 0) => PermitOutcome::Failed,
            (true, _) => answered(ms(5)),
            _ => answered(SERVICE_TIME),
        };
        queue.return_permit(requester(number), outcome, at);
    }
    expect_that!(sent, le(20));
}

#[gtest]
fn refusal_accounts_for_one_retry_until_the_caller_gives_up() {
    let mut callers = RefusedCallers::default();
    let refused = RefusedCaller {
        not_before: ms(100),
        target: ms(300),
        until: ms(2_000),
    };
    callers.record(7, refused);
    expect_that!(callers.take(8, ms(0)), none());
    expect_that!(callers.take(7, ms(1_999)), some(eq(refused)));
    expect_that!(callers.take(7, ms(1_999)), none());
    callers.record(7, refused);
    expect_that!(callers.take(7, ms(2_000)), none());
    callers.record(7, refused);
    callers.expire(ms(2_000));
    expect_that!(callers.take(7, ms(0)), none());
}

fn dispatch_request(number: u64, urgency: u8) -> DispatchRequest {
    DispatchRequest {
        queue: OWNER,
        kind: QueueKind::Owner,
        requester: requester(number),
        urgency,
        to_target: ms(150),
        left: ms(2_500),
        caller: number,
        is_cold: false,
        tried: None,
    }
}

fn owner() -> Vec<Server> {
    vec![server(OWNER)]
}

#[gtest]
fn urgent_callers_may_retry_first_and_early_retries_are_recognized() {
    let mut dispatcher = Dispatcher::default();
    for number in 0..2 {
        dispatcher.request_permit(&dispatch_request(number, 1), owner, ms(0));
    }
    let mut refused = |number, urgency| {
        let decided = dispatcher.request_permit(&dispatch_request(number, urgency), owner, ms(1));
        let decided = decided.expect("a decision")[0];
        assert_eq!(decided.admission, Admission::Refused);
        decided.retry_after
    };
    let less_urgent = refused(10, 2);
    let urgent = refused(11, 0);
    expect_that!(urgent, lt(less_urgent));
    expect_that!(urgent, ge(ms(150)));
    dispatcher.request_permit(&dispatch_request(11, 0), owner, ms(10));
    expect_that!(dispatcher.counters().early, eq(1));
    // The retry delay exceeds what the caller can wait: a third of its time left is enough.
    dispatcher.request_permit(&dispatch_request(10, 2), owner, ms(900));
    expect_that!(dispatcher.counters().early, eq(1));
}

#[gtest]
fn unused_queues_are_dropped() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.request_permit(&dispatch_request(1, 1), owner, ms(0));
    dispatcher.return_permit(OWNER, requester(1), answered(SERVICE_TIME), ms(100));
    dispatcher.expire(ms(5_000));
    expect_that!(dispatcher.next_deadline(), none());
    dispatcher.expire(ms(11_000));
    expect_that!(
        dispatcher.return_permit(OWNER, requester(1), PermitOutcome::NoSample, ms(11_000)),
        is_empty()
    );
}

#[derive(Clone, Debug)]
enum Message {
    Ask {
        urgency: u8,
        to_target: u64,
        early: bool,
    },
    Return {
        position: usize,
        ran: bool,
    },
    Lose {
        position: usize,
    },
    Advance {
        ms: u64,
    },
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        4 => (0u8..4, 0u64..1_500, proptest::bool::weighted(0.1))
            .prop_map(|(urgency, to_target, early)| Message::Ask { urgency, to_target, early }),
        3 => (0usize..8, proptest::bool::ANY)
            .prop_map(|(position, ran)| Message::Return { position, ran }),
        1 => (0usize..8).prop_map(|position| Message::Lose { position }),
        3 => (0u64..200).prop_map(|ms| Message::Advance { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(0xd15b),
        ..ProptestConfig::default()
    })]

    /// Whatever is requested, returned and lost: never more permits than the slots plus one,
    /// one final decision for each request, and no request waits beyond its target.
    #[test]
    fn no_request_gets_stuck_and_no_permit_is_granted_twice(
        messages in proptest::collection::vec(message(), 1..200)
    ) {
        let mut queue = queue();
        let mut now = ms(0);
        let mut number = 0;
        let mut outstanding: Vec<u64> = Vec::new();
        let mut waiting: BTreeSet<(Duration, u64)> = BTreeSet::new();
        for message in messages {
            match message {
                Message::Ask { urgency, to_target, early } => {
                    number += 1;
                    let is_early = early;
                    // A late one waits for an idle slot.
                    let limit = match to_target {
                        0 => queue.service_time() * 2,
                        _ => ms(to_target),
                    };
                    let request = AdmissionRequest { is_early, ..admission_request(number, urgency, to_target) };
                    match queue.request_permit(request, now) {
                        Admission::Granted(_) => outstanding.push(number),
                        Admission::Queued => {
                            waiting.insert((now + limit, number));
                        }
                        Admission::Refused => {}
                    }
                }
                Message::Return { position, ran } if !outstanding.is_empty() => {
                    let ended = outstanding.remove(position % outstanding.len());
                    let outcome = if ran { answered(SERVICE_TIME) } else { PermitOutcome::NoSample };
                    queue.return_permit(requester(ended), outcome, now);
                }
                Message::Lose { position } if !outstanding.is_empty() => {
                    outstanding.remove(position % outstanding.len());
                }
                Message::Return { .. } | Message::Lose { .. } => {}
                Message::Advance { ms: passed } => {
                    now += ms(passed);
                    // Permits that are not returned for long have expired, although their holders may
                    // still proceed.
                    if passed > 150 {
                        outstanding.truncate(SLOTS + 1);
                    }
                }
            }
            for (decided, admission) in queue.advance(now) {
                let known = waiting.iter().find(|(_, known)| *known == decided.number).copied();
                prop_assert!(known.is_some(), "decided twice");
                waiting.remove(&known.expect("known"));
                if admission == Admission::Granted(OWNER) {
                    outstanding.push(decided.number);
                }
            }
            prop_assert!(queue.outstanding() <= SLOTS + 1);
            prop_assert_eq!(queue.waiting(), waiting.len());
            if let Some((target, _)) = waiting.first() {
                prop_assert!(*target > now, "waits for too long");
            }
            prop_assert!(queue.waiting() == 0 || queue.next_deadline().is_some());
        }
    }
}

#[gtest]
fn pool_instance_that_asked_for_a_pause_is_selected_last() {
    let mut queue = PermitQueue::of_pool(Duration::ZERO);
    queue.replace_servers([server(1), server(2)]);
    let first = queue.request_permit(admission_request(0, 0, 5_000), ms(0));
    let Admission::Granted(paused) = first else {
        panic!("{first:?}");
    };
    queue.return_permit(requester(0), PermitOutcome::BackedOff(ms(500)), ms(1));
    let granted = |queue: &mut PermitQueue, number: u64, at: u64| {
        let admission = queue.request_permit(admission_request(number, 0, 5_000), ms(at));
        queue.return_permit(requester(number), PermitOutcome::NoSample, ms(at));
        admission
    };
    for number in 1..5 {
        let other = 3 - paused;
        let admission = granted(&mut queue, number, 10 * number);
        expect_that!(admission, eq(Admission::Granted(other)));
    }
    expect_that!(granted(&mut queue, 9, 502), eq(first));
}
