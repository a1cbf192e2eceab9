//! Two nodes that say at the same time that they coordinate.
//!
//! The store refused the coordinator's machine and served the others, so another node was
//! elected after a second. The former one can't read that from the store, and went on to
//! send heartbeats for six seconds. Each follower counted for how long it had known less
//! than "the coordinator", whichever spoke last: the new one's heartbeat began the count,
//! the former one's, which knew no more than the follower, ended it 100 ms later. A version
//! too large for datagrams is read from the store once that count has reached 250 ms, which
//! it never did. Nine followers were six seconds late, and called the store not once; the
//! record of ownership stayed behind in the same way, and half of the keyed requests was
//! refused. What settled it, from a follower's log and that of the former coordinator:
//!
//!     17.789 follows_coordinator epoch 2
//!     22.959 coordinates_no_more epoch 2      (the former one)
//!     23.437 changes_missing configuration announced 17 known 10 missing_ms 401
//!     23.475 configuration_in_force 17

use crate::fixture::{
    Fixture, KEYED, SERVICE, Store, configuration, instance, ms, node_address, node_record,
};
use googletest::prelude::*;
use ledgelead_router::dialect::{ObjectKind, StoreCall};
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::ownership::record::OwnershipRecord;
use ledgelead_router::peers::{Heartbeat, PeerMessage};
use ledgelead_types::codec::List;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

/// The coordinator that the store refuses, and its epoch.
const FORMER: (u8, u64) = (1, 4);
/// The one that follows it.
const SUCCESSOR: (u8, u64) = (2, 5);
/// Within this time a node has what it has heard of: 400 ms for datagrams, and a call of
/// the store.
const KNOWN_WITHIN: Duration = Duration::from_millis(700);

fn record((node, epoch): (u8, u64)) -> OwnershipRecord {
    OwnershipRecord {
        epoch,
        coordinator: Some(node_record(node).identity),
        next_fence: 9,
        ..OwnershipRecord::default()
    }
}

fn store() -> Store {
    let mut store = Store::default();
    store.configure(configuration(5));
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, KEYED));
    for number in 0..4 {
        store.add_node(node_record(number));
    }
    store.own(record(FORMER));
    store
}

/// What a coordinator says that knows all that the store holds.
fn heartbeat(fixture: &Fixture, (_, epoch): (u8, u64)) -> Heartbeat {
    let revision_of = |kind, name| fixture.store.revision_of(kind, name).unwrap_or(0);
    Heartbeat {
        epoch,
        sent_ms: u64::try_from(fixture.now.as_millis()).expect("a short test"),
        store_serves: true,
        record_revision: revision_of(ObjectKind::Ownership, "record"),
        configuration_version: fixture.store.version(),
        instances_revision: 0,
        nodes_revision: 0,
        age_ms: 100,
        instances_age_ms: 100,
        served_for_ms: 5_000,
        overloads: List(Vec::new()),
        evacuations: EvacuationsEntry::default(),
        evidence_checksum: 0,
    }
}

fn hear(fixture: &mut Fixture, (node, _): (u8, u64), heartbeat: &Heartbeat) {
    let message = PeerMessage::CoordinatorHeartbeat(heartbeat.clone());
    fixture.receive(node_address(node), &message);
}

/// A node that follows the former coordinator, and what that one says once the store
/// refuses it: it learns nothing more.
fn follower() -> (Fixture, Heartbeat) {
    let mut fixture = Fixture::new(store());
    fixture.run_until(ms(100));
    let said = heartbeat(&fixture, FORMER);
    hear(&mut fixture, FORMER, &said);
    let refused = Heartbeat {
        store_serves: false,
        ..said
    };
    (fixture, refused)
}

/// Both coordinators are heard each 200 ms, 100 ms apart.
fn hear_both(fixture: &mut Fixture, former: &Heartbeat, lasts: Duration) {
    hear_successor_say(fixture, former, lasts, |prompt| prompt);
}

