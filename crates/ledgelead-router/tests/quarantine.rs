//! Evidence about requests that crash instances. Nodes that receive the same evidence in a
//! different order reach the same verdict.

use googletest::prelude::*;
use ledgelead_http::Request;
use ledgelead_router::Timestamp;
use ledgelead_router::peers::RequestEntry;
use ledgelead_router::quarantine::{
    CallerId, Entry, Evidence, InstanceEnd, QuarantineRecord, Verdict,
};
use ledgelead_router::requests::RequestDigest;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(path: &str) -> RequestDigest {
    RequestDigest::new(&Request::new("GET", path, Vec::new()))
}

fn caller(last: u8) -> CallerId {
    CallerId::new([10, 0, 0, last].into())
}

fn end(caller_number: u8, instance: u64, at: u64) -> InstanceEnd {
    InstanceEnd {
        caller: caller(caller_number),
        instance,
        at: ms(at),
        settled: false,
    }
}

/// Evidence of these ends, reviewed one second after the last.
fn reviewed(ends: &[InstanceEnd]) -> Evidence {
    let mut evidence = Evidence::default();
    for end in ends {
        evidence.record_end(request("/a"), "/a", *end);
    }
    review(&mut evidence);
    evidence
}

fn review(evidence: &mut Evidence) {
    evidence.review(Timestamp::from_secs(100));
}

fn is_quarantined_for(evidence: &Evidence, caller_number: u8) -> bool {
    evidence.is_quarantined_for(&request("/a"), caller(caller_number))
}

#[gtest]
fn three_ends_quarantine_a_request_of_one_caller() {
    let ends = [end(1, 1, 0), end(1, 2, 1_000), end(1, 3, 2_000)];
    expect_that!(is_quarantined_for(&reviewed(&ends[..2]), 1), eq(false));
    expect_that!(is_quarantined_for(&reviewed(&ends), 1), eq(true));
    expect_that!(
        is_quarantined_for(&reviewed(&ends), 2),
        eq(false),
        "another caller"
    );
    let same = [end(1, 1, 0), end(1, 1, 1_000), end(1, 1, 2_000)];
    expect_that!(
        is_quarantined_for(&reviewed(&same), 1),
        eq(false),
        "one instance"
    );
}

#[gtest]
fn an_answer_before_or_after_the_third_end_clears_the_request() {
    let mut evidence = reviewed(&[end(1, 1, 0), end(1, 2, 1_000)]);
    evidence.record_answer(request("/a"), caller(1), ms(1_500));
    evidence.record_end(request("/a"), "/a", end(1, 3, 2_000));
    review(&mut evidence);
    expect_that!(is_quarantined_for(&evidence, 1), eq(false));
    let mut evidence = reviewed(&[end(1, 1, 0), end(1, 2, 1_000), end(1, 3, 2_000)]);
    evidence.record_answer(request("/a"), caller(1), ms(100_500));
    expect_that!(is_quarantined_for(&evidence, 1), eq(false));
}

/// Two requests of ever new callers are in flight at each of these instances when it ends.
fn lost_together(instances: std::ops::RangeInclusive<u8>) -> Evidence {
    let mut evidence = Evidence::default();
    for number in instances {
        let at = u64::from(number) * 2_000;
        for (path, by) in [("/a", 10 + number), ("/b", 20 + number)] {
            evidence.record_end(request(path), path, end(by, number.into(), at));
        }
        evidence.review(ms(at + 250));
    }
    evidence
}

/// The verdicts on both requests for another caller.
fn verdicts(evidence: &Evidence, at: u64) -> [Verdict; 2] {
    ["/a", "/b"].map(|path| evidence.verdict(&request(path), caller(9), ms(at)))
}

#[gtest]
fn two_requests_that_end_the_same_instances_are_both_quarantined() {
    let mut evidence = lost_together(1..=3);
    let since = ms(6_000);
    expect_that!(
        verdicts(&evidence, 6_500),
        eq([Verdict::Suspected { since }; 2])
    );
    // A try of each ends one more instance.
    for (path, instance, at) in [("/a", 4, 7_000), ("/b", 5, 8_000)] {
        evidence.record_end(request(path), path, end(30, instance, at));
        evidence.review(ms(at + 250));
        let is_quarantined = evidence.is_quarantined_for(&request(path), caller(9));
        expect_that!(is_quarantined, eq(true));
    }
}

