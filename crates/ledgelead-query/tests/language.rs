//! Properties of the language and the display of errors.

mod support;

use googletest::prelude::*;
use ledgelead_query::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Words and symbols of the language in random order, to cover much of the parser.
fn random_words() -> impl Strategy<Value = String> {
    let words = "show explain create alter remove add drain activate retire move split isolate \
        services servers server slices owner of where load and or order by desc limit with set to \
        in at key zone tier weight vacantes v-1 gold = != <= , ; \"K\" \"10.0.0.9:1\" 2 0.8 -1 none \
        true \" # \\ é 5x \n serverz wher";
    let words: Vec<&str> = words.split(' ').filter(|word| !word.is_empty()).collect();
    prop::collection::vec(prop::sample::select(words), 0..24).prop_map(|words| words.join(" "))
}

fn name() -> impl Strategy<Value = Located<String>> {
    let name = prop_oneof!["[a-z][a-z0-9_.-]{0,6}", Just("where".to_owned()), ".{0,6}"];
    name.prop_map(|name| Located::new(name, 0..0))
}

fn value() -> impl Strategy<Value = Located<Value>> {
    let number = prop_oneof![any::<i32>().prop_map(f64::from), -1e9..1e9_f64];
    let value = prop_oneof![
        number.prop_map(Value::Number),
        name().prop_map(|name| Value::Text(name.value)),
    ];
    value.prop_map(|value| Located::new(value, 0..0))
}

fn key() -> impl Strategy<Value = KeyInService> {
    (name(), name()).prop_map(|(key, service)| KeyInService { key, service })
}

fn condition() -> impl Strategy<Value = Condition> {
    let comparison = prop::sample::select(Comparison::ALL.to_vec());
    (name(), comparison, value()).prop_map(|(field, comparison, value)| Condition {
        field,
        comparison,
        value,
    })
}

fn show() -> impl Strategy<Value = Statement> {
    let subject = prop::sample::select(Subject::ALL.to_vec());
    let filter = prop::collection::vec(prop::collection::vec(condition(), 1..3), 0..3);
    let order = (name(), any::<bool>()).prop_map(|(field, descending)| Order { field, descending });
    let parts = (
        subject,
        prop::option::of(name()),
        filter,
        prop::option::of(order),
        prop::option::of(any::<u32>()),
    );
    parts.prop_map(|(subject, service, filter, order, limit)| {
        Statement::Show(Show {
            subject: Located::new(subject, 0..0),
            service,
            filter,
            order,
            limit,
        })
    })
}

fn command() -> impl Strategy<Value = Command> {
    let setting_list = |min| {
        let setting = (name(), value()).prop_map(|(field, value)| Setting { field, value });
        prop::collection::vec(setting, min..3)
    };
    let kinds = |from: usize| prop::sample::select(Kind::ALL[from..5].to_vec());
    let definition = |from, min| {
        (kinds(from), name(), setting_list(min)).prop_map(|(kind, name, settings)| Definition {
            kind,
            name,
            settings,
        })
    };
    let server = (name(), name(), name(), name(), setting_list(0)).prop_map(
        |(name, service, zone, address, settings)| AddServer {
            name,
            service,
            zone,
            address,
            settings,
        },
    );
    let operation = prop::sample::select(ServerOperation::ALL.to_vec());
    prop_oneof![
        definition(0, 0).prop_map(Command::Create),
        definition(1, 1).prop_map(Command::Alter),
        (prop::sample::select(Kind::ALL.to_vec()), name())
            .prop_map(|(kind, name)| Command::Remove { kind, name }),
        server.prop_map(Command::AddServer),
        (operation, name())
            .prop_map(|(operation, server)| Command::OperateServer { operation, server }),
        (key(), name()).prop_map(|(key, server)| Command::Move { key, server }),
        key().prop_map(Command::Split),
        key().prop_map(Command::Isolate),
    ]
}

fn statement() -> impl Strategy<Value = Statement> {
    prop_oneof![
        show(),
        key().prop_map(Statement::Owner),
        command().prop_map(Statement::Command),
        command().prop_map(Statement::Explain),
    ]
}

