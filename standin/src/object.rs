//! A stand-in for the platform's object store, in memory.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use persimmondrift::adapter::Http;
use persimmondrift::adapter::object::MAX_OBJECT_BYTES;
use rouille::{Request, Response};

use crate::fault::Switch;

/// Threads that answer calls.
const THREADS: usize = 4;

type Contents = Mutex<BTreeMap<String, Vec<u8>>>;

/// A running object store.
pub struct Objects {
    /// Its fault switch.
    pub switch: Switch,
    http: Http,
    contents: Arc<Contents>,
}

impl Objects {
    /// Starts an object store without objects.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn start() -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts an object store without objects at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn start_at(listen: SocketAddr) -> std::io::Result<Self> {
        let contents = Arc::new(Contents::default());
        let switch = Switch::default();
        let (shared, faults) = (Arc::clone(&contents), switch.clone());
        let http =
            Http::start(listen, THREADS, move |request| faults.apply(|| answer(&shared, request)))?;
        Ok(Self { switch, http, contents })
    }

    /// Returns its base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.http.address)
    }

    /// Returns the names of all objects.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect()
    }

    /// Stops the service.
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
            let mut bytes = Vec::new();
            let data = request.data().map(|data| data.take(MAX_OBJECT_BYTES));
            if data.is_none_or(|mut data| data.read_to_end(&mut bytes).is_err()) {
                return Response::text("cut off").with_status_code(400);
            }
            contents.insert(name, bytes);
            Response::text("written")
        }
        "DELETE" => {
            contents.remove(&name);
            Response::text("deleted")
        }
        _ => Response::empty_404(),
    }
}