/// The ends of instances 1, 2 and so on, 2 s apart, with the requests that were in flight at each.
fn lost(at_instances: &[&[&str]]) -> Evidence {
    let mut evidence = Evidence::default();
    for (number, paths) in (1..).zip(at_instances) {
        let at = u64::from(number) * 2_000;
        for path in *paths {
            evidence.record_end(request(path), path, end(10 + number, number.into(), at));
        }
        evidence.review(ms(at + 250));
    }
    evidence
}

fn quarantined(evidence: &Evidence, path: &str) -> bool {
    evidence.is_quarantined_for(&request(path), caller(9))
}

/// Neither crashing request was at all instances with which the harmless one was lost.
#[gtest]
fn harmless_request_lost_beside_two_crashing_ones_in_turn_is_not_quarantined() {
    let mut evidence = lost(&[
        &["/c"],
        &["/c", "/x"],
        &["/d", "/x"],
        &["/d"],
        &["/c", "/x"],
    ]);
    let since = ms(10_000);
    let verdict = evidence.verdict(&request("/x"), caller(9), ms(10_300));
    expect_that!(verdict, eq(Verdict::Suspected { since }));
    expect_that!(quarantined(&evidence, "/c"), eq(true));
    evidence.record_answer(request("/x"), caller(9), ms(12_000));
    let verdict = evidence.verdict(&request("/x"), caller(9), ms(12_000));
    expect_that!(verdict, eq(Verdict::Clear));
}

/// The crashing requests were not held back in time, since their ends voided each other.
#[gtest]
fn harmless_request_lost_often_beside_proved_crashing_ones_is_not_quarantined() {
    let beside: [&[&str]; 5] = [
        &["/c", "/x"],
        &["/d", "/x"],
        &["/c", "/x"],
        &["/d", "/x"],
        &["/c", "/x"],
    ];
    expect_that!(quarantined(&lost(&beside), "/x"), eq(true));
    let alone: [&[&str]; 2] = [&["/c"], &["/d"]];
    let evidence = lost(&[beside.as_slice(), &alone].concat());
    for (path, is_quarantined) in [("/c", true), ("/d", true), ("/x", false)] {
        expect_that!(quarantined(&evidence, path), eq(is_quarantined), "{path}");
    }
}

/// The second crashing request is known as such only after the harmless one was quarantined.
#[gtest]
fn quarantine_ends_once_other_suspected_requests_explain_all_ends() {
    let ends: [&[&str]; 4] = [&["/c", "/x"], &["/c", "/x"], &["/d", "/x"], &["/d"]];
    expect_that!(quarantined(&lost(&ends[..3]), "/x"), eq(true));
    expect_that!(quarantined(&lost(&ends), "/x"), eq(false));
}

/// Requests that were lost only once beside it explain nothing.
#[gtest]
fn crashing_request_with_another_harmless_one_at_each_instance_is_quarantined() {
    let evidence = lost(&[&["/c", "/x"], &["/c", "/y"], &["/c", "/z"]]);
    expect_that!(quarantined(&evidence, "/c"), eq(true));
}

#[gtest]
fn crashing_request_beside_several_suspected_ones_is_quarantined_after_an_end_alone() {
    let together: [&[&str]; 3] = [&["/c", "/x"], &["/c", "/x", "/y"], &["/c", "/y"]];
    expect_that!(quarantined(&lost(&together), "/c"), eq(false));
    let alone: &[&str] = &["/c"];
    let evidence = lost(&[together.as_slice(), &[alone]].concat());
    expect_that!(quarantined(&evidence, "/c"), eq(true));
    for harmless in ["/x", "/y"] {
        expect_that!(quarantined(&evidence, harmless), eq(false));
    }
}

/// The other node has lost the datagram which says that the crashing request was there as well.
#[gtest]
fn quarantine_by_a_node_that_lacks_evidence_of_another_request_is_not_followed() {
    let together: [&[&str]; 3] = [&["/c", "/x"]; 3];
    let alone: [&[&str]; 3] = [&["/c", "/x"], &["/c", "/x"], &["/x"]];
    let other = lost(&alone);
    expect_that!(quarantined(&other, "/x"), eq(true));
    let mut evidence = lost(&together);
    let entry = other.get(&request("/x")).expect("an entry");
    evidence.merge(request("/x"), entry);
    expect_that!(quarantined(&evidence, "/x"), eq(false));
    let mut without_evidence = Evidence::default();
    without_evidence.merge(request("/x"), entry);
    expect_that!(quarantined(&without_evidence, "/x"), eq(true));
}

