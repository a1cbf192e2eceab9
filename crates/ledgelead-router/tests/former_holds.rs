//! Keys that an owner may still hold by an order from before its latest one.

#[path = "support/coordinator.rs"]
mod coordinator;

use coordinator::Fixture;
use googletest::prelude::*;
use ledgelead_router::dialect::{Order, OrderAnswer};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::ownership::coordinator::{Commands, OutgoingOrder};
use ledgelead_router::ownership::record::{OwnershipRecord, RangeGracePeriod};
use ledgelead_router::settings::{HOLD, longest_hold, longest_use_of_owners};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn instance(number: u8) -> InstanceRecord {
    InstanceRecord {
        id: id(number),
        service: ServiceName::from("s"),
        address: ([10, 0, 0, number], 80).into(),
        zone: ZoneName::from("z"),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
    }
}

fn id(number: u8) -> InstanceId {
    InstanceId::from(format!("i-{number}").as_str())
}

/// When the first owner has answered its only grant.
const GRANTED: Duration = Duration::from_millis(10_005);

/// Three instances, of which the first owns all keys and has answered a grant.
fn granted() -> Fixture {
    let instances = (1..=3).map(instance).collect();
    let mut fixture = Fixture::owned_by(id(1), instances);
    let granted = fixture.order(ms(10_000));
    fixture.done(&granted, GRANTED);
    fixture
}

impl Fixture {
    /// An instance begins to drain, and the coordinator asks it to release its keys.
    fn release(&mut self, number: u8, now: Duration) -> OutgoingOrder {
        let orders = self.drain(number, now).orders;
        assert_eq!(orders.len(), 1, "{orders:?}");
        let release = orders[0].clone();
        assert_eq!(release.instance, id(number));
        assert!(matches!(release.order, Order::Release { .. }));
        release
    }

    /// A renewal gets no answer, and the platform may execute it at any later time. A repeated
    /// one is answered.
    fn leave_renewal_unanswered(&mut self) {
        let unanswered = self.order(ms(11_005));
        self.fail(&unanswered, ms(11_605));
        let repeated = self.order(ms(11_855));
        self.done(&repeated, ms(11_860));
    }

    /// The owner leaves grants unanswered until it gets no more that extend its hold. Returns the
    /// time of the last one.
    fn give_up(&mut self) -> Duration {
        let mut now = ms(11_005);
        for _ in 0..5 {
            let unanswered = self.order(now);
            self.fail(&unanswered, now + ms(600));
            now += ms(850);
        }
        let unanswered = self.order(now);
        self.fail(&unanswered, now + ms(600));
        now + ms(600)
    }

    /// Leaves all further grants unanswered. Returns when the record with the next owner of all
    /// keys is to be written, and that record.
    fn expire(&mut self, from: Duration) -> (Duration, OwnershipRecord) {
        let mut now = from;
        loop {
            let commands = self.step(now);
            if let Some(record) = commands.write {
                if record.assignments[0].owner != id(1) {
                    return (now, record);
                }
                self.coordinator.record_written(now);
            }
            for order in commands.orders {
                self.fail(&order, now + ms(1));
            }
            now += ms(10);
            assert!(now < from + ms(20_000), "no next owner");
        }
    }

    fn fail(&mut self, order: &OutgoingOrder, now: Duration) {
        let timed_out = Err(ExchangeFailure::TimedOut);
        self.coordinator.order_ended(order.exchange, timed_out, now);
    }

    /// Many requests for a few keys, so that the next plan moves some of them to an idle owner.
    fn plan_move(&mut self, now: Duration) -> Commands {
        let keys: Vec<u16> = (0..600).map(|index| index % 10 * 6_000).collect();
        let service = ServiceName::from("s");
        self.coordinator.record_load(&service, &keys, now);
        self.step(now)
    }

    fn drain(&mut self, number: u8, now: Duration) -> Commands {
        let draining = InstanceRecord {
            draining: true,
            ..instance(number)
        };
        self.directory.upsert(draining, now);
        self.step(now)
    }

