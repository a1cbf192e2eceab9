//! Cancels attempts, here and at their servers.

use super::exchange;
use super::renewal::control_agent;
use super::signature::{ControlRequest, ServerKey};
use super::wire::CANCEL_PATH;
use super::write_tracking::ExchangeControl;
use crate::callers::headers;
use crate::work_pool::{Rejected, WorkPool};
use ledgelead_types::Text;
use std::sync::Arc;
use std::time::Duration;
use ureq::http::Request;

/// How long a cancellation request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);
/// Threads that send cancellations.
const THREADS: usize = 4;
/// Cancellations that may be queued.
const MAX_WAITING: usize = 1_024;
/// Longest response to a cancellation, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// An attempt of a request that is to be cancelled.
pub struct Cancellation {
    /// The attempt's name at the server.
    pub name: String,
    /// The server's `IP:port`.
    pub address: Text,
    /// Control of the attempt's exchange.
    pub control: Arc<ExchangeControl>,
}

/// The thread pool that sends cancellations.
pub struct Canceller {
    pool: WorkPool<Cancellation>,
}

impl Canceller {
    /// Starts the pool.
    ///
    /// # Errors
    /// When the system can't create more threads.
    pub fn start(thread_name: &str, key: Option<ServerKey>) -> std::io::Result<Canceller> {
        let agent = control_agent(CANCEL_TIMEOUT);
        let run = move |cancellation: Cancellation| {
            if let Ok(request) = cancel_request(key.as_ref(), &cancellation) {
                let control = Arc::default();
                let _ =
                    exchange::exchange(&agent, request, CANCEL_TIMEOUT, MAX_ANSWER_BYTES, &control);
            }
            // The server answers the attempt before the cancellation, so the
            // attempt's response has arrived by now or never will.
            cancellation.control.close_socket();
        };
        let pool = WorkPool::start(thread_name, THREADS, MAX_WAITING, run)?;
        Ok(Canceller { pool })
    }

    /// Cancels an attempt; the forwarder reports its end.
    pub fn cancel(&self, cancellation: Cancellation) {
        cancellation.control.cancel();
        if let Err(Rejected(cancellation)) = self.pool.submit(cancellation) {
            cancellation.control.close_socket();
        }
    }

    /// Stops the threads.
    pub fn close(&self) {
        self.pool.close();
    }
}

fn cancel_request(
    key: Option<&ServerKey>,
    cancellation: &Cancellation,
) -> Result<Request<Vec<u8>>, ureq::http::Error> {
    let uri = format!("http://{}{CANCEL_PATH}", cancellation.address);
    let mut request = Request::post(uri).header(headers::ATTEMPT, &cancellation.name);
    if let Some(key) = key {
        let signature = key.sign(ControlRequest {
            path: CANCEL_PATH,
            attempt: &cancellation.name,
            body: &[],
        });
        request = request.header(headers::SIGNATURE, signature);
    }
    request.body(Vec::new())
}
