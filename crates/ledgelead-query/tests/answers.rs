//! Results of queries and of `explain`.

mod support;

use googletest::prelude::*;
use ledgelead_query::{Plan, answer, may_command, plan};
use ledgelead_types::PositionRange;
use ledgelead_types::administration::GroupOperation;
use ledgelead_types::configuration::{OperatorConfiguration, OperatorRole};

/// Transcript of queries and their tables.
fn session(queries: &[&str]) -> String {
    let view = support::view();
    let mut transcript = String::new();
    for query in queries {
        let tables = answer(query, &view).map_err(|findings| findings.render(query, false));
        transcript += &format!("> {query}\n");
        for table in tables.expect("a valid query") {
            transcript += &format!("{table}\n");
        }
    }
    transcript
}

#[gtest]
fn every_subject_has_its_table() {
    insta::assert_snapshot!(session(&[
        "show services; show zones; show tiers; show callers; show operators",
        "show servers",
        "show slices of vacantes",
        "show nodes; show groups; show leases; show configuration",
    ]));
}

#[gtest]
fn rows_are_filtered_ordered_and_limited() {
    insta::assert_snapshot!(session(&[
        "show servers of vacantes where load > 0.4 order by load desc limit 2",
        "show servers where zone = suba or load >= 1 and queued > 0",
        "show nodes where live = true and behind > 0",
        "show groups where leader = none",
        "show owner of key \"V-1182\" in vacantes",
    ]));
}

#[gtest]
fn explain_shows_what_would_change() {
    insta::assert_snapshot!(session(&[
        "explain alter tier gold set weight = 9",
        "explain create caller crawler with tier = bronze, credential_sha256 = \
         \"0000000000000000000000000000000000000000000000000000000000000000\"",
        "explain drain server v-2",
        "explain move key \"V-1182\" in vacantes to v-3",
        "explain isolate key \"V-1182\" in vacantes",
    ]));
}

#[gtest]
fn role_and_team_restrict_an_operator() {
    let view = support::view();
    let may = |role, teams: &[&str], text: &str| {
        let operator = OperatorConfiguration {
            role,
            teams: teams.iter().map(|team| (*team).into()).collect(),
            ..OperatorConfiguration::default()
        };
        let plan = plan(text, &view).expect("a valid command");
        let allowed = may_command(&operator, &plan, &view.configuration);
        allowed.map_err(|forbidden| forbidden.to_string())
    };
    let drain = "drain server v-1";
    let add =
        "add server v-9 to vacantes in suba at \"10.0.0.9:1\" with slots = 1, connections = 9";
    let alter = "alter service vacantes set default_deadline_ms = 900";
    use OperatorRole::*;
    expect_that!(may(Read, &[], drain).is_err(), eq(true));
    expect_that!(may(Operate, &[], drain), ok(eq(&())));
    expect_that!(may(Operate, &[], add).is_err(), eq(true));
    expect_that!(may(Operate, &["media"], drain).is_err(), eq(true));
    expect_that!(may(Administer, &["jobs"], add), ok(eq(&())));
    expect_that!(may(Administer, &["jobs"], alter), ok(eq(&())));
    expect_that!(may(Administer, &["media"], alter).is_err(), eq(true));
    let take_over = "alter service preview set team = jobs";
    expect_that!(may(Administer, &["jobs"], take_over).is_err(), eq(true));
    for global in ["alter tier gold set weight = 2", "remove caller portal"] {
        expect_that!(may(Administer, &["jobs"], global).is_err(), eq(true));
        expect_that!(may(Administer, &[], global), ok(eq(&())));
    }
}

#[gtest]
fn operations_go_to_the_group_that_has_the_server_or_the_key() {
    let mut view = support::view();
    view.configuration.services[0].groups = 3;
    let operation = |text: &str| match plan(text, &view) {
        Ok(Plan::Operate(operations)) => operations[0],
        other => panic!("{other:?}"),
    };
    for server in &view.configuration.servers {
        let planned = operation(&format!("drain server {}", server.name));
        let mut servers = view.configuration.servers_of(planned.group);
        expect_that!(servers.any(|of_group| of_group.id == server.id), eq(true));
    }
    for key in 0..64 {
        let planned = operation(&format!("split key \"K-{key}\" in vacantes"));
        let part = PositionRange::ALL.part(u64::from(planned.group.part), 3);
        let GroupOperation::SplitSlice { at } = planned.operation else {
            panic!("{planned:?}");
        };
        expect_that!(part.contains(at), eq(true));
        // Each group has a different server, so exactly one of them can take the key.
        let takes = |name: &str| {
            plan(
                &format!("move key \"K-{key}\" in vacantes to {name}"),
                &view,
            )
            .is_ok()
        };
        expect_that!(
            ["v-1", "v-2", "v-3"]
                .iter()
                .filter(|name| takes(name))
                .count(),
            eq(1)
        );
    }
}
