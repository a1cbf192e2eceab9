//! Groups are formed once and rebuilt only with proof, and snapshots stay in order.

mod common;

use common::*;
use googletest::prelude::*;
use ledgelead_configuration::*;
use ledgelead_types::codec::{decode, encode};
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::platform::*;
use ledgelead_types::routes::GroupRecord;
use ledgelead_types::{Bytes, Epoch, GroupId, Member, NodeId, Revision, ServiceId, Span, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;
use std::sync::Arc;

const GROUP: GroupId = GroupId {
    service: ServiceId(1),
    part: 0,
};

/// A group manager whose calls are answered immediately.
struct GroupManagerRun {
    manager: GroupManager,
    now: Time,
    outputs: Vec<GroupManagerOutput>,
}

impl GroupManagerRun {
    /// The group manager of a reader.
    fn new(live: Vec<LiveNode>) -> GroupManagerRun {
        let reader = live
            .iter()
            .map(|node| node.member.node)
            .find(|node| is_reader(*node, &live));
        let settings = GroupManagerSettings {
            node: reader.unwrap_or(NodeId(1)),
            random_seed: 1,
        };
        let mut run = GroupManagerRun {
            manager: GroupManager::new(settings, Time(0)),
            now: Time(0),
            outputs: Vec::new(),
        };
        let configuration = Arc::new(configuration());
        run.step(GroupManagerInput::LiveNodes(live));
        run.step(GroupManagerInput::Configuration(configuration));
        run
    }

    fn step(&mut self, input: GroupManagerInput) {
        self.manager.step(self.now, input);
    }

    fn advance(
        &mut self,
        platform: &mut Platform,
        span: Span,
        mut outcome: impl FnMut() -> CallOutcome,
    ) {
        let end = self.now + span;
        while self.now < end {
            self.manager.tick(self.now);
            self.answer_all(platform, &mut outcome);
            self.now = self.now + Span::from_millis(50);
        }
    }

    fn next_call(&mut self) -> Option<(u64, PlatformCall)> {
        let outputs = self.manager.take_outputs().into_iter();
        let mut calls = outputs.filter_map(|output| match output {
            GroupManagerOutput::CallPlatform { call, request } => Some((call, request)),
            _ => None,
        });
        calls.next()
    }

    fn answer_all(&mut self, platform: &mut Platform, outcome: &mut impl FnMut() -> CallOutcome) {
        loop {
            let outputs = self.manager.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                if let GroupManagerOutput::CallPlatform { call, request } = &output {
                    let reply = platform.answer(request, outcome());
                    let call = *call;
                    self.step(GroupManagerInput::PlatformReplied { call, reply });
                }
                self.outputs.push(output);
            }
        }
    }
}

fn stored(platform: &Platform) -> GroupRecord {
    let (_, value) = &platform.objects[&group_object(GROUP)];
    decode(&value.0).expect("only records are written")
}

fn store(platform: &mut Platform, record: &GroupRecord) {
    let name = group_object(GROUP);
    let existing = platform.objects.get(&name);
    let version = ObjectVersion(existing.map_or(1, |existing| existing.0.0 + 1));
    let value = Bytes(encode(record));
    platform.objects.insert(name, (version, value));
}

fn members(nodes: &[u32]) -> Vec<Member> {
    nodes.iter().map(|node| live_node(*node).member).collect()
}

fn record(epoch: u64, nodes: &[u32], snapshot: &[u8]) -> GroupRecord {
    GroupRecord {
        group: GROUP,
        epoch: Epoch(epoch),
        members: members(nodes).into(),
        snapshot: Bytes(snapshot.to_vec()),
    }
}

fn second() -> Span {
    Span::from_seconds(1)
}

#[gtest]
fn absent_group_is_formed_over_all_zones() {
    let mut platform = Platform::default();
    let mut run = GroupManagerRun::new(live(9));
    run.advance(&mut platform, second(), || CallOutcome::Answered);
    let record = stored(&platform);
    let zones: BTreeSet<_> = record
        .members
        .iter()
        .map(|member| live_node(member.node.0).zone)
        .collect();
    expect_that!(record.epoch, eq(Epoch(1)));
    expect_that!(record.members.len(), eq(3));
    expect_that!(zones.len(), eq(3));
    expect_that!(
        run.outputs.contains(&GroupManagerOutput::Publish(record)),
        eq(true)
    );
}

#[gtest]
fn few_live_nodes_give_an_odd_number_of_voters_after_a_wait() {
    let mut platform = Platform::default();
    let mut run = GroupManagerRun::new(live(2));
    run.advance(&mut platform, second(), || CallOutcome::Answered);
    expect_that!(platform.objects.len(), eq(0));
    run.advance(&mut platform, Span::from_seconds(4), || {
        CallOutcome::Answered
    });
    expect_that!(stored(&platform).members.len(), eq(1));
}

/// The record after voters 1, 2 and 3, in three zones, were partly proven dead while the nodes
/// in `live` are alive.
fn record_after_loss(disseminated: &[u32], dead: &[u32], live: Vec<LiveNode>) -> GroupRecord {
    let mut platform = Platform::default();
    store(&mut platform, &record(4, &[1, 2, 3], b"state"));
    let mut run = GroupManagerRun::new(live);
    run.step(GroupManagerInput::KnownMembers {
        group: GROUP,
        epoch: Epoch(4),
        members: members(disseminated),
    });
    let dead = members(dead).into_iter().collect();
    run.step(GroupManagerInput::ProvenDead(dead));
    run.advance(&mut platform, Span::from_seconds(3), || {
        CallOutcome::Answered
    });
    stored(&platform)
}

fn live_without(dead: &[u32]) -> Vec<LiveNode> {
    let is_live = |node: &LiveNode| !dead.contains(&node.member.node.0);
    live(9).into_iter().filter(is_live).collect()
}

