//! HTTP client of the platform's table service: rows as JSON, atomic batches of writes.
//!
//! [`Table`] limits the rate of the calls of a process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::store::{Calls, Error, Kind, Outcome, Row, Throttle, Write};
use crate::unit::Time;

/// Timeout of one call.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Size of a page: the largest number of rows that a scan returns.
pub const MAX_SCAN_ROWS: usize = 1_000;

/// The body of a scan call.
#[derive(Debug, Serialize, Deserialize)]
pub struct Scan {
    /// The prefix of the keys to return.
    pub prefix: String,
    /// Only keys greater than this one are returned; empty for the first page.
    pub after: String,
}

/// The calls of the table service, with the rate limit of one process.
pub struct Table {
    /// The calls; each blocks until the rate limit allows it.
    pub calls: Calls,
    budget: Arc<Budget>,
}

/// The rate limit, on a clock that starts at `origin`.
struct Budget {
    origin: Instant,
    throttle: Mutex<Throttle>,
}

impl Table {
    /// Applies the rate limit of one process to calls, at first as if it were the only entry.
    #[must_use]
    pub fn new(calls: Calls) -> Self {
        let origin = Instant::now();
        let throttle = Mutex::new(Throttle::new(Time(0), 1));
        let budget = Arc::new(Budget { origin, throttle });
        let (writes, reads, scans) =
            (Arc::clone(&budget), Arc::clone(&budget), Arc::clone(&budget));
        let Calls { write, read, scan } = calls;
        let calls = Calls {
            write: Box::new(move |rows| {
                writes.spend(Kind::Write, u32::try_from(rows.len()).unwrap_or(u32::MAX));
                write(rows)
            }),
            read: Box::new(move |key| {
                reads.spend(Kind::Read, 1);
                read(key)
            }),
            scan: Box::new(move |prefix, after| {
                scans.spend(Kind::Read, 1);
                scan(prefix, after)
            }),
        };
        Self { calls, budget }
    }

    /// Sets the number of entries that share the platform's quota.
    pub fn set_entries(&self, entries: usize) {
        let now = self.budget.now();
        self.budget.lock().set_entries(now, entries);
    }
}

impl Budget {
    fn now(&self) -> Time {
        Time(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, Throttle> {
        self.throttle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn spend(&self, kind: Kind, tokens: u32) {
        let wait = self.lock().spend(self.now(), kind, tokens);
        if !wait.is_zero() {
            thread::sleep(wait);
        }
    }
}

/// Returns the calls of the table service at a base URL.
#[must_use]
pub fn calls(base: &str) -> Calls {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let poster = |path: &str| {
        let agent = agent.clone();
        let url = format!("{base}{path}");
        move |body: &[u8]| post(&agent, &url, body)
    };
    let write = poster("/batch");
    let read = poster("/read");
    let scan = poster("/scan");
    Calls {
        write: Box::new(move |writes: &[Write]| match write(&encode(&writes))? {
            (200, _) => Ok(Outcome::Applied),
            (412, _) => Ok(Outcome::Refused),
            (status, _) => Err(Error::Status(status)),
        }),
        read: Box::new(move |key: &str| match read(&encode(&key))? {
            (200, body) => decode::<Option<Row>>(&body),
            (status, _) => Err(Error::Status(status)),
        }),
        scan: Box::new(move |prefix: &str, after: &str| {
            let range = Scan { prefix: prefix.to_owned(), after: after.to_owned() };
            match scan(&encode(&range))? {
                (200, body) => decode(&body),
                (status, _) => Err(Error::Status(status)),
            }
        }),
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn decode<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|_| Error::Malformed)
}

fn post(agent: &ureq::Agent, url: &str, body: &[u8]) -> Result<(u16, Vec<u8>), Error> {
    let sent = agent.post(url).content_type("application/json").send(body);
    match sent {
        Ok(mut response) => {
            let status = response.status().as_u16();
            let body = response.body_mut().read_to_vec().map_err(|_| Error::NoAnswer)?;
            Ok((status, body))
        }
        Err(ureq::Error::ConnectionFailed | ureq::Error::HostNotFound) => Err(Error::Unreachable),
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Err(Error::Unreachable)
        }
        Err(_) => Err(Error::NoAnswer),
    }
}