    /// Steps until the record is to be written, while no order arrives anywhere; returns the
    /// time and the owner.
    fn next_owner(&mut self, from: Duration, to: Duration) -> Option<(Duration, InstanceId)> {
        let mut now = from;
        while now <= to {
            let commands = self.step(now);
            for order in commands.orders {
                let failed = Err(ExchangeFailure::NotConnected);
                self.coordinator.order_ended(order.exchange, failed, now);
            }
            if let Some(record) = commands.write {
                return Some((now, record.assignments[0].owner.clone()));
            }
            now += ms(10);
        }
        None
    }
}

#[gtest]
fn late_answer_to_a_former_owners_release_does_not_end_the_next_owners() {
    let mut fixture = granted();
    let expiry = GRANTED + longest_hold();
    let first = fixture.release(1, expiry - ms(500));
    let (at, owner) = fixture
        .next_owner(expiry, expiry + ms(100))
        .expect("an owner");
    fixture.coordinator.record_written(at + ms(5));
    let granted = fixture.order(at + ms(5));
    fixture.done(&granted, at + ms(10));
    let number = if owner == id(2) { 2 } else { 3 };
    let second = fixture.release(number, at + ms(200));
    fixture.done(&first, at + ms(210));
    let during_release = fixture.step(at + ms(220));
    expect_that!(during_release.write, none());
    fixture.done(&second, at + ms(400));
    let after_release = fixture.step(at + ms(410));
    expect_that!(after_release.write, some(anything()));
}

#[gtest]
fn owner_that_rejects_its_token_may_hold_the_keys_until_its_former_lease_ends() {
    let mut fixture = granted();
    let expiry = GRANTED + longest_hold();
    let renewal = fixture.order(ms(11_005));
    let rejected = Ok(OrderAnswer::Fenced);
    fixture
        .coordinator
        .order_ended(renewal.exchange, rejected, ms(11_010));
    let same = fixture.next_owner(ms(11_010), ms(11_100));
    expect_that!(same.map(|(_, owner)| owner), some(eq(&id(1))));
    fixture.coordinator.record_written(ms(11_105));
    // No grant with the higher token arrives.
    let next = fixture.next_owner(ms(11_105), expiry + ms(1_000));
    let (at, owner) = next.expect("another owner");
    expect_that!(at, ge(expiry));
    expect_that!(owner, not(eq(&id(1))));
}

/// The token and the state that a grant carries.
fn granted_token(order: &OutgoingOrder) -> Option<(u64, Option<&str>)> {
    match &order.order {
        Order::Grant {
            fence, handover, ..
        } => Some((*fence, handover.as_deref())),
        Order::Release { .. } => None,
    }
}

fn released(state: &str) -> Result<OrderAnswer, ExchangeFailure> {
    let handover = Some(state.to_owned());
    Ok(OrderAnswer::Done { handover })
}

#[gtest]
fn unanswered_grant_cannot_revive_a_hold_after_its_release() {
    let mut fixture = granted();
    fixture.leave_renewal_unanswered();
    // The record reserves no token yet.
    let draining = fixture.drain(1, ms(12_000));
    expect_that!(draining.orders, is_empty());
    let recorded = draining.write.expect("a version that covers the new token");
    expect_that!(recorded.assignments[0].owner, eq(&id(1)));
    fixture.coordinator.record_written(ms(12_005));

    let grant = fixture.order(ms(12_005));
    let (token, _) = granted_token(&grant).expect("a grant before the release");
    expect_that!(token, gt(5));
    expect_that!(grant.is_first_grant, eq(true));
    fixture.done(&grant, ms(12_010));
    let release = fixture.order(ms(12_010));
    expect_that!(granted_token(&release), none());
    fixture
        .coordinator
        .order_ended(release.exchange, released("state"), ms(12_020));
    let moved = fixture.step(ms(12_020)).write.expect("the next owner");
    expect_that!(moved.assignments[0].owner, not(eq(&id(1))));
    expect_that!(moved.assignments[0].fence, gt(token));
}

