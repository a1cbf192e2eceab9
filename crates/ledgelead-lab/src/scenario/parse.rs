//! Reads scenario files and collects all errors.

use super::{Scenario, check};
use serde::de::DeserializeOwned;
use std::fmt;
use toml::{Table, Value};

/// An error in a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Location in the file, such as `services[2].slots`.
    pub place: String,
    /// Description of the error.
    pub message: String,
}

impl Finding {
    pub(super) fn new(place: impl Into<String>, message: impl Into<String>) -> Finding {
        Finding {
            place: place.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}

/// Reads a scenario.
///
/// # Errors
/// Returns all errors found. A syntax error is reported alone; otherwise every
/// section is read and then checked against the others.
pub fn parse(text: &str) -> Result<Scenario, Vec<Finding>> {
    let mut sections = Sections {
        table: text
            .parse::<Table>()
            .map_err(|error| vec![Finding::new("file", error.to_string())])?,
        findings: Vec::new(),
    };
    let run = sections.take("run");
    let network = sections.take("network");
    let nodes = sections.take("nodes");
    let platform = sections.take("platform");
    let zones = sections.take_list("zones");
    let services = sections.take_list("services");
    let tiers = sections.take_list("tiers");
    let faults = sections.take_list("faults");
    let mut findings = sections.finish();
    let (Some(run), Some(network), Some(nodes), Some(platform)) = (run, network, nodes, platform)
    else {
        return Err(findings);
    };
    let scenario = Scenario {
        run,
        network,
        nodes,
        platform,
        zones,
        services,
        tiers,
        faults,
    };
    check::check(&scenario, &mut findings);
    if findings.is_empty() {
        Ok(scenario)
    } else {
        Err(findings)
    }
}

struct Sections {
    table: Table,
    findings: Vec<Finding>,
}

impl Sections {
    fn take<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        match self.table.remove(name) {
            Some(value) => self.read(name.to_owned(), value),
            None => {
                self.findings.push(Finding::new(name, "is missing"));
                None
            }
        }
    }

    fn take_list<T: DeserializeOwned>(&mut self, name: &str) -> Vec<T> {
        let items = match self.table.remove(name) {
            Some(Value::Array(items)) => items,
            None => Vec::new(),
            Some(_) => {
                self.findings.push(Finding::new(name, "is not a list"));
                Vec::new()
            }
        };
        items
            .into_iter()
            .enumerate()
            .filter_map(|(index, item)| self.read(format!("{name}[{index}]"), item))
            .collect()
    }

    fn read<T: DeserializeOwned>(&mut self, place: String, value: Value) -> Option<T> {
        match T::deserialize(value) {
            Ok(section) => Some(section),
            Err(error) => {
                let message = error.to_string().trim().replace('\n', " ");
                self.findings.push(Finding::new(place, message));
                None
            }
        }
    }

    fn finish(mut self) -> Vec<Finding> {
        for name in self.table.keys() {
            self.findings.push(Finding::new(name, "is unknown"));
        }
        self.findings
    }
}