/// The crashing request is harmless for another caller, whose answer leaves the ends to the first.
#[gtest]
fn request_beside_one_that_is_answered_for_another_caller_is_not_quarantined() {
    let mut evidence = Evidence::default();
    for (instance, at) in [(1, 2_000), (2, 4_000), (3, 6_000)] {
        for path in ["/c", "/x"] {
            evidence.record_end(request(path), path, end(1, instance, at));
        }
        evidence.review(ms(at + 250));
    }
    evidence.record_answer(request("/c"), caller(2), ms(7_000));
    evidence.review(ms(7_000));
    let is_quarantined = |path: &str| evidence.is_quarantined_for(&request(path), caller(1));
    expect_that!(is_quarantined("/x"), eq(false));
}

#[gtest]
fn two_requests_that_are_never_apart_are_quarantined_after_five_ends() {
    for (ended, is_quarantined) in [(4, false), (5, true)] {
        let evidence = lost_together(1..=ended);
        for path in ["/a", "/b"] {
            let found = evidence.is_quarantined_for(&request(path), caller(9));
            expect_that!(found, eq(is_quarantined));
        }
    }
}

/// A page sends a harmless request along with each crashing one, and both are lost.
#[gtest]
fn harmless_request_beside_a_crashing_one_is_not_quarantined() {
    let mut evidence = lost_together(1..=3);
    evidence.record_end(request("/a"), "/a", end(30, 4, 7_000));
    evidence.review(ms(7_250));
    let since = ms(6_000);
    let [crashing, beside] = verdicts(&evidence, 7_500);
    expect_that!(crashing, pat!(Verdict::Quarantined { .. }));
    expect_that!(beside, eq(Verdict::Suspected { since }));
    evidence.record_answer(request("/b"), caller(9), ms(8_000));
    expect_that!(verdicts(&evidence, 8_000)[1], eq(Verdict::Clear));
}

/// A node learns of an end by its own lost request, and some milliseconds later that the
/// crashing one was there as well.
#[gtest]
fn harmless_request_is_not_quarantined_before_its_last_end_has_settled() {
    let mut evidence = lost_together(1..=3);
    evidence.record_end(request("/b"), "/b", end(30, 4, 8_000));
    evidence.review(ms(8_010));
    evidence.record_end(request("/a"), "/a", end(31, 4, 8_001));
    evidence.review(ms(8_300));
    let is_quarantined = evidence.is_quarantined_for(&request("/b"), caller(9));
    expect_that!(is_quarantined, eq(false));
}

#[gtest]
fn answer_to_a_request_leaves_the_ends_to_the_other_one() {
    let mut evidence = lost_together(1..=3);
    evidence.record_answer(request("/b"), caller(9), ms(7_000));
    evidence.review(ms(7_000));
    let is_quarantined = evidence.is_quarantined_for(&request("/a"), caller(9));
    expect_that!(is_quarantined, eq(true));
}

#[gtest]
fn instances_that_end_together_with_unrelated_ones_cause_no_suspicion() {
    let mut evidence = reviewed(&[]);
    for (number, at) in [(1, 0), (2, 2_000), (3, 4_000)] {
        evidence.record_end(request("/a"), "/a", end(1, number, at));
        evidence.record_end(request("/b"), "/b", end(2, 10 + number, at + 100));
    }
    review(&mut evidence);
    expect_that!(is_quarantined_for(&evidence, 1), eq(false));
}

/// Records that instances ended under a request, each during a request of another caller.
fn record_ends(evidence: &mut Evidence, path: &str, at_instances: &[(u64, u64)]) {
    for (instance, at) in at_instances {
        let by = u8::try_from(*instance).expect("a small number");
        evidence.record_end(request(path), path, end(by, *instance, *at));
    }
}

/// A request that ends many instances at once isn't hidden by another one that does so too.
#[gtest]
fn requests_that_each_end_several_instances_at_one_moment_are_both_quarantined() {
    let mut evidence = Evidence::default();
    record_ends(&mut evidence, "/a", &[(1, 1_000), (2, 1_000), (3, 1_010)]);
    record_ends(&mut evidence, "/b", &[(4, 1_060), (5, 1_060), (6, 1_070)]);
    evidence.review(ms(1_500));
    for path in ["/a", "/b"] {
        expect_that!(quarantined(&evidence, path), eq(true));
    }
}

