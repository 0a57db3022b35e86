//! Worth of the jobs of a queue, as options give it.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Serialize;

use crate::error::Error;

/// Largest worth that an option may give.
const MAX_WORTH: f64 = 1_000_000.0;
/// Thousandths in a unit.
const THOUSANDTHS: f64 = 1_000.0;

/// Worth of a mean job of a queue, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Worth {
    /// Worth of a job that is shown as completed within its objective.
    pub whole: u64,
    /// Share of it that a late job is worth, in thousandths.
    pub late: u64,
}

impl Default for Worth {
    fn default() -> Self {
        Self { whole: 1_000, late: 500 }
    }
}

/// Worths by the names of queues.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Worths(BTreeMap<String, Worth>);

impl Worths {
    /// Adds the value of an option, `QUEUE=WORTH,LATE`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Worth`] if the value is malformed, and [`Error::RepeatedWorth`] if the
    /// queue has a worth already.
    pub fn add(&mut self, text: &str) -> Result<(), Error> {
        let malformed = || Error::Worth(text.to_owned());
        let (queue, worth) = text.split_once('=').ok_or_else(malformed)?;
        if queue.is_empty() || queue.contains(char::is_whitespace) {
            return Err(malformed());
        }
        let worth = worth.parse().map_err(|()| malformed())?;
        match self.0.insert(queue.to_owned(), worth) {
            None => Ok(()),
            Some(_) => Err(Error::RepeatedWorth(text.to_owned())),
        }
    }

    /// Returns the worth of a queue; `None` if no option gives it.
    #[must_use]
    pub fn get(&self, queue: &str) -> Option<Worth> {
        self.0.get(queue).copied()
    }
}

impl FromStr for Worth {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (whole, late) = text.split_once(',').ok_or(())?;
        Ok(Self { whole: thousandths(whole, MAX_WORTH)?, late: thousandths(late, 1.0)? })
    }
}

/// Parses a number from 0 to `max` into thousandths.
fn thousandths(text: &str, max: f64) -> Result<u64, ()> {
    let number: f64 = text.parse().map_err(|_| ())?;
    if !(0.0..=max).contains(&number) {
        return Err(());
    }
    // The number is in range, so that its rounded thousandths have at most ten digits.
    format!("{:.0}", number * THOUSANDTHS).parse().map_err(|_| ())
}
