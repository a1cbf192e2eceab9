//! The HTTP interface for operators: health, readiness, metrics, queries and
//! commands (`docs/operations/administration.md`).

mod answers;
mod credentials;
mod statements;

use crate::callers::proxy::RemoteAddresses;
use crate::handle::NodeHandle;
use crate::metrics::Metrics;
use std::io::Cursor;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server, StatusCode};

/// Threads that serve operators' requests.
const THREADS: usize = 8;
/// Statements that run at the same time; the other threads stay free for health and
/// metrics.
const MAX_CONCURRENT_STATEMENTS: usize = THREADS - 2;
/// How long the node may take to return its view.
const VIEW_TIMEOUT: Duration = Duration::from_secs(1);
/// Media type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Media type of plain text responses.
const TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// The data that routes have access to.
#[derive(Clone)]
pub struct Context {
    /// The node.
    pub node: NodeHandle,
    /// The node's metrics.
    pub metrics: Metrics,
    /// Set when callers' requests are no longer served.
    pub callers_failed: Arc<AtomicBool>,
    remote_addresses: RemoteAddresses,
    statements: Arc<AtomicUsize>,
    was_ready: Arc<AtomicBool>,
}

impl Context {
    /// The context of a node's routes.
    pub fn new(
        node: NodeHandle,
        metrics: Metrics,
        callers_failed: Arc<AtomicBool>,
        remote_addresses: RemoteAddresses,
    ) -> Context {
        Context {
            node,
            metrics,
            callers_failed,
            remote_addresses,
            statements: Arc::default(),
            was_ready: Arc::default(),
        }
    }
}

/// A response to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: String,
}

impl Reply {
    /// A response in plain text.
    pub fn text(status: u16, body: impl Into<String>) -> Reply {
        Reply {
            status,
            content_type: TEXT_TYPE,
            body: body.into(),
        }
    }
}

/// One route.
pub struct Route {
    /// Method.
    pub method: Method,
    /// Path, without a query.
    pub path: &'static str,
    /// Handles a request; it may read the body.
    pub handle: fn(&Context, &mut Request) -> Reply,
}

/// The routes of every node.
pub fn routes() -> Vec<Route> {
    vec![
        Route {
            method: Method::Get,
            path: "/healthz",
            handle: health,
        },
        Route {
            method: Method::Get,
            path: "/readyz",
            handle: readiness,
        },
        Route {
            method: Method::Get,
            path: "/metrics",
            handle: metrics,
        },
        Route {
            method: Method::Post,
            path: "/v1/query",
            handle: statements::query,
        },
        Route {
            method: Method::Post,
            path: "/v1/command",
            handle: statements::command,
        },
    ]
}

/// Healthy if the HTTP server for callers works and the node's actor responds.
fn health(context: &Context, _request: &mut Request) -> Reply {
    if context.callers_failed.load(Ordering::Acquire) {
        return Reply::text(503, "callers are not served\n");
    }
    match context.node.view(VIEW_TIMEOUT) {
        Ok(_) => Reply::text(200, "ok\n"),
        Err(error) => Reply::text(503, format!("{error}\n")),
    }
}

/// Ready if the node serves callers, has a configuration and has routes of all groups.
/// Once it was ready, a group without routes, which is new or being rebuilt, does not
/// make it unready, since the services of the other groups are served.
fn readiness(context: &Context, _request: &mut Request) -> Reply {
    if context.callers_failed.load(Ordering::Acquire) {
        return Reply::text(503, "callers are not served\n");
    }
    let view = match context.node.view(VIEW_TIMEOUT) {
        Ok(view) => view,
        Err(error) => return Reply::text(503, format!("{error}\n")),
    };
    if view.configuration.version.0 == 0 {
        return Reply::text(503, "no configuration yet\n");
    }
    let without_routes: Vec<String> = view
        .groups
        .iter()
        .filter(|group| group.routes.members.is_empty())
        .map(|group| group.routes.group.to_string())
        .collect();
    if without_routes.is_empty() {
        context.was_ready.store(true, Ordering::Release);
        return Reply::text(200, "ready\n");
    }
    let missing = without_routes.join(" ");
    if context.was_ready.load(Ordering::Acquire) {
        return Reply::text(200, format!("ready, but no routes yet of {missing}\n"));
    }
    Reply::text(503, format!("no routes yet of {missing}\n"))
}

fn metrics(context: &Context, _request: &mut Request) -> Reply {
    if let Ok(view) = context.node.view(VIEW_TIMEOUT) {
        context.metrics.observe(&view);
    }
    Reply {
        status: 200,
        content_type: METRICS_TYPE,
        body: context.metrics.render(),
    }
}

/// The threads that serve operators.
pub struct AdministrationServer {
    shared: Arc<Shared>,
}

struct Shared {
    server: Server,
    closed: AtomicBool,
    routes: Vec<Route>,
    context: Context,
}

impl AdministrationServer {
    /// Starts the threads on a listening server.
    ///
    /// # Errors
    /// When the system can't create more threads.
    pub fn start(
        thread_name: &str,
        server: Server,
        routes: Vec<Route>,
        context: Context,
    ) -> std::io::Result<AdministrationServer> {
        let shared = Arc::new(Shared {
            server,
            closed: AtomicBool::new(false),
            routes,
            context,
        });
        for _ in 0..THREADS {
            let shared = shared.clone();
            thread::Builder::new()
                .name(thread_name.to_owned())
                .spawn(move || shared.run_worker())?;
        }
        Ok(AdministrationServer { shared })
    }

    /// Stops the threads.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::Release);
        for _ in 0..THREADS {
            self.shared.server.unblock();
        }
    }
}

impl Drop for AdministrationServer {
    fn drop(&mut self) {
        self.close();
    }
}

impl Shared {
    fn run_worker(&self) {
        while !self.closed.load(Ordering::Acquire) {
            let Ok(mut request) = self.server.recv() else {
                continue;
            };
            let reply = self.answer(&mut request);
            write(request, reply);
        }
    }

    fn answer(&self, request: &mut Request) -> Reply {
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default();
        let mut on_path = self.routes.iter().filter(|route| route.path == path);
        let matching = on_path
            .clone()
            .find(|route| route.method == *request.method());
        match matching {
            Some(route) => (route.handle)(&self.context, request),
            None if on_path.next().is_some() => Reply::text(405, "method not allowed\n"),
            None => Reply::text(404, "no such path\n"),
        }
    }
}

fn write(request: Request, reply: Reply) {
    let length = reply.body.len();
    let content_type = Header::from_bytes("Content-Type", reply.content_type);
    let response = Response::new(
        StatusCode(reply.status),
        content_type.into_iter().collect(),
        Cursor::new(reply.body.into_bytes()),
        Some(length),
        None,
    );
    if let Err(error) = request.respond(response) {
        log::debug!(target: "administration", "writing a response failed: {error}");
    }
}