/// They are in flight at one instance each, and one of them ends an instance alone later.
#[gtest]
fn end_alone_shows_that_instances_ended_beside_it_for_no_common_cause() {
    let mut evidence = Evidence::default();
    record_ends(&mut evidence, "/a", &[(1, 1_000)]);
    record_ends(&mut evidence, "/b", &[(2, 1_050)]);
    evidence.review(ms(1_500));
    record_ends(&mut evidence, "/b", &[(3, 3_000)]);
    evidence.review(ms(3_500));
    record_ends(&mut evidence, "/a", &[(4, 5_000), (5, 7_000)]);
    evidence.review(ms(7_500));
    expect_that!(quarantined(&evidence, "/a"), eq(true));
}

/// An instance of another service ends beside those that the request ends.
#[gtest]
fn request_lost_at_three_instances_of_one_moment_is_tried_in_turns() {
    let mut evidence = Evidence::default();
    record_ends(&mut evidence, "/a", &[(1, 1_000), (2, 1_000), (3, 1_010)]);
    record_ends(&mut evidence, "/b", &[(4, 1_100)]);
    evidence.review(ms(1_500));
    let since = ms(1_010);
    let verdict = evidence.verdict(&request("/a"), caller(9), ms(1_500));
    expect_that!(verdict, eq(Verdict::Suspected { since }));
    // The try.
    record_ends(&mut evidence, "/a", &[(5, 2_000)]);
    evidence.review(ms(2_250));
    expect_that!(quarantined(&evidence, "/a"), eq(true));
}

#[gtest]
fn request_lost_at_two_moments_is_suspected_whatever_ended_beside_it() {
    let mut evidence = Evidence::default();
    record_ends(&mut evidence, "/a", &[(1, 1_000)]);
    record_ends(&mut evidence, "/b", &[(2, 1_100)]);
    evidence.review(ms(1_500));
    let verdict = evidence.verdict(&request("/a"), caller(9), ms(1_500));
    expect_that!(verdict, eq(Verdict::Clear));
    record_ends(&mut evidence, "/a", &[(3, 3_000)]);
    evidence.review(ms(3_500));
    let since = ms(3_000);
    let verdict = evidence.verdict(&request("/a"), caller(9), ms(3_500));
    expect_that!(verdict, eq(Verdict::Suspected { since }));
}

#[gtest]
fn five_ends_quarantine_a_request_whatever_ended_beside_it() {
    let mut evidence = Evidence::default();
    for number in 1..=5 {
        let at = number * 2_000;
        expect_that!(quarantined(&evidence, "/a"), eq(false));
        record_ends(&mut evidence, "/a", &[(number, at)]);
        record_ends(
            &mut evidence,
            &format!("/{number}"),
            &[(100 + number, at + 100)],
        );
        evidence.review(ms(at + 500));
    }
    expect_that!(quarantined(&evidence, "/a"), eq(true));
}

/// Requests of one caller are seldom in flight at several instances of a rack.
#[gtest]
fn three_ends_of_one_caller_at_a_moment_quarantine_its_request_whatever_ended_beside_it() {
    let mut evidence = Evidence::default();
    for (instance, at) in [(1, 1_000), (2, 1_000), (3, 1_010)] {
        evidence.record_end(request("/a"), "/a", end(1, instance, at));
    }
    record_ends(&mut evidence, "/b", &[(10, 1_100)]);
    evidence.review(ms(1_500));
    expect_that!(is_quarantined_for(&evidence, 1), eq(true));
    expect_that!(is_quarantined_for(&evidence, 2), eq(false));
}

/// Two instances ended under a crashing request, and a third one for another reason.
#[gtest]
fn request_lost_once_without_the_one_that_is_proved_to_crash_is_not_quarantined() {
    let ends: [&[&str]; 5] = [&["/c", "/x"], &["/c", "/x"], &["/c"], &["/c"], &["/x"]];
    let evidence = lost(&ends);
    for (path, is_quarantined) in [("/c", true), ("/x", false)] {
        expect_that!(quarantined(&evidence, path), eq(is_quarantined), "{path}");
    }
    let again: &[&str] = &["/x"];
    let evidence = lost(&[ends.as_slice(), &[again]].concat());
    expect_that!(quarantined(&evidence, "/x"), eq(true));
}

/// Evidence as a node has it that has read another node's from the store.
fn restored(evidence: &Evidence, path: &str) -> Evidence {
    let record = QuarantineRecord::new(evidence.get(&request(path)).expect("an entry"));
    let text = serde_json::to_string(&record).expect("text");
    let read: QuarantineRecord = serde_json::from_str(&text).expect("a record");
    let mut other = Evidence::default();
    other.merge(request(path), &read.entry(ms(50_000)));
    other.review(ms(51_000));
    other
}

