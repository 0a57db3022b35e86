//! Settings of the daemons, read from TOML files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::member::{Capacity, Place};
use crate::unit::{Node, Operator, Service};

/// Largest settings file, in bytes.
pub const FILE_BYTES: u64 = 256 << 10;

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its name.
    pub node: Node,
    /// Where it stands.
    pub place: Place,
    /// The address for callers' HTTP.
    pub callers: SocketAddr,
    /// The address for operators' HTTP.
    pub operators: SocketAddr,
    /// The UDP and TCP address for the system's own processes.
    pub listen: SocketAddr,
    /// The addresses of the entries, this one included.
    pub entries: Vec<SocketAddr>,
    /// The base URL of the table service.
    pub table: String,
    /// The base URL of the object store.
    pub objects: String,
    /// The operators and the tokens that prove who they are.
    pub tokens: Vec<Token>,
}

/// The token of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// The operator.
    pub operator: Operator,
    /// The secret.
    pub secret: String,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Its name.
    pub node: Node,
    /// Where it stands.
    pub place: Place,
    /// The UDP and TCP address for the system's own processes.
    pub listen: SocketAddr,
    /// The addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// The service that the target offers.
    pub service: Service,
    /// The base URL of the target.
    pub target: String,
    /// The base URL of the worker's task calls.
    pub worker: String,
    /// What the worker has to give.
    pub capacity: Capacity,
}

/// Reports a settings file that is refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {cause}")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause.
        cause: std::io::Error,
    },
    /// The file is over the bound.
    #[error("{file}: {found} bytes are over the limit of {FILE_BYTES}")]
    Size {
        /// The file.
        file: PathBuf,
        /// Its size.
        found: u64,
    },
    /// The file is malformed, or a key is unknown, missing or wrong.
    #[error("{file}: {cause}")]
    Malformed {
        /// The file.
        file: PathBuf,
        /// The key, its line and what would be right.
        cause: Box<toml::de::Error>,
    },
}

/// Reads a settings file.
///
/// # Errors
///
/// Returns [`Error`] that names the file, the line and the key.
pub fn read<T: DeserializeOwned>(file: impl AsRef<Path>) -> Result<T, Error> {
    let file = file.as_ref();
    let unreadable = |cause| Error::Unreadable { file: file.to_owned(), cause };
    let found = std::fs::metadata(file).map_err(unreadable)?.len();
    if found > FILE_BYTES {
        return Err(Error::Size { file: file.to_owned(), found });
    }
    let text = std::fs::read_to_string(file).map_err(unreadable)?;
    toml::from_str(&text)
        .map_err(|cause| Error::Malformed { file: file.to_owned(), cause: Box::new(cause) })
}
