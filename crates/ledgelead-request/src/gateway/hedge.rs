//! Hedging: a second attempt at another server for a repeatable request of a service that is
//! not partitioned by key, when the first attempt takes longer than most do.

use super::Gateway;
use super::request::{PermitSearch, SearchStage, Target};
use ledgelead_types::{RequestId, Time};

impl Gateway {
    /// Sets the time of the hedge, if the request may be hedged.
    pub(super) fn schedule_hedge(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let first_attempt = request.sent == 1;
        let may_hedge = request.repeatable && request.target == Target::Service;
        if !first_attempt || !may_hedge {
            return;
        }
        let service = request.service;
        let delay = self.service_state(service).hedge_delay();
        if let Some(request) = self.requests.get_mut(&id) {
            request.hedge_at = delay.map(|delay| now + delay);
        }
    }

    /// Starts the second attempt when it is due and the hedging budget allows it.
    pub(super) fn hedge_if_due(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.hedge_at.is_none_or(|due| now < due) {
            return;
        }
        request.hedge_at = None;
        let service = request.service;
        if request.search.is_some() || !self.service_state(service).hedges.take() {
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.search = Some(PermitSearch {
                number: request.last_number,
                hedge: true,
                stage: SearchStage::Waiting {
                    retry_at: now,
                    wake_on_routes: false,
                },
            });
        }
        self.locate(now, id);
    }
}
