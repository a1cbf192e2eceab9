//! Plans a random load: which requests are due when.

use super::records::RequestNumber;
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::{Position, Span};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Zipf exponent of the popularity of keys.
const ZIPF_EXPONENT: f64 = 0.9;

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// Requests per second (Poisson arrivals).
    pub requests_per_second: f64,
    /// Duration of the arrivals.
    pub duration: Span,
    /// Share of requests to the unkeyed service, from 0 to 1.
    pub unkeyed_share: f64,
    /// Share of requests that must run at most once, from 0 to 1.
    pub once_only_share: f64,
    /// Number of keys.
    pub keys: usize,
    /// Number of callers, each with its own credential.
    pub callers: usize,
    /// First request number.
    pub first_request: RequestNumber,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// A planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Its number.
    pub request: RequestNumber,
    /// When it is due, relative to the start of the load.
    pub due: Span,
    /// Its key; `None` for the unkeyed service.
    pub key: Option<String>,
    /// Whether it must run at most once.
    pub once_only: bool,
    /// Index of the caller that sends it.
    pub caller: usize,
    /// Its body; empty for a search.
    pub body: Vec<u8>,
}

impl PlannedRequest {
    /// Position of the key.
    pub fn position(&self) -> Option<Position> {
        self.key
            .as_ref()
            .map(|key| Position::of(key.as_bytes(), Partitioning::Hash))
    }
}

/// Plans all requests of a load in the order in which they are due.
pub fn plan(shape: &LoadShape) -> Vec<PlannedRequest> {
    let mut random = Pcg64Mcg::seed_from_u64(shape.seed);
    let popularity = Zipf::new(shape.keys);
    let mut due = 0.0;
    let mut requests = Vec::new();
    loop {
        due += exponential(&mut random) / shape.requests_per_second;
        if due >= shape.duration.as_seconds() {
            return requests;
        }
        let number = RequestNumber(shape.first_request.0 + requests.len() as u64);
        let due = Span::from_micros((due * 1e6) as u64);
        requests.push(draw(shape, &popularity, &mut random, number, due));
    }
}

fn draw(
    shape: &LoadShape,
    popularity: &Zipf,
    random: &mut Pcg64Mcg,
    request: RequestNumber,
    due: Span,
) -> PlannedRequest {
    let unkeyed = random.random::<f64>() < shape.unkeyed_share;
    let once_only = random.random::<f64>() < shape.once_only_share;
    let rank = popularity.draw(random);
    let body = if once_only {
        format!("application {} of candidate {rank}", request.0).into_bytes()
    } else {
        Vec::new()
    };
    PlannedRequest {
        request,
        due,
        key: (!unkeyed).then(|| format!("vacancy-{rank}")),
        once_only,
        caller: random.random_range(0..shape.callers),
        body,
    }
}

/// An exponentially distributed number with mean 1.
fn exponential(random: &mut Pcg64Mcg) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// Draws ranks with probability proportional to `1 / rank^ZIPF_EXPONENT`.
struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    fn new(ranks: usize) -> Zipf {
        let mut total = 0.0;
        let cumulative = (1..=ranks)
            .map(|rank| {
                total += (rank as f64).powf(-ZIPF_EXPONENT);
                total
            })
            .collect();
        Zipf { cumulative }
    }

    fn draw(&self, random: &mut Pcg64Mcg) -> usize {
        let total = self.cumulative.last().copied().unwrap_or_default();
        let point = random.random::<f64>() * total;
        self.cumulative.partition_point(|bound| *bound <= point)
    }
}
