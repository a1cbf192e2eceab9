//! Clients of crashing requests: their source addresses, simultaneous attempts, and the
//! harmless requests that they send along.

use super::crashing::{CrashedService, CrashingRequest, DEADLINE_MS, crashing_caller};
use super::world::World;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// Maximum number of simultaneous attempts.
const MAX_SIMULTANEOUS: usize = 3;
/// The same for repeatable requests, each of which a node may send to two instances.
const MAX_SIMULTANEOUS_REPEATABLE: usize = 2;
/// Network of the addresses that are used for one attempt only.
const SINGLE_USE_NETWORK: u32 = u32::from_be_bytes([10, 1, 0, 0]);

/// How often the clients of a request change their source address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressChange {
    /// All attempts come from one address.
    Never,
    /// About half of the attempts come from new addresses.
    Sometimes,
    /// Each attempt comes from a new address.
    Always,
}

impl AddressChange {
    /// Selects one by the seed, independently of the seed's remainders by 2 and 3, which select
    /// other faults.
    pub(super) fn of_seed(seed: u64) -> AddressChange {
        match seed / 6 % 3 {
            0 => AddressChange::Always,
            1 => AddressChange::Never,
            _ => AddressChange::Sometimes,
        }
    }
}

impl CrashingRequest {
    /// Draws the clients of the given requests. Of two requests, the second may go to the same
    /// instances at the same time as the first.
    pub(super) fn with_drawn_clients(
        mut requests: Vec<CrashingRequest>,
        addresses: AddressChange,
        rng: &mut Pcg64Mcg,
    ) -> Vec<CrashingRequest> {
        for request in &mut requests {
            request.addresses = addresses;
            request.simultaneous = rng.random_range(1..=max_simultaneous(request.service));
            request.has_companion = rng.random_bool(0.5);
        }
        if let [first, second] = requests.as_mut_slice()
            && rng.random_bool(0.5)
        {
            second.from = first.from + Duration::from_millis(rng.random_range(0..100));
            second.service = first.service;
            second.simultaneous = first.simultaneous;
        }
        requests
    }
}

fn max_simultaneous(service: CrashedService) -> usize {
    match service {
        CrashedService::Repeatable => MAX_SIMULTANEOUS_REPEATABLE,
        CrashedService::Keyed(_) | CrashedService::Once => MAX_SIMULTANEOUS,
    }
}

impl World {
    /// Sends the simultaneous attempts of a crashing request, each to another ready node.
    pub(super) fn send_crashing_attempts(
        &mut self,
        number: usize,
        ready: &[usize],
        position: usize,
    ) {
        let simultaneous = self.settings.crashing[number].simultaneous;
        for offset in 0..simultaneous.min(ready.len()) {
            let index = ready[(position + offset) % ready.len()];
            self.send_crashing_attempt(number, index);
        }
    }

    /// Sends one attempt, along with its companion if there is one.
    fn send_crashing_attempt(&mut self, number: usize, index: usize) {
        let source = self.draw_crashing_source(number);
        if !self.settings.crashing[number].has_companion {
            self.send_crashing(number, index, source);
            return;
        }
        let is_companion_first = self.caller_rng.random_bool(0.5);
        if is_companion_first {
            self.send_companion(number, index, source);
        }
        self.send_crashing(number, index, source);
        if !is_companion_first {
            self.send_companion(number, index, source);
        }
    }

    fn draw_crashing_source(&mut self, number: usize) -> IpAddr {
        let is_new = match self.settings.crashing[number].addresses {
            AddressChange::Never => false,
            AddressChange::Sometimes => self.caller_rng.random_bool(0.5),
            AddressChange::Always => true,
        };
        match is_new {
            true => single_use_address(self.crashing_tries),
            false => crashing_caller(number),
        }
    }

    /// Sends the harmless request that accompanies each attempt of a crashing one.
    fn send_companion(&mut self, number: usize, index: usize, source: IpAddr) {
        let service = self.settings.crashing[number].service;
        let path = format!("beside{number}");
        let (attempt, request) = self.next_request(service, &path, DEADLINE_MS);
        self.send_harmless(index, attempt, source, service, request);
    }
}

/// A different address for each of 65,536 attempts.
fn single_use_address(attempt: u64) -> IpAddr {
    let host = u32::try_from(attempt % (1 << 16)).unwrap_or_default();
    IpAddr::V4(Ipv4Addr::from(SINGLE_USE_NETWORK + host))
}
