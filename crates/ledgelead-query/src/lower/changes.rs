//! Lowers commands that change the configuration.

use super::settings::SettingsReader;
use super::{LocatedChange, Lowering};
use crate::evaluate::deployment::ServerSummary;
use crate::finding::Finding;
use crate::located::{Located, TextRange};
use crate::names::{find, find_server, find_service, find_tier, find_zone};
use crate::tree::*;
use ledgelead_types::administration::ConfigurationChange as Change;
use ledgelead_types::configuration::*;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::{CallerId, List, ServerId, ServiceId, Text, TierId, ZoneId};

/// Default weight of a tier.
const DEFAULT_WEIGHT: u32 = 1;
/// Default deadline of a service, the same as in the stored form.
const DEFAULT_DEADLINE_MS: u32 = 2_000;
/// Default number of replicas of a service's groups.
const DEFAULT_REPLICAS: u8 = 3;
/// Default number of slices per server.
const DEFAULT_SLICES_PER_SERVER: u16 = 8;

impl Lowering<'_> {
    /// Lowers a command and applies its effect for the commands that follow. The effect is
    /// applied even if the command has errors, so that one error is not reported again at each
    /// later reference.
    pub(super) fn change(&mut self, command: &Command, statement: &TextRange) {
        let (change, name, settings) = match command {
            Command::Create(definition) => (
                self.create(definition),
                &definition.name,
                &*definition.settings,
            ),
            Command::Alter(definition) => (
                self.alter(definition),
                &definition.name,
                &*definition.settings,
            ),
            Command::Remove { kind, name } => (self.remove(*kind, name), name, &[][..]),
            Command::AddServer(server) => {
                (self.add_server(server), &server.name, &*server.settings)
            }
            _ => return,
        };
        let Some(change) = change else {
            return;
        };
        apply_unchecked(&mut self.working, &change);
        let mut setting_ranges: Vec<(String, TextRange)> = settings
            .iter()
            .map(|setting| (setting.field.value.clone(), setting.value.range.clone()))
            .collect();
        if let Command::AddServer(server) = command {
            setting_ranges.push(("address".to_owned(), server.address.range.clone()));
        }
        self.changes.push(LocatedChange {
            change,
            statement: statement.clone(),
            name: name.range.clone(),
            settings: setting_ranges,
        });
    }

    fn reader(&mut self) -> SettingsReader<'_> {
        SettingsReader {
            configuration: &self.working,
            is_complete: self.is_complete,
            findings: &mut self.findings,
        }
    }

    /// Reports a name that is already in use.
    fn check_name_free(&mut self, kind: Kind, name: &Located<String>) {
        let working = &self.working;
        let is_taken = match kind {
            Kind::Zone => working.zones.iter().any(|zone| *zone.name == name.value),
            Kind::Service => working.service_named(&name.value).is_some(),
            Kind::Tier => working.tiers.iter().any(|tier| *tier.name == name.value),
            Kind::Caller => working
                .callers
                .iter()
                .any(|caller| *caller.name == name.value),
            Kind::Operator => working
                .operators
                .iter()
                .any(|operator| *operator.name == name.value),
            Kind::Server => working
                .servers
                .iter()
                .any(|server| *server.name == name.value),
        };
        if is_taken {
            let message = format!("there is a {} `{}` already", kind.name(), name.value);
            self.findings.add(Finding::new(name.range.clone(), message));
        }
    }

    fn create(&mut self, definition: &Definition) -> Option<Change> {
        let name = Text::from(definition.name.value.as_str());
        let settings = &definition.settings;
        self.check_name_free(definition.kind, &definition.name);
        Some(match definition.kind {
            Kind::Zone => {
                let id = ZoneId(next_identifier(
                    self.working.zones.iter().map(|zone| zone.id.0),
                ));
                let mut zone = ZoneConfiguration {
                    id,
                    name,
                    ..ZoneConfiguration::default()
                };
                self.reader().zone(settings, &mut zone);
                Change::CreateZone(zone)
            }
            Kind::Service => {
                let mut service = self.new_service(name);
                self.reader().service(settings, &mut service);
                Change::CreateService(service)
            }
            Kind::Tier => {
                let id = TierId(next_identifier(
                    self.working.tiers.iter().map(|tier| tier.id.0),
                ));
                let weight = DEFAULT_WEIGHT;
                let mut tier = TierConfiguration {
                    id,
                    name,
                    weight,
                    guaranteed_percent: 0,
                };
                self.reader().tier(settings, &mut tier);
                Change::CreateTier(tier)
            }
            Kind::Caller => {
                let id = CallerId(next_identifier(
                    self.working.callers.iter().map(|caller| caller.id.0),
                ));
                let mut caller = CallerConfiguration {
                    id,
                    name,
                    ..CallerConfiguration::default()
                };
                let mut reader = self.reader();
                reader.require(settings, &definition.name, "tier");
                reader.require(settings, &definition.name, "credential_sha256");
                reader.caller(settings, &mut caller);
                Change::PutCaller(caller)
            }
            Kind::Operator => {
                let mut operator = OperatorConfiguration {
                    name,
                    ..OperatorConfiguration::default()
                };
                let mut reader = self.reader();
                reader.require(settings, &definition.name, "credential_sha256");
                reader.operator(settings, &mut operator);
                Change::PutOperator(operator)
            }
            // The grammar has `add server` instead of `create server`.
            Kind::Server => return None,
        })
    }

    fn new_service(&self, name: Text) -> ServiceConfiguration {
        let present = self.working.services.iter().map(|service| service.id);
        let highest = present.fold(self.working.highest_service, ServiceId::max);
        ServiceConfiguration {
            id: ServiceId(highest.0.saturating_add(1)),
            name,
            groups: 1,
            replicas: DEFAULT_REPLICAS,
            slices_per_server: DEFAULT_SLICES_PER_SERVER,
            default_deadline_ms: DEFAULT_DEADLINE_MS,
            ..ServiceConfiguration::default()
        }
    }

    fn alter(&mut self, definition: &Definition) -> Option<Change> {
        let (name, settings) = (&definition.name, &definition.settings);
        let findings = &mut self.findings;
        Some(match definition.kind {
            Kind::Service => {
                let mut service = find_service(&self.working, name, findings)?.clone();
                self.reader().service(settings, &mut service);
                Change::AlterService(service)
            }
            Kind::Tier => {
                let mut tier = find_tier(&self.working, name, findings)?.clone();
                self.reader().tier(settings, &mut tier);
                Change::AlterTier(tier)
            }
            Kind::Caller => {
                let mut caller = find_caller(&self.working, name, findings)?.clone();
                self.reader().caller(settings, &mut caller);
                Change::PutCaller(caller)
            }
            Kind::Operator => {
                let mut operator = find_operator(&self.working, name, findings)?.clone();
                self.reader().operator(settings, &mut operator);
                Change::PutOperator(operator)
            }
            // The grammar has neither `alter zone` nor `alter server`.
            Kind::Zone | Kind::Server => return None,
        })
    }

    fn remove(&mut self, kind: Kind, name: &Located<String>) -> Option<Change> {
        let (working, findings) = (&self.working, &mut self.findings);
        Some(match kind {
            Kind::Zone => Change::RemoveZone(find_zone(working, name, findings)?.id),
            Kind::Service => Change::RemoveService(find_service(working, name, findings)?.id),
            Kind::Tier => Change::RemoveTier(find_tier(working, name, findings)?.id),
            Kind::Caller => Change::RemoveCaller(find_caller(working, name, findings)?.id),
            Kind::Operator => {
                Change::RemoveOperator(find_operator(working, name, findings)?.name.clone())
            }
            Kind::Server => {
                let server = find_server(working, name, findings)?;
                let id = server.id;
                let summary = ServerSummary::of(self.view, server);
                let status = summary.route.map(|route| route.status);
                if status.is_some_and(|status| status != ServerStatus::Retired) {
                    let message = format!("server `{}` is not retired", name.value);
                    let help = format!(
                        "first: drain server {0}; then: retire server {0}",
                        name.value
                    );
                    findings.add(Finding::new(name.range.clone(), message).with_help(help));
                }
                Change::RemoveServer(id)
            }
        })
    }

    fn add_server(&mut self, added: &AddServer) -> Option<Change> {
        self.check_name_free(Kind::Server, &added.name);
        let findings = &mut self.findings;
        let service = find_service(&self.working, &added.service, findings).map(|found| found.id);
        let zone = find_zone(&self.working, &added.zone, findings).map(|zone| zone.id);
        let mut server = ServerConfiguration {
            id: self.next_server(),
            name: added.name.value.as_str().into(),
            service: service.unwrap_or_default(),
            zone: zone.unwrap_or_default(),
            address: added.address.value.as_str().into(),
            ..ServerConfiguration::default()
        };
        let mut reader = self.reader();
        reader.require(&added.settings, &added.name, "slots");
        reader.require(&added.settings, &added.name, "connections");
        reader.server(&added.settings, &mut server);
        Some(Change::AddServer(server))
    }

    /// An identifier above all known ones, including those in routes: a group keeps a removed
    /// server's status for a while.
    fn next_server(&self) -> ServerId {
        let configured = self.working.servers.iter().map(|server| server.id);
        let removed = self
            .view
            .configuration
            .servers
            .iter()
            .map(|server| server.id);
        let routed = self
            .view
            .groups
            .iter()
            .flat_map(|group| group.routes.servers.iter())
            .map(|route| route.server);
        let highest = configured.chain(removed).chain(routed).max();
        ServerId(highest.unwrap_or_default().0.saturating_add(1))
    }
}

