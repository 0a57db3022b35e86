//! Calls that an entry serves: admission, submission, state and cancellation of jobs.

use super::{Handle, clock};
use crate::cell::access::{Queue, Verdict};
use crate::cell::intake::{self, Acceptance, Cancellation};
use crate::cell::job::{Id, Request};
use crate::cell::record::{self, Job, State};
use crate::cell::table::{Error, Table};
use crate::unit::Time;

impl Handle {
    /// Returns whether this entry can serve callers now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.shared.lock();
        state.loaded && state.access.is_ready(clock::now())
    }

    /// Checks whether a call is admitted.
    #[must_use]
    pub fn check(&self, host: &str, path: &str, key: Option<&str>) -> Verdict {
        self.shared.lock().access.check(clock::now(), host, path, key)
    }

    /// Returns the maximum body size that the configuration allows, in bytes; 0 without a limit.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        self.shared.lock().access.config().map_or(0, |config| config.max_body_bytes)
    }

    /// Stores a job. Returns the outcome by `deadline`.
    #[must_use]
    pub fn submit(
        &self,
        id: Id,
        request: Request,
        queue: Queue,
        workspace: Option<String>,
        deadline: Time,
    ) -> Acceptance {
        let known = self.shared.lock().jobs.job(id).map(|job| job.request.is_some());
        match known {
            Some(true) => return Acceptance::Accepted,
            Some(false) => return Acceptance::Barred,
            None => {}
        }
        let job = Job {
            queue,
            workspace,
            accepted_ms: clock::wall_ms(),
            cancelled: false,
            request: Some(request),
        };
        let (acceptance, row) = intake::accept(&self.shared.store, id, &job, deadline);
        self.shared.apply(row.as_slice());
        acceptance
    }

    /// Returns the state of a job; `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the state in memory is not recent and the store cannot be read.
    pub fn state(&self, id: Id) -> Result<Option<State>, Error> {
        if let Some(state) = self.shared.lock().visible_state(id) {
            return Ok(Some(state));
        }
        let store = &self.shared.store;
        let job = store.get(Table::Jobs, &record::job_key(id))?;
        if job.is_none() {
            return Ok(None);
        }
        let progress = store.get(Table::Jobs, &record::progress_key(id))?;
        self.shared.apply(job.as_slice());
        self.shared.apply(progress.as_slice());
        Ok(self.shared.lock().jobs.state(id))
    }

    /// Cancels a job. Returns the outcome by `deadline`.
    #[must_use]
    pub fn cancel(&self, id: Id, deadline: Time) -> Cancellation {
        let (cancellation, row) = intake::cancel(&self.shared.store, id, deadline);
        self.shared.apply(row.as_slice());
        cancellation
    }

    /// Returns how many jobs of a queue wait for their first start.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.shared.lock().jobs.pending(queue)
    }
}
