//! State of a server dispatched by this node: slots, status, health and load.

use crate::estimate::{DecayingRate, MeanSpan, QuantileSpan};
use crate::message::PermitEnd;
use ledgelead_types::dispatch::DispatchedServer;
use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::server::LoadReport;
use ledgelead_types::{Span, Time};

/// Time between the end of a request at the server and the start of the next request allowed
/// by the returned permit: answer, release, permit and request take one hop each. Permits
/// beyond the slots fill this gap with a request that waits at the server. The measurement
/// is in `docs/design/request-path.md`.
const PERMIT_GAP: Span = Span::from_millis(4);

/// Added to the mean number of permits that fill the gap, because service times vary.
const SPARE_PERMITS: f64 = 0.5;

/// Maximum number of permits beyond the slots, per slot. A server that refuses requests as
/// busy lowers its bound to what it accepts; every so many answers raise it by one.
const MAX_PIPELINED_PER_SLOT: u32 = 2;
const ANSWERS_PER_INCREASE: u32 = 512;

/// How long a draining server may still serve its own keys while they are handed over. Work
/// without keys stops at once.
const DRAIN_GRACE: Span = Span::from_millis(1_500);

/// How long a server that this node has just started to dispatch is given one slot less,
/// unless it has already reported its load.
const TAKEOVER_LIMIT_TIME: Span = Span::from_millis(250);

/// Maximum time for which requests permitted by the previous dispatcher are counted.
const INHERITED_PERMITS_TTL: Span = Span::from_seconds(2);

/// Consecutive failures that eject a server, and the duration of the ejection, which doubles
/// with each consecutive ejection.
const FAILURES_TO_EJECT: u32 = 5;
const FIRST_EJECTION: Span = Span::from_seconds(1);
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Quantile of the service time that is reserved for queued work, and the samples required
/// for the estimate.
const LONG_SERVICE_QUANTILE: f64 = 0.95;
const LONG_SERVICE_SAMPLES: u32 = 20;

/// Kind of work that a permit is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Work {
    Keyed,
    Unkeyed,
}

/// Order of preference among servers; the lowest value is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    pipelined: bool,
    /// Slots in use, in thousandths of all slots.
    used_thousandths: u32,
    cold: bool,
    waiting_at_server: u16,
    last_granted: Time,
}

/// State of one server.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    pub(super) settings: DispatchedServer,
    pub(super) in_use: u32,
    pub(super) report: LoadReport,
    pub(super) rate: DecayingRate,
    pub(super) service_time: MeanSpan,
    long_service_time: QuantileSpan,
    /// Number of permits beyond the slots that may be in use.
    pipelined: u32,
    max_pipelined: u32,
    /// Answers since the bound last changed.
    answers: u32,
    reported: bool,
    since: Time,
    draining_since: Option<Time>,
    inherited: u32,
    last_granted: Time,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

impl ServerState {
    pub(super) fn new(settings: DispatchedServer, now: Time) -> ServerState {
        let mut state = ServerState {
            settings,
            in_use: 0,
            report: LoadReport::default(),
            rate: DecayingRate::default(),
            service_time: MeanSpan::default(),
            long_service_time: QuantileSpan::new(LONG_SERVICE_QUANTILE),
            pipelined: 1,
            max_pipelined: u32::from(settings.slots).max(1) * MAX_PIPELINED_PER_SLOT,
            answers: 0,
            reported: false,
            since: now,
            draining_since: None,
            inherited: 0,
            last_granted: Time::ZERO,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        };
        state.configure(settings, now);
        state
    }

    /// Applies new settings; counters and health are kept.
    pub(super) fn configure(&mut self, settings: DispatchedServer, now: Time) {
        self.settings = settings;
        self.draining_since = match settings.status {
            ServerStatus::Draining => self.draining_since.or(Some(now)),
            _ => None,
        };
    }

    /// Applies a load report. Requests at the server in excess of this dispatcher's permits
    /// were permitted by the previous dispatcher.
    pub(super) fn apply_report(&mut self, report: LoadReport) {
        let at_server = u32::from(report.executing) + u32::from(report.waiting);
        let excess = at_server.saturating_sub(self.in_use);
        if !self.reported {
            self.inherited = excess;
        } else {
            self.inherited = self.inherited.min(excess);
        }
        self.reported = true;
        self.report = report;
    }

    /// Whether the server may currently be given work of this kind.
    pub(super) fn is_usable(&self, now: Time, work: Work, protections: Protections) -> bool {
        let leased = match work {
            Work::Keyed => self.settings.lease_until.is_some_and(|until| now < until),
            Work::Unkeyed => true,
        };
        let takes_work =
            !protections.has(Protection::DrainStopsWork) || self.status_takes_work(now, work);
        leased && takes_work && self.settings.responsive
    }

    fn status_takes_work(&self, now: Time, work: Work) -> bool {
        match self.settings.status {
            ServerStatus::Active => true,
            ServerStatus::Draining => {
                let since = self.draining_since.unwrap_or(now);
                work == Work::Keyed && now < since + DRAIN_GRACE
            }
            ServerStatus::Retired | ServerStatus::Lost => false,
        }
    }