fn find_caller<'a>(
    configuration: &'a Configuration,
    name: &Located<String>,
    findings: &mut crate::Findings,
) -> Option<&'a CallerConfiguration> {
    find(
        &configuration.callers,
        |caller| &caller.name,
        "caller",
        name,
        findings,
    )
}

fn find_operator<'a>(
    configuration: &'a Configuration,
    name: &Located<String>,
    findings: &mut crate::Findings,
) -> Option<&'a OperatorConfiguration> {
    find(
        &configuration.operators,
        |operator| &operator.name,
        "operator",
        name,
        findings,
    )
}

/// The identifier after the highest one in use, starting at 1. When the type has no higher
/// value, 0, which is either still unused or reported as a duplicate by the checks.
fn next_identifier<T>(used: impl Iterator<Item = T>) -> T
where
    T: Ord + Default + Copy + TryFrom<u64> + Into<u64>,
{
    let highest: u64 = used.max().map_or(0, Into::into);
    T::try_from(highest + 1).unwrap_or_default()
}

/// Applies a change without checking it.
fn apply_unchecked(configuration: &mut Configuration, change: &Change) {
    match change.clone() {
        Change::CreateZone(zone) => configuration.zones.push(zone),
        Change::RemoveZone(id) => configuration.zones.retain(|zone| zone.id != id),
        Change::CreateService(service) => configuration.services.push(service),
        Change::AlterService(service) => {
            put(&mut configuration.services, service, |service| service.id);
        }
        Change::RemoveService(id) => {
            // Its identifier must not be assigned again.
            configuration.highest_service = configuration.highest_service.max(id);
            configuration.services.retain(|service| service.id != id);
        }
        Change::AddServer(server) => configuration.servers.push(server),
        Change::RemoveServer(id) => configuration.servers.retain(|server| server.id != id),
        Change::CreateTier(tier) => configuration.tiers.push(tier),
        Change::AlterTier(tier) => put(&mut configuration.tiers, tier, |tier| tier.id),
        Change::RemoveTier(id) => configuration.tiers.retain(|tier| tier.id != id),
        Change::PutCaller(caller) => put(&mut configuration.callers, caller, |caller| caller.id),
        Change::RemoveCaller(id) => configuration.callers.retain(|caller| caller.id != id),
        Change::PutOperator(operator) => {
            put(&mut configuration.operators, operator, |operator| {
                operator.name.clone()
            });
        }
        Change::RemoveOperator(name) => {
            configuration
                .operators
                .retain(|operator| operator.name != name);
        }
    }
}

fn put<T, K: PartialEq>(list: &mut List<T>, item: T, key: impl Fn(&T) -> K) {
    match list.iter_mut().find(|held| key(held) == key(&item)) {
        Some(held) => *held = item,
        None => list.push(item),
    }
}
