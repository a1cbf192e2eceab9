//! Reads the settings of `create`, `alter` and `add server` commands.

use crate::finding::{Finding, Findings};
use crate::located::Located;
use crate::names::find_tier;
use crate::nearest::nearest;
use crate::tree::{Setting, Value};
use ledgelead_types::configuration::*;
use ledgelead_types::{List, Text};

/// Reader for the settings of one statement.
pub(super) struct SettingsReader<'a> {
    pub(super) configuration: &'a Configuration,
    pub(super) findings: &'a mut Findings,
    /// Whether the parser found no errors. Otherwise a setting may be missing only because it
    /// was not parsed.
    pub(super) is_complete: bool,
}

const ZONE: &[&str] = &["region"];
const SERVICE: &[&str] = &[
    "team",
    "partitioning",
    "groups",
    "replicas",
    "slices_per_server",
    "target_imbalance",
    "churn_price",
    "max_churn_percent_per_minute",
    "default_deadline_ms",
];
const TIER: &[&str] = &["weight", "guaranteed_percent"];
const CALLER: &[&str] = &[
    "tier",
    "credential_sha256",
    "max_requests_per_second",
    "max_concurrent",
];
const OPERATOR: &[&str] = &["role", "teams", "credential_sha256"];
const SERVER: &[&str] = &["slots", "connections"];

