//! The thread of a back end on a socket, which accepts requests and completes executions when
//! their service time has passed.

use super::answer;
use super::http::{self, HttpListener};
use super::records::RequestNumber;
use super::server_endpoint::{EndpointSettings, SentBy, Shared};
use super::server_request::{self, AttemptNames};
use crate::standin::Moment;
use crate::standin::execution::{AttemptKey, ServerAction, ServerAnswer, ServerRequest};
use ledgelead_node::callers::headers;
use ledgelead_node::servers::signature::{ControlRequest, ServerKey};
use ledgelead_types::server::{LeaseRenewal, LoadReport, ServerRefusal};
use ledgelead_types::{Span, Time, codec};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tiny_http::Request;

/// Maximum wait for a request while nothing is executing.
const IDLE_WAIT: Duration = Duration::from_millis(50);
/// Path of lease renewals.
const LEASE_PATH: &str = "/ledgelead/lease";
/// Path of cancellations.
const CANCEL_PATH: &str = "/ledgelead/cancel";
/// Status for control requests whose signature is missing or invalid.
const UNSIGNED_STATUS: u16 = 403;

/// A request that has not been answered.
struct OpenRequest {
    request: Request,
    sent_by: SentBy,
    number: Option<RequestNumber>,
    body: Vec<u8>,
}

/// An execution that ends at a known time.
#[derive(Clone, Copy, Debug)]
struct DueExecution {
    at: Time,
    key: AttemptKey,
    sent_by: SentBy,
}

/// State of the thread.
pub(super) struct ServerThread {
    settings: EndpointSettings,
    shared: Arc<Shared>,
    key: ServerKey,
    names: AttemptNames,
    open: BTreeMap<AttemptKey, OpenRequest>,
    due: Vec<DueExecution>,
}

impl ServerThread {
    /// Creates a thread that accepts control requests signed with the key.
    pub(super) fn new(
        settings: EndpointSettings,
        shared: Arc<Shared>,
        key: ServerKey,
    ) -> ServerThread {
        ServerThread {
            settings,
            shared,
            key,
            names: AttemptNames::default(),
            open: BTreeMap::new(),
            due: Vec::new(),
        }
    }

    /// Serves requests until the endpoint is stopped.
    pub(super) fn run(mut self, listening: &HttpListener) {
        let mut next_wake = self.shared.clock.now();
        while !self.shared.stop.load(Ordering::SeqCst) {
            let now = self.shared.clock.now();
            if now >= next_wake {
                listening.wake_queued();
                next_wake = now + http::WAKE_INTERVAL;
            }
            match listening.server().recv_timeout(self.time_to_next_end()) {
                Ok(Some(request)) => self.serve(request),
                Ok(None) => {}
                Err(error) => log::warn!("{}: its socket failed: {error}", self.settings.server),
            }
            self.end_due();
        }
    }

    fn time_to_next_end(&self) -> Duration {
        let now = self.shared.clock.now();
        let next = self.due.iter().map(|due| due.at.since(now)).min();
        next.map_or(IDLE_WAIT, |left| left.to_std().min(IDLE_WAIT))
    }

    fn serve(&mut self, request: Request) {
        match request.url() {
            LEASE_PATH => self.renew(request),
            CANCEL_PATH => self.cancel(request),
            _ => self.admit(request),
        }
    }

    fn renew(&self, mut request: Request) {
        let Ok(body) = http::read_body(&mut request) else {
            return http::answer(request, 400, Vec::new(), &[]);
        };
        if !self.is_signed(&request, "", &body) {
            return http::answer(request, UNSIGNED_STATUS, Vec::new(), &[]);
        }
        let Ok(renewal) = codec::decode::<LeaseRenewal>(&body) else {
            return http::answer(request, 400, Vec::new(), &[]);
        };
        let now = Moment::exact(self.shared.clock.now());
        let reply = self.shared.states().routed.renew(now, &renewal);
        http::answer(request, 200, codec::encode(&reply), &[]);
    }

    fn cancel(&mut self, request: Request) {
        let name = http::header_of(&request, server_request::ATTEMPT_HEADER).unwrap_or_default();
        if !self.is_signed(&request, name, &[]) {
            return http::answer(request, UNSIGNED_STATUS, Vec::new(), &[]);
        }
        self.cancel_attempt(name);
        http::answer(request, 200, Vec::new(), &[]);
    }

