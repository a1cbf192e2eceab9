//! Instances that restart under the same name. State known of one incarnation must not be
//! attributed to another.

#[path = "support/coordinator.rs"]
mod coordinator;

use coordinator::Fixture;
use googletest::prelude::*;
use ledgelead_router::dialect::{Order, OrderAnswer};
use ledgelead_router::directory::{Directory, Entry, InstanceRecord};
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::ownership::coordinator::OutgoingOrder;
use ledgelead_router::quarantine::UnconfirmedAnswers;
use ledgelead_router::settings::longest_hold;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn incarnation(name: &str, start_ms: u64) -> InstanceRecord {
    InstanceRecord {
        id: InstanceId::with_start_time(name, start_ms),
        service: ServiceName::from("s"),
        address: ([10, 0, 0, u8::from(name == "a")], 80).into(),
        zone: ZoneName::from("z"),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
    }
}

fn state_of(directory: &Directory, start_ms: u64) -> (bool, bool) {
    let id = InstanceId::with_start_time("a", start_ms);
    let instance = directory.get(&id);
    let serves = instance.is_some_and(|instance| instance.serves());
    (serves, directory.has_ended(&id))
}

const SERVES: (bool, bool) = (true, false);
const ENDED: (bool, bool) = (false, true);
const UNKNOWN: (bool, bool) = (false, false);

#[gtest]
fn an_incarnation_whose_entry_was_overwritten_serves_again_with_its_next_entry() {
    let mut directory = Directory::default();
    directory.replace_all(vec![Entry::at(1, incarnation("a", 10))], ms(0));
    // An entry with another start time, then one without.
    directory.upsert(Entry::at(2, incarnation("a", 99)), ms(100));
    expect_that!(state_of(&directory, 10), eq(ENDED));
    directory.upsert(Entry::at(3, incarnation("a", 10)), ms(200));
    expect_that!(state_of(&directory, 10), eq(SERVES));
    let without_start = InstanceRecord {
        id: InstanceId::from("a"),
        ..incarnation("a", 10)
    };
    directory.upsert(Entry::at(4, without_start), ms(300));
    // It gets no new requests, but no incarnation is proved to have ended.
    expect_that!(state_of(&directory, 10), eq(UNKNOWN));
    expect_that!(
        directory
            .later_incarnation(&InstanceId::with_start_time("a", 10))
            .is_none(),
        eq(true)
    );
    directory.upsert(Entry::at(5, incarnation("a", 10)), ms(400));
    expect_that!(state_of(&directory, 10), eq(SERVES));
}

#[gtest]
fn a_later_incarnation_ends_the_earlier_one_at_any_address() {
    let mut directory = Directory::default();
    directory.replace_all(vec![incarnation("a", 10)], ms(0));
    let moved = InstanceRecord {
        address: ([10, 0, 9, 9], 80).into(),
        ..incarnation("a", 20)
    };
    directory.upsert(moved, ms(1_000));
    expect_that!(state_of(&directory, 10), eq(ENDED));
    expect_that!(state_of(&directory, 20), eq(SERVES));
    let gone = directory.get(&InstanceId::with_start_time("a", 10));
    expect_that!(gone.is_some_and(|gone| gone.is_gone()), eq(true));
}

#[gtest]
fn a_delayed_entry_of_an_earlier_incarnation_is_ignored() {
    let mut directory = Directory::default();
    directory.replace_all(vec![incarnation("a", 20)], ms(0));
    directory.upsert(incarnation("a", 10), ms(1_000));
    expect_that!(state_of(&directory, 10), eq(UNKNOWN));
    expect_that!(state_of(&directory, 20), eq(SERVES));
    // A delayed list still contains an entry of that name, so that none is missing.
    directory.replace_all(vec![incarnation("a", 10)], ms(2_000));
    expect_that!(state_of(&directory, 20), eq(SERVES));
}

