//! Accepts and classifies a request: service, key, caller and its tier, deadline, whether
//! the request is repeatable; then applies the caller's limits.

use super::Gateway;
use super::directory::{Identity, ServiceEntry};
use super::interface::GatewayOutput;
use super::request::{ActiveRequest, Target};
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::event::Event;
use ledgelead_types::request::RequestArrival;
use ledgelead_types::{
    CallerId, IdempotencyKey, NotRunReason, Outcome, Position, RequestId, ServiceId, Span, TierId,
    Time,
};
use xxhash_rust::xxh3::Xxh3;

/// Upper bound of a request's deadline; longer ones are reduced to it.
const MAX_DEADLINE: Span = Span::from_seconds(300);

/// Retry delay for requests to a stopping node, which other nodes can serve.
const STOPPING_RETRY_AFTER: Span = Span::from_millis(50);

/// Retry delay while this node has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Span = Span::from_millis(500);

/// Why a request is rejected, and what the response and its event state.
struct Rejection {
    reason: NotRunReason,
    retry_after: Option<Span>,
    service: Option<ServiceId>,
    tier: TierId,
}

impl Rejection {
    fn new(reason: NotRunReason) -> Rejection {
        Rejection {
            reason,
            retry_after: None,
            service: None,
            tier: TierId::default(),
        }
    }

    fn retry_after(self, span: Span) -> Rejection {
        Rejection {
            retry_after: Some(span),
            ..self
        }
    }

    fn of(self, service: &ServiceEntry, tier: TierId) -> Rejection {
        Rejection {
            service: Some(service.id),
            tier,
            ..self
        }
    }
}

impl Gateway {
    /// Accepts a request and starts its first attempt, or answers it with the rejection.
    pub(super) fn accept(&mut self, now: Time, arrival: RequestArrival) {
        let id = arrival.request;
        if self.requests.contains_key(&id) {
            return;
        }
        match self.classify(now, &arrival) {
            Ok(request) => {
                self.service_state(request.service).count_arrival();
                self.requests.insert(id, request);
                self.locate(now, id);
                self.reschedule(id);
            }
            Err(rejection) => self.reject(id, &rejection),
        }
    }

    fn reject(&mut self, request: RequestId, rejection: &Rejection) {
        let outcome = Outcome::NotRun(rejection.reason);
        self.outputs.push(GatewayOutput::Respond {
            request,
            outcome,
            attempt: None,
            retry_after: rejection.retry_after,
        });
        self.outputs
            .push(GatewayOutput::Event(Event::RequestFinished {
                request,
                service: rejection.service,
                tier: rejection.tier,
                outcome,
                attempts: 0,
                latency: Span::ZERO,
            }));
    }

    fn classify(
        &mut self,
        now: Time,
        arrival: &RequestArrival,
    ) -> Result<ActiveRequest, Rejection> {
        if self.stopping {
            return Err(Rejection::new(NotRunReason::Stopping).retry_after(STOPPING_RETRY_AFTER));
        }
        if !self.directory.is_configured() {
            return Err(
                Rejection::new(NotRunReason::NoServer).retry_after(UNCONFIGURED_RETRY_AFTER)
            );
        }
        let service = self
            .directory
            .service(&arrival.service)
            .ok_or_else(|| Rejection::new(NotRunReason::UnknownService))?;
        let identity = self.directory.identify(&arrival.credential_sha256);
        let (caller, tier) = match identity {
            Identity::Anonymous(tier) => (None, tier),
            Identity::Caller(caller) => (Some(caller), caller.tier),
            Identity::Unknown => {
                let rejection = Rejection::new(NotRunReason::Unauthorized);
                return Err(rejection.of(&service, TierId::default()));
            }
        };
        let idempotency = idempotency_key(arrival, &service)
            .map_err(|reason| Rejection::new(reason).of(&service, tier))?;
        let target = target(arrival, &service, idempotency)
            .map_err(|reason| Rejection::new(reason).of(&service, tier))?;
        let deadline = arrival
            .deadline
            .unwrap_or(service.default_deadline)
            .min(MAX_DEADLINE);
        if deadline == Span::ZERO {
            return Err(Rejection::new(NotRunReason::DeadlineTooClose).of(&service, tier));
        }
        if let Some(caller) = &caller
            && let Err(span) = self.limits.enter(caller, now)
        {
            let rejection = Rejection::new(NotRunReason::LimitExceeded).retry_after(span);
            return Err(rejection.of(&service, tier));
        }
        Ok(new_request(
            now,
            arrival,
            Classified {
                service: service.id,
                caller: caller.map(|caller| caller.id),
                tier,
                target,
                idempotency,
                deadline,
            },
        ))
    }
}

struct Classified {
    service: ServiceId,
    caller: Option<CallerId>,
    tier: TierId,
    target: Target,
    idempotency: Option<IdempotencyKey>,
    deadline: Span,
}

fn new_request(now: Time, arrival: &RequestArrival, classified: Classified) -> ActiveRequest {
    ActiveRequest {
        id: arrival.request,
        service: classified.service,
        target: classified.target,
        tier: classified.tier,
        caller: classified.caller,
        repeatable: arrival.repeatable && classified.idempotency.is_none(),
        idempotency: classified.idempotency,
        arrived: now,
        deadline: now + classified.deadline,
        last_number: 0,
        sent: 0,
        retries: 0,
        search: None,
        sent_attempts: Vec::new(),
        possibly_run: None,
        held_since: None,
        unreachable_since: None,
        holds: 0,
        avoid: None,
        hedge_at: None,
        idempotency_record: None,
    }
}

/// The servers that may run the request.
fn target(
    arrival: &RequestArrival,
    service: &ServiceEntry,
    idempotency: Option<IdempotencyKey>,
) -> Result<Target, NotRunReason> {
    if service.partitioning == Partitioning::None {
        return Ok(match idempotency {
            Some(key) => Target::Group(service.group_of_hash(key.0)),
            None => Target::Service,
        });
    }
    let key = arrival.key.as_ref().ok_or(NotRunReason::BadRequest)?;
    let position = Position::of(&key.0, service.partitioning);
    Ok(Target::Key {
        group: service.group_of(position),
        position,
    })
}

/// Hash of the idempotency key together with its caller, service and routing key. The same
/// key from another caller or for another routing key is a different key.
fn idempotency_key(
    arrival: &RequestArrival,
    service: &ServiceEntry,
) -> Result<Option<IdempotencyKey>, NotRunReason> {
    let Some(key) = &arrival.idempotency_key else {
        return Ok(None);
    };
    if key.is_empty() {
        return Err(NotRunReason::BadRequest);
    }
    let mut hasher = Xxh3::new();
    hasher.update(&service.id.0.to_le_bytes());
    let routing_key = arrival.key.as_ref().map_or(&[][..], |key| &key.0);
    for part in [
        arrival.credential_sha256.as_bytes(),
        routing_key,
        key.as_bytes(),
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Ok(Some(IdempotencyKey(hasher.digest())))
}
