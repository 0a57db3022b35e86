//! A stand-in for a worker's task calls. A part only waits for the run time in its spec.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use persimmondrift::adapter::worker::{ListedTask, Renew, Start, State};
use persimmondrift::adapter::{Http, Request, Response, read_body};
use persimmondrift::gang::Task;

use crate::fault::Switch;

const THREADS: usize = 2;

#[derive(Debug)]
struct Run {
    mask: u64,
    began: Instant,
    ends: Instant,
    lease_end: Instant,
    stopped: bool,
}

/// A part as the worker saw it, for checks in tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// Id of the part.
    pub task: Task,
    /// Accelerators of the part, one bit each; 0 if it was stopped before it started.
    pub mask: u64,
    /// When it started.
    pub began: Instant,
    /// State at the time of the call to [`Worker::trace`].
    pub state: State,
}

type Runs = BTreeMap<Task, Run>;

/// A running worker.
pub struct Worker {
    /// Selects the faults of the calls.
    pub switch: Switch,
    http: Http,
    runs: Arc<Mutex<Runs>>,
}

impl Worker {
    /// Starts a worker without parts on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start() -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a worker without parts at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start_at(listen: SocketAddr) -> std::io::Result<Self> {
        let runs = Arc::new(Mutex::new(Runs::new()));
        let switch = Switch::default();
        let (shared, faults) = (Arc::clone(&runs), switch.clone());
        let http = Http::start(listen, THREADS, move |request| {
            faults.apply(|| {
                answer(&mut lock(&shared), request).unwrap_or_else(|error| malformed(&error))
            })
        })?;
        Ok(Self { switch, http, runs })
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.http.address)
    }

    /// Returns all parts that were started or stopped so far.
    #[must_use]
    pub fn trace(&self) -> Vec<Trace> {
        let runs = lock(&self.runs);
        let trace = |(&task, run): (&Task, &Run)| Trace {
            task,
            mask: run.mask,
            began: run.began,
            state: run.state(),
        };
        runs.iter().map(trace).collect()
    }

    /// Ends all pauses and stops the service.
    pub fn stop(self) {
        self.switch.release();
        self.http.stop();
    }
}

impl Run {
    fn state(&self) -> State {
        let now = Instant::now();
        if self.stopped {
            State::Stopped
        } else if self.ends <= now && self.ends <= self.lease_end {
            State::Finished
        } else if self.lease_end <= now {
            State::Stopped
        } else {
            State::Running
        }
    }
}

fn lock(runs: &Mutex<Runs>) -> MutexGuard<'_, Runs> {
    runs.lock().unwrap_or_else(PoisonError::into_inner)
}

fn malformed(error: &serde_json::Error) -> Response {
    Response::text(error.to_string()).with_status_code(400)
}

fn answer(runs: &mut Runs, request: &Request) -> Result<Response, serde_json::Error> {
    let Ok(body) = read_body(request) else {
        return Ok(Response::text("body").with_status_code(413));
    };
    let now = Instant::now();
    match request.url().as_str() {
        "/tasks/start" => {
            let start: Start = serde_json::from_slice(&body)?;
            runs.entry(start.task).or_insert_with(|| Run {
                mask: start.mask,
                began: now,
                ends: now + Duration::from(start.spec.run_ms),
                lease_end: now + Duration::from(start.lease),
                stopped: false,
            });
            Ok(Response::text("started"))
        }
        "/tasks/renew" => {
            let renew: Renew = serde_json::from_slice(&body)?;
            match runs.get_mut(&renew.task) {
                Some(run) if run.state() == State::Running => {
                    run.lease_end = now + Duration::from(renew.lease);
                    Ok(Response::text("renewed"))
                }
                _ => Ok(Response::text("not running").with_status_code(409)),
            }
        }
        "/tasks/stop" => {
            let task: Task = serde_json::from_slice(&body)?;
            let unknown = Run { mask: 0, began: now, ends: now, lease_end: now, stopped: true };
            let run = runs.entry(task).or_insert(unknown);
            if run.state() == State::Running {
                run.stopped = true;
            }
            Ok(Response::text("stopped"))
        }
        "/tasks/list" => {
            let listed = |(&task, run): (&Task, &Run)| ListedTask {
                task,
                mask: run.mask,
                state: run.state(),
            };
            Ok(Response::json(&runs.iter().map(listed).collect::<Vec<_>>()))
        }
        _ => Ok(Response::empty_404()),
    }
}
