//! Whole sessions of operators, as golden files.

mod support;

use googletest::prelude::*;
use ledgelead_query::*;
use ledgelead_types::ConfigurationVersion;
use ledgelead_types::configuration::{OperatorConfiguration, OperatorRole};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::deployment::{Platform, Trial};

/// What operators did and were told.
struct Session {
    trial: Trial,
    written: String,
}

impl Session {
    fn new() -> Session {
        Session {
            trial: Trial::new(),
            written: String::new(),
        }
    }

    fn note(&mut self, line: &str) {
        self.written += &format!("# {line}\n");
    }

    fn ask(&mut self, name: &str, node: usize, text: &str) {
        self.written += &format!("{name} at node-{}> {text}\n", node + 1);
        let answer = run_query(text, &operator(name), &mut self.trial.through(node));
        self.written += &match answer {
            Ok(answer) => answer.tables.iter().map(Table::to_string).collect(),
            Err(refusal) => told(&refusal, text),
        };
        self.written.push('\n');
    }

    fn give(&mut self, name: &str, node: usize, id: &str, text: &str) {
        self.give_as(name, node, request(id, text, None, false));
    }

    fn give_as(&mut self, name: &str, node: usize, request: CommandRequest) {
        let node_name = format!("node-{}", node + 1);
        let text = &request.text;
        self.written += &format!("{name} at {node_name}, {}> {text}\n", request.id);
        let answer = run_command(&request, &operator(name), &mut self.trial.through(node));
        self.written += &match answer {
            Ok(accepted) => format!("{accepted:?}\n"),
            Err(refusal) => told(&refusal, text),
        };
        self.written.push('\n');
    }
}

fn told(refusal: &Refusal, text: &str) -> String {
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
    session.ask("ada", 0, "show owner of key \"V-1182\" in vacantes");
    session.ask(
        "ada",
        0,
        "show servers of vacantes where load > 0.8 order by load desc limit 5",
    );
    let add = "create zone usme with region = bogota;\n\
        add server v-5 to vacantes in usme at \"10.0.0.5:8080\" with slots = 2, connections = 130";
    session.give_as("ada", 0, request("c-1", add, None, true));
    session.ask("ada", 1, "show servers where zone = usme");
    session.ask("ada", 1, "explain alter tier bronze set weight = 2");
    session.give_as(
        "ada",
        1,
        request("c-2", "alter tier bronze set weight = 2", Some(8), true),
    );
    session.ask("ada", 2, "show tiers; show configuration");
    session.note("mia may operate, for team media only");
    session.give("mia", 0, "c-3", "drain server v-1");
    session.give("mia", 0, "c-4", "alter tier gold set weight = 1");
    insta::assert_snapshot!(session.written);
}

#[gtest]
fn a_drain() {
    let mut session = Session::new();
    session.ask("ada", 0, "explain drain server v-2");
    session.give("ada", 0, "c-1", "remove server v-2");
    session.give("ada", 0, "c-2", "drain server v-2");
    session.ask("ada", 1, "show servers where status = draining");
    session.give("ada", 0, "c-3", "retire server v-2");
    session.note("twice, since ada was not sure");
    session.give("ada", 1, "c-3", "retire server v-2");
    session.give("ada", 0, "c-4", "remove server v-2");
    session.ask("ada", 0, "show servers where server = v-2");
    insta::assert_snapshot!(session.written);
}

#[gtest]
fn two_operators_race() {
    let mut session = Session::new();
    session.give("ada", 0, "a-1", "alter tier gold set weight = 9");
    session.note("node-2 has not heard of it; ben's change keeps ada's");
    session.give(
        "ben",
        1,
        "b-1",
        "alter tier gold set guaranteed_percent = 30",
    );
    session.ask("ben", 1, "show tiers where tier = gold");
    session.note("ada relies on the version that she saw");
    let relied = request("a-2", "alter tier gold set weight = 1", Some(8), false);
    session.give_as("ada", 0, relied);
    session.note("both create the same");
    session.trial.spread();
    session.give("ada", 0, "a-3", "create zone usme");
    session.give("ben", 1, "b-2", "create zone usme");
    session.note("node-3 is cut off: the command is in force, but not there");
    session.trial.deaf = Some(2);
    let waited = request("a-4", "create zone bosa", None, true);
    session.give_as("ada", 0, waited);
    insta::assert_snapshot!(session.written);
}

#[gtest]
fn an_answer_of_the_platform_is_lost() {
    let mut session = Session::new();
    let text = "create zone usme; alter tier gold set weight = 9";
    session.trial.platform = Platform::LosesAnswer;
    session.give("ada", 0, "c-1", text);
    session.note("the platform is back; the same again, at another node, then at one that knows");
    session.trial.platform = Platform::Up;
    session.give("ada", 1, "c-1", text);
    let once = session.trial.held[1].clone();
    session.give("ada", 1, "c-1", text);
    session.ask(
        "ada",
        1,
        "show zones where zone = usme; show tiers; show configuration",
    );
    expect_that!(session.trial.held[1], eq(&once));
    insta::assert_snapshot!(session.written);
}

#[gtest]
fn the_platform_is_down() {
    let mut session = Session::new();
    session.trial.platform = Platform::Down;
    session.give("ada", 0, "c-1", "alter tier gold set weight = 9");
    session.note("groups decide without it");
    session.give("ada", 0, "c-2", "drain server v-1; drain server v-2");
    session.ask("ada", 2, "show servers where status = draining");
    session.ask("ada", 2, "show owner of key \"V-1182\" in vacantes");
    insta::assert_snapshot!(session.written);
}

#[gtest]
fn a_statement_with_four_mistakes() {
    let mut session = Session::new();
    session.ask(
        "ada",
        0,
        "show server of vacante where laod > 0.8 order by load limit few",
    );
    session.give(
        "ada",
        0,
        "c-1",
        "add server v-1 to vacantes in subba at \"10.0.0.9:8080\" with slotss = 2, connections = 1.5",
    );
    session.note("nothing was changed");
    session.ask("ada", 0, "show configuration");
    insta::assert_snapshot!(session.written);
}

/// One of four commands, given to a node while the platform does something.
fn asked() -> impl Strategy<Value = (usize, usize, Platform)> {
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

    /// Whatever is lost and however often a command is given again: in the
    /// end it is in force once.
    #[test]
    fn a_repeated_command_takes_effect_once(asked in prop::collection::vec(asked(), 1..16)) {
        let mut trial = Trial::new();
        let before = trial.held[0].clone();
        let give = |trial: &mut Trial, command: usize, node: usize| {
            let text = format!("create zone new-{command}");
            let request = request(&format!("c-{command}"), &text, None, false);
            run_command(&request, &operator("ada"), &mut trial.through(node))
        };
        for (command, node, platform) in &asked {
            trial.platform = *platform;
            // Whether it succeeds is told when it is given again.
            let _ = give(&mut trial, *command, *node);
        }
        trial.platform = Platform::Up;
        let commands: std::collections::BTreeSet<usize> = asked.iter().map(|asked| asked.0).collect();
        for command in &commands {
            let accepted = give(&mut trial, *command, 0);
            prop_assert!(accepted.is_ok(), "{accepted:?}");
        }
        let after = &trial.held[0];
        let count = commands.len();
        prop_assert_eq!(after.zones.len(), before.zones.len() + count);
        prop_assert_eq!(after.version.0, before.version.0 + count as u64);
    }
}
