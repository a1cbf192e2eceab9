//! The interfaces of a node for callers and operators.

use super::listeners::{Listeners, StartError, inner_address, inner_http_server};
use super::node_thread::{Started, input_sink};
use crate::administration::{self, AdministrationServer, Context};
use crate::callers::open_requests::OpenRequests;
use crate::callers::proxy::{CallerProxy, DisconnectHandler};
use crate::callers::server::CallerServer;
use crate::handle::NodeHandle;
use crate::logging::thread_name;
use crate::metrics::Metrics;
use crate::settings::{Limits, Settings};
use ledgelead_core::Input;
use std::sync::Arc;

/// Operators' connections open at the same time.
const MAX_ADMINISTRATION_CONNECTIONS: usize = 64;

/// The running interfaces for callers and operators.
pub(super) struct Interfaces {
    pub(super) proxy: CallerProxy,
    pub(super) callers: CallerServer,
    pub(super) administration: AdministrationServer,
    pub(super) administration_proxy: CallerProxy,
}

pub(super) fn serve(
    settings: &Settings,
    listeners: Listeners,
    started: &Started,
    open_requests: &Arc<OpenRequests>,
    metrics: &Metrics,
) -> Result<Interfaces, StartError> {
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
    let proxy = CallerProxy::start(
        &name("guard"),
        listeners.callers,
        server_address,
        &settings.limits,
        disconnect_handler(open_requests.clone(), &started.handle),
    )?;
    let server = inner_http_server()?;
    let administration_proxy = CallerProxy::start(
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
        administration_proxy.remote_addresses(),
    );
    let administration = AdministrationServer::start(
        &name("administration"),
        server,
        administration::routes(),
        context,
    )?;
    Ok(Interfaces {
        proxy,
        callers,
        administration,
        administration_proxy,
    })
}

fn disconnect_handler(open_requests: Arc<OpenRequests>, handle: &NodeHandle) -> DisconnectHandler {
    let handle = handle.clone();
    Box::new(move |connection| {
        for request in open_requests.on_connection(connection) {
            handle.input(Input::CallerDisconnected(request));
        }
    })
}