/// The same, with what the successor says changed.
fn hear_successor_say(
    fixture: &mut Fixture,
    former: &Heartbeat,
    lasts: Duration,
    change: impl Fn(Heartbeat) -> Heartbeat,
) {
    let end = fixture.now + lasts;
    while fixture.now < end {
        let said = change(heartbeat(fixture, SUCCESSOR));
        hear(fixture, SUCCESSOR, &said);
        fixture.run_until(fixture.now + ms(100));
        hear(fixture, FORMER, former);
        fixture.run_until(fixture.now + ms(100));
    }
}

fn calls_about(fixture: &Fixture, kind: ObjectKind) -> usize {
    let is_about = |call: &StoreCall| match call {
        StoreCall::List { kind: of, .. } | StoreCall::Watch { kind: of, .. } => *of == kind,
        _ => false,
    };
    let calls = fixture.calls.iter();
    calls.filter(|(_, call)| is_about(call)).count()
}

#[gtest]
fn a_version_is_read_although_a_former_coordinator_knows_none() {
    let (mut fixture, former) = follower();
    fixture.store.configure(configuration(8));
    hear_both(&mut fixture, &former, KNOWN_WITHIN);
    expect_that!(fixture.node.status().configuration, some(eq(8)));
}

#[gtest]
fn the_record_is_read_although_a_former_coordinator_knows_an_older_one() {
    let (mut fixture, former) = follower();
    fixture.store.own(record(SUCCESSOR));
    hear_both(&mut fixture, &former, KNOWN_WITHIN);
    expect_that!(fixture.node.status().epoch, eq(SUCCESSOR.1));
}

#[gtest]
fn changes_of_instances_are_asked_for_although_a_former_coordinator_knows_none() {
    // The store's refusals begin with writes: the former one takes itself for served.
    let (mut fixture, mut former) = follower();
    former.store_serves = true;
    fixture.store.add_instance(instance(3, SERVICE));
    let changed = fixture.store.revision;
    let before = calls_about(&fixture, ObjectKind::Instances);
    hear_successor_say(&mut fixture, &former, KNOWN_WITHIN, |prompt| Heartbeat {
        instances_revision: changed,
        ..prompt
    });
    let after = calls_about(&fixture, ObjectKind::Instances);
    expect_that!(after, gt(before));
}

#[gtest]
fn a_late_heartbeat_is_known_for_late_although_a_former_coordinator_is_heard() {
    // What the successor says waits 1.5 s on its way, longer than its view may be followed.
    let (mut fixture, former) = follower();
    hear_both(&mut fixture, &former, ms(2_000));
    let before = calls_about(&fixture, ObjectKind::Instances);
    hear_successor_say(&mut fixture, &former, ms(2_000), |prompt| Heartbeat {
        sent_ms: prompt.sent_ms - 1_500,
        ..prompt
    });
    let after = calls_about(&fixture, ObjectKind::Instances);
    expect_that!(after, gt(before));
}

#[gtest]
fn reports_go_to_the_successor_alone() {
    let (mut fixture, former) = follower();
    // So that the former one is the last that is heard before each report.
    fixture.run_until(ms(250));
    hear_both(&mut fixture, &former, ms(200));
    fixture.datagrams.clear();
    for _ in 0..10 {
        fixture.ask(KEYED, Some(7));
        hear_both(&mut fixture, &former, ms(200));
    }
    let reports = fixture
        .datagrams
        .iter()
        .filter(|(_, _, message)| matches!(message, PeerMessage::LoadReport { .. }));
    let receivers: Vec<_> = reports.map(|(_, to, _)| *to).collect();
    expect_that!(receivers, not(is_empty()));
    expect_that!(receivers, each(eq(&node_address(SUCCESSOR.0))));
}

/// The store without a coordinator.
fn vacant_store() -> Store {
    let mut store = store();
    store.vacate();
    store
}

#[gtest]
fn a_coordinator_that_hears_of_a_later_epoch_leaves_its_place() {
    let mut fixture = Fixture::coordinating(vacant_store());
    let epoch = fixture.node.status().epoch;
    fixture.store.refuses = true;
    fixture.run_until(fixture.now + ms(1_000));
    expect_that!(fixture.node.coordinator().is_some(), eq(true));
    let later = (2, epoch + 1);
    let said = heartbeat(&fixture, later);
    hear(&mut fixture, later, &said);
    expect_that!(fixture.node.coordinator().is_some(), eq(false));
    fixture.datagrams.clear();
    fixture.attempts.clear();
    fixture.run_until(fixture.now + ms(1_000));
    expect_that!(fixture.sent("heartbeat"), eq(0));
    expect_that!(fixture.attempts, is_empty());
}

