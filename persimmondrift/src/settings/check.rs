//! Validation of single settings during deserialization, so that an error has a line number.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Deserializer, de};

use super::Token;
use super::measure::Size;
use crate::member::Capacity;
use crate::unit::{Accelerators, Connections, Cores, Operator, Slots};

const MAX_SECRET_BYTES: usize = 512;
const MIN_SECRET_BYTES: usize = 8;

/// Reason why the value of a setting is refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A number is out of range.
    #[error("{found} is out of range; write {low} to {high}")]
    Range {
        /// Number in the file.
        found: u64,
        /// Minimum value.
        low: u64,
        /// Maximum value.
        high: u64,
    },
    /// The address of an entry has port 0, to which nothing can be sent.
    #[error("`{0}` has port 0; write the port that the entry listens at")]
    Port(SocketAddr),
    /// The list of entries is empty.
    #[error("the list is empty; name at least one, like \"10.0.0.1:7100\"")]
    Empty,
    /// A base URL lacks `http://` or `https://`, has no host, or ends with a slash.
    #[error("`{0}` is not a base URL; write it like \"http://10.0.0.9:8000\"")]
    Url(String),
    /// A token has neither `secret` nor `secret_file`, or both.
    #[error("a token needs either `secret` or `secret_file`")]
    Secret,
    /// The length of a secret is out of bounds.
    #[error("a secret must have {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes")]
    SecretLength,
    /// The file of a secret cannot be read, or is not UTF-8.
    #[error("secret_file {0:?} cannot be read: {1}")]
    SecretFile(PathBuf, std::io::Error),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCapacity {
    #[serde(deserialize_with = "number::<1, 4096, _>")]
    slots: u32,
    #[serde(deserialize_with = "number::<1, 65_536, _>")]
    connections: u32,
    #[serde(deserialize_with = "number::<1, 64, _>")]
    accelerators: u32,
    #[serde(deserialize_with = "number::<1, 4096, _>")]
    cores: u32,
    memory: Size,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawToken {
    operator: Operator,
    secret: Option<String>,
    secret_file: Option<PathBuf>,
}

impl TryFrom<RawToken> for Token {
    type Error = Error;

    fn try_from(raw: RawToken) -> Result<Self, Error> {
        let secret = match (raw.secret, raw.secret_file) {
            (Some(secret), None) => secret,
            (None, Some(file)) => {
                let text = fs::read_to_string(&file);
                text.map_err(|error| Error::SecretFile(file, error))?.trim().to_owned()
            }
            _ => return Err(Error::Secret),
        };
        if !(MIN_SECRET_BYTES..=MAX_SECRET_BYTES).contains(&secret.len()) {
            return Err(Error::SecretLength);
        }
        Ok(Self { operator: raw.operator, secret })
    }
}

fn number<'de, const LOW: u32, const HIGH: u32, D: Deserializer<'de>>(
    from: D,
) -> Result<u32, D::Error> {
    let found = u64::deserialize(from)?;
    match u32::try_from(found) {
        Ok(number) if (LOW..=HIGH).contains(&number) => Ok(number),
        _ => Err(de::Error::custom(Error::Range { found, low: LOW.into(), high: HIGH.into() })),
    }
}

/// Reads and checks the capacity of a worker.
pub(super) fn capacity<'de, D: Deserializer<'de>>(from: D) -> Result<Capacity, D::Error> {
    let raw = RawCapacity::deserialize(from)?;
    Ok(Capacity {
        slots: Slots(raw.slots),
        connections: Connections(raw.connections),
        accelerators: Accelerators(raw.accelerators),
        cores: Cores(raw.cores),
        memory: raw.memory.mebibytes(),
    })
}

/// Reads and checks the addresses of the entries.
pub(super) fn peers<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<SocketAddr>, D::Error> {
    let peers = Vec::<SocketAddr>::deserialize(from)?;
    if peers.is_empty() {
        return Err(de::Error::custom(Error::Empty));
    }
    match peers.iter().find(|peer| peer.port() == 0) {
        Some(&peer) => Err(de::Error::custom(Error::Port(peer))),
        None => Ok(peers),
    }
}

/// Reads and checks a base URL.
pub(super) fn url<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    let text = String::deserialize(from)?;
    let rest = text.strip_prefix("http://").or_else(|| text.strip_prefix("https://"));
    match rest {
        Some(host) if !host.is_empty() && !host.ends_with('/') => Ok(text),
        _ => Err(de::Error::custom(Error::Url(text))),
    }
}
