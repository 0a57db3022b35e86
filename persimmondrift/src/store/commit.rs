//! Finds out what became of a batch of writes whose answer may be lost.

use super::{Calls, Error, Outcome, Row, Write};
use crate::unit::Version;

/// Times that a batch is sent in one go before the caller is told that it is undecided.
const MAX_SENDS: u32 = 3;

/// What a commit needs next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// To send the batch, always with the same mutation ids.
    Write,
    /// To read the row of a write of the batch.
    Read(usize),
    /// Nothing: this became of the batch.
    Done(Outcome),
}

/// A batch of writes on its way, without I/O.
///
/// It outlives a failed call: asking again goes on with the same mutation ids and still knows
/// that an earlier send may have taken effect.
#[derive(Debug, Clone)]
pub struct Commit {
    writes: Vec<Write>,
    /// An earlier send may have taken effect, or may yet.
    maybe_applied: bool,
    /// The last send was answered with a failed condition.
    refused: bool,
    next_step: Step,
}

impl Commit {
    /// Creates a commit of writes that were never sent before.
    #[must_use]
    pub fn new(writes: Vec<Write>) -> Self {
        let next_step = if writes.is_empty() { Step::Done(Outcome::Applied) } else { Step::Write };
        Self { writes, maybe_applied: false, refused: false, next_step }
    }

    /// Creates a commit of writes that may have been sent before.
    #[must_use]
    pub fn resume(writes: Vec<Write>) -> Self {
        Self { maybe_applied: true, ..Self::new(writes) }
    }

    /// Returns the writes.
    #[must_use]
    pub fn writes(&self) -> &[Write] {
        &self.writes
    }

    /// Returns what is needed next.
    #[must_use]
    pub fn next_step(&self) -> Step {
        self.next_step
    }

    /// Takes in the result of sending the batch.
    ///
    /// # Errors
    ///
    /// Returns the error if the batch was not sent; [`Error::Undecided`] if an earlier send was.
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

    /// Takes in the result of reading the row that was asked for.
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
            // Another write made the version that this one would have made.
            Step::Done(Outcome::Refused)
        } else if version > write.expected {
            match index + 1 {
                next if next < self.writes.len() => Step::Read(next),
                _ => Step::Done(Outcome::Overtaken),
            }
        } else if self.refused {
            // This row waits, so the condition of another one failed, and fails for good.
            Step::Done(Outcome::Refused)
        } else {
            Step::Write
        };
        Ok(())
    }

    /// Sends and reads until it is known what became of the batch.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if that cannot be found out now; driving it again goes on.
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

/// Applies a batch of writes that may have been sent before.
///
/// # Errors
///
/// Returns [`Error`] if it could not be found out what became of it; the caller may ask again
/// with the same writes.
pub fn commit(calls: &Calls, writes: &[Write]) -> Result<Outcome, Error> {
    Commit::resume(writes.to_vec()).drive(calls)
}