#[gtest]
fn an_earlier_incarnation_stays_ended_after_the_later_one_is_gone() {
    let mut directory = Directory::default();
    directory.replace_all(vec![incarnation("a", 10)], ms(0));
    directory.upsert(incarnation("a", 20), ms(1_000));
    directory.remove("a", ms(2_000));
    directory.upsert(incarnation("a", 10), ms(3_000));
    expect_that!(state_of(&directory, 10), eq(ENDED));
    expect_that!(state_of(&directory, 20), eq(UNKNOWN));
}

#[gtest]
fn the_revision_decides_if_a_clock_was_set_back() {
    let mut directory = Directory::default();
    directory.replace_all(vec![Entry::at(5, incarnation("a", 20))], ms(0));
    directory.upsert(Entry::at(8, incarnation("a", 10)), ms(1_000));
    expect_that!(state_of(&directory, 20), eq(ENDED));
    expect_that!(state_of(&directory, 10), eq(SERVES));
    directory.upsert(Entry::at(5, incarnation("a", 20)), ms(2_000));
    expect_that!(state_of(&directory, 10), eq(SERVES));
}

#[gtest]
fn the_same_incarnation_continues_at_another_revision() {
    let mut directory = Directory::default();
    directory.replace_all(vec![Entry::at(5, incarnation("a", 20))], ms(0));
    directory.upsert(Entry::at(8, incarnation("a", 20)), ms(1_000));
    expect_that!(state_of(&directory, 20), eq(SERVES));
}

#[gtest]
fn a_deleted_name_removes_its_current_incarnation() {
    let mut directory = Directory::default();
    directory.replace_all(vec![incarnation("a", 10), incarnation("b", 1)], ms(0));
    directory.upsert(incarnation("a", 20), ms(1_000));
    directory.replace_all(vec![incarnation("b", 1)], ms(2_000));
    expect_that!(state_of(&directory, 20), eq(UNKNOWN));
}

/// A coordinator whose keys `a` owns, started at 10, with a second instance `b`.
fn owned() -> Fixture {
    let owner = InstanceId::with_start_time("a", 10);
    Fixture::owned_by(owner, vec![incarnation("a", 10), incarnation("b", 1)])
}

impl Fixture {
    /// Steps until the record is to be written; returns the time and the owner.
    fn next_owner(&mut self, from: Duration, to: Duration) -> Option<(Duration, InstanceId, u64)> {
        let mut now = from;
        while now <= to {
            if let Some(record) = self.step(now).write {
                let assignment = &record.assignments[0];
                return Some((now, assignment.owner.clone(), assignment.fence));
            }
            now += ms(10);
        }
        None
    }
}

#[gtest]
fn keys_pass_to_the_later_incarnation_with_a_higher_token() {
    let mut fixture = owned();
    let granted = fixture.order(ms(10_000));
    fixture.done(&granted, ms(10_005));
    fixture.directory.upsert(incarnation("a", 20), ms(10_500));
    let next = fixture.next_owner(ms(10_500), ms(11_000));
    let later = InstanceId::with_start_time("a", 20);
    expect_that!(next, some(eq(&(ms(10_500), later.clone(), 6))));
    fixture.coordinator.record_written(ms(10_510));
    let order = fixture.order(ms(10_510));
    expect_that!(order.instance, eq(&later));
    expect_that!(
        matches!(order.order, Order::Grant { fence: 6, .. }),
        eq(true)
    );
}

#[gtest]
fn a_grant_in_transit_delays_the_later_incarnation() {
    let mut fixture = owned();
    let granted = fixture.order(ms(10_000));
    fixture.directory.upsert(incarnation("a", 20), ms(10_100));
    expect_that!(fixture.next_owner(ms(10_100), ms(10_590)), none());
    let timed_out = Err(ExchangeFailure::TimedOut);
    fixture
        .coordinator
        .order_ended(granted.exchange, timed_out, ms(10_600));
    let next = fixture.next_owner(ms(10_600), ms(10_700));
    expect_that!(
        next,
        some(eq(&(ms(10_600), InstanceId::with_start_time("a", 20), 6)))
    );
}