/// The store holds no times, and not the ends of the zone's other instances.
#[gtest]
fn ends_of_a_zone_are_restored_from_the_store_as_such() {
    let mut evidence = Evidence::default();
    record_ends(&mut evidence, "/a", &[(1, 1_000), (2, 3_000), (3, 3_100)]);
    record_ends(&mut evidence, "/b", &[(4, 3_050)]);
    evidence.review(ms(4_000));
    expect_that!(quarantined(&evidence, "/a"), eq(false));
    expect_that!(quarantined(&restored(&evidence, "/a"), "/a"), eq(false));
    record_ends(&mut evidence, "/a", &[(5, 6_000), (6, 8_000)]);
    evidence.review(ms(9_000));
    expect_that!(quarantined(&restored(&evidence, "/a"), "/a"), eq(true));
}

/// Each caller has one end only, and an answer to another one clears the request for all.
#[gtest]
fn ends_that_an_answer_leaves_to_their_callers_are_restored_as_such() {
    let mut evidence = Evidence::default();
    record_ends(&mut evidence, "/a", &[(1, 1_000), (2, 3_000), (3, 5_000)]);
    evidence.record_answer(request("/a"), caller(9), ms(5_200));
    evidence.review(ms(6_000));
    expect_that!(quarantined(&evidence, "/a"), eq(false));
    expect_that!(quarantined(&restored(&evidence, "/a"), "/a"), eq(false));
}

#[gtest]
fn an_end_disproved_by_an_answer_no_longer_counts() {
    let mut evidence = reviewed(&[end(1, 1, 0), end(1, 2, 1_000), end(1, 3, 2_000)]);
    evidence.disprove_end(2, ms(100_500));
    expect_that!(is_quarantined_for(&evidence, 1), eq(false));
    evidence.record_end(request("/a"), "/a", end(1, 2, 101_000));
    expect_that!(evidence.ends_of(&request("/a"), caller(1)), eq(0));
}

#[gtest]
fn a_request_that_ends_instances_for_several_callers_is_quarantined_for_all() {
    let together = [
        end(1, 1, 0),
        end(2, 1, 0),
        end(1, 2, 1_000),
        end(2, 2, 1_000),
    ];
    expect_that!(is_quarantined_for(&reviewed(&together), 3), eq(false));
    // One of the two may be harmless and beside the other each time.
    let third = [end(1, 3, 2_000), end(2, 3, 2_000)];
    let beside = reviewed(&[together.as_slice(), &third].concat());
    expect_that!(is_quarantined_for(&beside, 1), eq(true));
    expect_that!(is_quarantined_for(&beside, 2), eq(true));
    expect_that!(is_quarantined_for(&beside, 3), eq(false));
    let alone = [
        end(1, 1, 0),
        end(1, 2, 1_000),
        end(2, 3, 2_000),
        end(2, 4, 3_000),
    ];
    expect_that!(is_quarantined_for(&reviewed(&alone[..3]), 3), eq(false));
    expect_that!(is_quarantined_for(&reviewed(&alone), 3), eq(true));
}

#[gtest]
fn three_ends_under_changing_callers_quarantine_a_request_for_all() {
    let ends = [end(1, 1, 0), end(2, 2, 1_000), end(3, 3, 2_000)];
    expect_that!(is_quarantined_for(&reviewed(&ends[..2]), 4), eq(false));
    expect_that!(is_quarantined_for(&reviewed(&ends), 4), eq(true));
}

#[gtest]
fn two_ends_make_a_request_suspected_for_all_callers() {
    let mut evidence = Evidence::default();
    let verdict = |evidence: &Evidence, at| evidence.verdict(&request("/a"), caller(9), ms(at));
    evidence.record_end(request("/a"), "/a", end(1, 1, 1_000));
    expect_that!(verdict(&evidence, 1_000), eq(Verdict::Clear));
    evidence.record_end(request("/a"), "/a", end(2, 2, 2_000));
    let since = ms(2_000);
    expect_that!(
        verdict(&evidence, 2_000),
        eq(Verdict::Clear),
        "the first end is not reviewed yet"
    );
    evidence.review(ms(2_000));
    for at in [2_000, 2_100, 50_000] {
        evidence.review(ms(at));
        expect_that!(verdict(&evidence, at), eq(Verdict::Suspected { since }));
    }
    evidence.record_answer(request("/a"), caller(8), ms(50_500));
    expect_that!(verdict(&evidence, 50_500), eq(Verdict::Clear));
}

