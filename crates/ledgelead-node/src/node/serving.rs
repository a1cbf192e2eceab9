//! The parts of a node that serve callers and operators.

use super::listeners::{Listeners, StartError, inner_address, inner_http_server};
use super::node_thread::{Started, input_sink};
use crate::administration::{self, AdministrationServer, Context};
use crate::callers::guard::{CallerGuard, CallerLeft};
use crate::callers::open_requests::OpenRequests;
use crate::callers::server::CallerServer;
use crate::handle::NodeHandle;
use crate::logging::thread_name;
use crate::metrics::Metrics;
use crate::settings::{Limits, Settings};
use ledgelead_core::Input;
use std::sync::Arc;

/// Operators' connections at once.
const MAX_ADMINISTRATION_CONNECTIONS: usize = 64;

/// The parts that serve callers and operators.
pub(super) struct Served {
    pub(super) guard: CallerGuard,
    pub(super) callers: CallerServer,
    pub(super) administration: AdministrationServer,
    pub(super) administration_guard: CallerGuard,
}

pub(super) fn serve(
    settings: &Settings,
    listeners: Listeners,
    started: &Started,
    open_requests: &Arc<OpenRequests>,
    metrics: &Metrics,
) -> Result<Served, StartError> {
    let name = |job: &str| thread_name(settings.node, job);
    let server = inner_http_server()?;
    let server_address = inner_address(&server)?;
    let callers = CallerServer::start(
        &name("callers"),
        server,
        settings.limits.clone(),
        open_requests.clone(),
        metrics.clone(),
        input_sink(&started.handle),
    )?;
    let guard = CallerGuard::start(
        &name("guard"),
        listeners.callers,
        server_address,
        &settings.limits,
        caller_left(open_requests.clone(), &started.handle),
    )?;
    let server = inner_http_server()?;
    let administration_guard = CallerGuard::start(
        &name("administration-guard"),
        listeners.administration,
        inner_address(&server)?,
        &Limits {
            max_connections: MAX_ADMINISTRATION_CONNECTIONS,
            ..settings.limits.clone()
        },
        Box::new(|_| ()),
    )?;
    let context = Context::new(
        started.handle.clone(),
        metrics.clone(),
        callers.failed(),
        administration_guard.origins(),
    );
    let administration = AdministrationServer::start(
        &name("administration"),
        server,
        administration::routes(),
        context,
    )?;
    Ok(Served {
        guard,
        callers,
        administration,
        administration_guard,
    })
}

fn caller_left(open_requests: Arc<OpenRequests>, handle: &NodeHandle) -> CallerLeft {
    let handle = handle.clone();
    Box::new(move |connection| {
        for request in open_requests.of_connection(connection) {
            handle.input(Input::CallerDisconnected(request));
        }
    })
}
