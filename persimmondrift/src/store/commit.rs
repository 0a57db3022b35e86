//! Applies a batch of writes and determines its outcome even if answers are lost.

use super::{Calls, Error, Outcome, Row, Write};
use crate::unit::Version;

/// Sends of a batch in one call of [`Commit::drive`], after which it returns
/// [`Error::Undecided`].
const MAX_SENDS: u32 = 3;

/// The next step of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send the batch, always with the same mutation ids.
    Write,
    /// Read the row of the write with this index in the batch.
    Read(usize),
    /// Nothing: the outcome of the batch is known.
    Done(Outcome),
}

/// The state of a batch of writes that is being applied, without I/O.
///
/// It is kept after a failed call: a retry uses the same mutation ids, and takes into account that
/// an earlier send may have taken effect.
#[derive(Debug, Clone)]
pub struct Commit {
    writes: Vec<Write>,
    /// An earlier send may have taken effect, or may still do so.
    maybe_applied: bool,
    /// The last send was answered with [`Outcome::Refused`].
    refused: bool,
    next_step: Step,
}

impl Commit {
    /// Creates a commit of writes that have never been sent.
    #[must_use]
    pub fn new(writes: Vec<Write>) -> Self {
        let next_step = if writes.is_empty() { Step::Done(Outcome::Applied) } else { Step::Write };
        Self { writes, maybe_applied: false, refused: false, next_step }
    }

    /// Creates a commit of writes that may have been sent already.
    #[must_use]
    pub fn resume(writes: Vec<Write>) -> Self {
        Self { maybe_applied: true, ..Self::new(writes) }
    }

    /// Returns the writes of the batch.
    #[must_use]
    pub fn writes(&self) -> &[Write] {
        &self.writes
    }

    /// Returns the call that has to be made next.
    #[must_use]
    pub fn next_step(&self) -> Step {
        self.next_step
    }

    /// Records the result of sending the batch.
    ///
    /// # Errors
    ///
    /// Returns the error if this send had no effect, or [`Error::Undecided`] in its place if an
    /// earlier send may have taken effect.
    pub fn record_write(&mut self, result: Result<Outcome, Error>) -> Result<(), Error> {
        self.refused = result == Ok(Outcome::Refused);
        match result {
            Ok(Outcome::Refused) if self.maybe_applied => self.next_step = Step::Read(0),
            Ok(outcome) => self.next_step = Step::Done(outcome),
            Err(error) if error.had_no_effect() => return Err(self.undecided_or(error)),
            Err(_) => {
                self.maybe_applied = true;
                self.next_step = Step::Read(0);
            }
        }
        Ok(())
    }

    /// Records the result of reading the row of [`Step::Read`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::Undecided`] if the row could not be read.
    pub fn record_read(&mut self, result: Result<Option<Row>, Error>) -> Result<(), Error> {
        let Step::Read(index) = self.next_step else {
            return Ok(());
        };
        let row = match result {
            Ok(row) => row,
            Err(error) => return Err(self.undecided_or(error)),
        };
        let write = &self.writes[index];
        let version = row.as_ref().map_or(Version(0), |row| row.version);
        self.next_step = if row.is_some_and(|row| row.mutation == write.mutation) {
            Step::Done(Outcome::Applied)
        } else if version == write.expected.next() {
            // Another write produced the version that this one would have produced.
            Step::Done(Outcome::Refused)
        } else if version > write.expected {
            match index + 1 {
                next if next < self.writes.len() => Step::Read(next),
                _ => Step::Done(Outcome::Overtaken),
            }
        } else if self.refused {
            // This row is unchanged, so the condition of another row failed. Versions only grow, so
            // that condition cannot hold later.
            Step::Done(Outcome::Refused)
        } else {
            Step::Write
        };
        Ok(())
    }

    /// Sends the batch and reads rows until the outcome is known.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the outcome cannot be determined now; another call continues from the
    /// same state.
    pub fn drive(&mut self, calls: &Calls) -> Result<Outcome, Error> {
        let mut sends = 0;
        loop {
            match self.next_step {
                Step::Done(outcome) => return Ok(outcome),
                Step::Write if sends == MAX_SENDS => return Err(Error::Undecided),
                Step::Write => {
                    sends += 1;
                    self.record_write((calls.write)(&self.writes))?;
                }
                Step::Read(index) => self.record_read((calls.read)(&self.writes[index].key))?,
            }
        }
    }

    fn undecided_or(&self, error: Error) -> Error {
        if self.maybe_applied { Error::Undecided } else { error }
    }
}

/// Applies a batch of writes that may have been sent already.
///
/// # Errors
///
/// Returns [`Error`] if the outcome could not be determined; the caller may retry with the same
/// writes.
pub fn commit(calls: &Calls, writes: &[Write]) -> Result<Outcome, Error> {
    Commit::resume(writes.to_vec()).drive(calls)
}
