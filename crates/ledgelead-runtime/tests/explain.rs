//! Explaining a request from the logs of its node and of others.

use googletest::prelude::*;
use ledgelead_runtime::explain::explain;
use std::io::{BufRead, Cursor};

const OWN: &str = r#"
{"event":{"event":"instance_drains","instance":"i-1"},"level":"INFO","node":"b","time":100.0,"topic":"instances"}
{"event":{"event":"attempt_ended","request":"r1","service":"s","key":7,"instance":"i-1","sent_after_ms":0,"took_ms":12,"ended":"misdirected","fence":4,"ownership":90},"level":"INFO","node":"b","time":100.5,"topic":"request"}
{"event":{"event":"attempt_ended","request":"r2","service":"s","key":9000,"instance":"i-3","sent_after_ms":0,"took_ms":12,"ended":"shed","fence":5,"ownership":90},"level":"INFO","node":"b","time":100.6,"topic":"request"}
not json
{"event":{"event":"answered","request":"r1","service":"s","key":7,"status":503,"reason":"no_owner","after_ms":80,"attempts":1,"fence":4,"ownership":90,"configuration":3},"level":"INFO","node":"b","time":100.58,"topic":"request"}
"#;

/// This node's clock is two seconds ahead.
const COORDINATOR: &str = r#"
{"event":{"event":"move_begins","service":"s","first":0,"last":99,"from":"i-1","to":"i-2"},"level":"INFO","node":"a","time":102.4,"topic":"ownership"}
{"event":{"event":"move_begins","service":"s","first":500,"last":599,"from":"i-8","to":"i-9"},"level":"INFO","node":"a","time":102.4,"topic":"ownership"}
{"event":{"event":"keys_owned","service":"s","first":0,"last":99,"owner":"i-2","fence":6},"level":"INFO","node":"a","time":102.7,"topic":"ownership"}
{"event":{"event":"keys_owned","service":"other","first":0,"last":99,"owner":"i-7","fence":7},"level":"INFO","node":"a","time":102.7,"topic":"ownership"}
{"event":{"event":"store_serves"},"level":"INFO","node":"a","time":900.0,"topic":"store"}
"#;

fn explained(request: &str) -> (bool, String) {
    let logs: Vec<Box<dyn BufRead>> = vec![
        Box::new(Cursor::new(OWN)),
        Box::new(Cursor::new(COORDINATOR)),
    ];
    let explanation = explain(request, logs).unwrap();
    (explanation.has_events(), explanation.to_string())
}

#[gtest]
fn the_explanation_contains_events_of_the_request_and_of_what_it_depended_on() {
    let expected = "\
request r1 at b
     +0.000 s  attempt_ended ended=misdirected fence=4 instance=i-1 key=7 ownership=90 sent_after_ms=0 service=s took_ms=12
     +0.080 s  answered after_ms=80 attempts=1 configuration=3 fence=4 key=7 ownership=90 reason=no_owner service=s status=503
a tells, by its own clock
     +1.900 s  move_begins first=0 from=i-1 last=99 service=s to=i-2
     +2.200 s  keys_owned fence=6 first=0 last=99 owner=i-2 service=s
b tells, by its own clock
     -0.500 s  instance_drains instance=i-1
";
    let (has_events, text) = explained("r1");
    expect_that!(has_events, eq(true));
    expect_eq!(text, expected);
}

#[gtest]
fn a_request_that_no_log_contains_is_reported_as_unknown() {
    let (has_events, text) = explained("r9");
    expect_that!(has_events, eq(false));
    expect_that!(text, eq("r9: no log knows it\n"));
}

#[gtest]
fn the_explanation_contains_other_attempts_of_the_request_and_its_quarantine() {
    let own = r#"
{"event":{"event":"answered","request":"r3","digest":"0a","service":"s","status":503,"reason":"quarantined"},"level":"INFO","node":"b","time":100.0,"topic":"request"}
"#;
    let other = r#"
{"event":{"event":"attempt_ended","request":"r1","digest":"0a","service":"s","instance":"i-1","ended":"answer_lost"},"level":"INFO","node":"a","time":90.0,"topic":"request"}
{"event":{"event":"attempt_ended","request":"r2","digest":"0b","service":"s","instance":"i-1","ended":"answer_lost"},"level":"INFO","node":"a","time":90.0,"topic":"request"}
{"event":{"event":"quarantined","digest":"0a","path":"/p","all_callers":false,"ended":3},"level":"WARN","node":"a","time":95.0,"topic":"quarantine"}
{"event":{"event":"quarantined","digest":"0c","path":"/q","all_callers":false,"ended":3},"level":"WARN","node":"a","time":95.0,"topic":"quarantine"}
"#;
    let logs: Vec<Box<dyn BufRead>> =
        vec![Box::new(Cursor::new(own)), Box::new(Cursor::new(other))];
    let expected = "\
request r3 at b
     +0.000 s  answered digest=0a reason=quarantined service=s status=503
a tells, by its own clock
    -10.000 s  attempt_ended digest=0a ended=answer_lost instance=i-1 service=s
     -5.000 s  quarantined all_callers=false digest=0a ended=3 path=/p
";
    expect_eq!(explain("r3", logs).unwrap().to_string(), expected);
}