    /// Whether a control request comes from a node.
    fn is_signed(&self, request: &Request, attempt: &str, body: &[u8]) -> bool {
        let signature = http::header_of(request, headers::SIGNATURE).unwrap_or_default();
        let order = ControlRequest {
            path: request.url(),
            attempt,
            body,
        };
        self.key.verifies(order, signature)
    }

    fn cancel_attempt(&mut self, name: &str) {
        let Some(key) = self.names.known(name) else {
            return self.names.cancel_unknown(name);
        };
        let now = Moment::exact(self.shared.clock.now());
        self.shared.states().routed.cancel(now, key);
        self.carry_out(SentBy::Node);
    }

    fn admit(&mut self, mut request: Request) {
        let Ok(body) = http::read_body(&mut request) else {
            return http::answer(request, 400, Vec::new(), &[]);
        };
        let attempt = http::header_of(&request, server_request::ATTEMPT_HEADER);
        let sent_by = match attempt {
            Some(_) => SentBy::Node,
            None => SentBy::Caller,
        };
        if attempt.is_some_and(|name| self.names.is_cancelled(name)) {
            return refuse_cancelled(request);
        }
        let key = self.names.name(attempt);
        let number = answer::request_number(request.url());
        let admitted = ServerRequest {
            key,
            body: number.unwrap_or_default().0,
            ownership: server_request::ownership(&request),
            deadline: server_request::deadline(&request),
            tier: server_request::tier(&request),
            service_time: self.settings.service_time,
        };
        let open = OpenRequest {
            request,
            sent_by,
            number,
            body,
        };
        self.open.insert(key, open);
        let now = Moment::exact(self.shared.clock.now());
        self.shared.states().state(sent_by).request(now, admitted);
        self.carry_out(sent_by);
    }

    fn end_due(&mut self) {
        let now = self.shared.clock.now();
        let (ended, due) = self.due.iter().partition(|due| due.at <= now);
        self.due = due;
        let ended: Vec<DueExecution> = ended;
        for DueExecution { key, sent_by, .. } in ended {
            let now = Moment::exact(self.shared.clock.now());
            self.shared.states().state(sent_by).finish(now, key);
            self.carry_out(sent_by);
        }
    }

    /// Carries out the actions of the state machine until there are none left. An execution
    /// without service time ends immediately and may start the next.
    fn carry_out(&mut self, sent_by: SentBy) {
        loop {
            let actions = self.shared.states().state(sent_by).take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.act(sent_by, action);
            }
        }
    }

    fn act(&mut self, sent_by: SentBy, action: ServerAction) {
        let now = self.shared.clock.now();
        match action {
            ServerAction::Started { key, duration } if duration == Span::ZERO => {
                let mut states = self.shared.states();
                states.state(sent_by).finish(Moment::exact(now), key);
            }
            ServerAction::Started { key, duration } => {
                let at = now + duration;
                self.due.push(DueExecution { at, key, sent_by });
            }
            ServerAction::Ended { key, answer } => self.answer(key, answer),
        }
    }

    fn answer(&mut self, key: AttemptKey, ended: ServerAnswer) {
        self.names.remove(key);
        let Some(open) = self.open.remove(&key) else {
            return;
        };
        let now = Moment::exact(self.shared.clock.now());
        let load = self.shared.states().state(open.sent_by).load(now);
        let mut headers = vec![(server_request::LOAD_HEADER, load_header(&load))];
        let (status, body) = match ended {
            ServerAnswer::Done { .. } => {
                let answer = answer::compose(open.number, self.settings.server, &open.body);
                (200, answer)
            }
            ServerAnswer::Refused(refusal) => {
                let name = server_request::refusal_name(refusal).to_owned();
                headers.push((server_request::REFUSED_HEADER, name));
                (503, Vec::new())
            }
            ServerAnswer::Aborted => (500, Vec::new()),
        };
        http::answer(open.request, status, body, &headers);
    }
}

fn refuse_cancelled(request: Request) {
    let name = server_request::refusal_name(ServerRefusal::Cancelled).to_owned();
    let headers = [(server_request::REFUSED_HEADER, name)];
    http::answer(request, 503, Vec::new(), &headers);
}

fn load_header(load: &LoadReport) -> String {
    format!(
        "executing={},waiting={},utilization={},cold={}",
        load.executing,
        load.waiting,
        load.utilization,
        u8::from(load.cold)
    )
}