/// Four tries of a request for a key were at its owner when that ended, and three at the next
/// one: seven tries ended with instances before the third instance did.
#[gtest]
fn two_callers_at_one_ended_instance_make_a_request_suspected() {
    let mut evidence = Evidence::default();
    evidence.record_end(request("/a"), "/a", end(1, 1, 1_000));
    evidence.record_end(request("/a"), "/a", end(2, 1, 1_001));
    let verdict = |at| evidence.verdict(&request("/a"), caller(9), ms(at));
    let since = ms(1_001);
    expect_that!(verdict(1_001), eq(Verdict::Suspected { since }));
}

#[gtest]
fn a_rack_that_ends_makes_requests_suspected_only_until_its_ends_settle() {
    let mut evidence = Evidence::default();
    evidence.record_end(request("/a"), "/a", end(1, 1, 1_000));
    evidence.record_end(request("/a"), "/a", end(2, 2, 1_010));
    evidence.record_end(request("/b"), "/b", end(3, 3, 1_020));
    let verdict = |evidence: &Evidence, at| evidence.verdict(&request("/a"), caller(9), ms(at));
    let since = ms(1_010);
    expect_that!(verdict(&evidence, 1_100), eq(Verdict::Suspected { since }));
    evidence.review(ms(1_300));
    expect_that!(verdict(&evidence, 1_300), eq(Verdict::Clear));
}

/// A caller whose requests have ended three instances is held back alone. One more end may
/// have another cause, and two more extend the quarantine to all callers.
#[gtest]
fn two_ends_under_further_callers_extend_a_quarantine_to_all() {
    let mut evidence = reviewed(&[end(1, 1, 0), end(1, 2, 1_000), end(1, 3, 2_000)]);
    for (number, is_extended) in [(4, false), (5, true)] {
        let at = 100_000 + u64::from(number) * 1_000;
        evidence.record_end(request("/a"), "/a", end(number, number.into(), at));
        evidence.review(ms(at + 500));
        expect_that!(is_quarantined_for(&evidence, 9), eq(is_extended));
    }
}

#[gtest]
fn an_answer_to_another_caller_narrows_a_quarantine_to_callers_with_three_ends() {
    let mut evidence = reviewed(&[
        end(1, 1, 0),
        end(1, 2, 1_000),
        end(1, 3, 2_000),
        end(2, 4, 3_000),
        end(2, 5, 4_000),
    ]);
    expect_that!(is_quarantined_for(&evidence, 2), eq(true));
    evidence.record_answer(request("/a"), caller(9), ms(50_000));
    review(&mut evidence);
    expect_that!(is_quarantined_for(&evidence, 1), eq(true));
    expect_that!(is_quarantined_for(&evidence, 2), eq(false));
    expect_that!(is_quarantined_for(&evidence, 9), eq(false));
}

/// A request that is harmless at first may end instances later, after a change of the service.
#[gtest]
fn ends_long_after_the_last_answer_count_for_all_callers() {
    let mut evidence = reviewed(&[end(1, 1, 0), end(2, 2, 1_000)]);
    evidence.record_answer(request("/a"), caller(9), ms(2_000));
    for (number, at) in [(3, 70_000), (4, 71_000), (5, 72_000)] {
        evidence.record_end(request("/a"), "/a", end(number, number.into(), at));
    }
    evidence.review(ms(73_000));
    expect_that!(is_quarantined_for(&evidence, 8), eq(true));
}

#[gtest]
fn an_answer_to_another_caller_prevents_a_quarantine_for_all() {
    let mut evidence = reviewed(&[end(1, 1, 0), end(1, 2, 1_000), end(2, 3, 2_000)]);
    evidence.record_answer(request("/a"), caller(9), ms(2_500));
    evidence.record_end(request("/a"), "/a", end(2, 4, 3_000));
    review(&mut evidence);
    expect_that!(is_quarantined_for(&evidence, 3), eq(false));
    evidence.record_end(request("/a"), "/a", end(1, 5, 4_000));
    review(&mut evidence);
    expect_that!(
        is_quarantined_for(&evidence, 1),
        eq(true),
        "its own three ends count"
    );
    expect_that!(is_quarantined_for(&evidence, 3), eq(false));
}

#[gtest]
fn a_request_is_sent_after_an_operator_lifts_its_quarantine_until_three_more_ends() {
    let mut evidence = reviewed(&[end(1, 1, 0), end(1, 2, 1_000), end(1, 3, 2_000)]);
    evidence.lift(request("/a"), ms(100_500));
    expect_that!(is_quarantined_for(&evidence, 1), eq(false));
    for (number, at) in [(4, 101_000), (5, 102_000), (6, 103_000)] {
        expect_that!(is_quarantined_for(&evidence, 1), eq(false));
        evidence.record_end(request("/a"), "/a", end(1, number, at));
        evidence.review(ms(at + 500));
    }
    expect_that!(is_quarantined_for(&evidence, 1), eq(true));
}

