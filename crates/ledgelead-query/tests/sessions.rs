//! Operators' sessions, compared with snapshots.

mod support;

use googletest::prelude::*;
use ledgelead_query::*;
use ledgelead_types::ConfigurationVersion;
use ledgelead_types::configuration::{OperatorConfiguration, OperatorRole};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::deployment::{Platform, TestDeployment};

/// Transcript of requests and their results.
struct Session {
    deployment: TestDeployment,
    transcript: String,
}

impl Session {
    fn new() -> Session {
        Session {
            deployment: TestDeployment::new(),
            transcript: String::new(),
        }
    }

    fn note(&mut self, line: &str) {
        self.transcript += &format!("# {line}\n");
    }

    fn query(&mut self, name: &str, node: usize, text: &str) {
        self.transcript += &format!("{name} at node-{}> {text}\n", node + 1);
        let answer = run_query(
            text,
            &operator(name),
            &mut self.deployment.through_node(node),
        );
        self.transcript += &match answer {
            Ok(answer) => answer.tables.iter().map(Table::to_string).collect(),
            Err(refusal) => rendered_refusal(&refusal, text),
        };
        self.transcript.push('\n');
    }

    fn send(&mut self, name: &str, node: usize, id: &str, text: &str) {
        self.send_request(name, node, request(id, text, None, false));
    }

    fn send_request(&mut self, name: &str, node: usize, request: CommandRequest) {
        let node_name = format!("node-{}", node + 1);
        let text = &request.text;
        self.transcript += &format!("{name} at {node_name}, {}> {text}\n", request.id);
        let answer = run_command(
            &request,
            &operator(name),
            &mut self.deployment.through_node(node),
        );
        self.transcript += &match answer {
            Ok(accepted) => format!("{accepted:?}\n"),
            Err(refusal) => rendered_refusal(&refusal, text),
        };
        self.transcript.push('\n');
    }
}

fn rendered_refusal(refusal: &Refusal, text: &str) -> String {
    match refusal {
        Refusal::InvalidText(findings) => findings.render(text, false),
        other => format!("{other:?}\n"),
    }
}

fn request(id: &str, text: &str, if_version: Option<u64>, wait: bool) -> CommandRequest {
    CommandRequest {
        text: text.to_owned(),
        id: id.to_owned(),
        if_version: if_version.map(ConfigurationVersion),
        wait,
    }
}

fn operator(name: &str) -> OperatorConfiguration {
    let (role, teams): (_, &[&str]) = match name {
        "ada" => (OperatorRole::Administer, &[]),
        "ben" => (OperatorRole::Administer, &[]),
        _ => (OperatorRole::Operate, &["media"]),
    };
    OperatorConfiguration {
        name: name.into(),
        role,
        teams: teams.iter().map(|team| (*team).into()).collect(),
        ..OperatorConfiguration::default()
    }
}

#[gtest]
fn a_normal_day() {
    let mut session = Session::new();
    session.query("ada", 0, "show owner of key \"V-1182\" in vacantes");
    session.query(
        "ada",
        0,
        "show servers of vacantes where load > 0.8 order by load desc limit 5",
    );
    let add = "create zone usme with region = bogota;\n\
        add server v-5 to vacantes in usme at \"10.0.0.5:8080\" with slots = 2, connections = 130";
    session.send_request("ada", 0, request("c-1", add, None, true));
    session.query("ada", 1, "show servers where zone = usme");
    session.query("ada", 1, "explain alter tier bronze set weight = 2");
    session.send_request(
        "ada",
        1,
        request("c-2", "alter tier bronze set weight = 2", Some(8), true),
    );
    session.query("ada", 2, "show tiers; show configuration");
    session.note("mia may operate, for team media only");
    session.send("mia", 0, "c-3", "drain server v-1");
    session.send("mia", 0, "c-4", "alter tier gold set weight = 1");
    insta::assert_snapshot!(session.transcript);
}

#[gtest]
fn a_drain() {
    let mut session = Session::new();
    session.query("ada", 0, "explain drain server v-2");
    session.send("ada", 0, "c-1", "remove server v-2");
    session.send("ada", 0, "c-2", "drain server v-2");
    session.query("ada", 1, "show servers where status = draining");
    session.send("ada", 0, "c-3", "retire server v-2");
    session.note("twice, since ada was not sure");
    session.send("ada", 1, "c-3", "retire server v-2");
    session.send("ada", 0, "c-4", "remove server v-2");
    session.query("ada", 0, "show servers where server = v-2");
    insta::assert_snapshot!(session.transcript);
}