#[gtest]
fn a_take_over_that_is_acknowledged_late_gives_no_place_after_a_later_epoch() {
    let mut fixture = Fixture::new(vacant_store());
    while fixture.calls.iter().all(|(_, call)| !writes_record(call)) {
        fixture.store.is_slow = fixture.node.status().epoch == FORMER.1;
        fixture.deliver_all_but(writes_record);
        fixture.run_until(fixture.now + ms(10));
    }
    // Its own epoch is 5; another node has followed it before the answer arrives.
    let later = (2, FORMER.1 + 2);
    let said = heartbeat(&fixture, later);
    hear(&mut fixture, later, &said);
    fixture.deliver();
    expect_that!(fixture.node.coordinator().is_some(), eq(false));
}

fn writes_record(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Replace { name, .. } if name == "record")
}

#[gtest]
fn a_coordinator_reads_a_version_that_one_of_several_reports_names() {
    // Its own watch is lost without notice.
    let mut fixture = Fixture::coordinating(vacant_store());
    fixture.store.answers_changes = true;
    fixture.store.configure(configuration(8));
    let report = |configuration| PeerMessage::LoadReport {
        configuration_version: configuration,
        nodes_revision: 0,
        reports: List(Vec::new()),
        work: List(Vec::new()),
    };
    let end = fixture.now + KNOWN_WITHIN;
    while fixture.now < end {
        fixture.receive(node_address(3), &report(8));
        fixture.run_until(fixture.now + ms(50));
        fixture.receive(node_address(2), &report(5));
        fixture.run_until(fixture.now + ms(50));
    }
    expect_that!(fixture.node.status().configuration, some(eq(8)));
}

/// Who is heard next, after how many milliseconds, and whether versions are written before.
#[derive(Clone, Debug)]
struct Said {
    after_ms: u64,
    coordinator: usize,
    new_version: bool,
    store_serves: bool,
}

fn said() -> impl Strategy<Value = Said> {
    let newest = prop_oneof![2 => Just(2usize), 1 => 0..3usize];
    (1..150u64, newest, 0..4u8, any::<bool>()).prop_map(
        |(after_ms, coordinator, new_version, store_serves)| Said {
            after_ms,
            coordinator,
            new_version: new_version == 0,
            store_serves,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(0x666f_726d),
        ..ProptestConfig::default()
    })]

    /// Three coordinators of different epochs are heard in any order; the newest one knows
    /// what the store holds, the others what they learned before it was elected.
    #[test]
    fn what_a_coordinator_has_announced_is_known_in_time(
        words in proptest::collection::vec(said(), 20..80),
    ) {
        let coordinators = [FORMER, (3, 5), (2, 6)];
        let (mut fixture, former) = follower();
        let mut announced = Vec::new();
        let mut version = 5;
        for word in words {
            if word.new_version {
                version += 3;
                fixture.store.configure(configuration(version));
            }
            let speaker = coordinators[word.coordinator];
            let is_newest = word.coordinator == 2;
            let message = Heartbeat {
                store_serves: is_newest || word.store_serves,
                configuration_version: if is_newest { version } else { former.configuration_version },
                ..heartbeat(&fixture, speaker)
            };
            hear(&mut fixture, speaker, &message);
            if is_newest {
                announced.push((fixture.now, version));
            }
            fixture.run_until(fixture.now + ms(word.after_ms));
            let due = fixture.now.saturating_sub(KNOWN_WITHIN);
            let past = announced.iter().filter(|(at, _)| *at <= due);
            let wanted = past.map(|(_, version)| *version).max().unwrap_or(5);
            let known = fixture.node.status().configuration;
            prop_assert!(
                known >= Some(wanted),
                "{known:?} of {announced:?} at {:?}",
                fixture.now
            );
        }
    }
}
