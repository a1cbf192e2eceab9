//! Instances that have announced in an answer that they are leaving: only a later incarnation
//! is used again.

use ledgelead_router::Timestamp;
use ledgelead_router::directory::{Directory, Entry, InstanceRecord};
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::protections::Protections;
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Start time of the leaving incarnation.
const START_MS: u64 = 1_000;

fn at(ms: u64) -> Timestamp {
    Duration::from_millis(ms)
}

fn incarnation(start_ms: u64) -> InstanceId {
    InstanceId::with_start_time("i-1", start_ms)
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

/// What a node may learn about the leaving incarnation afterwards.
#[derive(Clone, Debug)]
enum Report {
    /// An entry, of any age.
    Entry { draining: bool, revision: u64 },
    /// A complete list with or without such an entry.
    Listed(Option<u64>),
    /// The entry was deleted.
    Removed,
    /// The store was unavailable, so that missing entries prove nothing.
    StoreLost,
    /// Another of its answers announced leaving, or another node reported one.
    AnnouncedAgain { ago_ms: u64 },
    /// Time passes.
    Expired,
}

fn report() -> impl Strategy<Value = Report> {
    prop_oneof![
        (any::<bool>(), 0..100_u64)
            .prop_map(|(draining, revision)| Report::Entry { draining, revision }),
        proptest::option::of(0..100_u64).prop_map(Report::Listed),
        Just(Report::Removed),
        Just(Report::StoreLost),
        (0..5_000_u64).prop_map(|ago_ms| Report::AnnouncedAgain { ago_ms }),
        Just(Report::Expired),
    ]
}

fn apply(directory: &mut Directory, report: &Report, now: Timestamp) {
    let entry = |draining, revision| Entry::at(revision, record(incarnation(START_MS), draining));
    match report {
        Report::Entry { draining, revision } => directory.upsert(entry(*draining, *revision), now),
        Report::Listed(revision) => {
            let entries: Vec<Entry> = revision.iter().map(|at| entry(false, *at)).collect();
            directory.replace_all(entries, now);
        }
        Report::Removed => directory.remove("i-1", now),
        Report::StoreLost => directory.record_store_outage(now),
        Report::AnnouncedAgain { ago_ms } => {
            directory.mark_leaving(&incarnation(START_MS), now.saturating_sub(at(*ago_ms)));
        }
        Report::Expired => directory.expire(now),
    }
}

fn leaving_directory() -> Directory {
    let mut directory = Directory::new(Protections::default());
    directory.replace_all(
        vec![Entry::at(7, record(incarnation(START_MS), false))],
        at(10_000),
    );
    directory.mark_leaving(&incarnation(START_MS), at(10_000));
    directory
}

proptest! {
    #[test]
    fn no_report_makes_a_leaving_incarnation_serve_again(
        all in prop::collection::vec((report(), 1..1_000_u64), 1..20)
    ) {
        let mut directory = leaving_directory();
        let mut now = 10_000;
        for (report, pause) in all {
            // Shorter than the time after which gone instances are removed.
            now += pause;
            apply(&mut directory, &report, at(now));
            if let Some(known) = directory.get(&incarnation(START_MS)) {
                prop_assert!(!known.serves(), "after {report:?}");
                let since = known.leaving_since().expect("it leaves");
                prop_assert!(since <= at(10_000), "after {report:?}: since {since:?}");
            }
        }
    }
}

#[test]
fn a_later_incarnation_of_the_same_name_is_used() {
    let mut directory = leaving_directory();
    let later = incarnation(START_MS + 1);
    directory.upsert(Entry::at(8, record(later.clone(), false)), at(11_000));
    assert!(directory.get(&later).expect("it is known").serves());
}

#[test]
fn the_earlier_announcement_by_answer_or_entry_counts() {
    let mut directory = Directory::new(Protections::default());
    directory.replace_all(
        vec![Entry::at(7, record(incarnation(START_MS), false))],
        at(1_000),
    );
    directory.record_current(at(10_000));
    directory.upsert(
        Entry::at(8, record(incarnation(START_MS), true)),
        at(10_100),
    );
    let since = |directory: &Directory| {
        directory
            .get(&incarnation(START_MS))
            .unwrap()
            .leaving_since()
    };
    assert_eq!(since(&directory), Some(at(10_000)));
    directory.mark_leaving(&incarnation(START_MS), at(10_500));
    assert_eq!(since(&directory), Some(at(10_000)));
    directory.mark_leaving(&incarnation(START_MS), at(9_000));
    assert_eq!(since(&directory), Some(at(9_000)));
}
