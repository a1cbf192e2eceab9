//! Which instances a node reaches itself, and whether a failure is the node's own.
//!
//! A connection that is not established says nothing about the instance: the fault may lie
//! with the node's own links. So the link is not used for a while, peers are asked to forward,
//! and only if they don't reach the instance either does the failure count against it. If
//! several links fail with no contact to any instance in between, some of the others are probed
//! as a control. If these fail as well, the node is isolated and trusts none of its links until
//! one is probed successfully.

mod link;

use self::link::Link;
use crate::Timestamp;
use crate::events::Event;
use crate::identity::InstanceId;
use crate::io::ExchangeId;
use crate::protections::{Protection, Protections};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for the connection of a probe.
pub const LINK_PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of probes in flight.
const MAX_PROBES: usize = 4;
/// Time within which the links of a node that is no longer isolated are probed, so that its
/// requests don't return to all instances at once.
const RETURN_TIME: Duration = Duration::from_millis(800);
/// Number of links that are probed to find out whether failures are this node's own.
const CONTROL_PROBES: usize = 4;
/// Minimum interval between two probes of a link that is only suspected to have failed.
const SUSPICION_PAUSE: Duration = Duration::from_secs(1);

/// How a request gets from this node to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// By this node's own link.
    Direct,
    /// Only by way of a peer.
    ByPeer,
    /// Neither this node nor its peers reach the instance.
    Unreachable,
}

/// The links of a node to the instances.
#[derive(Debug)]
pub struct Reachability {
    /// Links that have failed or were suspected; all others work.
    links: BTreeMap<InstanceId, Link>,
    probes: HashMap<ExchangeId, InstanceId>,
    /// Links that began to fail since any instance was last in contact.
    failed_since_contact: BTreeSet<InstanceId>,
    last_contact: Timestamp,
    isolated: bool,
    isolated_at: Timestamp,
    /// Number of control probes in flight, while it is in doubt whether the node is isolated.
    control: Option<usize>,
    uses_all_links: bool,
    rng: Pcg64Mcg,
}