impl SettingsReader<'_> {
    pub(super) fn zone(&mut self, settings: &[Setting], zone: &mut ZoneConfiguration) {
        for setting in self.valid_settings(settings, "zones", ZONE) {
            self.text(setting, &mut zone.region);
        }
    }

    pub(super) fn service(&mut self, settings: &[Setting], service: &mut ServiceConfiguration) {
        for setting in self.valid_settings(settings, "services", SERVICE) {
            let balance = &mut service.balance;
            match setting.field.value.as_str() {
                "team" => self.text(setting, &mut service.team),
                "partitioning" => self.choice(setting, &PARTITIONINGS, &mut service.partitioning),
                "groups" => self.count(setting, &mut service.groups),
                "replicas" => self.count(setting, &mut service.replicas),
                "slices_per_server" => self.count(setting, &mut service.slices_per_server),
                "target_imbalance" => self.number(setting, &mut balance.target_imbalance),
                "churn_price" => self.number(setting, &mut balance.churn_price),
                "default_deadline_ms" => self.count(setting, &mut service.default_deadline_ms),
                _ => self.number(setting, &mut balance.max_churn_percent_per_minute),
            }
        }
    }

    pub(super) fn tier(&mut self, settings: &[Setting], tier: &mut TierConfiguration) {
        for setting in self.valid_settings(settings, "tiers", TIER) {
            match setting.field.value.as_str() {
                "weight" => self.count(setting, &mut tier.weight),
                _ => self.count(setting, &mut tier.guaranteed_percent),
            }
        }
    }

    pub(super) fn caller(&mut self, settings: &[Setting], caller: &mut CallerConfiguration) {
        for setting in self.valid_settings(settings, "callers", CALLER) {
            match setting.field.value.as_str() {
                "tier" => self.tier_named(setting, caller),
                "credential_sha256" => self.text(setting, &mut caller.credential_sha256),
                "max_requests_per_second" => {
                    self.count(setting, &mut caller.max_requests_per_second);
                }
                _ => self.count(setting, &mut caller.max_concurrent),
            }
        }
    }

    pub(super) fn operator(&mut self, settings: &[Setting], operator: &mut OperatorConfiguration) {
        for setting in self.valid_settings(settings, "operators", OPERATOR) {
            match setting.field.value.as_str() {
                "role" => self.choice(setting, &ROLES, &mut operator.role),
                "teams" => self.teams(setting, &mut operator.teams),
                _ => self.text(setting, &mut operator.credential_sha256),
            }
        }
    }

    pub(super) fn server(&mut self, settings: &[Setting], server: &mut ServerConfiguration) {
        for setting in self.valid_settings(settings, "servers", SERVER) {
            match setting.field.value.as_str() {
                "slots" => self.count(setting, &mut server.slots),
                _ => self.count(setting, &mut server.max_connections),
            }
        }
    }

    /// Reports a missing setting that has no default. A misspelled one is reported as unknown
    /// instead.
    pub(super) fn require(&mut self, settings: &[Setting], name: &Located<String>, field: &str) {
        let is_given = settings
            .iter()
            .any(|setting| nearest(&setting.field.value, [field]).is_some());
        if self.is_complete && !is_given {
            let message = format!("needs the setting `{field}`");
            self.findings.add(Finding::new(name.range.clone(), message));
        }
    }

    /// Returns the settings that are valid and given once; reports the others.
    fn valid_settings<'s>(
        &mut self,
        settings: &'s [Setting],
        of: &str,
        valid: &[&str],
    ) -> Vec<&'s Setting> {
        let mut accepted: Vec<&Setting> = Vec::new();
        for setting in settings {
            let field = &setting.field;
            if !valid.contains(&field.value.as_str()) {
                let what = format!("setting of {of}");
                let valid = valid.iter().copied();
                let finding = Finding::unknown(field.range.clone(), &what, &field.value, valid);
                self.findings.add(finding);
            } else if accepted.iter().any(|earlier| earlier.field == *field) {
                let message = format!("`{}` is given twice", field.value);
                self.findings
                    .add(Finding::new(field.range.clone(), message));
            } else {
                accepted.push(setting);
            }
        }
        accepted
    }

    fn report_invalid_value(&mut self, setting: &Setting, expected: &str) {
        let message = format!("`{}` is {expected}", setting.field.value);
        let range = setting.value.range.clone();
        self.findings.add(Finding::new(range, message));
    }

    fn text(&mut self, setting: &Setting, target: &mut Text) {
        match &setting.value.value {
            Value::Text(text) => *target = text.as_str().into(),
            Value::Number(_) => self.report_invalid_value(setting, "a text; write it in quotes"),
        }
    }

    fn number(&mut self, setting: &Setting, target: &mut f64) {
        match setting.value.value {
            Value::Number(number) => *target = number,
            Value::Text(_) => self.report_invalid_value(setting, "a number"),
        }
    }

    /// Reads a whole number within the range of its type.
    fn count<T: TryFrom<u64>>(&mut self, setting: &Setting, target: &mut T) {
        /// 2^53 - 1: up to here `f64` represents every whole number exactly.
        const LARGEST: f64 = 9_007_199_254_740_991.0;
        let number = match setting.value.value {
            Value::Number(number) => number,
            Value::Text(_) => f64::NAN,
        };
        if number.fract() != 0.0 || !(0.0..=LARGEST).contains(&number) {
            return self.report_invalid_value(setting, "a whole number");
        }
        match T::try_from(number as u64) {
            Ok(count) => *target = count,
            Err(_) => self.report_invalid_value(setting, "a smaller number"),
        }
    }

    fn choice<T: Copy>(&mut self, setting: &Setting, choices: &[(&str, T)], target: &mut T) {
        let written = match &setting.value.value {
            Value::Text(text) => text.clone(),
            Value::Number(number) => number.to_string(),
        };
        match choices.iter().find(|(name, _)| *name == written) {
            Some((_, value)) => *target = *value,
            None => {
                let range = setting.value.range.clone();
                let names = choices.iter().map(|(name, _)| *name);
                let finding = Finding::unknown(range, &setting.field.value, &written, names);
                self.findings.add(finding);
            }
        }
    }

    fn tier_named(&mut self, setting: &Setting, caller: &mut CallerConfiguration) {
        let Value::Text(name) = &setting.value.value else {
            return self.report_invalid_value(setting, "the name of a tier");
        };
        let name = Located::new(name.clone(), setting.value.range.clone());
        if let Some(tier) = find_tier(self.configuration, &name, self.findings) {
            caller.tier = tier.id;
        }
    }

    /// Reads team names separated by commas; an empty text stands for all teams.
    fn teams(&mut self, setting: &Setting, target: &mut List<Text>) {
        let Value::Text(text) = &setting.value.value else {
            return self.report_invalid_value(setting, "a text of teams separated by commas");
        };
        let names = text
            .split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty());
        *target = names.map(Text::from).collect();
    }
}

const PARTITIONINGS: [(&str, Partitioning); 3] = [
    ("hash", Partitioning::Hash),
    ("ordered", Partitioning::Ordered),
    ("none", Partitioning::None),
];

const ROLES: [(&str, OperatorRole); 3] = [
    ("read", OperatorRole::Read),
    ("operate", OperatorRole::Operate),
    ("administer", OperatorRole::Administer),
];
