//! Cache of the texts that an agent starts tasks with.
//!
//! The texts are stored only in the rows of accepted jobs. This keeps orders small, so that a
//! planner that takes over reads all orders in one short call.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use super::job::Id;
use super::record::{self, Job};
use super::table::{Calls, Error, Table};

/// Maximum number of cached texts of a few kilobytes each.
const MAX_CACHED: usize = 32;

/// Recently read texts, by job.
#[derive(Debug, Default)]
pub struct Specs {
    cached: Mutex<HashMap<Id, Arc<str>>>,
}

impl Specs {
    /// Returns the text of a job, from the store if it is not cached; `None` if there is no such
    /// job.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the store could not be read.
    pub fn get(&self, store: &Calls, id: Id) -> Result<Option<Arc<str>>, Error> {
        if let Some(text) = self.lock().get(&id) {
            return Ok(Some(Arc::clone(text)));
        }
        let row = store.get(Table::Jobs, &record::job_key(id))?;
        let job: Option<Job> = row.and_then(|row| record::decode(row.value.as_deref()?));
        let Some(request) = job.and_then(|job| job.request) else {
            return Ok(None);
        };
        let text: Arc<str> = request.spec.into();
        let mut cached = self.lock();
        if cached.len() >= MAX_CACHED {
            cached.clear();
        }
        cached.insert(id, Arc::clone(&text));
        Ok(Some(text))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Id, Arc<str>>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
