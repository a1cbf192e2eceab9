//! A dialect whose messages carry only the ticket number of a typed message that is kept in
//! memory.

use ledgelead_http::{Request, Response};
use ledgelead_router::dialect::{Dialect, HeaderNames, Order, OrderAnswer, StoreAnswer, StoreCall};
use ledgelead_router::identity::InstanceId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Typed messages by ticket number.
#[derive(Default)]
pub struct Tickets {
    last: u64,
    calls: HashMap<u64, StoreCall>,
    answers: HashMap<u64, StoreAnswer>,
    orders: HashMap<u64, (InstanceId, Order)>,
}

impl Tickets {
    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Takes the store call that a request refers to.
    pub fn take_call(&mut self, request: &Request) -> Option<StoreCall> {
        self.calls.remove(&ticket(&request.target)?)
    }

    /// Takes the order that a request refers to, and the incarnation to which its sender
    /// addressed it. Instances see only the name in that id; the checker also uses the
    /// incarnation.
    pub fn take_order(&mut self, request: &Request) -> Option<(InstanceId, Order)> {
        self.orders.remove(&ticket(&request.target)?)
    }

    /// Creates a response that refers to a store answer.
    pub fn answer(&mut self, answer: StoreAnswer) -> Response {
        let ticket = self.next();
        self.answers.insert(ticket, answer);
        Response::new(200, ticket.to_string())
    }
}

fn ticket(text: &str) -> Option<u64> {
    text.rsplit('/').next()?.parse().ok()
}

/// Header with the state that a released owner hands over.
pub const HANDOVER: &str = "handover";

/// The dialect of the simulated services.
pub struct TicketDialect {
    headers: HeaderNames,
    tickets: Rc<RefCell<Tickets>>,
}

impl TicketDialect {
    /// Creates a dialect that keeps its typed messages in `tickets`.
    pub fn new(tickets: Rc<RefCell<Tickets>>) -> TicketDialect {
        TicketDialect {
            headers: header_names(),
            tickets,
        }
    }
}

/// Header names used with the simulated services.
pub fn header_names() -> HeaderNames {
    let name = |name: &str| name.to_owned();
    HeaderNames {
        attempt_id: name("attempt"),
        deadline: name("deadline"),
        signature: name("signature"),
        target_instance: name("target"),
        load: name("load"),
        not_executed: name("not-executed"),
        instance: name("instance"),
        key: name("key"),
        retry_after: name("retry-after"),
        leaving: name("leaving"),
        rate_limit: name("rate-limit"),
        store_era: name("store-era"),
        caller_key: name("caller-key"),
        tenant: name("tenant"),
        handover: name(HANDOVER),
    }
}

impl Dialect for TicketDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn store_request(&self, call: &StoreCall) -> Request {
        let mut tickets = self.tickets.borrow_mut();
        let ticket = tickets.next();
        tickets.calls.insert(ticket, call.clone());
        Request::new("GET", format!("/call/{ticket}"), Vec::new())
    }

    fn store_answer(&self, _call: &StoreCall, response: &Response) -> StoreAnswer {
        let answer = std::str::from_utf8(&response.body)
            .ok()
            .and_then(|body| body.parse().ok())
            .and_then(|ticket| self.tickets.borrow_mut().answers.remove(&ticket));
        answer.unwrap_or_else(|| StoreAnswer::Unreadable("no such ticket".to_owned()))
    }

    fn order_request(&self, instance: &InstanceId, order: &Order) -> Request {
        let mut tickets = self.tickets.borrow_mut();
        let ticket = tickets.next();
        tickets
            .orders
            .insert(ticket, (instance.clone(), order.clone()));
        let mut request = Request::new("POST", format!("/order/{ticket}"), Vec::new());
        request
            .headers
            .push(&self.headers.target_instance, instance.name());
        request
    }

    fn order_answer(&self, _instance: &InstanceId, response: &Response) -> OrderAnswer {
        match response.status {
            200 => OrderAnswer::Done {
                handover: response.headers.text(HANDOVER).map(str::to_owned),
            },
            409 => OrderAnswer::Fenced,
            421 => OrderAnswer::OtherInstance,
            _ => OrderAnswer::Refused,
        }
    }
}
