//! A coordinator without a node: its steps, and the outcomes of its orders.

use ledgelead_router::configuration::{ClientLimits, Configuration, Service};
use ledgelead_router::dialect::OrderAnswer;
use ledgelead_router::directory::{Directory, InstanceRecord};
use ledgelead_router::identity::{InstanceId, NodeIdentity, NodeName, ServiceName};
use ledgelead_router::mechanisms::Mechanisms;
use ledgelead_router::ownership::coordinator::{
    Commands, Context, Coordinator, EarlierAuthority, ExchangeIds, OutgoingOrder,
};
use ledgelead_router::ownership::record::{Assignment, OwnershipRecord, RangeGracePeriod};
use ledgelead_router::protections::Protections;
use ledgelead_router::rate_limit::KnownLimits;
use std::time::Duration;

/// A coordinator of the service `s`, and the instances that it knows.
pub struct Fixture {
    pub coordinator: Coordinator,
    pub directory: Directory,
    /// The revision of the record that all nodes are known to have.
    pub known_to_all: Option<u64>,
    exchanges: ExchangeIds,
}

impl Fixture {
    /// A coordinator with one range that this instance owns with token 5. Earlier coordinators
    /// have no authority.
    pub fn owned_by(owner: InstanceId, instances: Vec<InstanceRecord>) -> Fixture {
        Fixture::with_grace_periods(owner, instances, Vec::new())
    }

    /// The same with grace periods in the record.
    pub fn with_grace_periods(
        owner: InstanceId,
        instances: Vec<InstanceRecord>,
        grace_periods: Vec<RangeGracePeriod>,
    ) -> Fixture {
        let identity = NodeIdentity {
            node: NodeName::from("n"),
            incarnation: 1,
        };
        let record = OwnershipRecord {
            epoch: 1,
            coordinator: Some(identity),
            next_fence: 6,
            grace_periods,
            assignments: vec![Assignment {
                service: ServiceName::from("s"),
                first: 0,
                last: u16::MAX,
                owner,
                fence: 5,
            }],
            ..OwnershipRecord::default()
        };
        let earlier = EarlierAuthority {
            predecessor: Duration::ZERO,
            others: Duration::ZERO,
        };
        let start = Duration::ZERO;
        let mut directory = Directory::default();
        directory.replace_all(instances, start);
        Fixture {
            coordinator: Coordinator::new(record, earlier, Protections::default(), start),
            directory,
            known_to_all: None,
            exchanges: ExchangeIds::default(),
        }
    }

    pub fn step(&mut self, now: Duration) -> Commands {
        let configuration = Configuration {
            version: 1,
            routes: Vec::new(),
            services: vec![Service {
                name: ServiceName::from("s"),
                sharded: true,
                max_connections: 10,
                cold_rate: None,
            }],
            tenants: Vec::new(),
            limits: ClientLimits::default(),
        };
        self.coordinator.step(&mut Context {
            now,
            directory: &self.directory,
            configuration: &configuration,
            limits: &KnownLimits::default(),
            store_serves: true,
            is_cut_off: false,
            record_revision: 1,
            known_to_all: self.known_to_all,
            mechanisms: Mechanisms::default(),
            exchanges: &mut self.exchanges,
        })
    }

    /// The single order of a step.
    pub fn order(&mut self, now: Duration) -> OutgoingOrder {
        let orders = self.step(now).orders;
        assert_eq!(orders.len(), 1, "{orders:?}");
        orders[0].clone()
    }

    pub fn done(&mut self, order: &OutgoingOrder, now: Duration) {
        let done = OrderAnswer::Done { handover: None };
        self.coordinator.order_ended(order.exchange, Ok(done), now);
    }
}
