//! Which paths and headers of a caller's request are forwarded to servers, and which
//! headers of a response to callers.

use googletest::prelude::*;
use ledgelead_node::callers::headers::{HeaderLine, passed_to_caller, passed_to_server};
use ledgelead_node::callers::target::may_be_control_path;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Writes a byte unchanged, in upper case, percent-encoded, or percent-encoded twice.
fn encode_byte(byte: u8, encoding: u8) -> String {
    match encoding {
        0 => char::from(byte).to_string(),
        1 => char::from(byte.to_ascii_uppercase()).to_string(),
        2 => format!("%{byte:02x}"),
        _ => format!("%25{byte:02X}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn control_paths_are_detected_in_every_encoding(
        encodings in prop::collection::vec(0_u8..4, 32),
        prefix in prop::sample::select(vec!["/", "//", "/./", "/a/../", "/a/b/../../", "/../", "\\", "/;x/"]),
        suffix in prop::sample::select(vec!["", "?q=1", ";a=b", "#f", "/", "/../x"]),
        path in prop::sample::select(vec!["ledgelead/lease", "ledgelead/cancel", "ledgelead"]),
    ) {
        let bytes = prefix.bytes().chain(path.bytes());
        let mut target: String = bytes.zip(encodings).map(|(byte, encoding)| encode_byte(byte, encoding)).collect();
        target.push_str(suffix);
        prop_assert!(may_be_control_path(&target), "{}", target);
    }
}

#[gtest]
fn other_paths_are_accepted() {
    let paths = [
        "/",
        "/vacantes/ledgelead/lease",
        "/ledgelead-notes",
        "/ledgeleads/lease",
        "/a%20b/100%",
        "/x?next=/ledgelead/lease",
        "/a/b/../ledgelead",
    ];
    for path in paths {
        expect_that!(may_be_control_path(path), eq(false), "{path}");
    }
    let encoded_too_often = format!("/{}41", "%25".to_owned() + &"25".repeat(2_000));
    expect_that!(may_be_control_path(&encoded_too_often), eq(true));
}

#[gtest]
fn protocol_headers_are_not_forwarded() {
    let internal = [
        "Ledgelead-Token",
        "ledgelead-position",
        "LEDGELEAD-ATTEMPT",
        "Ledgelead-Tier",
        "Ledgelead-Refused",
        "Ledgelead-Load",
        "Ledgelead-Signature",
        "Ledgelead_Token",
        "Ledgelead-Outcome",
    ];
    let mut lines: Vec<HeaderLine> = internal
        .iter()
        .map(|name| HeaderLine::new(*name, "1"))
        .collect();
    lines.push(HeaderLine::new("Ledgelead-Key", "k"));
    lines.push(HeaderLine::new("X-Other", "2"));
    let names = |lines: Vec<HeaderLine>| -> Vec<String> {
        lines.into_iter().map(|line| line.name).collect()
    };
    expect_that!(
        names(passed_to_server(&lines)),
        elements_are![eq("Ledgelead-Key"), eq("X-Other")]
    );
    expect_that!(
        names(passed_to_caller(&lines)),
        elements_are![eq("X-Other")]
    );
}
