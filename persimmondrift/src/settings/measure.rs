//! Durations and sizes with units in settings and arguments, such as `30 s` or `128 GiB`.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;

use crate::unit::{Bytes, Mebibytes};

/// Units of a duration and their length in milliseconds.
const SPAN_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];
/// Units of a size and their number of bytes.
const SIZE_UNITS: [(&str, u64); 4] =
    [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

/// Reason why text is not a valid duration or size.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text does not start with a whole number.
    #[error("`{0}` does not start with a whole number; write it like `30 s` or `128 GiB`")]
    Number(String),
    /// The unit is missing or unknown.
    #[error("`{text}` has no known unit; write one of {units}, like `{example}`")]
    Unit {
        /// Rejected text.
        text: String,
        /// Valid units, separated by commas.
        units: &'static str,
        /// Example of valid text.
        example: &'static str,
    },
    /// The value in milliseconds or bytes does not fit into 64 bits.
    #[error("`{0}` is too large")]
    Range(String),
}

/// A duration written with a unit, in whole milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "String")]
pub struct Span(pub Duration);

/// A size written with a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "String")]
pub struct Size(pub Bytes);

impl Size {
    /// Returns the size in whole mebibytes, rounded down.
    #[must_use]
    pub fn mebibytes(self) -> Mebibytes {
        Mebibytes(self.0.0 >> 20)
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let unknown =
            || Error::Unit { text: text.to_owned(), units: "ms, s, min, h", example: "30 s" };
        parse(text, &SPAN_UNITS, unknown).map(|millis| Self(Duration::from_millis(millis)))
    }
}

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let unknown =
            || Error::Unit { text: text.to_owned(), units: "B, KiB, MiB, GiB", example: "128 GiB" };
        parse(text, &SIZE_UNITS, unknown).map(|bytes| Self(Bytes(bytes)))
    }
}

impl TryFrom<String> for Span {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl TryFrom<String> for Size {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX);
        display(f, millis, &SPAN_UNITS)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        display(f, self.0.0, &SIZE_UNITS)
    }
}

fn parse(text: &str, units: &[(&str, u64)], unknown: impl Fn() -> Error) -> Result<u64, Error> {
    let text = text.trim();
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    if number.is_empty() {
        return Err(Error::Number(text.to_owned()));
    }
    let factor = units.iter().find(|(name, _)| *name == unit.trim()).ok_or_else(unknown)?.1;
    let number: u64 = number.parse().map_err(|_| Error::Range(text.to_owned()))?;
    number.checked_mul(factor).ok_or_else(|| Error::Range(text.to_owned()))
}

/// Formats a value in the largest unit that divides it.
fn display(f: &mut fmt::Formatter<'_>, value: u64, units: &[(&str, u64)]) -> fmt::Result {
    let divides = |(_, factor): &&(&str, u64)| value >= *factor && value.is_multiple_of(*factor);
    let (name, factor) = units.iter().rev().find(divides).unwrap_or(&units[0]);
    write!(f, "{} {name}", value / factor)
}
