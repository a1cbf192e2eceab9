//! Explains the handling of one request from the logs of several nodes.
//!
//! Clocks of machines may differ by seconds, so lines of different nodes are never sorted
//! by their times. Events of the request come first, in the order of the logs. Then follow,
//! node by node, events about the instances and keys that the request depended on.

use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;
use std::io::BufRead;

/// One event of a log.
#[derive(Clone, Debug)]
struct LogLine {
    node: String,
    time: f64,
    topic: String,
    event: Value,
}

impl LogLine {
    /// Parses an event; `None` for any other line.
    fn parse(text: &str) -> Option<LogLine> {
        // A test harness may write a prefix before the JSON object.
        let object: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        Some(LogLine {
            node: object.get("node")?.as_str()?.to_owned(),
            time: object.get("time")?.as_f64()?,
            topic: object.get("topic")?.as_str()?.to_owned(),
            event: object.get("event")?.clone(),
        })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.event.get(field)?.as_str()
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.event.get(field)?.as_u64()
    }

    fn is_of(&self, request: &str) -> bool {
        self.text("request") == Some(request)
    }
}

/// The node that handled a request, and what the request depended on.
#[derive(Debug, Default)]
struct RequestContext {
    /// The request's own node.
    node: String,
    services: BTreeSet<String>,
    instances: BTreeSet<String>,
    key: Option<u64>,
    /// Digest of the request, which all its attempts share.
    digest: Option<String>,
}

impl RequestContext {
    fn of(lines: &[LogLine]) -> RequestContext {
        let texts = |field: &str| {
            lines
                .iter()
                .filter_map(|line| line.text(field))
                .map(str::to_owned)
                .collect()
        };
        RequestContext {
            node: lines
                .first()
                .map_or(String::new(), |line| line.node.clone()),
            services: texts("service"),
            instances: texts("instance"),
            key: lines.iter().find_map(|line| line.number("key")),
            digest: lines
                .iter()
                .find_map(|line| line.text("digest"))
                .map(str::to_owned),
        }
    }

    /// Whether a line about something else helps to explain the request.
    fn is_relevant(&self, line: &LogLine) -> bool {
        let names_instance = ["instance", "owner", "from", "to"]
            .into_iter()
            .filter_map(|field| line.text(field))
            .any(|name| self.instances.contains(name));
        match line.topic.as_str() {
            // Which node quarantined the request, and which instances ended under it.
            "quarantine" => names_instance || self.is_same_request(line),
            "request" => self.is_same_request(line),
            "instances" => names_instance && line.node == self.node,
            "ownership" if line.text("event") == Some("order_failed") => names_instance,
            "ownership" if line.event.get("first").is_some() => self.holds_key(line),
            "ownership" => true,
            // Other nodes' state of these had no influence on the request.
            "store" | "configuration" | "node" | "logs" => line.node == self.node,
            _ => false,
        }
    }

    /// Whether a line is about a submission of the same request.
    fn is_same_request(&self, line: &LogLine) -> bool {
        self.digest.is_some() && line.text("digest") == self.digest.as_deref()
    }

    /// Whether the key range of a line contains the request's key, in one of its services.
    fn holds_key(&self, line: &LogLine) -> bool {
        let (Some(first), Some(last), Some(key)) =
            (line.number("first"), line.number("last"), self.key)
        else {
            return false;
        };
        let is_same_service = line
            .text("service")
            .is_some_and(|service| self.services.contains(service));
        is_same_service && (first..=last).contains(&key)
    }
}

/// What the logs contain about a request.
#[derive(Debug)]
pub struct Explanation {
    request: String,
    /// Events of the request.
    own: Vec<LogLine>,
    /// Events about what the request depended on, sorted by node.
    related: Vec<LogLine>,
}

/// Related lines are shown if their time, by their node's clock, is within this many seconds
/// of the request's events. The window is wide because clocks differ.
const WINDOW_SECONDS: f64 = 15.0;

/// Collects the events of a request, and those that help to explain it.
///
/// # Errors
/// If a log can't be read.
pub fn explain(request: &str, logs: Vec<Box<dyn BufRead>>) -> std::io::Result<Explanation> {
    let mut lines = Vec::new();
    for log in logs {
        for text in log.lines() {
            lines.extend(LogLine::parse(&text?));
        }
    }
    let own: Vec<LogLine> = lines
        .iter()
        .filter(|line| line.is_of(request))
        .cloned()
        .collect();
    let context = RequestContext::of(&own);
    let times = || own.iter().map(|line| line.time);
    let from = times().fold(f64::INFINITY, f64::min) - WINDOW_SECONDS;
    let until = times().fold(f64::NEG_INFINITY, f64::max) + WINDOW_SECONDS;
    let mut related: Vec<LogLine> = lines
        .into_iter()
        .filter(|line| !line.is_of(request) && context.is_relevant(line))
        .filter(|line| from <= line.time && line.time <= until)
        .collect();
    // The sort is stable, so lines of one node keep the order of its log.
    related.sort_by(|left, right| left.node.cmp(&right.node));
    Ok(Explanation {
        request: request.to_owned(),
        own,
        related,
    })
}

impl Explanation {
    /// Whether the logs contain events of the request.
    pub fn has_events(&self) -> bool {
        !self.own.is_empty()
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.own.first() else {
            return writeln!(formatter, "{}: no log knows it", self.request);
        };
        writeln!(formatter, "request {} at {}", self.request, first.node)?;
        for line in &self.own {
            write_line(formatter, line, first.time)?;
        }
        let mut node = None;
        for line in &self.related {
            if node != Some(&line.node) {
                writeln!(formatter, "{} tells, by its own clock", line.node)?;
                node = Some(&line.node);
            }
            write_line(formatter, line, first.time)?;
        }
        Ok(())
    }
}

fn write_line(formatter: &mut fmt::Formatter<'_>, line: &LogLine, origin: f64) -> fmt::Result {
    let name = line.text("event").unwrap_or("unnamed");
    write!(formatter, "  {:+9.3} s  {name}", line.time - origin)?;
    if let Value::Object(fields) = &line.event {
        for (field, value) in fields {
            let is_shown = field != "event" && field != "request" && !value.is_null();
            match value {
                _ if !is_shown => {}
                Value::String(text) => write!(formatter, " {field}={text}")?,
                other => write!(formatter, " {field}={other}")?,
            }
        }
    }
    writeln!(formatter)
}