#[gtest]
fn a_quarantine_is_restored_from_the_store() {
    let evidence = reviewed(&[end(1, 1, 0), end(1, 2, 1_000), end(1, 3, 2_000)]);
    let entry = evidence.get(&request("/a")).expect("an entry");
    let record = QuarantineRecord::new(entry);
    let text = serde_json::to_string(&record).expect("text");
    let read: QuarantineRecord = serde_json::from_str(&text).expect("a record");
    let mut other = Evidence::default();
    other.merge(request("/a"), &read.entry(ms(5)));
    expect_that!(is_quarantined_for(&other, 1), eq(true));
    expect_that!(is_quarantined_for(&other, 2), eq(false));
}

/// Three callers' requests end three instances, the last of them at 2 s.
fn quarantined_for_all() -> Evidence {
    let mut evidence = Evidence::default();
    for (number, at) in [(1, 0), (2, 1_000), (3, 2_000)] {
        evidence.record_end(request("/a"), "/a", end(number, number.into(), at));
        evidence.review(ms(at + 250));
    }
    evidence
}

#[gtest]
fn a_quarantine_ends_and_the_request_is_tried_in_turns() {
    let evidence = quarantined_for_all();
    let verdict = |seconds| {
        let now = Timestamp::from_secs(seconds);
        evidence.verdict(&request("/a"), caller(9), now)
    };
    let until = Timestamp::from_secs(602);
    expect_that!(verdict(3), eq(Verdict::Quarantined { until }));
    expect_that!(verdict(601), eq(Verdict::Quarantined { until }));
    expect_that!(verdict(602), eq(Verdict::Suspected { since: until }));
    expect_that!(verdict(100_000), eq(Verdict::Suspected { since: until }));
}

#[gtest]
fn each_further_end_doubles_the_quarantine_up_to_a_day() {
    let mut evidence = quarantined_for_all();
    let mut at = ms(2_000);
    let mut terms = Vec::new();
    for instance in 4..14 {
        let verdict = evidence.verdict(&request("/a"), caller(9), at + ms(300));
        let Verdict::Quarantined { until } = verdict else {
            panic!("not quarantined");
        };
        terms.push((until - at).as_secs());
        at = until + ms(700);
        let probed = InstanceEnd {
            at,
            ..end(9, instance, 0)
        };
        evidence.record_end(request("/a"), "/a", probed);
        evidence.review(at + ms(250));
    }
    let expected = [
        600, 1_200, 2_400, 4_800, 9_600, 19_200, 38_400, 76_800, 86_400, 86_400,
    ];
    expect_that!(terms, eq(&expected.to_vec()));
}

#[gtest]
fn an_answered_try_ends_the_quarantine() {
    let mut evidence = quarantined_for_all();
    let now = Timestamp::from_secs(603);
    evidence.record_answer(request("/a"), caller(9), now);
    let verdict = evidence.verdict(&request("/a"), caller(8), now);
    expect_that!(verdict, eq(Verdict::Clear));
}

/// A restored quarantine begins anew: the store holds no times.
#[gtest]
fn a_quarantine_from_the_store_ends_as_well() {
    let evidence = quarantined_for_all();
    let record = QuarantineRecord::new(evidence.get(&request("/a")).expect("an entry"));
    let mut other = Evidence::default();
    let read_at = Timestamp::from_secs(5_000);
    other.merge(request("/a"), &record.entry(read_at));
    // A node reads the record again whenever it lists the store.
    let later = read_at + Duration::from_secs(300);
    other.merge(request("/a"), &record.entry(later));
    let verdict = other.verdict(&request("/a"), caller(9), later);
    let until = read_at + Duration::from_secs(600);
    expect_that!(verdict, eq(Verdict::Quarantined { until }));
}

