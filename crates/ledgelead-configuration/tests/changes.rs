//! Validation of changes, and the JSON encoding.

mod common;

use common::*;
use googletest::prelude::*;
use ledgelead_configuration::*;
use ledgelead_types::administration::ConfigurationChange as Change;
use ledgelead_types::configuration::*;
use ledgelead_types::platform::ObjectVersion;
use ledgelead_types::{Bytes, ConfigurationVersion, ServerId, ServiceId, Text, TierId, ZoneId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn texts(result: Result<Configuration, Vec<Finding>>) -> Vec<String> {
    let findings = result.expect_err("the changes are wrong");
    findings.iter().map(Finding::to_string).collect()
}

#[gtest]
fn all_findings_are_reported_with_their_locations() {
    let mut altered = service(1);
    altered.groups = 2;
    altered.partitioning = Partitioning::Ordered;
    let mut bad_server = server(7, 8);
    bad_server.address = "server.example:80".into();
    bad_server.slots = 0;
    let bad_tier = TierConfiguration {
        guaranteed_percent: 101,
        ..tier(2)
    };
    let caller = CallerConfiguration {
        name: "bench".into(),
        credential_sha256: "secret".into(),
        tier: TierId(9),
        ..CallerConfiguration::default()
    };
    let changes = [
        Change::CreateZone(zone(1)),
        Change::RemoveZone(ZoneId(1)),
        Change::AlterService(altered),
        Change::RemoveService(ServiceId(1)),
        Change::AddServer(bad_server),
        Change::RemoveServer(ServerId(99)),
        Change::CreateTier(bad_tier),
        Change::PutCaller(caller),
        Change::RemoveOperator(Text::from("nobody")),
    ];
    let found = texts(apply_changes(&configuration(), &changes, ""));
    insta::assert_snapshot!(found.join("\n"), @r"
    command: id must be from 1 to 128 bytes
    zone-1: exists already
    zone-1: is still in use
    service-1: partitioning can't change after creation
    service-1: groups can't change after creation
    service-1: is still in use
    server-99: does not exist
    operator nobody: does not exist
    server-7: service does not exist
    server-7: address must be an IP number and a port
    server-7: slots must be above 0
    tiers: guaranteed_percent must be at most 100 in sum
    caller-0: credential_sha256 must be 64 lower-case hexadecimal digits
    caller-0: tier does not exist
    ");
}

#[gtest]
fn service_identifier_is_never_used_again() {
    let first = [
        Change::RemoveServer(ServerId(1)),
        Change::CreateService(service(5)),
        Change::RemoveService(ServiceId(5)),
    ];
    let changed = apply_changes(&configuration(), &first, "c1").expect("valid");
    let again = apply_changes(&changed, &[Change::CreateService(service(5))], "c2");
    expect_that!(texts(again).len(), eq(1));
    let next = apply_changes(&changed, &[Change::CreateService(service(6))], "c3");
    expect_that!(next.is_ok(), eq(true));
}

#[gtest]
fn remembered_commands_are_bounded_and_the_latest_stay() {
    let mut changed = configuration();
    for number in 0..MAX_APPLIED_COMMANDS + 10 {
        changed = apply_changes(&changed, &[], &format!("c{number}")).expect("valid");
    }
    expect_that!(changed.applied_commands.len(), eq(MAX_APPLIED_COMMANDS));
    expect_that!(changed.version_of_command("c9"), none());
    expect_that!(
        changed.version_of_command("c73"),
        some(eq(ConfigurationVersion(74)))
    );
}

#[gtest]
fn json_round_trips_and_errors_have_locations() {
    let encoded = encode_configuration(&configuration());
    let decoded = decode_configuration(&encoded, ObjectVersion(4)).expect("valid");
    let expected = Configuration {
        version: ConfigurationVersion(4),
        ..configuration()
    };
    expect_that!(decoded, eq(&expected));
    let bad = Bytes(b"{\n \"zonez\": []}".to_vec());
    let findings = decode_configuration(&bad, ObjectVersion(4)).expect_err("misspelt");
    expect_that!(
        findings[0].location,
        eq(&Location::Text { line: 2, column: 8 })
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any sequence of changes results in a valid configuration or is rejected.
    #[test]
    fn changes_keep_a_configuration_valid(generated in prop::collection::vec((0_u8..9, 0_u8..4), 0..12)) {
        let changes: Vec<Change> = generated.iter().map(|(kind, id)| change(*kind, *id)).collect();
        if let Ok(changed) = apply_changes(&configuration(), &changes, "c") {
            prop_assert_eq!(check(&changed), vec![]);
            prop_assert_eq!(changed.version, ConfigurationVersion(1));
        }
    }

    #[test]
    fn malformed_json_is_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let text = format!("{{\"zones\":{}", String::from_utf8_lossy(&bytes));
        for bytes in [bytes, text.into_bytes()] {
            prop_assert!(decode_configuration(&Bytes(bytes), ObjectVersion(1)).is_err());
        }
    }
}

fn change(kind: u8, id: u8) -> Change {
    match kind {
        0 => Change::CreateZone(zone(u16::from(id))),
        1 => Change::RemoveZone(ZoneId(u16::from(id))),
        2 => Change::CreateService(service(u32::from(id))),
        3 => Change::RemoveService(ServiceId(u32::from(id))),
        4 => Change::AddServer(server(u32::from(id), 1)),
        5 => Change::RemoveServer(ServerId(u32::from(id))),
        6 => Change::CreateTier(tier(id)),
        7 => Change::RemoveTier(TierId(id)),
        _ => Change::AlterService(service(u32::from(id))),
    }
}
