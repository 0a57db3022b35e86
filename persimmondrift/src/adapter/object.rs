//! HTTP client of the platform's object store, which reads and writes complete objects by name.

use std::time::Duration;

use crate::store::Error;

/// Timeout of one call, including the transfer of the body.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the largest object that is read.
pub const MAX_OBJECT_BYTES: u64 = 256 << 20;

/// Reads the object with a name, `None` if there is none.
pub type GetCall = dyn Fn(&str) -> Result<Option<Vec<u8>>, Error> + Send + Sync;
/// Creates or replaces the object with a name.
pub type PutCall = dyn Fn(&str, &[u8]) -> Result<(), Error> + Send + Sync;
/// Deletes the object with a name. An absent object is no error.
pub type DeleteCall = dyn Fn(&str) -> Result<(), Error> + Send + Sync;

/// The calls of the object store, as closures so that an adapter can be replaced.
pub struct Objects {
    /// Reads the object with a name.
    pub get: Box<GetCall>,
    /// Creates or replaces the object with a name.
    pub put: Box<PutCall>,
    /// Deletes the object with a name.
    pub delete: Box<DeleteCall>,
}

/// Returns the calls of the object store at a base URL.
#[must_use]
pub fn calls(base: &str) -> Objects {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let (getter, putter, deleter) = (agent.clone(), agent.clone(), agent);
    let url = |base: &str| {
        let base = base.to_owned();
        move |name: &str| format!("{base}/{name}")
    };
    let (get_url, put_url, delete_url) = (url(base), url(base), url(base));
    Objects {
        get: Box::new(move |name| {
            let mut response = getter.get(get_url(name)).call().map_err(|_| Error::NoAnswer)?;
            match response.status().as_u16() {
                404 => Ok(None),
                200 => {
                    let body = response.body_mut().with_config().limit(MAX_OBJECT_BYTES);
                    Ok(Some(body.read_to_vec().map_err(|_| Error::NoAnswer)?))
                }
                status => Err(Error::Status(status)),
            }
        }),
        put: Box::new(move |name, bytes| {
            let sent = putter.put(put_url(name)).send(bytes).map_err(|_| Error::NoAnswer)?;
            check_status(sent.status().as_u16())
        }),
        delete: Box::new(move |name| {
            let sent = deleter.delete(delete_url(name)).call().map_err(|_| Error::NoAnswer)?;
            check_status(sent.status().as_u16())
        }),
    }
}

fn check_status(status: u16) -> Result<(), Error> {
    match status {
        200..=299 | 404 => Ok(()),
        status => Err(Error::Status(status)),
    }
}
