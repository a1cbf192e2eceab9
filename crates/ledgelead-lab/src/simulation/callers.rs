//! Callers: open-loop Poisson arrivals per service, with Zipf-distributed key popularity,
//! changing hot keys, tiers, and requests that may run at most once.

use super::event::NodeRun;
use super::key_load::Popularity;
use super::rng::{RandomStream, milliseconds};
use crate::checker::requests::OnceKey;
use crate::scenario::{Scenario, ServiceSection};
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::{Bytes, Position, PositionRange, RequestId, Span, TierId, Time};
use std::collections::BTreeMap;

/// A request from the caller's point of view.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Index of the service.
    pub service: usize,
    /// Its key, if the service is keyed.
    pub key: Option<Bytes>,
    /// Tier of the caller.
    pub tier: TierId,
    /// How long the caller allows the request to take.
    pub deadline: Span,
    /// Execution time on a warm server.
    pub service_time: Span,
    /// What may run at most once, if anything.
    pub once: Option<OnceKey>,
    /// When it was sent.
    pub sent: Time,
    /// The node incarnation that accepted it, and its request number there.
    pub accepted: Option<(NodeRun, RequestId)>,
    /// The probe that it belongs to, if any.
    pub probe: Option<usize>,
    /// Whether it counts in the measurements.
    pub counted: bool,
    /// Whether it retries an earlier request with the same idempotency key.
    pub is_retry: bool,
    /// Index of the server to which it was last sent.
    pub server: Option<usize>,
}

/// Keys of a service and their popularity.
pub struct ServiceLoad {
    pub(super) section: ServiceSection,
    pub(super) keyed: bool,
    pub(super) cumulative: Vec<f64>,
    pub(super) order: Vec<u32>,
    pub(super) hot: Vec<u32>,
    pub(super) by_position: Vec<(Position, u32)>,
    pub(super) popularity: Popularity,
}

/// All callers.
pub struct Callers {
    /// Load of each service.
    pub services: Vec<ServiceLoad>,
    /// Requests whose callers have not received an outcome, by the number in the body.
    pub open: BTreeMap<u64, CallerRequest>,
    tiers: Vec<f64>,
    last_body: u64,
    last_idempotency: u64,
    /// Random numbers of the load.
    pub rng: RandomStream,
}

impl ServiceLoad {
    fn new(section: &ServiceSection, rng: &mut RandomStream) -> ServiceLoad {
        let keyed = section.partitioning != Partitioning::None;
        let mut load = ServiceLoad {
            section: section.clone(),
            keyed,
            cumulative: zipf(section.load.keys, section.load.zipf),
            order: (0..section.load.keys).collect(),
            hot: Vec::new(),
            by_position: Vec::new(),
            popularity: Popularity::default(),
        };
        shuffle(&mut load.order, rng);
        load.by_position = (0..section.load.keys)
            .map(|key| (load.position(key), key))
            .collect();
        load.by_position.sort_unstable();
        load.move_hot_keys(rng);
        load
    }

    /// The bytes of the key with this number.
    fn key(&self, number: u32) -> Bytes {
        Bytes(format!("{number:08}-{}", self.section.name).into_bytes())
    }

    fn position(&self, number: u32) -> Position {
        Position::of(&self.key(number).0, self.section.partitioning)
    }

    /// Draws new hot keys: all of them initially, later as many as change at a time.
    pub fn move_hot_keys(&mut self, rng: &mut RandomStream) {
        let load = &self.section.load;
        let keys = load.keys as usize;
        let moved = match load.hot_keys_moved {
            0 => load.hot_keys,
            some => some.min(load.hot_keys),
        };
        if self.hot.is_empty() {
            self.hot = (0..load.hot_keys).map(|_| rng.below(keys) as u32).collect();
        } else {
            // Drop the keys that have been hot the longest.
            self.hot.drain(..moved as usize);
            self.hot.extend((0..moved).map(|_| rng.below(keys) as u32));
        }
        self.update_popularity();
    }

    fn draw_key(&self, rng: &mut RandomStream) -> u32 {
        if rng.chance(self.section.load.hot_percent / 100.0)
            && let Some(hot) = rng.pick(&self.hot)
        {
            return hot;
        }
        let point = rng.unit();
        let rank = self.cumulative.partition_point(|sum| *sum <= point);
        self.order[rank.min(self.order.len() - 1)]
    }

    /// A key whose position is in the range.
    fn key_in(&self, range: PositionRange) -> Option<u32> {
        let first = self
            .by_position
            .partition_point(|(position, _)| *position < range.first);
        let (position, key) = self.by_position.get(first)?;
        range.contains(*position).then_some(*key)
    }

