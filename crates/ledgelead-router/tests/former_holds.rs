//! Keys that an owner may still hold by an order from before its latest one.

#[path = "support/coordinator.rs"]
mod coordinator;

use coordinator::Fixture;
use googletest::prelude::*;
use ledgelead_router::dialect::{Order, OrderAnswer};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::io::ExchangeFailure;
use ledgelead_router::ownership::coordinator::OutgoingOrder;
use ledgelead_router::settings::longest_hold;
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
        self.directory.upsert(
            InstanceRecord {
                draining: true,
                ..instance(number)
            },
            now,
        );
        let release = self.order(now);
        assert_eq!(release.instance, id(number));
        assert!(matches!(release.order, Order::Release { .. }));
        release
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
