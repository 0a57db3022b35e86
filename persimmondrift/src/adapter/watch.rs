//! Monitoring over HTTP: health, readiness and metrics of a process.

use std::net::SocketAddr;

use rouille::Response;

use super::Http;

/// Threads that answer.
const THREADS: usize = 2;

/// Starts the server at an address.
///
/// `/healthz` answers 200 while the process runs, `/readyz` 200 while it takes new work and 503
/// otherwise, `/metrics` the text that `metrics` returns.
///
/// # Errors
///
/// Returns the error of the socket if it cannot listen.
pub fn start(
    listen: SocketAddr,
    ready: impl Fn() -> bool + Send + Sync + 'static,
    metrics: impl Fn() -> String + Send + Sync + 'static,
) -> std::io::Result<Http> {
    Http::start(listen, THREADS, move |request| match request.url().as_str() {
        "/healthz" => Response::text("alive\n"),
        "/readyz" if ready() => Response::text("ready\n"),
        "/readyz" => Response::text("not ready\n").with_status_code(503),
        "/metrics" => Response::from_data("text/plain; version=0.0.4", metrics()),
        _ => Response::text("see /healthz, /readyz, /metrics\n").with_status_code(404),
    })
}
