//! A stand-in for a target's HTTP service, which echoes each request after a fixed service time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use persimmondrift::adapter::{Http, Request, Response, read_body};

use crate::fault::Switch;

/// More threads than any agent may use, so that requests do not wait in the stand-in.
const THREADS: usize = 64;

/// A running target.
pub struct Target {
    /// Selects the faults of the requests.
    pub switch: Switch,
    http: Http,
    run_counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Target {
    /// Starts a target on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(service_time: Duration) -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), service_time)
    }

    /// Starts a target at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start_at(listen: SocketAddr, service_time: Duration) -> std::io::Result<Self> {
        let run_counts = Arc::new(Mutex::new(BTreeMap::new()));
        let switch = Switch::default();
        let (shared, faults) = (Arc::clone(&run_counts), switch.clone());
        let http = Http::start(listen, THREADS, move |request| {
            faults.apply(|| answer(&shared, request, service_time))
        })?;
        Ok(Self { switch, http, run_counts })
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.http.address)
    }

    /// Returns the number of runs of each request, by the `id` in its query. Runs count from their
    /// start.
    #[must_use]
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        self.run_counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ends all pauses and stops the service.
    pub fn stop(self) {
        self.switch.release();
        self.http.stop();
    }
}

fn answer(
    run_counts: &Mutex<BTreeMap<String, u32>>,
    request: &Request,
    service_time: Duration,
) -> Response {
    let id = request.get_param("id").unwrap_or_default();
    *run_counts.lock().unwrap_or_else(PoisonError::into_inner).entry(id.clone()).or_default() += 1;
    let Ok(body) = read_body(request) else {
        return Response::text("body").with_status_code(413);
    };
    thread::sleep(service_time);
    let mut echo = format!("{} {}\n", request.method(), id).into_bytes();
    echo.extend(body);
    Response::from_data("application/octet-stream", echo)
}
