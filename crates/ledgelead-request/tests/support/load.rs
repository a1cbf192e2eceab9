//! Open-loop load and its results.

use super::*;

/// Warm-up time that is excluded from the results.
pub const WARM_UP: Span = Span::from_seconds(2);

/// Poisson arrivals for `seconds` at `load` times the servers' capacity, divided among the
/// tiers by `mix`; the remainder goes to the last tier. The gateway of each request is
/// random.
pub fn open_loop(world: &mut World, load: f64, seconds: u64, mix: &[f64], deadline: Span) {
    let mut random = Pcg64Mcg::seed_from_u64(world.options.seed + 99);
    let slots = f64::from(world.options.servers) * f64::from(world.options.slots);
    let per_second = load * slots / world.options.service_time.as_seconds();
    let tiers: Vec<Text> = world
        .options
        .tiers
        .iter()
        .map(|tier| tier.name.clone())
        .collect();
    let end = Time::ZERO + WARM_UP + Span::from_seconds(seconds);
    let mut at = Time::ZERO;
    let mut id = 0;
    loop {
        let draw: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at = at + Span::from_seconds(1).times(-draw.ln() / per_second);
        if at >= end {
            return;
        }
        id += 1;
        let mut arrival = request(id);
        let mut part: f64 = random.random_range(0.0..1.0);
        let tier = mix
            .iter()
            .position(|share| {
                part -= share;
                part < 0.0
            })
            .unwrap_or(mix.len().saturating_sub(1));
        if let Some(name) = tiers.get(tier) {
            arrival.credential_sha256 = name.clone();
        }
        arrival.deadline = Some(deadline);
        let gateway = random.random_range(0..world.options.gateways);
        world.arrive(at, gateway, arrival);
    }
}

/// Results of one tier's requests after the warm-up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierFigures {
    pub arrived: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub p50: Span,
    pub p99: Span,
}

/// Results of each tier, by the credential of its callers.
pub fn figures(world: &World) -> BTreeMap<String, TierFigures> {
    let mut by_tier: BTreeMap<String, TierFigures> = BTreeMap::new();
    let mut latencies: BTreeMap<String, Vec<Span>> = BTreeMap::new();
    for (key, (at, arrival)) in &world.arrivals {
        if *at < Time::ZERO + WARM_UP {
            continue;
        }
        let tier = arrival.credential_sha256.0.clone();
        let figures = by_tier.entry(tier.clone()).or_default();
        figures.arrived += 1;
        let Some(response) = world.responses.get(key).and_then(|all| all.first()) else {
            continue;
        };
        match response.outcome {
            Outcome::Answered => {
                figures.answered += 1;
                latencies
                    .entry(tier)
                    .or_default()
                    .push(response.at.since(*at));
            }
            Outcome::NotRun(_) => figures.not_run += 1,
            Outcome::Unknown(_) => figures.unknown += 1,
        }
    }
    for (tier, mut spans) in latencies {
        spans.sort_unstable();
        if let Some(figures) = by_tier.get_mut(&tier) {
            figures.p50 = spans[spans.len() / 2];
            figures.p99 = spans[spans.len() * 99 / 100];
        }
    }
    by_tier
}

/// Requests answered between the warm-up and the end of the load, divided by what the
/// servers could have served in that time.
pub fn goodput(world: &World, seconds: u64) -> f64 {
    let (from, until) = (WARM_UP, WARM_UP + Span::from_seconds(seconds));
    let in_window = |response: &&Response| {
        let since_start = response.at.since(Time::ZERO);
        response.outcome == Outcome::Answered && from <= since_start && since_start < until
    };
    let responses = world.responses.values().filter_map(|all| all.first());
    let answered = responses.filter(in_window).count();
    let slots = f64::from(world.options.servers) * f64::from(world.options.slots);
    let capacity = slots * seconds as f64 / world.options.service_time.as_seconds();
    answered as f64 / capacity
}

/// Three example tiers.
pub fn three_tiers() -> Vec<TierConfiguration> {
    let tier = |id: u8, name: &str, weight, guaranteed_percent| TierConfiguration {
        id: TierId(id),
        name: name.into(),
        weight,
        guaranteed_percent,
    };
    vec![
        tier(1, "gold", 6, 40),
        tier(2, "silver", 3, 10),
        tier(3, "bronze", 1, 5),
    ]
}