/// Runs a text as queries and as commands, and formats the errors.
fn answer_and_plan(text: &str) {
    let view = support::view();
    let results = [answer(text, &view).err(), plan(text, &view).err()];
    for findings in results.into_iter().flatten() {
        assert!(!findings.render(text, false).is_empty());
    }
}

proptest! {
    #![proptest_config(settings(2_000))]

    #[test]
    fn arbitrary_text_never_causes_a_panic(text in any::<String>()) {
        answer_and_plan(&text);
    }

    #[test]
    fn random_words_never_cause_a_panic(text in random_words()) {
        answer_and_plan(&text);
    }

    #[test]
    fn a_printed_statement_reads_back_as_the_same_tree(statements in prop::collection::vec(statement(), 1..3)) {
        let printed: Vec<String> = statements.iter().map(Statement::to_string).collect();
        let parsed = parse(&printed.join(";\n"));
        prop_assert_eq!(&parsed.findings, &Findings::default(), "{}", printed.join(";"));
        let read: Vec<Statement> = parsed.statements.into_iter().map(|read| read.value).collect();
        prop_assert_eq!(read, statements);
    }
}

/// All errors in a text, as displayed to an operator.
fn rendered_findings(text: &str) -> String {
    let view = support::view();
    let findings = match parse(text).statements.first().map(|first| &first.value) {
        Some(Statement::Command(_)) => plan(text, &view).err(),
        _ => answer(text, &view).err(),
    };
    findings.unwrap_or_default().render(text, false)
}

#[gtest]
fn all_errors_of_a_text_are_reported_together() {
    insta::assert_snapshot!(
        "four_mistakes_in_a_query",
        rendered_findings("show serverz of vacante where lod > high order by load limit 2.5")
    );
    insta::assert_snapshot!(
        "mistakes_in_commands",
        rendered_findings(
            "alter teir gold set wieght = 0;\n\
             add server v-1 to vacantes in suva at \"here\" with slots = 0, connections = many;\n\
             drain server v-9; create operator ada with role = admin"
        )
    );
    insta::assert_snapshot!(
        "mistakes_of_the_effect",
        rendered_findings(
            "alter tier gold set weight = 0, guaranteed_percent = 99;\n\
             add server v-5 to vacantes in suba at \"10.0.0.1:8080\" with slots = 0, connections = 1;\n\
             remove zone chapinero; remove server v-2"
        )
    );
    let digest = "0".repeat(64);
    let first =
        format!("create operator ada with credential_sha256 = \"{digest}\", role = operate");
    insta::assert_snapshot!("nobody_left_to_administer", rendered_findings(&first));
}

#[gtest]
fn findings_of_a_malformed_text_are_bounded() {
    let view = support::view();
    for text in [
        "@".repeat(100_000),
        "show nodes;".repeat(10_000),
        "x".repeat(100_000),
    ] {
        let findings = answer(&text, &view).expect_err("the text has errors");
        expect_that!(findings.0.len(), le(33));
        expect_that!(plan(&text, &view).is_err(), eq(true));
    }
}

#[gtest]
fn a_repeated_command_is_in_force_once() {
    let mut view = support::view();
    let text = "create zone usme with region = bogota; alter tier gold set weight = 9";
    let Ok(Plan::Configure(changes)) = plan(text, &view) else {
        panic!("a transaction");
    };
    support::configure(&mut view, &changes, "command-1");
    let once = view.configuration.clone();
    expect_that!(once.version_of_command("command-1"), some(anything()));
    expect_that!(plan(text, &view).is_err(), eq(true));
    let again = plan("alter tier gold set weight = 9", &view);
    let Ok(Plan::Configure(changes)) = again else {
        panic!("a transaction");
    };
    support::configure(&mut view, &changes, "command-2");
    expect_that!(view.configuration.tiers, eq(&once.tiers));
}

#[gtest]
fn every_example_of_the_reference_is_a_statement() {
    let reference = include_str!("../../../docs/language.md");
    let examples: Vec<&str> = reference
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .collect();
    expect_that!(examples.len(), ge(20));
    for example in examples {
        let parsed = parse(example);
        expect_that!(parsed.findings, eq(&Findings::default()), "{example}");
        expect_that!(parsed.statements.len(), eq(1), "{example}");
    }
}