#[gtest]
fn two_operators_race() {
    let mut session = Session::new();
    session.send("ada", 0, "a-1", "alter tier gold set weight = 9");
    session.note("node-2 has not heard of it; ben's change keeps ada's");
    session.send(
        "ben",
        1,
        "b-1",
        "alter tier gold set guaranteed_percent = 30",
    );
    session.query("ben", 1, "show tiers where tier = gold");
    session.note("ada relies on the version that she saw");
    let conditional = request("a-2", "alter tier gold set weight = 1", Some(8), false);
    session.send_request("ada", 0, conditional);
    session.note("both create the same");
    session.deployment.propagate();
    session.send("ada", 0, "a-3", "create zone usme");
    session.send("ben", 1, "b-2", "create zone usme");
    session.note("node-3 is cut off: the command is in force, but not there");
    session.deployment.isolated_node = Some(2);
    let waiting = request("a-4", "create zone bosa", None, true);
    session.send_request("ada", 0, waiting);
    insta::assert_snapshot!(session.transcript);
}

#[gtest]
fn an_answer_of_the_platform_is_lost() {
    let mut session = Session::new();
    let text = "create zone usme; alter tier gold set weight = 9";
    session.deployment.platform = Platform::LosesAnswer;
    session.send("ada", 0, "c-1", text);
    session.note("the platform is back; the same again, at another node, then at one that knows");
    session.deployment.platform = Platform::Up;
    session.send("ada", 1, "c-1", text);
    let once = session.deployment.configurations[1].clone();
    session.send("ada", 1, "c-1", text);
    session.query(
        "ada",
        1,
        "show zones where zone = usme; show tiers; show configuration",
    );
    expect_that!(session.deployment.configurations[1], eq(&once));
    insta::assert_snapshot!(session.transcript);
}

#[gtest]
fn the_platform_is_down() {
    let mut session = Session::new();
    session.deployment.platform = Platform::Down;
    session.send("ada", 0, "c-1", "alter tier gold set weight = 9");
    session.note("groups decide without it");
    session.send("ada", 0, "c-2", "drain server v-1; drain server v-2");
    session.query("ada", 2, "show servers where status = draining");
    session.query("ada", 2, "show owner of key \"V-1182\" in vacantes");
    insta::assert_snapshot!(session.transcript);
}

#[gtest]
fn a_statement_with_four_mistakes() {
    let mut session = Session::new();
    session.query(
        "ada",
        0,
        "show server of vacante where laod > 0.8 order by load limit few",
    );
    session.send(
        "ada",
        0,
        "c-1",
        "add server v-1 to vacantes in subba at \"10.0.0.9:8080\" with slotss = 2, connections = 1.5",
    );
    session.note("nothing was changed");
    session.query("ada", 0, "show configuration");
    insta::assert_snapshot!(session.transcript);
}

/// One of four commands, sent to a node with the given state of the platform.
fn attempt() -> impl Strategy<Value = (usize, usize, Platform)> {
    let platform = prop::sample::select(vec![Platform::Up, Platform::Down, Platform::LosesAnswer]);
    (0..4_usize, 0..3_usize, platform)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A command that is retried any number of times, with lost answers and an unreachable
    /// platform, takes effect once.
    #[test]
    fn a_repeated_command_takes_effect_once(attempts in prop::collection::vec(attempt(), 1..16)) {
        let mut deployment = TestDeployment::new();
        let before = deployment.configurations[0].clone();
        let send = |deployment: &mut TestDeployment, command: usize, node: usize| {
            let text = format!("create zone new-{command}");
            let request = request(&format!("c-{command}"), &text, None, false);
            run_command(&request, &operator("ada"), &mut deployment.through_node(node))
        };
        for (command, node, platform) in &attempts {
            deployment.platform = *platform;
            // The outcome is checked by the retry below.
            let _ = send(&mut deployment, *command, *node);
        }
        deployment.platform = Platform::Up;
        let commands: std::collections::BTreeSet<usize> = attempts.iter().map(|attempt| attempt.0).collect();
        for command in &commands {
            let accepted = send(&mut deployment, *command, 0);
            prop_assert!(accepted.is_ok(), "{accepted:?}");
        }
        let after = &deployment.configurations[0];
        let count = commands.len();
        prop_assert_eq!(after.zones.len(), before.zones.len() + count);
        prop_assert_eq!(after.version.0, before.version.0 + count as u64);
    }
}
