//! An in-memory stand-in for the platform's table service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use persimmondrift::adapter::table::{MAX_SCAN_ROWS, Scan};
use persimmondrift::adapter::{Http, Request, Response, read_body};
use persimmondrift::store::{Row, Write};
use persimmondrift::unit::Version;

use crate::fault::Switch;

const THREADS: usize = 16;

type Rows = BTreeMap<String, Row>;

/// A running table service.
pub struct Table {
    /// Selects the faults of the calls.
    pub switch: Switch,
    http: Http,
    rows: Arc<Mutex<Rows>>,
}

impl Table {
    /// Starts an empty table service on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start() -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts an empty table service at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start_at(listen: SocketAddr) -> std::io::Result<Self> {
        let rows = Arc::new(Mutex::new(Rows::new()));
        let switch = Switch::default();
        let (shared, faults) = (Arc::clone(&rows), switch.clone());
        let http = Http::start(listen, THREADS, move |request| {
            faults.apply(|| answer(&shared, request).unwrap_or_else(|error| malformed(&error)))
        })?;
        Ok(Self { switch, http, rows })
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.http.address)
    }

    /// Returns the keys of all rows, sorted.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect()
    }

    /// Ends all pauses and stops the service.
    pub fn stop(self) {
        self.switch.release();
        self.http.stop();
    }
}

fn malformed(error: &serde_json::Error) -> Response {
    Response::text(error.to_string()).with_status_code(400)
}

fn answer(rows: &Mutex<Rows>, request: &Request) -> Result<Response, serde_json::Error> {
    let Ok(body) = read_body(request) else {
        return Ok(Response::text("body").with_status_code(413));
    };
    let mut rows = rows.lock().unwrap_or_else(PoisonError::into_inner);
    match request.url().as_str() {
        "/batch" => Ok(write(&mut rows, serde_json::from_slice(&body)?)),
        "/read" => {
            let key: String = serde_json::from_slice(&body)?;
            Ok(Response::json(&rows.get(&key)))
        }
        "/scan" => {
            let scan: Scan = serde_json::from_slice(&body)?;
            let after = rows.range(scan.after.clone()..).map(|(_, row)| row);
            let found: Vec<&Row> = after
                .filter(|row| row.key > scan.after && row.key.starts_with(&scan.prefix))
                .take(MAX_SCAN_ROWS)
                .collect();
            Ok(Response::json(&found))
        }
        _ => Ok(Response::empty_404()),
    }
}

fn write(rows: &mut Rows, writes: Vec<Write>) -> Response {
    let stored_version = |write: &Write| rows.get(&write.key).map_or(Version(0), |row| row.version);
    if writes.iter().any(|write| stored_version(write) != write.expected) {
        return Response::text("condition failed").with_status_code(412);
    }
    for write in writes {
        let row = Row {
            key: write.key.clone(),
            version: write.expected.next(),
            mutation: write.mutation,
            value: write.value,
        };
        rows.insert(write.key, row);
    }
    Response::text("applied")
}