#[gtest]
fn new_token_below_those_of_a_successor_needs_no_write() {
    let mut fixture = granted();
    let first = fixture.release(1, ms(10_100));
    fixture.done(&first, ms(10_110));
    let moved = fixture.step(ms(10_110)).write.expect("the next owner");
    fixture.coordinator.record_written(ms(10_115));
    let grant = fixture.order(ms(10_115));
    fixture.fail(&grant, ms(10_715));
    let repeated = fixture.order(ms(10_965));
    fixture.done(&repeated, ms(10_970));

    let number = if grant.instance == id(2) { 2 } else { 3 };
    let draining = fixture.drain(number, ms(11_000));
    expect_that!(draining.write, none());
    let mut tokens = draining.orders.iter().filter_map(granted_token);
    let (token, _) = tokens.next().expect("a grant before the release");
    expect_that!(token, gt(moved.assignments[0].fence));
    expect_that!(token, lt(moved.next_fence));
}

#[gtest]
fn owner_that_answers_a_release_after_unanswered_grants_gets_a_new_token_with_its_state() {
    let mut fixture = granted();
    for at in [11_005, 11_855] {
        let unanswered = fixture.order(ms(at));
        fixture.fail(&unanswered, ms(at + 600));
    }
    // Another grant would extend the lease of an owner that may be down.
    let release = fixture.release(1, ms(12_500));
    fixture
        .coordinator
        .order_ended(release.exchange, released("state"), ms(12_510));
    let draining = fixture.step(ms(12_510));
    expect_that!(draining.write, some(anything()));
    fixture.coordinator.record_written(ms(12_515));
    let grant = fixture.order(ms(12_515));
    expect_that!(granted_token(&grant), some(eq((6, Some("state")))));
    fixture.done(&grant, ms(12_520));
    let release = fixture.order(ms(12_520));
    expect_that!(granted_token(&release), none());
}

#[gtest]
fn range_is_released_at_once_if_all_grants_were_answered() {
    let mut fixture = granted();
    fixture.release(1, ms(10_400));
}

#[gtest]
fn part_of_a_range_with_an_unanswered_grant_gets_a_token_of_its_own() {
    let mut fixture = granted();
    fixture.leave_renewal_unanswered();
    let planned = fixture.plan_move(ms(12_100));
    expect_that!(planned.orders, is_empty());
    let recorded = planned.write.expect("a version that covers the new tokens");
    let tokens = recorded.assignments.iter().map(|part| part.fence);
    let (kept, raised): (Vec<u64>, Vec<u64>) = tokens.partition(|token| *token == 5);
    expect_that!(kept, not(is_empty()));
    expect_that!(raised, not(is_empty()));
    fixture.coordinator.record_written(ms(12_105));
    let orders = fixture.step(ms(12_105)).orders;
    let first_grants = orders.iter().filter(|order| order.is_first_grant);
    let granted: Vec<u64> = first_grants
        .filter_map(granted_token)
        .map(|(token, _)| token)
        .collect();
    expect_that!(granted, eq(&raised));
}

#[gtest]
fn unanswered_grant_under_the_new_token_is_followed_by_a_higher_one() {
    let mut fixture = granted();
    fixture.leave_renewal_unanswered();
    fixture.drain(1, ms(12_000));
    fixture.coordinator.record_written(ms(12_005));
    let lost = fixture.order(ms(12_005));
    fixture.fail(&lost, ms(12_605));
    let repeated = fixture.order(ms(12_855));
    fixture.done(&repeated, ms(12_860));
    let next = fixture.order(ms(12_860));
    let token = |order| granted_token(order).map(|(token, _)| token);
    expect_that!(token(&repeated), eq(token(&lost)));
    expect_that!(token(&next), some(gt(token(&lost).unwrap_or_default())));
    fixture.done(&next, ms(12_865));
    let release = fixture.order(ms(12_865));
    expect_that!(granted_token(&release), none());
}

/// The token and the hold of a grant.
fn token_and_hold(order: &OutgoingOrder) -> (u64, Duration) {
    match &order.order {
        Order::Grant { fence, hold, .. } => (*fence, *hold),
        Order::Release { .. } => panic!("no grant: {order:?}"),
    }
}

