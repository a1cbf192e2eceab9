//! A coordinator of thousands of owners: its orders and writes per second are bounded,
//! independent of the number of ranges.
//!
//! Scenario: a node takes over 4,272 ranges, grants all of them again and renews them, while
//! hundreds of owners leave. It has half a core and 200 Mbit/s.

use googletest::prelude::*;
use ledgelead_router::Timestamp;
use ledgelead_router::configuration::{ClientLimits, Configuration, Service};
use ledgelead_router::dialect::{KeyRange, Order, OrderAnswer};
use ledgelead_router::directory::{Directory, InstanceRecord};
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::mechanisms::Mechanisms;
use ledgelead_router::ownership::coordinator::{
    Context, Coordinator, EarlierAuthority, ExchangeIds, OutgoingOrder,
};
use ledgelead_router::ownership::record::{Assignment, OwnershipRecord};
use ledgelead_router::peers::{ChangeLog, Changes};
use ledgelead_router::protections::Protections;
use ledgelead_router::rate_limit::KnownLimits;
use ledgelead_router::settings::{HOLD, MAX_RENEWAL_INTERVAL};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Time until an order is answered.
const ROUND_TRIP: Duration = Duration::from_millis(5);
/// Limit for unanswered orders: a coordinator with half a core can process this many within
/// the timeout of 0.6 s, at 1 ms each.
const MAX_UNANSWERED: usize = 300;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> ServiceName {
    ServiceName::from("records")
}

fn instance(number: usize) -> InstanceRecord {
    let port = u16::try_from(number).expect("a small number") + 1_000;
    InstanceRecord {
        id: InstanceId::from(format!("i-{number:05}").as_str()),
        service: service(),
        address: SocketAddr::from(([10, 0, 1, 1], port)),
        zone: ZoneName::from("a"),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
    }
}

fn configuration() -> Configuration {
    Configuration {
        version: 1,
        routes: Vec::new(),
        services: vec![Service {
            name: service(),
            sharded: true,
            max_connections: 100,
            cold_rate: None,
        }],
        tenants: Vec::new(),
        limits: ClientLimits::default(),
    }
}

/// A record in which each instance owns an equal range.
fn record(owners: usize) -> OwnershipRecord {
    let keys = KeyRange::ALL.len() as usize;
    let boundary = |index: usize| u16::try_from(index * keys / owners);
    let assignment = |index: usize| Assignment {
        service: service(),
        first: boundary(index).expect("a key"),
        last: boundary(index + 1).map_or(u16::MAX, |next| next - 1),
        owner: instance(index).id,
        fence: index as u64 + 1,
    };
    OwnershipRecord {
        epoch: 2,
        next_fence: owners as u64 + 1,
        assignments: (0..owners).map(assignment).collect(),
        ..OwnershipRecord::default()
    }
}

/// A coordinator whose orders are answered after a round trip, and whose writes take 20 ms.
struct Run {
    coordinator: Coordinator,
    directory: Directory,
    configuration: Configuration,
    exchanges: ExchangeIds,
    now: Timestamp,
    unanswered: Vec<(Timestamp, OutgoingOrder)>,
    write_done_at: Option<Timestamp>,
    /// Grants and writes, with the times at which they were sent.
    grants: Vec<(Timestamp, InstanceId)>,
    writes: Vec<Timestamp>,
    max_unanswered: usize,
}

impl Run {
    fn new(owners: usize) -> Run {
        let mut directory = Directory::new(Protections::default());
        let records: Vec<InstanceRecord> = (0..owners).map(instance).collect();
        directory.replace_all(records, Duration::ZERO);
        let earlier = EarlierAuthority {
            predecessor: Duration::ZERO,
            others: Duration::ZERO,
        };
        let protections = Protections::default();
        Run {
            coordinator: Coordinator::new(record(owners), earlier, protections, Duration::ZERO),
            directory,
            configuration: configuration(),
            exchanges: ExchangeIds::default(),
            now: Duration::ZERO,
            unanswered: Vec::new(),
            write_done_at: None,
            grants: Vec::new(),
            writes: Vec::new(),
            max_unanswered: 0,
        }
    }

    fn run_until(&mut self, end: Timestamp) {
        while self.now < end {
            self.answer();
            let mut context = Context {
                now: self.now,
                directory: &self.directory,
                configuration: &self.configuration,
                limits: &KnownLimits::default(),
                store_serves: true,
                is_cut_off: false,
                record_revision: 1,
                known_to_all: Some(1),
                mechanisms: Mechanisms::default(),
                exchanges: &mut self.exchanges,
            };
            let commands = self.coordinator.step(&mut context);
            for order in commands.orders {
                if matches!(order.order, Order::Grant { .. }) {
                    self.grants.push((self.now, order.instance.clone()));
                }
                self.unanswered.push((self.now + ROUND_TRIP, order));
            }
            if commands.write.is_some() {
                self.writes.push(self.now);
                self.write_done_at = Some(self.now + ms(20));
            }
            self.max_unanswered = self.max_unanswered.max(self.unanswered.len());
            self.now += ms(10);
        }
    }

