//! Competing commands, lost answers and the selection of readers.

mod common;

use common::*;
use googletest::prelude::*;
use ledgelead_configuration::*;
use ledgelead_types::administration::*;
use ledgelead_types::configuration::Configuration;
use ledgelead_types::platform::*;
use ledgelead_types::{ConfigurationVersion, List, NodeId, Span, Text, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeSet, VecDeque};

fn manager(node: u32) -> ConfigurationManager {
    let settings = ConfigurationManagerSettings {
        node: NodeId(node),
        random_seed: u64::from(node),
    };
    let mut manager = ConfigurationManager::new(settings, Time(0));
    manager.step(Time(0), ConfigurationManagerInput::LiveNodes(live(20)));
    manager
}

fn store() -> Platform {
    let mut platform = Platform::default();
    let object = (ObjectVersion(1), encode_configuration(&configuration()));
    platform.objects.insert(CONFIGURATION_OBJECT.into(), object);
    platform
}

fn stored(platform: &Platform) -> Configuration {
    let (version, value) = &platform.objects[&Text::from(CONFIGURATION_OBJECT)];
    decode_configuration(value, *version).expect("only valid configurations are written")
}

fn command(id: &str, change: ConfigurationChange) -> AdministrationCommand {
    AdministrationCommand {
        id: id.into(),
        operator: "ops".into(),
        if_version: None,
        action: AdministrationAction::Configure(List(vec![change])),
    }
}

/// Executes a command, with an outcome for each call.
fn execute(
    platform: &mut Platform,
    command: AdministrationCommand,
    outcomes: &[CallOutcome],
) -> CommandResult {
    let mut run = CommandRun::begin(manager(1), command);
    let mut outcomes = outcomes.iter().copied();
    while run.result.is_none() {
        run.advance(platform, outcomes.next().unwrap_or_default());
    }
    run.result.expect("the command has ended")
}

/// A command in progress, one call at a time.
struct CommandRun {
    manager: ConfigurationManager,
    open: VecDeque<(u64, PlatformCall)>,
    result: Option<CommandResult>,
}

impl CommandRun {
    fn begin(manager: ConfigurationManager, command: AdministrationCommand) -> CommandRun {
        let mut run = CommandRun {
            manager,
            open: VecDeque::new(),
            result: None,
        };
        run.manager.step(
            Time(1),
            ConfigurationManagerInput::Command { ticket: 7, command },
        );
        run.collect();
        run
    }

    fn advance(&mut self, platform: &mut Platform, outcome: CallOutcome) {
        let (call, request) = self.open.pop_front().expect("a call is open");
        let reply = platform.answer(&request, outcome);
        let input = ConfigurationManagerInput::PlatformReplied { call, reply };
        self.manager.step(Time(2), input);
        self.collect();
    }

    fn collect(&mut self) {
        for output in self.manager.take_outputs() {
            match output {
                ConfigurationManagerOutput::CallPlatform { call, request } => {
                    self.open.push_back((call, request))
                }
                ConfigurationManagerOutput::CommandFinished { result, .. } => {
                    self.result = Some(result)
                }
                _ => {}
            }
        }
    }
}

#[gtest]
fn of_two_racing_commands_one_is_rejected_with_the_present_version() {
    let mut platform = store();
    let conditional = |id: &str, zone_id: u16| AdministrationCommand {
        if_version: Some(ConfigurationVersion(1)),
        ..command(id, ConfigurationChange::CreateZone(zone(zone_id)))
    };
    let mut first = CommandRun::begin(manager(1), conditional("a", 8));
    let mut second = CommandRun::begin(manager(2), conditional("b", 9));
    for _ in 0..2 {
        first.advance(&mut platform, CallOutcome::Answered);
        second.advance(&mut platform, CallOutcome::Answered);
    }
    second.advance(&mut platform, CallOutcome::Answered);
    let accepted = CommandResult::Configured {
        version: ConfigurationVersion(2),
        repeated: false,
    };
    let present = ConfigurationVersion(2);
    let refused = CommandResult::Rejected(CommandRejection::VersionMismatch { present });
    expect_that!(first.result, some(eq(&accepted)));
    expect_that!(second.result, some(eq(&refused)));
    expect_that!(stored(&platform).zones.len(), eq(4));
}

#[gtest]
fn repeated_command_takes_effect_once() {
    let mut platform = store();
    let create_zone = command("a", ConfigurationChange::CreateZone(zone(8)));
    execute(&mut platform, create_zone.clone(), &[]);
    let result = execute(&mut platform, create_zone, &[]);
    let repeated = CommandResult::Configured {
        version: ConfigurationVersion(2),
        repeated: true,
    };
    expect_that!(result, eq(&repeated));
}