#[gtest]
fn another_instance_waits_for_grants_that_the_later_incarnation_may_have_received() {
    let mut fixture = owned();
    let granted = fixture.order(ms(10_000));
    let leaving = InstanceRecord {
        draining: true,
        ..incarnation("a", 20)
    };
    fixture.directory.upsert(leaving, ms(10_100));
    let timed_out = Err(ExchangeFailure::TimedOut);
    fixture
        .coordinator
        .order_ended(granted.exchange, timed_out, ms(10_600));
    let end = ms(10_600) + longest_hold();
    let next = fixture.next_owner(ms(10_600), end + ms(1_000));
    let (at, owner, fence) = next.expect("another owner");
    expect_that!(at, ge(end));
    expect_that!(owner, eq(&InstanceId::with_start_time("b", 1)));
    expect_that!(fence, eq(6));
}

#[gtest]
fn the_lease_of_a_later_incarnation_that_accepts_no_keys_must_expire_too() {
    let mut fixture = owned();
    let granted = fixture.order(ms(10_000));
    fixture.done(&granted, ms(10_005));
    fixture.directory.upsert(incarnation("a", 20), ms(10_100));
    expect_that!(fixture.next_owner(ms(10_100), ms(10_200)), some(anything()));
    fixture.coordinator.record_written(ms(10_200));
    // The answered grant of the earlier incarnation may have been received by the later one.
    let end = ms(10_005) + longest_hold();
    let mut now = ms(10_200);
    let mut written = None;
    while written.is_none() && now <= end + ms(1_000) {
        let commands = fixture.step(now);
        for order in commands.orders {
            let failed = Err(ExchangeFailure::NotConnected);
            fixture.coordinator.order_ended(order.exchange, failed, now);
        }
        written = commands.write.map(|record| (now, record));
        now += ms(10);
    }
    let (at, record) = written.expect("another owner");
    expect_that!(at, ge(end));
    expect_that!(
        record.assignments[0].owner,
        eq(&InstanceId::with_start_time("b", 1))
    );
}

#[gtest]
fn no_order_is_sent_to_an_incarnation_whose_name_another_one_has() {
    let mut fixture = owned();
    let granted = fixture.order(ms(10_000));
    fixture.done(&granted, ms(10_005));
    let leaving = InstanceRecord {
        draining: true,
        ..incarnation("a", 20)
    };
    fixture.directory.upsert(leaving, ms(10_100));
    let mut now = ms(10_100);
    while now < ms(14_000) {
        expect_that!(fixture.step(now).orders, is_empty());
        now += ms(50);
    }
}

#[gtest]
fn a_different_name_at_the_address_ends_the_lease_at_once() {
    let mut fixture = owned();
    let granted = fixture.order(ms(10_000));
    fixture.done(&granted, ms(10_005));
    let other = InstanceRecord {
        id: InstanceId::with_start_time("c", 20),
        ..incarnation("a", 20)
    };
    fixture.directory.upsert(other, ms(10_100));
    let next = fixture.next_owner(ms(10_100), ms(10_200));
    expect_that!(next.map(|(at, _, _)| at), some(le(ms(10_120))));
}

/// An entry of `c` at the address of `a`.
fn other_at_the_address(id: InstanceId) -> InstanceRecord {
    InstanceRecord {
        id,
        ..incarnation("a", 0)
    }
}