    /// Maximum number of permits in use at once.
    pub(super) fn limit(&self, now: Time, work: Work) -> u32 {
        let slots = u32::from(self.settings.slots).max(1);
        let is_takeover_limited = !self.reported && now < self.since + TAKEOVER_LIMIT_TIME;
        let on_probation = work == Work::Unkeyed && self.ejections > 0;
        if on_probation {
            1
        } else if is_takeover_limited {
            (slots - 1).max(1)
        } else if self.report.cold {
            cold_limit(slots, work)
        } else {
            slots + self.pipelined
        }
    }

    /// Permits beyond the slots: the number of requests that the slots would serve during
    /// the gap, rounded up with a reserve, at least one and at most what the server accepts.
    /// It is one until enough samples exist, so that a few short requests don't raise the
    /// limit. The measured time contains two hops and, on a busy server, the wait caused by
    /// the permits beyond the slots; both are subtracted.
    fn pipelined_by_measurement(&self) -> u32 {
        if self.long_service_time().is_none() {
            return 1;
        }
        let slots = u32::from(self.settings.slots).max(1);
        let at_server = self.service_time.or(PERMIT_GAP).less(PERMIT_GAP.times(0.5));
        let queueing = f64::from(slots + self.pipelined) / f64::from(slots);
        let served_in_gap =
            f64::from(slots) * PERMIT_GAP.as_seconds() * queueing / at_server.as_seconds();
        ((served_in_gap + SPARE_PERMITS).ceil() as u32).clamp(1, self.max_pipelined)
    }

    /// Permits in use, including those of the previous dispatcher.
    pub(super) fn used(&self, now: Time) -> u32 {
        let inherits = now < self.since + INHERITED_PERMITS_TTL;
        self.in_use + if inherits { self.inherited } else { 0 }
    }

    /// Whether another permit may be given now.
    pub(super) fn has_room(&self, now: Time, work: Work) -> bool {
        self.used(now) < self.limit(now, work)
    }

    /// Whether a slot is free according to the permits in use.
    pub(super) fn has_free_slot(&self, now: Time) -> bool {
        self.used(now) < u32::from(self.settings.slots).max(1)
    }

    /// The server's rank among those with free permits.
    pub(super) fn preference(&self, now: Time) -> Preference {
        let slots = u32::from(self.settings.slots).max(1);
        Preference {
            pipelined: !self.has_free_slot(now),
            used_thousandths: self.used(now) * 1_000 / slots,
            cold: self.report.cold,
            waiting_at_server: self.report.waiting,
            last_granted: self.last_granted,
        }
    }

    /// Counts a granted permit.
    pub(super) fn count_grant(&mut self, now: Time) {
        self.in_use += 1;
        self.last_granted = now;
        self.rate.count(now);
    }

    /// Counts a returned permit.
    pub(super) fn count_return(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Time that all but a few requests stay below, once there are enough samples.
    pub(super) fn long_service_time(&self) -> Option<Span> {
        self.long_service_time.after(LONG_SERVICE_SAMPLES)
    }

    /// Records the end of a permit; returns whether the server should be ejected.
    pub(super) fn observe(&mut self, end: PermitEnd, service_time: Span) -> bool {
        match end {
            PermitEnd::Answered => {
                self.service_time.add(service_time);
                self.long_service_time.add(service_time);
                self.count_answer();
                self.pipelined = self.pipelined_by_measurement();
                self.failures = 0;
                self.ejections = 0;
                false
            }
            PermitEnd::ServerFailure | PermitEnd::NotSent | PermitEnd::Lost => {
                self.failures += 1;
                self.failures >= FAILURES_TO_EJECT || self.ejections > 0
            }
            PermitEnd::Busy => {
                self.max_pipelined = self.pipelined.saturating_sub(1).max(1);
                self.pipelined = self.pipelined.min(self.max_pipelined);
                self.answers = 0;
                false
            }
            PermitEnd::Unused | PermitEnd::Refused => false,
        }
    }

    fn count_answer(&mut self) {
        self.answers += 1;
        if self.answers >= ANSWERS_PER_INCREASE {
            let most = u32::from(self.settings.slots).max(1) * MAX_PIPELINED_PER_SLOT;
            self.max_pipelined = (self.max_pipelined + 1).min(most);
            self.answers = 0;
        }
    }

    /// Excludes the server from selection for some time.
    pub(super) fn eject(&mut self, now: Time) {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let span = FIRST_EJECTION.times(f64::from(1_u32 << doublings));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + span);
    }

    /// End of the current ejection, if the server is ejected.
    pub(super) fn ejected_until(&self, now: Time) -> Option<Time> {
        self.ejected_until.filter(|&until| now < until)
    }
}

/// A cold server starts with half of its slots for work without keys. For the keys that it
/// owns, which no other server can serve, it gets all slots but no permits beyond them.
fn cold_limit(slots: u32, work: Work) -> u32 {
    match work {
        Work::Keyed => slots,
        Work::Unkeyed => slots.div_ceil(2),
    }
}
