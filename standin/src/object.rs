//! An in-memory stand-in for the platform's object store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use persimmondrift::adapter::{Http, Request, Response};

use crate::fault::Switch;

const THREADS: usize = 4;

type Contents = Mutex<BTreeMap<String, Vec<u8>>>;

/// A running object store.
pub struct Objects {
    /// Selects the faults of the calls.
    pub switch: Switch,
    http: Http,
    contents: Arc<Contents>,
}

impl Objects {
    /// Starts an empty object store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start() -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts an empty object store at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start_at(listen: SocketAddr) -> std::io::Result<Self> {
        let contents = Arc::new(Contents::default());
        let switch = Switch::default();
        let (shared, faults) = (Arc::clone(&contents), switch.clone());
        let http =
            Http::start(listen, THREADS, move |request| faults.apply(|| answer(&shared, request)))?;
        Ok(Self { switch, http, contents })
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.http.address)
    }

    /// Returns the names of all objects, sorted.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect()
    }

    /// Ends all pauses and stops the service.
    pub fn stop(self) {
        self.switch.release();
        self.http.stop();
    }
}

fn answer(contents: &Contents, request: &Request) -> Response {
    let name = request.url().trim_matches('/').to_owned();
    let mut contents = contents.lock().unwrap_or_else(PoisonError::into_inner);
    match request.method() {
        "GET" => match contents.get(&name) {
            Some(bytes) => Response::from_data("application/octet-stream", bytes.clone()),
            None => Response::empty_404(),
        },
        "PUT" => {
            let Ok(bytes) = request.body() else {
                return Response::text("cut off").with_status_code(400);
            };
            contents.insert(name, bytes.to_vec());
            Response::text("written")
        }
        "DELETE" => {
            contents.remove(&name);
            Response::text("deleted")
        }
        _ => Response::empty_404(),
    }
}
