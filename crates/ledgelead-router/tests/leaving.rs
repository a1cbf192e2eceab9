//! Instances that have said in an answer that they leave: nothing but a later life of
//! theirs is used again.

use ledgelead_router::Timestamp;
use ledgelead_router::directory::{Directory, Entry, InstanceRecord};
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::protections::Protections;
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// When the leaving life was started.
const BORN: u64 = 1_000;

fn at(ms: u64) -> Timestamp {
    Duration::from_millis(ms)
}

fn life(born: u64) -> InstanceId {
    InstanceId::with_start_time("i-1", born)
}

fn record(id: InstanceId, draining: bool) -> InstanceRecord {
    InstanceRecord {
        id,
        service: ServiceName::from("records"),
        address: SocketAddr::from(([10, 0, 1, 1], 8_000)),
        zone: ZoneName::from("a"),
        slots: 2,
        draining,
        warmup_left: Duration::ZERO,
    }
}

/// What a node may be told of the leaving life after that has said so.
#[derive(Clone, Debug)]
enum Told {
    /// An entry, of any age.
    Entry { draining: bool, revision: u64 },
    /// A whole list with such an entry, or without.
    Listed(Option<u64>),
    /// The entry is gone.
    Removed,
    /// The store was lost, so that entries which are missing are in doubt.
    StoreLost,
    /// An answer of it said so once more, or another node passes on that it did.
    SaidAgain { ago_ms: u64 },
    /// Time passes.
    Expired,
}

fn told() -> impl Strategy<Value = Told> {
    prop_oneof![
        (any::<bool>(), 0..100_u64)
            .prop_map(|(draining, revision)| Told::Entry { draining, revision }),
        proptest::option::of(0..100_u64).prop_map(Told::Listed),
        Just(Told::Removed),
        Just(Told::StoreLost),
        (0..5_000_u64).prop_map(|ago_ms| Told::SaidAgain { ago_ms }),
        Just(Told::Expired),
    ]
}

fn apply(directory: &mut Directory, told: &Told, now: Timestamp) {
    let entry = |draining, revision| Entry::at(revision, record(life(BORN), draining));
    match told {
        Told::Entry { draining, revision } => directory.upsert(entry(*draining, *revision), now),
        Told::Listed(revision) => {
            let entries: Vec<Entry> = revision.iter().map(|at| entry(false, *at)).collect();
            directory.replace_all(entries, now);
        }
        Told::Removed => directory.remove("i-1", now),
        Told::StoreLost => directory.note_store_outage(now),
        Told::SaidAgain { ago_ms } => {
            directory.mark_leaving(&life(BORN), now.saturating_sub(at(*ago_ms)));
        }
        Told::Expired => directory.expire(now),
    }
}

fn leaving_directory() -> Directory {
    let mut directory = Directory::new(Protections::default());
    directory.replace_all(vec![Entry::at(7, record(life(BORN), false))], at(10_000));
    directory.mark_leaving(&life(BORN), at(10_000));
    directory
}

proptest! {
    #[test]
    fn nothing_that_is_told_of_a_leaving_life_brings_it_back(
        all in prop::collection::vec((told(), 1..1_000_u64), 1..20)
    ) {
        let mut directory = leaving_directory();
        let mut now = 10_000;
        for (told, pause) in all {
            // Below the time after which what is gone is forgotten.
            now += pause;
            apply(&mut directory, &told, at(now));
            if let Some(known) = directory.get(&life(BORN)) {
                prop_assert!(!known.serves(), "after {told:?}");
                let since = known.leaving_since().expect("it leaves");
                prop_assert!(since <= at(10_000), "after {told:?}: since {since:?}");
            }
        }
    }
}

#[test]
fn a_later_life_under_the_same_id_is_used() {
    let mut directory = leaving_directory();
    let later = life(BORN + 1);
    directory.upsert(Entry::at(8, record(later.clone(), false)), at(11_000));
    assert!(directory.get(&later).expect("it is known").serves());
}

#[test]
fn the_earlier_of_an_answer_and_an_entry_counts() {
    let mut directory = Directory::new(Protections::default());
    directory.replace_all(vec![Entry::at(7, record(life(BORN), false))], at(1_000));
    directory.note_current(at(10_000));
    directory.upsert(Entry::at(8, record(life(BORN), true)), at(10_100));
    let since = |directory: &Directory| directory.get(&life(BORN)).unwrap().leaving_since();
    assert_eq!(since(&directory), Some(at(10_000)));
    directory.mark_leaving(&life(BORN), at(10_500));
    assert_eq!(since(&directory), Some(at(10_000)));
    directory.mark_leaving(&life(BORN), at(9_000));
    assert_eq!(since(&directory), Some(at(9_000)));
}
