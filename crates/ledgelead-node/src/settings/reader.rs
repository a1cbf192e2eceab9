//! Typed reading of TOML tables that collects errors and continues.

use super::finding::{Findings, Location, nearest};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Longest text that an error message quotes.
const MAX_SHOWN_CHARS: usize = 40;
/// Names of the log levels.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// A table of the file, or the location at which one is missing.
pub struct Section<'a> {
    name: String,
    table: Option<&'a DeTable<'a>>,
    /// Where missing fields are reported; `None` if the error was reported already or
    /// nothing is required.
    location: Option<Location>,
}

impl<'a> Section<'a> {
    /// The whole document.
    pub fn root(table: &'a DeTable<'a>) -> Section<'a> {
        Section {
            name: String::new(),
            table: Some(table),
            location: Some(Location::in_file(0..0)),
        }
    }

    /// A table that is required unless flags provide all its required fields.
    pub fn section(&self, name: &str, findings: &mut Findings) -> Section<'a> {
        let section = self.optional_section(name, findings);
        if section.table.is_none() && self.get(name).is_none() {
            return Section {
                location: Some(Location::in_file(0..0)),
                ..section
            };
        }
        section
    }

    /// A table that may be absent.
    pub fn optional_section(&self, name: &str, findings: &mut Findings) -> Section<'a> {
        let mut section = Section {
            name: self.path(name),
            table: None,
            location: None,
        };
        let Some(value) = self.get(name) else {
            return section;
        };
        match value.get_ref() {
            DeValue::Table(table) => {
                section.table = Some(table);
                section.location = Some(location_of(value));
            }
            other => findings.add(
                location_of(value),
                format!(
                    "{name} is {}: expected a table [{name}]",
                    describe_value(other)
                ),
            ),
        }
        section
    }

    /// An array of tables that may be absent.
    pub fn sections(&self, name: &str, findings: &mut Findings) -> Vec<Section<'a>> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let path = self.path(name);
        let DeValue::Array(items) = value.get_ref() else {
            findings.add(
                location_of(value),
                format!(
                    "{path} is {}: expected an array of tables",
                    describe_value(value.get_ref())
                ),
            );
            return Vec::new();
        };
        let mut sections = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::Table(table) => sections.push(Section {
                    name: path.clone(),
                    table: Some(table),
                    location: Some(location_of(item)),
                }),
                other => findings.add(
                    location_of(item),
                    format!("{path} holds {}: expected tables", describe_value(other)),
                ),
            }
        }
        sections
    }

    /// Reports every field whose name is not in `valid`.
    pub fn expect_only(&self, valid: &[&str], findings: &mut Findings) {
        for name in self.table.iter().flat_map(|table| table.keys()) {
            if valid.contains(&name.get_ref().as_ref()) {
                continue;
            }
            let path = self.path(name.get_ref());
            let hint = match nearest(name.get_ref(), valid) {
                Some(near) => format!("did you mean {near}?"),
                None => format!("expected one of {}", valid.join(", ")),
            };
            let location = Location::in_file(name.span());
            findings.add(location, format!("{path} is not a setting: {hint}"));
        }
    }

    /// A whole number that is required in the file or as a flag.
    pub fn number(
        &self,
        name: &'static str,
        flag: &Option<String>,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> Option<u64> {
        let expected = format!("expected {}", describe_range(&range));
        if let Some(text) = flag {
            let number = text.parse().ok().filter(|number| range.contains(number));
            if number.is_none() {
                let location = Location::Flag { name };
                findings.add(
                    location,
                    format!("{text:?} is not a valid number: {expected}"),
                );
            }
            return number;
        }
        if self.get(name).is_none() {
            self.missing(name, &expected, findings);
            return None;
        }
        self.optional_number(name, range, findings)
    }

    /// A whole number that may be absent.
    pub fn optional_number(
        &self,
        name: &str,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> Option<u64> {
        let value = self.get(name)?;
        let number = match value.get_ref() {
            DeValue::Integer(integer) => {
                let digits = integer.as_str().replace('_', "");
                u64::from_str_radix(&digits, integer.radix()).ok()
            }
            _ => None,
        };
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            self.mismatch(
                name,
                value,
                &format!("expected {}", describe_range(&range)),
                findings,
            );
        }
        number
    }

    /// An `IP:port` that is required in the file or as a flag.
    pub fn address(
        &self,
        name: &'static str,
        flag: &Option<String>,
        findings: &mut Findings,
    ) -> Option<SocketAddr> {
        const EXPECTED: &str = "expected IP:port, like \"127.0.0.1:7001\"";
        if let Some(text) = flag {
            let address = text.parse().ok();
            if address.is_none() {
                let name = if name == "address" { "platform" } else { name };
                let location = Location::Flag { name };
                findings.add(location, format!("{text:?} is not an address: {EXPECTED}"));
            }
            return address;
        }
        if self.get(name).is_none() {
            self.missing(name, EXPECTED, findings);
            return None;
        }
        self.optional_address(name, findings)
    }

    /// An `IP:port` that may be absent.
    pub fn optional_address(&self, name: &str, findings: &mut Findings) -> Option<SocketAddr> {
        let value = self.get(name)?;
        let address = value.get_ref().as_str().and_then(|text| text.parse().ok());
        if address.is_none() {
            let expected = "expected IP:port, like \"127.0.0.1:7001\"";
            self.mismatch(name, value, expected, findings);
        }
        address
    }

    /// A required string, and its location.
    pub fn text(&self, name: &str, findings: &mut Findings) -> Option<(String, Location)> {
        if self.get(name).is_none() {
            self.missing(name, "expected a string", findings);
        }
        self.optional_text(name, findings)
    }

    /// A string that may be absent, and its location.
    pub fn optional_text(&self, name: &str, findings: &mut Findings) -> Option<(String, Location)> {
        let value = self.get(name)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.mismatch(name, value, "expected a string", findings);
        }
        text.map(|text| (text.to_owned(), location_of(value)))
    }

    /// A log level; `info` when absent.
    pub fn level(
        &self,
        name: &str,
        flag: &Option<String>,
        findings: &mut Findings,
    ) -> log::LevelFilter {
        let expected = format!("expected one of {}", LOG_LEVELS.join(", "));
        if let Some(text) = flag {
            return text.parse().unwrap_or_else(|_| {
                let location = Location::Flag { name: "log-level" };
                findings.add(location, format!("{text:?} is not a log level: {expected}"));
                log::LevelFilter::Info
            });
        }
        let Some(value) = self.get(name) else {
            return log::LevelFilter::Info;
        };
        let level = value.get_ref().as_str().and_then(|text| text.parse().ok());
        level.unwrap_or_else(|| {
            self.mismatch(name, value, &expected, findings);
            log::LevelFilter::Info
        })
    }

    fn get(&self, name: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table?.get(name)
    }

    fn path(&self, name: &str) -> String {
        if self.name.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.name)
    }

    fn missing(&self, name: &str, expected: &str, findings: &mut Findings) {
        if findings.has_syntax_errors() {
            // The field may be in the part of the file that was not parsed.
            return;
        }
        if let Some(location) = &self.location {
            findings.add(
                location.clone(),
                format!("{} is missing: {expected}", self.path(name)),
            );
        }
    }

    fn mismatch(
        &self,
        name: &str,
        value: &Spanned<DeValue<'_>>,
        expected: &str,
        findings: &mut Findings,
    ) {
        let path = self.path(name);
        let description = describe_value(value.get_ref());
        findings.add(
            location_of(value),
            format!("{path} is {description}: {expected}"),
        );
    }
}

fn location_of<T>(value: &Spanned<T>) -> Location {
    Location::in_file(value.span())
}

fn describe_range(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}

/// The type and, if it is short, the value. Never called with the string of a secret.
fn describe_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) if text.chars().count() <= MAX_SHOWN_CHARS => format!("{text:?}"),
        DeValue::String(_) => "a long string".to_owned(),
        DeValue::Integer(integer) => format!("the number {}", integer.as_str()),
        DeValue::Float(float) => format!("the number {}", float.as_str()),
        DeValue::Boolean(flag) => format!("the boolean {flag}"),
        DeValue::Datetime(_) => "a date".to_owned(),
        DeValue::Array(_) => "an array".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}
