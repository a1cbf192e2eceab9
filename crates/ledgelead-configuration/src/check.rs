//! Validates a whole configuration and reports all errors.

use crate::finding::{Field, Finding, Location, Problem};
use ledgelead_types::Text;
use ledgelead_types::configuration::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of groups of one service.
const MAX_GROUPS: u16 = 256;
/// Number of hexadecimal digits of a SHA-256 digest.
const SHA256_DIGITS: usize = 64;

/// Returns all errors in a configuration.
pub fn check(configuration: &Configuration) -> Vec<Finding> {
    let mut findings = Findings::default();
    findings.check_zones(configuration);
    findings.check_services(configuration);
    findings.check_servers(configuration);
    findings.check_tiers(configuration);
    findings.check_callers(configuration);
    findings.check_operators(configuration);
    findings.list
}

#[derive(Default)]
struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    fn add(&mut self, location: &Location, problem: Problem) {
        let location = location.clone();
        self.list.push(Finding { location, problem });
    }

    fn require(&mut self, holds: bool, location: &Location, field: Field, allowed: &'static str) {
        if !holds {
            self.add(location, Problem::OutOfRange(field, allowed));
        }
    }

    /// Reports a value that occurs twice.
    fn unique<T: Ord>(
        &mut self,
        seen: &mut BTreeSet<T>,
        value: T,
        location: &Location,
        field: Field,
    ) {
        if !seen.insert(value) {
            self.add(location, Problem::Duplicate(field));
        }
    }

    fn unique_identifier<T: Ord>(&mut self, seen: &mut BTreeSet<T>, value: T, location: &Location) {
        if !seen.insert(value) {
            self.add(location, Problem::DuplicateIdentifier);
        }
    }

    fn check_name<'a>(
        &mut self,
        names: &mut BTreeSet<&'a str>,
        name: &'a Text,
        location: &Location,
    ) {
        self.require(!name.is_empty(), location, Field::Name, "not empty");
        self.unique(names, &**name, location, Field::Name);
    }

    fn check_credential<'a>(
        &mut self,
        seen: &mut BTreeSet<&'a str>,
        credential: &'a Text,
        location: &Location,
    ) {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let is_sha256 = credential.len() == SHA256_DIGITS && credential.bytes().all(is_digit);
        let allowed = "64 lower-case hexadecimal digits";
        self.require(is_sha256, location, Field::Credential, allowed);
        self.unique(seen, &**credential, location, Field::Credential);
    }

    fn check_zones(&mut self, configuration: &Configuration) {
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        for zone in &configuration.zones {
            let location = Location::Zone(zone.id);
            self.unique_identifier(&mut ids, zone.id, &location);
            self.check_name(&mut names, &zone.name, &location);
        }
    }

    fn check_services(&mut self, configuration: &Configuration) {
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        for service in &configuration.services {
            let location = Location::Service(service.id);
            self.unique_identifier(&mut ids, service.id, &location);
            self.check_name(&mut names, &service.name, &location);
            self.check_service(service, &location);
        }
    }

    fn check_service(&mut self, service: &ServiceConfiguration, location: &Location) {
        let has_groups = (1..=MAX_GROUPS).contains(&service.groups);
        self.require(has_groups, location, Field::Groups, "from 1 to 256");
        let has_replicas = matches!(service.replicas, 3 | 5);
        self.require(has_replicas, location, Field::Replicas, "3 or 5");
        let has_slices = service.slices_per_server > 0;
        self.require(has_slices, location, Field::SlicesPerServer, "above 0");
        let has_deadline = service.default_deadline_ms > 0;
        self.require(has_deadline, location, Field::DefaultDeadline, "above 0");
        let balance = &service.balance;
        let target = balance.target_imbalance;
        let is_target = target.is_finite() && target >= 1.0;
        self.require(is_target, location, Field::TargetImbalance, "at least 1");
        let is_price = (0.0..=1.0).contains(&balance.churn_price);
        self.require(is_price, location, Field::ChurnPrice, "from 0 to 1");
        let is_percent = (0.0..=100.0).contains(&balance.max_churn_percent_per_minute);
        self.require(is_percent, location, Field::MaxChurn, "from 0 to 100");
    }

    fn check_servers(&mut self, configuration: &Configuration) {
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        let mut addresses = BTreeSet::new();
        for server in &configuration.servers {
            let location = Location::Server(server.id);
            self.unique_identifier(&mut ids, server.id, &location);
            self.check_name(&mut names, &server.name, &location);
            self.unique(&mut addresses, &*server.address, &location, Field::Address);
            self.check_server(configuration, server, &location);
        }
    }

    fn check_server(
        &mut self,
        configuration: &Configuration,
        server: &ServerConfiguration,
        location: &Location,
    ) {
        if configuration.service(server.service).is_none() {
            self.add(location, Problem::Unknown(Field::Service));
        }
        let has_zone = configuration
            .zones
            .iter()
            .any(|zone| zone.id == server.zone);
        if !has_zone {
            self.add(location, Problem::Unknown(Field::Zone));
        }
        let is_address = server.address.parse::<SocketAddr>().is_ok();
        self.require(
            is_address,
            location,
            Field::Address,
            "an IP number and a port",
        );
        self.require(server.slots > 0, location, Field::Slots, "above 0");
        let has_connections = server.max_connections > 0;
        self.require(has_connections, location, Field::MaxConnections, "above 0");
    }

    fn check_tiers(&mut self, configuration: &Configuration) {
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        let mut guaranteed = 0_u32;
        for tier in &configuration.tiers {
            let location = Location::Tier(tier.id);
            self.unique_identifier(&mut ids, tier.id, &location);
            self.check_name(&mut names, &tier.name, &location);
            self.require(tier.weight > 0, &location, Field::Weight, "above 0");
            guaranteed += u32::from(tier.guaranteed_percent);
        }
        let allowed = "at most 100 in sum";
        self.require(
            guaranteed <= 100,
            &Location::Tiers,
            Field::GuaranteedPercent,
            allowed,
        );
    }

    fn check_callers(&mut self, configuration: &Configuration) {
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        let mut credentials = BTreeSet::new();
        for caller in &configuration.callers {
            let location = Location::Caller(caller.id);
            self.unique_identifier(&mut ids, caller.id, &location);
            self.check_name(&mut names, &caller.name, &location);
            self.check_credential(&mut credentials, &caller.credential_sha256, &location);
            let has_tier = configuration
                .tiers
                .iter()
                .any(|tier| tier.id == caller.tier);
            if !has_tier {
                self.add(&location, Problem::Unknown(Field::Tier));
            }
        }
    }

    fn check_operators(&mut self, configuration: &Configuration) {
        let mut names = BTreeSet::new();
        let mut credentials = BTreeSet::new();
        for operator in &configuration.operators {
            let location = Location::Operator(operator.name.clone());
            self.check_name(&mut names, &operator.name, &location);
            self.check_credential(&mut credentials, &operator.credential_sha256, &location);
        }
    }
}
