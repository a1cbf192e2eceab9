//! The life of one request, from the logs of several nodes.
//!
//! Clocks of machines may differ by seconds, so lines of different nodes are
//! never put into one order by their times. What the request's own node did
//! comes first, in the order of its log; then, node by node, what the others
//! told of the instances and of the keys that it depended on.

use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;
use std::io::BufRead;

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    node: String,
    time: f64,
    topic: String,
    event: Value,
}

impl Line {
    /// Lines that are no events are none of ours.
    fn parse(text: &str) -> Option<Line> {
        // A bench may put its own words before the object.
        let object: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        Some(Line {
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

/// What a request depended on.
#[derive(Debug, Default)]
struct Subject {
    /// The request's own node.
    node: String,
    services: BTreeSet<String>,
    instances: BTreeSet<String>,
    key: Option<u64>,
    /// The same for all tries of the request.
    digest: Option<String>,
}

impl Subject {
    fn of(lines: &[Line]) -> Subject {
        let texts = |field: &str| {
            lines
                .iter()
                .filter_map(|line| line.text(field))
                .map(str::to_owned)
                .collect()
        };
        Subject {
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

    fn concerns(&self, line: &Line) -> bool {
        let named = ["instance", "owner", "from", "to"]
            .into_iter()
            .filter_map(|field| line.text(field))
            .any(|name| self.instances.contains(name));
        match line.topic.as_str() {
            // Who held it back, and whose end it is suspected of.
            "quarantine" => named || self.is_same_request(line),
            "request" => self.is_same_request(line),
            "instances" => named && line.node == self.node,
            "ownership" if line.text("event") == Some("order_failed") => named,
            "ownership" if line.event.get("first").is_some() => self.holds_key(line),
            "ownership" => true,
            // What other nodes believed of these did not decide the request.
            "store" | "configuration" | "node" | "logs" => line.node == self.node,
            _ => false,
        }
    }

    /// Whether a line is about a try of the same request.
    fn is_same_request(&self, line: &Line) -> bool {
        self.digest.is_some() && line.text("digest") == self.digest.as_deref()
    }

    fn holds_key(&self, line: &Line) -> bool {
        let (Some(first), Some(last), Some(key)) =
            (line.number("first"), line.number("last"), self.key)
        else {
            return false;
        };
        let same = line
            .text("service")
            .is_some_and(|service| self.services.contains(service));
        same && (first..=last).contains(&key)
    }
}

/// The life of a request.
#[derive(Debug)]
pub struct Explanation {
    request: String,
    own: Vec<Line>,
    others: Vec<Line>,
}

/// How many seconds around the request other lines are shown, by their node's
/// clock. Wide, since clocks differ.
const AROUND_SECONDS: f64 = 15.0;

/// Collects what logs tell of a request.
///
/// # Errors
/// When a log can't be read.
pub fn explain(request: &str, logs: Vec<Box<dyn BufRead>>) -> std::io::Result<Explanation> {
    let mut lines = Vec::new();
    for log in logs {
        for text in log.lines() {
            lines.extend(Line::parse(&text?));
        }
    }
    let own: Vec<Line> = lines
        .iter()
        .filter(|line| line.is_of(request))
        .cloned()
        .collect();
    let subject = Subject::of(&own);
    let times = || own.iter().map(|line| line.time);
    let from = times().fold(f64::INFINITY, f64::min) - AROUND_SECONDS;
    let until = times().fold(f64::NEG_INFINITY, f64::max) + AROUND_SECONDS;
    let mut others: Vec<Line> = lines
        .into_iter()
        .filter(|line| !line.is_of(request) && subject.concerns(line))
        .filter(|line| from <= line.time && line.time <= until)
        .collect();
    // Stable: the order of one node's log is kept.
    others.sort_by(|left, right| left.node.cmp(&right.node));
    Ok(Explanation {
        request: request.to_owned(),
        own,
        others,
    })
}

impl Explanation {
    /// Whether any log knows the request.
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
        for line in &self.others {
            if node != Some(&line.node) {
                writeln!(formatter, "{} tells, by its own clock", line.node)?;
                node = Some(&line.node);
            }
            write_line(formatter, line, first.time)?;
        }
        Ok(())
    }
}

fn write_line(formatter: &mut fmt::Formatter<'_>, line: &Line, origin: f64) -> fmt::Result {
    let name = line.text("event").unwrap_or("unnamed");
    write!(formatter, "  {:+9.3} s  {name}", line.time - origin)?;
    if let Value::Object(fields) = &line.event {
        for (field, value) in fields {
            let shown = field != "event" && field != "request" && !value.is_null();
            match value {
                _ if !shown => {}
                Value::String(text) => write!(formatter, " {field}={text}")?,
                other => write!(formatter, " {field}={other}")?,
            }
        }
    }
    writeln!(formatter)
}
