//! A process starts at most one replica for each group and epoch.

use super::*;
use googletest::prelude::*;
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::configuration::ServiceConfiguration;
use ledgelead_types::{Bytes, Incarnation, NodeId, ServiceId};

const NOW: Time = Time(1_000_000);
const GROUP: GroupId = GroupId {
    service: ServiceId(1),
    part: 0,
};

fn member(node: u32) -> Member {
    Member {
        node: NodeId(node),
        incarnation: Incarnation(7),
    }
}

fn record(epoch: u64) -> GroupRecord {
    GroupRecord {
        group: GROUP,
        epoch: Epoch(epoch),
        members: (1..=3).map(member).collect(),
        snapshot: Bytes::default(),
    }
}

fn configuration(services: &[u32], highest: u32) -> Arc<Configuration> {
    let service = |id: &u32| ServiceConfiguration {
        id: ServiceId(*id),
        groups: 1,
        replicas: 3,
        ..ServiceConfiguration::default()
    };
    Arc::new(Configuration {
        services: services.iter().map(service).collect(),
        highest_service: ServiceId(highest),
        ..Configuration::default()
    })
}

/// A node that hosts a replica of the group in epoch 1.
fn hosting() -> HostedGroups {
    let mut groups = HostedGroups::new(
        member(1),
        1,
        Protections::default(),
        AssignerChoice::Planner,
    );
    groups.apply_configuration(NOW, configuration(&[1], 1));
    groups.apply_record(NOW, record(1));
    assert_that!(groups.replica(GROUP).is_some(), eq(true));
    groups
}

#[gtest]
fn a_group_that_returns_in_the_same_epoch_gets_no_second_replica() {
    let mut groups = hosting();
    groups.apply_configuration(NOW, configuration(&[], 1));
    expect_that!(groups.replica(GROUP).is_none(), eq(true));
    groups.apply_configuration(NOW, configuration(&[1], 1));
    groups.apply_record(NOW, record(1));
    expect_that!(groups.replica(GROUP).is_none(), eq(true));
    expect_that!(groups.replica_for_message(NOW, GROUP).is_none(), eq(true));
    groups.apply_record(NOW, record(2));
    expect_that!(groups.replica(GROUP).is_some(), eq(true));
}

#[gtest]
fn a_superseded_replica_is_not_started_again_by_a_message() {
    let mut groups = hosting();
    groups.supersede(GROUP, Epoch(2));
    expect_that!(groups.replica_for_message(NOW, GROUP).is_none(), eq(true));
    groups.apply_record(NOW, record(1));
    expect_that!(groups.replica(GROUP).is_none(), eq(true));
}

#[gtest]
fn an_unreadable_record_is_tried_once_per_epoch() {
    let mut groups = HostedGroups::new(
        member(1),
        1,
        Protections::default(),
        AssignerChoice::Planner,
    );
    let unreadable = GroupRecord {
        snapshot: Bytes(vec![1, 2, 3]),
        ..record(1)
    };
    groups.apply_record(NOW, unreadable);
    groups.apply_record(NOW, record(1));
    expect_that!(groups.replica_for_message(NOW, GROUP).is_none(), eq(true));
    groups.apply_record(NOW, record(2));
    expect_that!(groups.replica(GROUP).is_some(), eq(true));
}

/// A node that lags behind may receive a new group's record first, then an older
/// configuration without its service, and only then the configuration that creates the
/// service.
#[gtest]
fn a_group_received_before_its_service_keeps_its_replica() {
    let mut groups = HostedGroups::new(
        member(1),
        1,
        Protections::default(),
        AssignerChoice::Planner,
    );
    groups.apply_record(NOW, record(1));
    groups.apply_configuration(NOW, configuration(&[], 0));
    groups.apply_configuration(NOW, configuration(&[1], 1));
    expect_that!(groups.replica(GROUP).is_some(), eq(true));
}