/// Earlier versions store and send the same fields, with a caller in each verdict.
#[gtest]
fn evidence_of_earlier_versions_is_read() {
    let caller_number = caller(1).0;
    let text = format!(
        r#"{{"path":"/a","ends":[["{caller_number:x}","1"],["{caller_number:x}","2"],["{caller_number:x}","3"]],"quarantined":["{caller_number:x}"]}}"#
    );
    let record: QuarantineRecord = serde_json::from_str(&text).expect("a record");
    let mut evidence = Evidence::default();
    evidence.merge(request("/a"), &record.entry(ms(5)));
    expect_that!(is_quarantined_for(&evidence, 1), eq(true));
    expect_that!(is_quarantined_for(&evidence, 2), eq(false));
    let entry = evidence.get(&request("/a")).expect("an entry");
    let written = serde_json::to_string(&QuarantineRecord::new(entry)).expect("text");
    expect_that!(written, eq(&text));
    let for_all = quarantined_for_all();
    let entry = for_all.get(&request("/a")).expect("an entry");
    expect_that!(
        QuarantineRecord::new(entry).quarantined,
        elements_are![eq("0")]
    );
}

#[gtest]
fn evidence_is_bounded_and_quarantines_are_removed_last() {
    let mut evidence = reviewed(&[end(1, 1, 0), end(1, 2, 1_000), end(1, 3, 2_000)]);
    for number in 0..2_000_u64 {
        let path = format!("/innocent/{number}");
        let at = 10_000 + number;
        evidence.record_end(request(&path), &path, end(2, 100 + number, at));
    }
    evidence.expire(ms(20_000));
    expect_that!(evidence.iter().count(), eq(512));
    expect_that!(is_quarantined_for(&evidence, 1), eq(true));
    evidence.expire(Timestamp::from_secs(3_600));
    expect_that!(evidence.iter().count(), eq(1));
    expect_that!(is_quarantined_for(&evidence, 1), eq(true));
}

/// A fact that a node learns.
#[derive(Clone, Debug)]
enum Fact {
    Ended {
        caller_number: u8,
        instance: u64,
        at: u64,
    },
    Answered {
        caller_number: u8,
        at: u64,
    },
    Alive {
        instance: u64,
    },
}

fn fact() -> impl Strategy<Value = Fact> {
    let ended = (1..3_u8, 1..6_u64, 0..40_u64);
    prop_oneof![
        5 => ended.prop_map(|(caller_number, instance, at)| Fact::Ended { caller_number, instance, at: at * 500 }),
        1 => (1..3_u8, 0..40_u64).prop_map(|(caller_number, at)| Fact::Answered { caller_number, at: at * 500 }),
        1 => (1..6_u64).prop_map(|instance| Fact::Alive { instance }),
    ]
}

/// The evidence of a node that receives facts from others.
fn received(facts: &[Fact]) -> Evidence {
    let mut evidence = Evidence::default();
    let now = Timestamp::from_secs(90);
    for fact in facts {
        let mut entry = Entry::default();
        match fact {
            Fact::Ended {
                caller_number,
                instance,
                at,
            } => entry.ends.push(end(*caller_number, *instance, *at)),
            Fact::Answered { caller_number, at } => {
                entry.cleared.insert(caller(*caller_number), ms(*at));
            }
            Fact::Alive { instance } => {
                evidence.record_alive(*instance, now);
                continue;
            }
        }
        let wire = RequestEntry::new(&request("/a"), &entry, now);
        let (known, entry) = wire.received(now);
        evidence.merge(known, &entry);
    }
    evidence
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(33),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Repeated and reordered messages lead to the same evidence.
    #[test]
    fn the_order_of_messages_does_not_matter(
        facts in prop::collection::vec(fact(), 1..12),
        rotation in 0..12_usize,
    ) {
        // An end is reported once, even if two nodes saw it at different times.
        let mut facts = facts;
        let mut seen = std::collections::BTreeSet::new();
        facts.retain(|fact| match fact {
            Fact::Ended { caller_number, instance, .. } => seen.insert((0, u64::from(*caller_number), *instance)),
            Fact::Answered { caller_number, .. } => seen.insert((1, u64::from(*caller_number), 0)),
            Fact::Alive { .. } => true,
        });
        let mut reordered = facts.clone();
        let length = reordered.len();
        reordered.rotate_left(rotation % length);
        reordered.extend(facts.iter().cloned());
        let (mut one, mut other) = (received(&facts), received(&reordered));
        review(&mut one);
        review(&mut other);
        prop_assert_eq!(one.checksum(), other.checksum());
        for caller_number in 1..4 {
            prop_assert_eq!(is_quarantined_for(&one, caller_number), is_quarantined_for(&other, caller_number));
            let verdict = |evidence: &Evidence| {
                evidence.verdict(&request("/a"), caller(caller_number), Timestamp::from_secs(100))
            };
            prop_assert_eq!(verdict(&one), verdict(&other));
        }
    }
}