#[gtest]
fn platform_outage_is_reported_at_once() {
    let create_zone = command("a", ConfigurationChange::CreateZone(zone(8)));
    let result = execute(&mut store(), create_zone, &[CallOutcome::Unavailable]);
    let rejection = CommandRejection::PlatformUnavailable;
    expect_that!(result, eq(&CommandResult::Rejected(rejection)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two commands run with interleaved calls and random failures. Each result matches the
    /// store, and each command takes effect at most once.
    #[test]
    fn reported_results_match_the_store(
        schedule in prop::collection::vec((any::<bool>(), any_outcome()), 0..24),
    ) {
        let mut platform = store();
        let create_zone = |id: &str, zone_id| command(id, ConfigurationChange::CreateZone(zone(zone_id)));
        let mut runs = [
            CommandRun::begin(manager(1), create_zone("a", 8)),
            CommandRun::begin(manager(2), create_zone("b", 9)),
        ];
        for (second, outcome) in schedule {
            let run = &mut runs[usize::from(second)];
            if run.result.is_none() {
                run.advance(&mut platform, outcome);
            }
        }
        for run in &mut runs {
            while run.result.is_none() {
                run.advance(&mut platform, CallOutcome::Answered);
            }
        }
        let stored = stored(&platform);
        for (run, id) in runs.iter().zip(["a", "b"]) {
            let effects = stored.applied_commands.iter().filter(|applied| &*applied.id == id).count();
            match run.result.as_ref().expect("the command has ended") {
                CommandResult::Configured { version, .. } => {
                    prop_assert_eq!(effects, 1);
                    prop_assert_eq!(stored.version_of_command(id), Some(*version));
                }
                CommandResult::Rejected(_) => prop_assert_eq!(effects, 0),
                _ => prop_assert!(effects <= 1),
            }
        }
    }
}

#[gtest]
fn one_reader_a_zone_watches_and_publishes_what_is_newer() {
    let readers: Vec<u32> = (1..=20)
        .filter(|node| is_reader(NodeId(*node), &live(20)))
        .collect();
    let zones: BTreeSet<_> = readers.iter().map(|node| live_node(*node).zone).collect();
    expect_that!((readers.len(), zones.len()), eq((3, 3)));
    let mut platform = store();
    let mut reader = manager(readers[0]);
    let mut published = Vec::new();
    let mut now = Time(0);
    for _ in 0..40 {
        now = now.max(reader.next_wakeup());
        reader.tick(now);
        for output in reader.take_outputs() {
            match output {
                ConfigurationManagerOutput::CallPlatform { call, request } => {
                    let reply = platform.answer(&request, CallOutcome::Answered);
                    reader.step(
                        now,
                        ConfigurationManagerInput::PlatformReplied { call, reply },
                    );
                }
                ConfigurationManagerOutput::Publish(configuration) => {
                    published.push(configuration.version)
                }
                _ => {}
            }
        }
        if published.len() == 1 && stored(&platform).version.0 == 1 {
            let create_zone = command("a", ConfigurationChange::CreateZone(zone(8)));
            execute(&mut platform, create_zone, &[]);
        }
    }
    let versions = vec![ConfigurationVersion(1), ConfigurationVersion(2)];
    expect_that!(published, eq(&versions));
    let other = (1..=20).find(|node| !readers.contains(node));
    let mut other = manager(other.expect("seventeen nodes don't read"));
    other.tick(Time(0) + Span::from_seconds(4));
    expect_that!(other.take_outputs().len(), eq(0));
}

#[gtest]
fn invalid_object_is_rejected_and_the_current_one_stays() {
    let mut platform = store();
    let bad = (ObjectVersion(9), ledgelead_types::Bytes(b"{}x".to_vec()));
    platform
        .objects
        .insert(Text::from(CONFIGURATION_OBJECT), bad);
    let reader = (1..=20).find(|node| is_reader(NodeId(*node), &live(20)));
    let mut reader = manager(reader.expect("there are three readers"));
    reader.tick(Time(0) + Span::from_seconds(1));
    let mut refused = 0;
    for output in reader.take_outputs() {
        if let ConfigurationManagerOutput::CallPlatform { call, request } = output {
            let reply = platform.answer(&request, CallOutcome::Answered);
            reader.step(
                Time(2_000_000),
                ConfigurationManagerInput::PlatformReplied { call, reply },
            );
        }
    }
    for output in reader.take_outputs() {
        expect_that!(
            matches!(output, ConfigurationManagerOutput::Publish(_)),
            eq(false)
        );
        refused += usize::from(matches!(
            output,
            ConfigurationManagerOutput::InvalidObject { .. }
        ));
    }
    expect_that!(refused, eq(1));
}
