//! Times one second of a coordinator's work for different numbers of owners.
//!
//! `cargo run --release -p ledgelead-router --example coordinator_bench`

use ledgelead_router::configuration::{ClientLimits, Configuration, Service};
use ledgelead_router::dialect::{KeyRange, OrderAnswer};
use ledgelead_router::directory::{Directory, InstanceRecord};
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::mechanisms::Mechanisms;
use ledgelead_router::ownership::coordinator::{
    Context, Coordinator, EarlierAuthority, ExchangeIds,
};
use ledgelead_router::ownership::record::{Assignment, OwnershipRecord};
use ledgelead_router::protections::Protections;
use ledgelead_router::rate_limit::KnownLimits;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Numbers of owners; the second is that of the largest deployment, the third twice that.
const OWNERS: [usize; 3] = [400, 4_272, 8_544];
/// Time between two steps of a busy coordinator.
const STEP: Duration = Duration::from_millis(10);
/// Seconds that are timed, after one that is not.
const SECONDS: u32 = 5;

fn instance(number: usize, service: &str) -> InstanceRecord {
    let [high, low] = u16::try_from(number % 60_000).unwrap_or(0).to_be_bytes();
    InstanceRecord {
        id: InstanceId::from(format!("i-{number:010}").as_str()),
        service: ServiceName::from(service),
        address: SocketAddr::from(([10, 1, high, low], 8_000)),
        zone: ZoneName::from("a"),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
    }
}

fn record(owners: usize) -> OwnershipRecord {
    let keys = KeyRange::ALL.len() as usize;
    let edge = |index: usize| u16::try_from(index * keys / owners);
    let assignment = |index: usize| Assignment {
        service: ServiceName::from("records"),
        first: edge(index).unwrap_or(u16::MAX),
        last: edge(index + 1).map_or(u16::MAX, |next| next - 1),
        owner: instance(index, "records").id,
        fence: index as u64 + 1,
    };
    OwnershipRecord {
        epoch: 2,
        next_fence: owners as u64 + 1,
        assignments: (0..owners).map(assignment).collect(),
        ..OwnershipRecord::default()
    }
}

fn main() {
    for owners in OWNERS {
        let others = owners + owners / 2;
        let keyed = (0..owners).map(|number| instance(number, "records"));
        let unkeyed = (owners..owners + others).map(|number| instance(number, "jobs"));
        let mut directory = Directory::new(Protections::default());
        let records: Vec<InstanceRecord> = keyed.chain(unkeyed).collect();
        directory.replace_all(records, Duration::ZERO);
        let configuration = Configuration {
            version: 1,
            routes: Vec::new(),
            services: vec![Service {
                name: ServiceName::from("records"),
                sharded: true,
                max_connections: 100,
                cold_rate: None,
            }],
            tenants: Vec::new(),
            limits: ClientLimits::default(),
        };
        let earlier = EarlierAuthority {
            predecessor: Duration::ZERO,
            others: Duration::ZERO,
        };
        let mut coordinator = Coordinator::new(
            record(owners),
            earlier,
            Protections::default(),
            Duration::ZERO,
        );
        let mut exchanges = ExchangeIds::default();
        let mut now = Duration::ZERO;
        let mut began = Instant::now();
        let mut grants = 0;
        let steps = 1_000 / u32::try_from(STEP.as_millis()).unwrap_or(1);
        for step in 0..steps * (SECONDS + 1) {
            if step == steps {
                began = Instant::now();
                grants = 0;
            }
            now += STEP;
            let mut context = Context {
                now,
                directory: &directory,
                configuration: &configuration,
                limits: &KnownLimits::default(),
                store_serves: true,
                is_cut_off: false,
                record_revision: 1,
                known_to_all: Some(1),
                mechanisms: Mechanisms::default(),
                exchanges: &mut exchanges,
            };
            let orders = coordinator.step(&mut context).orders;
            grants += orders.len();
            for order in orders {
                let done = Ok(OrderAnswer::Done { handover: None });
                coordinator.order_ended(order.exchange, done, now);
            }
        }
        let a_second = began.elapsed() / SECONDS;
        println!(
            "{owners} owners: {:.2} ms of a second, {} grants",
            a_second.as_secs_f64() * 1_000.0,
            grants / SECONDS as usize,
        );
    }
}