impl Reachability {
    /// The links of a node that has just started.
    pub fn new(seed: u64, protections: Protections) -> Reachability {
        Reachability {
            links: BTreeMap::new(),
            probes: HashMap::new(),
            failed_since_contact: BTreeSet::new(),
            last_contact: Timestamp::ZERO,
            isolated: false,
            isolated_at: Timestamp::ZERO,
            control: None,
            uses_all_links: !protections.has(Protection::LinkBackoff),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Whether this node reaches no instance.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Whether several links have failed with no contact to any instance in between, so that
    /// the failures may be this node's own.
    pub fn is_in_doubt(&self) -> bool {
        self.isolated || self.failed_since_contact.len() > 1
    }

    /// Records that an instance refused a connection on which no request depended.
    pub fn record_refused_probe(&mut self, id: &InstanceId) {
        self.failed_since_contact.insert(id.clone());
    }

    /// Whether some of the links that have not failed are to be probed, to find out whether the
    /// failures are this node's own.
    pub fn needs_control(&self) -> bool {
        self.is_in_doubt() && !self.isolated && !self.uses_all_links && self.control.is_none()
    }

    /// Begins a round of control probes. Returns the instances to probe, among these.
    pub fn begin_control(
        &mut self,
        mut instances: Vec<InstanceId>,
        now: Timestamp,
    ) -> Vec<InstanceId> {
        let is_failing = |id: &InstanceId| self.links.get(id).is_some_and(|link| link.is_failing);
        instances.retain(|id| !is_failing(id) && !self.failed_since_contact.contains(id));
        let probed: Vec<InstanceId> = instances
            .sample(&mut self.rng, CONTROL_PROBES)
            .cloned()
            .collect();
        self.control = Some(probed.len());
        self.conclude_control(now);
        probed
    }

    /// A node whose control probes have all failed is isolated.
    fn conclude_control(&mut self, now: Timestamp) {
        if self.control == Some(0) && !self.isolated {
            self.isolated = true;
            self.isolated_at = now;
            let failed = self.failed_since_contact.len();
            Event::Isolated { failed }.emit();
        }
    }

    /// Number of instances to which this node's link is failing.
    pub fn failing(&self) -> usize {
        self.links.values().filter(|link| link.is_failing).count()
    }

    /// When any instance was last in contact.
    pub fn last_contact(&self) -> Timestamp {
        self.last_contact
    }

    /// How an instance can be reached now.
    pub fn path(&self, id: &InstanceId, now: Timestamp) -> Path {
        if self.uses_all_links || self.links.is_empty() && !self.isolated {
            return Path::Direct;
        }
        match self.links.get(id) {
            Some(link) if link.is_unreachable(now) => Path::Unreachable,
            Some(link) if link.is_failing => Path::ByPeer,
            _ if self.isolated => Path::ByPeer,
            _ => Path::Direct,
        }
    }

    /// Whether a peer is known not to reach an instance either.
    pub fn excludes(&self, id: &InstanceId, peer: SocketAddr, now: Timestamp) -> bool {
        self.links
            .get(id)
            .is_some_and(|link| link.excludes(peer, now))
    }

    /// Maximum idle time of a kept connection to an instance. Connections from before the
    /// link's recovery may hang.
    pub fn reuse_limit(&self, id: &InstanceId, now: Timestamp) -> Option<Duration> {
        let recovered_at = self.links.get(id)?.recovered_at?;
        Some(now.saturating_sub(recovered_at))
    }

    /// Records that an instance is needed although its link is not used, so that the link is
    /// probed.
    pub fn record_demand(&mut self, id: &InstanceId, now: Timestamp) {
        let jitter = self.jitter();
        let isolated = self.isolated;
        let link = self.links.entry(id.clone()).or_default();
        if isolated && !link.is_failing {
            link.record_failure(jitter, now);
        }
        link.record_demand(now);
    }

    /// Records contact with an instance that began at `began`: an answer or an established
    /// connection.
    pub fn record_contact(&mut self, id: &InstanceId, began: Timestamp, now: Timestamp) {
        self.last_contact = now;
        self.failed_since_contact.clear();
        self.control = None;
        if self.links.is_empty() {
            return;
        }
        let link = self.links.get_mut(id);
        let has_recovered = link.is_some_and(|link| link.record_contact(began, now));
        if has_recovered {
            Event::LinkRecovered { instance: id }.emit();
        }
        if began >= self.isolated_at {
            self.end_isolation(now);
        }
    }

    /// Records that no connection to an instance was established, or that the instance was
    /// silent and a probe failed as well.
    pub fn record_failure(&mut self, id: &InstanceId, now: Timestamp) {
        let jitter = self.jitter();
        let link = self.links.entry(id.clone()).or_default();
        let is_known = link.is_failing;
        link.record_failure(jitter, now);
        link.record_demand(now);
        if is_known {
            return;
        }
        Event::LinkFailed { instance: id }.emit();
        self.failed_since_contact.insert(id.clone());
    }

    /// Whether a peer has recently reached an instance.
    pub fn is_reached_by(&self, id: &InstanceId, peer: SocketAddr, now: Timestamp) -> bool {
        self.links
            .get(id)
            .is_some_and(|link| link.is_reached_by(peer, now))
    }

    /// Records that a peer reaches an instance.
    pub fn record_peer_contact(&mut self, id: &InstanceId, peer: SocketAddr, now: Timestamp) {
        let link = self.links.entry(id.clone()).or_default();
        link.record_peer_contact(peer, now);
    }

    /// Records that a peer doesn't reach an instance either.
    pub fn record_peer_failure(&mut self, id: &InstanceId, peer: SocketAddr, now: Timestamp) {
        let link = self.links.entry(id.clone()).or_default();
        link.record_peer_failure(peer, now);
    }

    /// Records that there is no peer left to ask for an instance.
    pub fn record_no_peer(&mut self, id: &InstanceId, now: Timestamp) {
        self.links
            .entry(id.clone())
            .or_default()
            .record_unreachable(now);
    }

    /// Whether a link on which an instance is silent should be probed now.
    pub fn suspect(&mut self, id: &InstanceId, now: Timestamp) -> bool {
        if self.uses_all_links {
            return false;
        }
        let link = self.links.entry(id.clone()).or_default();
        let is_recent = link
            .suspected_at
            .is_some_and(|at| now < at + SUSPICION_PAUSE);
        let probes = !link.is_failing && link.probe.is_none() && !is_recent;
        if probes {
            link.suspected_at = Some(now);
        }
        probes
    }

    /// The instances whose links are to be probed now.
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let room = MAX_PROBES.saturating_sub(self.probes.len());
        if room == 0 || self.links.is_empty() {
            return Vec::new();
        }
        let mut due: Vec<(Timestamp, InstanceId)> = self
            .links
            .iter()
            .filter(|(_, link)| link.awaits_probe() && link.retry_at <= now)
            .map(|(id, link)| (link.retry_at, id.clone()))
            .collect();
        due.sort_unstable();
        due.into_iter().take(room).map(|(_, id)| id).collect()
    }

    /// Records that a probe was sent.
    pub fn probe_sent(&mut self, id: &InstanceId, exchange: ExchangeId) {
        self.links.entry(id.clone()).or_default().probe = Some(exchange);
        self.probes.insert(exchange, id.clone());
    }

    /// Drops what is known of the link to an instance.
    pub fn forget(&mut self, id: &InstanceId) {
        self.links.remove(id);
        self.failed_since_contact.remove(id);
    }

    /// Whether an exchange is a probe of a link.
    pub fn owns(&self, exchange: ExchangeId) -> bool {
        self.probes.contains_key(&exchange)
    }

    /// Handles the end of a probe. Returns the instance if the probe failed.
    pub fn probe_ended(
        &mut self,
        exchange: ExchangeId,
        is_connected: bool,
        now: Timestamp,
    ) -> Option<InstanceId> {
        let id = self.probes.remove(&exchange)?;
        if let Some(link) = self.links.get_mut(&id) {
            link.probe = None;
        }
        if is_connected {
            self.record_contact(&id, now, now);
            return None;
        }
        self.record_failure(&id, now);
        self.control = self.control.map(|open| open.saturating_sub(1));
        self.conclude_control(now);
        Some(id)
    }

    /// When the next link is to be probed.
    pub fn next_probe(&self) -> Option<Timestamp> {
        let has_room = self.probes.len() < MAX_PROBES;
        let waiting = self.links.values().filter(|link| link.awaits_probe());
        waiting.map(|link| link.retry_at).min().filter(|_| has_room)
    }

    /// Drops the links to instances that are unknown to `is_known`, and those that have worked
    /// for long.
    pub fn expire(&mut self, is_known: impl Fn(&InstanceId) -> bool, now: Timestamp) {
        self.links
            .retain(|id, link| link.probe.is_some() || is_known(id) && !link.is_forgotten(now));
        let links = &self.links;
        self.failed_since_contact
            .retain(|id| links.contains_key(id));
    }

    /// Spreads the probes of all failing links over the return time.
    fn end_isolation(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.isolated) {
            return;
        }
        Event::IsolationEnded.emit();
        for link in self.links.values_mut().filter(|link| link.is_failing) {
            let spread = RETURN_TIME.mul_f64(self.rng.random_range(0.0..1.0));
            link.retry_at = link.retry_at.min(now + spread);
        }
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.0..0.5)
    }
}