    /// Mean requests per second, averaged over the daily cycle.
    pub fn mean_rate(&self) -> f64 {
        let slots = f64::from(self.section.instances) * f64::from(self.section.slots);
        const MILLIS_PER_SECOND: f64 = 1_000.0;
        self.section.load.of_capacity * slots * MILLIS_PER_SECOND / self.section.service_ms
    }

    fn draw_service_time(&self, rng: &mut RandomStream) -> Span {
        let variable = self.section.service_variable_share;
        let factor = (1.0 - variable) + rng.exponential(variable);
        milliseconds(self.section.service_ms * factor)
    }
}

impl Callers {
    /// Creates the callers of a scenario.
    pub fn new(scenario: &Scenario, mut rng: RandomStream) -> Callers {
        Callers {
            services: scenario
                .services
                .iter()
                .map(|section| ServiceLoad::new(section, &mut rng))
                .collect(),
            open: BTreeMap::new(),
            tiers: scenario
                .tiers
                .iter()
                .map(|tier| tier.load_percent)
                .collect(),
            last_body: 0,
            last_idempotency: 0,
            rng,
        }
    }

    /// Draws a request for a service and returns the number in its body.
    pub fn draw(&mut self, service: usize, now: Time) -> u64 {
        let load = &self.services[service];
        let key = load.keyed.then(|| load.key(load.draw_key(&mut self.rng)));
        let service_time = load.draw_service_time(&mut self.rng);
        let section = &load.section.load;
        let deadline = Span::from_millis(section.deadline_ms);
        let is_once = self.rng.chance(section.once_only_percent / 100.0);
        let has_idempotency_key = self.rng.chance(section.repeat_percent / 100.0);
        let tier = self.draw_tier();
        let body = self.next_body();
        let once = is_once.then(|| {
            if has_idempotency_key {
                self.last_idempotency += 1;
                OnceKey::Idempotency(self.last_idempotency)
            } else {
                OnceKey::Body(body)
            }
        });
        let request = CallerRequest {
            service,
            key,
            tier,
            deadline,
            service_time,
            once,
            sent: now,
            accepted: None,
            probe: None,
            counted: true,
            is_retry: false,
            server: None,
        };
        self.open.insert(body, request);
        body
    }

    /// Creates a retry of a request with the same idempotency key.
    pub fn retry(&mut self, original: &CallerRequest, now: Time) -> u64 {
        let body = self.next_body();
        let request = CallerRequest {
            sent: now,
            accepted: None,
            is_retry: true,
            ..original.clone()
        };
        self.open.insert(body, request);
        body
    }

    /// Creates a cheap request for a key in a range; `None` if the range contains no key.
    pub fn probe(
        &mut self,
        probe: usize,
        service: usize,
        range: PositionRange,
        now: Time,
    ) -> Option<u64> {
        const SERVICE_TIME: Span = Span::from_millis(1);
        const DEADLINE: Span = Span::from_millis(1_500);
        let load = &self.services[service];
        let key = load.key(load.key_in(range)?);
        let body = self.next_body();
        let request = CallerRequest {
            service,
            key: Some(key),
            tier: TierId(0),
            deadline: DEADLINE,
            service_time: SERVICE_TIME,
            once: None,
            sent: now,
            accepted: None,
            probe: Some(probe),
            counted: false,
            is_retry: false,
            server: None,
        };
        self.open.insert(body, request);
        Some(body)
    }

    fn next_body(&mut self) -> u64 {
        self.last_body += 1;
        self.last_body
    }

    fn draw_tier(&mut self) -> TierId {
        let mut point = self.rng.unit() * 100.0;
        for (index, share) in self.tiers.iter().enumerate() {
            if point < *share {
                return TierId(index as u8);
            }
            point -= share;
        }
        TierId(0)
    }
}

/// Cumulative popularity by rank under a Zipf distribution.
fn zipf(count: u32, exponent: f64) -> Vec<f64> {
    let weights = (1..=count).map(|rank| f64::from(rank).powf(-exponent));
    let mut sum = 0.0;
    let sums = weights
        .map(|weight| {
            sum += weight;
            sum
        })
        .collect::<Vec<_>>();
    sums.into_iter().map(|partial| partial / sum).collect()
}

fn shuffle(items: &mut [u32], rng: &mut RandomStream) {
    for last in (1..items.len()).rev() {
        items.swap(last, rng.below(last + 1));
    }
}
