//! Checks that accepted configurations are applied on every reachable node in time and never
//! reverted.

use super::violation::{Violation, Violations};
use ledgelead_types::configuration::{Configuration, MAX_APPLIED_COMMANDS};
use ledgelead_types::{ConfigurationVersion, NodeId, Span, Time};
use std::collections::BTreeMap;

/// Time within which every reachable node applies an accepted configuration.
pub const APPLIED_WITHIN: Span = Span::from_seconds(6);

#[derive(Clone, Copy, Debug)]
struct NodeRecord {
    applied: ConfigurationVersion,
    /// Since when the node has been running and connected; `None` while it is not.
    connected_since: Option<Time>,
    /// Newest version reported as late, so that each is reported only once.
    reported: ConfigurationVersion,
}

/// Checks the application of configurations.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationChecker {
    nodes: BTreeMap<NodeId, NodeRecord>,
    writes: BTreeMap<ConfigurationVersion, Time>,
    accepted: BTreeMap<String, ConfigurationVersion>,
    relied_on: BTreeMap<ConfigurationVersion, String>,
    longest_lag: Span,
    longest_undisturbed_lag: Span,
    /// Since when the platform has been undisturbed, as of the last check.
    platform_available_since: Time,
}

impl ConfigurationChecker {
    /// Records since when a node has been running and connected; `None` if it is not.
    pub fn connected(&mut self, node: NodeId, since: Option<Time>) {
        self.nodes
            .entry(node)
            .or_insert(NodeRecord {
                applied: ConfigurationVersion(0),
                connected_since: since,
                reported: ConfigurationVersion(0),
            })
            .connected_since = since;
    }

    /// A node's process started without a configuration.
    pub fn started(&mut self, node: NodeId, now: Time) {
        self.nodes.remove(&node);
        self.connected(node, Some(now));
    }

    /// A node applied a version.
    pub fn applied(
        &mut self,
        now: Time,
        node: NodeId,
        version: ConfigurationVersion,
        violations: &mut Violations,
    ) {
        let Some(record) = self.nodes.get_mut(&node) else {
            return;
        };
        let before = record.applied;
        record.applied = version;
        if version < before {
            violations.add(now, Violation::ConfigurationMonotonic, || {
                format!("{node} went back from {before} to {version}")
            });
        }
        let since = record.connected_since.zip(self.writes.get(&version));
        if let Some((connected, written)) = since {
            let lag = now.since(connected.max(*written));
            self.longest_lag = self.longest_lag.max(lag);
            let undisturbed = lag.min(now.since(self.platform_available_since));
            self.longest_undisturbed_lag = self.longest_undisturbed_lag.max(undisturbed);
        }
    }

    /// The platform stored a version.
    pub fn written(&mut self, now: Time, stored: &Configuration, violations: &mut Violations) {
        self.writes.insert(stored.version, now);
        if stored.applied_commands.len() >= MAX_APPLIED_COMMANDS {
            return;
        }
        for (command, version) in &self.accepted {
            if stored.version_of_command(command) != Some(*version) {
                violations.add(now, Violation::ConfigurationMonotonic, || {
                    format!("{} lacks {command} of {version}", stored.version)
                });
            }
        }
    }

    /// An operator was told that a command, which required `if_version`, takes effect with a
    /// version.
    pub fn accepted(
        &mut self,
        now: Time,
        command: &str,
        version: ConfigurationVersion,
        if_version: Option<ConfigurationVersion>,
        violations: &mut Violations,
    ) {
        if !self.writes.contains_key(&version) {
            violations.add(now, Violation::ConfigurationMonotonic, || {
                format!("{command} was accepted as {version}, which was never stored")
            });
        }
        self.accepted.insert(command.to_owned(), version);
        let Some(relied_on) = if_version else {
            return;
        };
        let winner = self
            .relied_on
            .entry(relied_on)
            .or_insert(command.to_owned());
        if winner != command {
            violations.add(now, Violation::ConfigurationMonotonic, || {
                format!("{command} and {winner} were both accepted on {relied_on}")
            });
        }
    }

    /// The newest stored version.
    pub fn newest(&self) -> ConfigurationVersion {
        let newest = self.writes.keys().next_back();
        newest.copied().unwrap_or_default()
    }

    /// Reports nodes on which a version is late. Nodes cannot read versions while the platform
    /// is disturbed; `platform_available_since` is the end of the last disturbance.
    pub fn check(
        &mut self,
        now: Time,
        platform_available_since: Time,
        violations: &mut Violations,
    ) {
        self.platform_available_since = platform_available_since;
        let settled = now.before(APPLIED_WITHIN);
        let required = self
            .writes
            .iter()
            .filter(|(_, written)| **written <= settled)
            .map(|(version, _)| *version)
            .max();
        let Some(required) = required.filter(|_| platform_available_since <= settled) else {
            return;
        };
        for (node, record) in &mut self.nodes {
            let reachable = record.connected_since.is_some_and(|since| since <= settled);
            if reachable && record.applied < required && record.reported < required {
                record.reported = required;
                let applied = record.applied;
                violations.add(now, Violation::ConfigurationMonotonic, || {
                    format!("{node} has {applied}, {required} is late")
                });
            }
        }
    }

    /// Longest time from the storage of a version, or from the node's reconnection if later,
    /// until the node applied it.
    pub fn longest_lag(&self) -> Span {
        self.longest_lag
    }

    /// Like `longest_lag`, but counted from the end of the platform's last disturbance if that
    /// is later.
    pub fn longest_undisturbed_lag(&self) -> Span {
        self.longest_undisturbed_lag
    }
}
