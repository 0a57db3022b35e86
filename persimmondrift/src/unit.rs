//! Identifiers, names, quantities and times shared by all modules.
//!
//! Numbers and names are newtypes, so that a slot count cannot be passed where a version is meant.
//! Raw input is checked by `TryFrom` or `FromStr`.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes: the limit of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// Raw input that is not a valid value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a number in the range of the type.
    #[error("{kind}: `{text}` is not a whole number in range")]
    Number {
        /// Name of the expected type.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
    /// The text is not a valid name.
    #[error("{kind}: `{text}` must have 1 to 63 characters of a-z, 0-9, `-`, `_`, `.`")]
    Name {
        /// Name of the expected type.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                text.parse().map(Self).map_err(|_| Error::Number {
                    kind: stringify!($name),
                    text: text.to_owned(),
                })
            }
        }
    };
}

macro_rules! arithmetic {
    ($($name:ident),+) => {$(
        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0 + other.0)
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                self.0 += other.0;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                Self(self.0 - other.0)
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                self.0 -= other.0;
            }
        }
    )+};
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(text: &str) -> Result<Self, Error> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(Error::Name { kind: stringify!($name), text: text.to_owned() })
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                Self::try_from(text.as_str())
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Self::try_from(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

name!(
    /// Name of a process: an entry, or the agent beside a target.
    Node
);
name!(
    /// Name of a region, which contains availability zones.
    Region
);
name!(
    /// Name of an availability zone.
    Zone
);
name!(
    /// Name of a rack within an availability zone.
    Rack
);
name!(
    /// Name of a workspace, which jobs run under.
    Workspace
);
name!(
    /// Name of a service that targets offer to callers.
    Service
);
name!(
    /// Name of an operator, who is identified by a token.
    Operator
);
name!(
    /// Name of a kind of job; run times are estimated per kind.
    Kind
);

number!(
    /// Incarnation of a process: a process that restarts gets a new one.
    Boot, u64
);
number!(
    /// Identifies a job.
    Job, u64
);
number!(
    /// Number of an attempt of a job, from 1.
    Attempt, u32
);
number!(
    /// Number of a part of a gang job, from 0.
    Part, u16
);
number!(
    /// Fencing number of a holder of a zone's planner role. A higher epoch fences out a lower one.
    Epoch, u64
);
number!(
    /// Fencing token of an agent's calls to its worker. A worker ignores calls with a lower one than the
    /// highest that it has seen since its start.
    Fence, u64
);
number!(
    /// Number of an accepted configuration. 0 is the empty configuration.
    Version, u64
);
number!(
    /// Identifies one write to the table, so that its result can be read if the answer is lost.
    Mutation, u64
);
number!(
    /// Identifies one request of a caller.
    Request, u128
);
number!(
    /// Identifies the plan made for an intent.
    Plan, u64
);
number!(
    /// Sequence number of a message within one incarnation of a process.
    Sequence, u64
);
number!(
    /// Number of requests that a target serves concurrently.
    Slots, u32
);
number!(
    /// Number of connections.
    Connections, u32
);
number!(
    /// Number of accelerators.
    Accelerators, u32
);
number!(
    /// Number of processor cores.
    Cores, u32
);
number!(
    /// Time of the store's clock in milliseconds. The clock is steady and the same for all processes.
    StoreTime, u64
);
number!(
    /// Memory size in mebibytes.
    Mebibytes, u64
);
number!(
    /// Size in bytes.
    Bytes, u64
);
number!(
    /// Duration in milliseconds, as messages and settings carry it.
    Millis, u64
);

arithmetic!(Slots, Connections, Accelerators, Cores, Mebibytes, Bytes, Millis);

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Epoch {
    /// Returns the epoch that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the highest epoch that a row of this version can hold: each holder of a role takes a
    /// write of its own.
    #[must_use]
    pub fn limit(version: Version) -> Self {
        Self(version.0)
    }
}

impl Fence {
    /// Returns the token that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        self.raised(1)
    }

    /// Returns the token that is higher by `step`.
    #[must_use]
    pub fn raised(self, step: u64) -> Self {
        Self(self.0.saturating_add(step))
    }
}

impl From<Millis> for Duration {
    fn from(millis: Millis) -> Self {
        Self::from_millis(millis.0)
    }
}

/// A point in time within one process: microseconds since an origin that the process chooses.
///
/// It is never sent to another process; messages carry durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `seconds` after the origin.
    #[must_use]
    pub fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000_000)
    }

    /// Returns the time `millis` milliseconds after the origin.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Add<Millis> for Time {
    type Output = Self;

    fn add(self, span: Millis) -> Self {
        self + Duration::from(span)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
