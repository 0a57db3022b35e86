//! HTTP server for monitoring: health, readiness and metrics of a process.

use std::net::SocketAddr;

use super::{Budget, Http, Response};
use crate::settings::server::{Clients, Server};

const THREADS: usize = 2;

/// Starts the server at an address.
///
/// `/healthz` answers 200 while the process runs, `/readyz` answers 200 while `ready` returns true
/// and 503 otherwise, and `/metrics` answers with the text that `metrics` returns.
///
/// # Errors
///
/// Returns the error of the socket if it cannot listen.
pub fn start(
    listen: SocketAddr,
    server: &Server,
    budget: &Budget,
    ready: impl Fn() -> bool + Send + Sync + 'static,
    metrics: impl Fn() -> String + Send + Sync + 'static,
) -> std::io::Result<Http> {
    let limits = server.limits(Clients::Others);
    Http::start_shared(listen, THREADS, limits, budget, move |request| {
        match request.url().as_str() {
            "/healthz" => Response::text("alive\n"),
            "/readyz" if ready() => Response::text("ready\n"),
            "/readyz" => Response::text("not ready\n").with_status_code(503),
            "/metrics" => Response::from_data("text/plain; version=0.0.4", metrics()),
            _ => Response::text("see /healthz, /readyz, /metrics\n").with_status_code(404),
        }
    })
}