#[gtest]
fn late_entry_of_an_earlier_instance_at_the_address_takes_no_keys_from_the_living_one() {
    let mut fixture = owned();
    let granted = fixture.order(ms(10_000));
    fixture.done(&granted, ms(10_005));
    let ended = other_at_the_address(InstanceId::with_start_time("c", 5));
    fixture.directory.upsert(ended.clone(), ms(10_100));
    expect_that!(state_of(&fixture.directory, 10), eq(SERVES));
    let late = fixture.directory.get(&ended.id).expect("an entry");
    expect_that!(late.serves(), eq(false));
    let mut now = ms(10_100);
    while now < ms(10_900) {
        let commands = fixture.step(now);
        expect_that!(commands.write, none());
        for order in commands.orders {
            expect_that!(matches!(order.order, Order::Grant { .. }), eq(true));
            fixture.done(&order, now);
        }
        now += ms(10);
    }
}

/// A coordinator whose keys `a` owns; another instance has registered at the address of `a`,
/// and neither states its start. Returns the release that is sent to `a`.
fn released_by_another_entry() -> (Fixture, OutgoingOrder) {
    let owner = InstanceId::from("a");
    let records = vec![
        other_at_the_address(owner.clone()),
        InstanceRecord {
            id: InstanceId::from("b"),
            ..incarnation("b", 0)
        },
    ];
    let mut fixture = Fixture::owned_by(owner, records);
    let granted = fixture.order(ms(10_000));
    fixture.done(&granted, ms(10_005));
    let other = other_at_the_address(InstanceId::from("c"));
    fixture.directory.upsert(other, ms(10_100));
    let release = fixture.order(ms(10_100));
    expect_that!(matches!(release.order, Order::Release { .. }), eq(true));
    expect_that!(release.instance, eq(&InstanceId::from("a")));
    (fixture, release)
}

#[gtest]
fn entry_without_a_start_ends_no_lease_before_an_answer_from_the_address() {
    let (mut fixture, release) = released_by_another_entry();
    expect_that!(fixture.next_owner(ms(10_110), ms(10_700)), none());
    fixture.done(&release, ms(10_710));
    expect_that!(fixture.next_owner(ms(10_710), ms(10_730)), some(anything()));
}

#[gtest]
fn answer_of_another_instance_at_the_address_ends_the_lease_at_once() {
    let (mut fixture, release) = released_by_another_entry();
    let other = Ok(OrderAnswer::OtherInstance);
    fixture
        .coordinator
        .order_ended(release.exchange, other, ms(10_110));
    expect_that!(fixture.next_owner(ms(10_110), ms(10_130)), some(anything()));
}

#[gtest]
fn instance_serves_again_once_the_one_that_displaced_it_has_ended() {
    let mut directory = Directory::default();
    let [a, c] = ["a", "c"].map(|name| other_at_the_address(InstanceId::from(name)));
    directory.replace_all(vec![a.clone()], ms(0));
    directory.upsert(c.clone(), ms(100));
    let serves = |directory: &Directory| {
        [&a, &c].map(|record| directory.get(&record.id).is_some_and(|it| it.serves()))
    };
    expect_that!(serves(&directory), eq([false, true]));
    expect_that!(directory.has_ended(&a.id), eq(false));
    // Its further entries don't show which of the two is running.
    directory.upsert(a.clone(), ms(200));
    expect_that!(serves(&directory), eq([false, true]));
    directory.mark_ended(&c.id);
    expect_that!(serves(&directory), eq([true, false]));
}

#[gtest]
fn an_answer_proves_an_incarnation_alive_only_after_a_later_one_would_be_known() {
    let id = InstanceId::with_start_time("a", 10);
    let mut unconfirmed = UnconfirmedAnswers::default();
    unconfirmed.record(&id, ms(1_000), ms(1_100));
    // Further answers do not extend the wait.
    unconfirmed.record(&id, ms(2_000), ms(2_100));
    expect_that!(unconfirmed.next_due(), some(eq(ms(3_100))));
    expect_that!(unconfirmed.take_due(ms(3_000)), is_empty());
    expect_that!(
        unconfirmed.take_due(ms(3_100)),
        elements_are![eq(&(id, ms(1_000)))]
    );
    expect_that!(unconfirmed.next_due(), none());
}