#[gtest]
fn owner_that_is_given_up_gets_a_higher_token_for_no_longer_than_its_lease() {
    let mut fixture = granted();
    let given_up = fixture.give_up();
    let expiry = given_up + longest_hold();
    let tokens_recorded = fixture.step(given_up + ms(250));
    expect_that!(tokens_recorded.orders, is_empty());
    expect_that!(tokens_recorded.write, some(anything()));
    fixture.coordinator.record_written(given_up + ms(260));
    let sent = given_up + ms(260);
    let shortened = fixture.order(sent);
    let (token, hold) = token_and_hold(&shortened);
    expect_that!(token, gt(5));
    expect_that!(shortened.is_first_grant, eq(true));
    // A grant may be in transit for as long as an order without an answer.
    expect_that!(sent + ms(1_000) + hold.mul_f64(1.02), le(expiry));
    fixture.fail(&shortened, sent + ms(600));
    let (at, _) = fixture.expire(sent + ms(600));
    expect_that!(at, le(expiry + ms(20)));
}

#[gtest]
fn owner_that_answers_a_shortened_grant_keeps_its_keys() {
    let mut fixture = granted();
    let given_up = fixture.give_up();
    fixture.step(given_up + ms(250));
    fixture.coordinator.record_written(given_up + ms(260));
    let shortened = fixture.order(given_up + ms(260));
    fixture.done(&shortened, given_up + ms(270));
    let renewal = fixture.order(given_up + ms(270));
    expect_that!(
        token_and_hold(&renewal),
        eq((token_and_hold(&shortened).0, HOLD))
    );
    fixture.done(&renewal, given_up + ms(280));
    // It rejects all earlier grants, so it can be released at once.
    fixture.release(1, given_up + ms(300));
}

/// The first owner answers nothing until its lease expires, and the record names the next one.
fn next_owner_recorded() -> (Fixture, Duration) {
    let mut fixture = granted();
    let given_up = fixture.give_up();
    let (at, _) = fixture.expire(given_up);
    fixture.coordinator.record_written(at + ms(5));
    (fixture, at + ms(5))
}

#[gtest]
fn next_owner_after_unanswered_grants_waits_until_all_nodes_know_it() {
    let (mut fixture, recorded) = next_owner_recorded();
    expect_that!(fixture.step(recorded).orders, is_empty());
    fixture.known_to_all = Some(0);
    expect_that!(fixture.step(recorded + ms(500)).orders, is_empty());
    fixture.known_to_all = Some(1);
    let grant = fixture.order(recorded + ms(1_000));
    expect_that!(token_and_hold(&grant).1, eq(HOLD));
}

#[gtest]
fn next_owner_after_unanswered_grants_is_granted_once_no_node_can_use_the_former_one() {
    let (mut fixture, recorded) = next_owner_recorded();
    let end = recorded + longest_use_of_owners();
    expect_that!(fixture.step(end - ms(10)).orders, is_empty());
    fixture.order(end);
}

/// The first owner has answered all grants, so none can be executed after its lease.
#[gtest]
fn next_owner_of_one_that_was_never_reached_again_waits_for_no_node() {
    let mut fixture = granted();
    let expiry = GRANTED + longest_hold();
    let next = fixture.next_owner(ms(11_005), expiry + ms(1_000));
    let (at, _) = next.expect("another owner");
    fixture.coordinator.record_written(at + ms(5));
    fixture.order(at + ms(5));
}

#[gtest]
fn successor_of_a_coordinator_continues_its_grace_periods() {
    let mut fixture = granted();
    let given_up = fixture.give_up();
    let (_, record) = fixture.expire(given_up);
    let left = longest_use_of_owners();
    let periods = record.grace_periods.iter();
    expect_that!(
        periods.map(RangeGracePeriod::left).collect::<Vec<_>>(),
        eq(&vec![left])
    );
    let instances = (1..=3).map(instance).collect();
    let mut successor = Fixture::with_grace_periods(id(2), instances, record.grace_periods);
    expect_that!(successor.step(left - ms(10)).orders, is_empty());
    successor.order(left);
}