#[gtest]
fn proven_loss_of_the_quorum_gives_a_new_epoch_with_survivor_and_snapshot() {
    let rebuilt = record_after_loss(&[1, 2, 3], &[1, 2], live_without(&[1, 2]));
    expect_that!(rebuilt.epoch, eq(Epoch(5)));
    expect_that!(rebuilt.snapshot, eq(&Bytes(b"state".to_vec())));
    expect_that!(rebuilt.members.first(), some(eq(&members(&[3])[0])));
    expect_that!(rebuilt.members.len(), eq(3));
}

#[gtest]
fn group_is_not_rebuilt_without_proof_and_a_sufficient_view() {
    let one_dead = record_after_loss(&[1, 2, 3], &[1], live_without(&[1, 2]));
    expect_that!(
        one_dead.epoch,
        eq(Epoch(4)),
        "one dead voter of three is no majority"
    );
    let hidden = record_after_loss(&[1, 2, 3], &[1, 2], live_without(&[1, 2, 3]));
    expect_that!(
        hidden.epoch,
        eq(Epoch(4)),
        "voter 3 may be alive behind a network partition"
    );
    let replaced = record_after_loss(&[3, 4, 5], &[1, 2], live_without(&[1, 2]));
    expect_that!(
        replaced.epoch,
        eq(Epoch(4)),
        "the dead voters were replaced"
    );
    let mut one_zone = live(9);
    one_zone.retain(|node| node.zone == live_node(3).zone);
    let only_one_zone = record_after_loss(&[1, 2, 3], &[1, 2], one_zone);
    expect_that!(
        only_one_zone.epoch,
        eq(Epoch(4)),
        "one zone of three may be partitioned"
    );
}

#[gtest]
fn snapshot_of_a_past_epoch_is_refused() {
    let mut platform = Platform::default();
    store(&mut platform, &record(5, &[4, 5, 6], b"newer"));
    let mut run = GroupManagerRun::new(live(9));
    run.step(GroupManagerInput::StoreSnapshot {
        record: record(4, &[1, 2, 3], b"older"),
        revision: Revision(8),
    });
    run.advance(&mut platform, second(), || CallOutcome::Answered);
    let superseded = GroupManagerOutput::Superseded {
        group: GROUP,
        epoch: Epoch(5),
    };
    expect_that!(run.outputs.contains(&superseded), eq(true));
    expect_that!(stored(&platform).snapshot, eq(&Bytes(b"newer".to_vec())));
}

#[gtest]
fn snapshot_overtaken_by_a_later_leader_is_dropped() {
    let mut platform = Platform::default();
    store(&mut platform, &record(4, &[1, 2, 3], b"read"));
    let mut run = GroupManagerRun::new(live(9));
    run.step(GroupManagerInput::StoreSnapshot {
        record: record(4, &[1, 2, 3], b"paused"),
        revision: Revision(8),
    });
    let mut calls = 0;
    while let Some((call, request)) = run.next_call() {
        let reply = platform.answer(&request, CallOutcome::Answered);
        if calls == 0 {
            store(&mut platform, &record(4, &[1, 2, 5], b"later"));
        }
        calls += 1;
        run.step(GroupManagerInput::PlatformReplied { call, reply });
    }
    expect_that!(calls, eq(3), "read, rejected write, read again");
    expect_that!(stored(&platform).snapshot, eq(&Bytes(b"later".to_vec())));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two readers form a group on a failing platform. The result is one epoch, and every
    /// published record is the one in the store.
    #[test]
    fn racing_managers_form_one_group(outcomes in prop::collection::vec(any_outcome(), 0..16)) {
        let mut platform = Platform::default();
        let mut runs = [GroupManagerRun::new(live(9)), GroupManagerRun::new(live(8))];
        let mut outcomes = outcomes.into_iter();
        // Sixteen failures, each followed by a delay of at most one second, then no failures.
        for _ in 0..70 {
            for run in &mut runs {
                run.advance(&mut platform, Span::from_millis(300), || outcomes.next().unwrap_or_default());
            }
        }
        let record = stored(&platform);
        prop_assert_eq!(record.epoch, Epoch(1));
        for run in &runs {
            let is_other = |output: &&GroupManagerOutput| {
                matches!(output, GroupManagerOutput::Publish(published) if *published != record)
            };
            prop_assert_eq!(run.outputs.iter().find(is_other), None);
            prop_assert!(run.outputs.contains(&GroupManagerOutput::Publish(record.clone())));
        }
    }

    /// Snapshots are stored on a failing platform. A snapshot reported as stored was in the
    /// store, and the store never returns to an older one.
    #[test]
    fn snapshots_reported_as_stored_are_in_the_store(outcomes in prop::collection::vec(any_outcome(), 0..24)) {
        let mut platform = Platform::default();
        store(&mut platform, &record(1, &[1, 2, 3], &[0]));
        let mut run = GroupManagerRun::new(live(9));
        let mut outcomes = outcomes.into_iter();
        for revision in 1..=8_u8 {
            run.step(GroupManagerInput::StoreSnapshot {
                record: record(1, &[1, 2, 3], &[revision]),
                revision: Revision(u64::from(revision)),
            });
            let before = stored(&platform).snapshot;
            run.advance(&mut platform, Span::from_millis(100), || outcomes.next().unwrap_or_default());
            let after = stored(&platform).snapshot;
            prop_assert!(after >= before);
            let reported = GroupManagerOutput::SnapshotStored { group: GROUP, revision: Revision(u64::from(revision)) };
            if run.outputs.contains(&reported) {
                prop_assert_eq!(after, Bytes(vec![revision]));
            }
        }
    }
}