    fn answer(&mut self) {
        let now = self.now;
        let (ended, unanswered) = std::mem::take(&mut self.unanswered)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.unanswered = unanswered;
        for (_, order) in ended as Vec<(Timestamp, OutgoingOrder)> {
            let done = Ok(OrderAnswer::Done { handover: None });
            self.coordinator.order_ended(order.exchange, done, now);
        }
        if self.write_done_at.take_if(|at| *at <= now).is_some() {
            self.coordinator.record_written(now);
        }
    }

    /// Instances begin to leave.
    fn drain(&mut self, numbers: std::ops::Range<usize>) {
        for number in numbers {
            let leaving = InstanceRecord {
                draining: true,
                ..instance(number)
            };
            self.directory.upsert(leaving, self.now);
        }
    }
}

#[gtest]
fn a_takeover_sends_few_grants_at_once_and_reaches_every_owner() {
    let mut run = Run::new(1_200);
    run.run_until(ms(1_500));
    expect_that!(run.max_unanswered, le(MAX_UNANSWERED));
    let mut granted: Vec<&InstanceId> = run.grants.iter().map(|(_, owner)| owner).collect();
    granted.sort();
    granted.dedup();
    expect_that!(granted.len(), eq(1_200));
}

#[gtest]
fn every_renewal_arrives_before_the_hold_ends() {
    let mut run = Run::new(2_500);
    run.run_until(ms(9_000));
    let mut last = std::collections::BTreeMap::new();
    let mut longest = Duration::ZERO;
    for (at, owner) in &run.grants {
        if let Some(before) = last.insert(owner, *at) {
            longest = longest.max(*at - before);
        }
    }
    expect_that!(last.len(), eq(2_500));
    // A lost renewal is repeated after 0.85 s, and so is the repetition.
    expect_that!(longest + ms(2 * 850), lt(HOLD));
    let steady = run.grants.iter().filter(|(at, _)| *at >= ms(5_000)).count();
    let bound = 2_500.0 * 4.0 / MAX_RENEWAL_INTERVAL.as_secs_f64();
    expect_that!(steady as f64, le(bound * 1.05));
}

#[gtest]
fn larger_records_are_written_less_often() {
    let mut run = Run::new(2_000);
    run.run_until(ms(2_000));
    let before = run.writes.len();
    // Owners leave by tens, so that there is always something to write.
    for step in 0..100 {
        run.drain(step * 10..step * 10 + 10);
        run.run_until(run.now + ms(20));
    }
    let writes = run.writes.len() - before;
    // 2,000 ranges of 110 bytes each: 4.4 MB in 1 s are 20 writes, for 2 s.
    expect_that!(writes, le(41));
    expect_that!(writes, ge(20));
    run.run_until(run.now + ms(2_000));
    let owners = run.coordinator.pending_write();
    expect_that!(owners.is_none(), eq(true));
    expect_that!(run.coordinator.counters().moves, ge(1_000));
}

#[gtest]
fn a_change_log_returns_no_more_than_datagrams_can_carry() {
    let mut log = ChangeLog::new(64);
    for base in 0..4 {
        log.push(Changes {
            base,
            revision: base + 1,
            items: vec![7; 3],
        });
    }
    let items = |since, most| log.since(since, most).map(|changes| changes.items.len());
    expect_that!(items(0, 12), some(eq(12)));
    expect_that!(items(0, 11), none());
    expect_that!(items(2, 11), some(eq(6)));
}

/// Applies changes one by one, each to all assignments.
fn applied_one_by_one(before: &[Assignment], changes: &[Assignment]) -> Vec<Assignment> {
    let mut all = before.to_vec();
    for change in changes {
        let range = KeyRange {
            first: change.first,
            last: change.last,
        };
        let remaining = |old: &Assignment| -> Vec<Assignment> {
            let parts = match old.service == change.service {
                true => old.range().without(range),
                false => vec![old.range()],
            };
            let part = |part: KeyRange| Assignment {
                first: part.first,
                last: part.last,
                ..old.clone()
            };
            parts.into_iter().map(part).collect()
        };
        all = all.iter().flat_map(remaining).collect();
        all.push(change.clone());
    }
    all.sort_by(|left, right| (&left.service, left.first).cmp(&(&right.service, right.first)));
    all
}

fn any_assignment() -> impl Strategy<Value = Assignment> {
    (0..3u8, 0..60u16, 0..20u16, 0..5usize).prop_map(|(service, first, length, owner)| Assignment {
        service: ServiceName::from(format!("service-{service}").as_str()),
        first,
        last: first + length,
        owner: instance(owner).id,
        fence: u64::from(first) + 1,
    })
}

proptest! {
    #[test]
    fn later_assignments_replace_overlapping_earlier_ones(
        before in prop::collection::vec(any_assignment(), 0..20),
        changes in prop::collection::vec(any_assignment(), 0..20),
    ) {
        let mut record = OwnershipRecord::default();
        record.apply_changes(before.clone());
        let first = applied_one_by_one(&[], &before);
        prop_assert_eq!(&record.assignments, &first);
        record.apply_changes(changes.clone());
        prop_assert_eq!(&record.assignments, &applied_one_by_one(&first, &changes));
    }
}
