//! Settings of the entry and agent daemons, read from TOML files. Errors name the file, line and
//! key.

mod check;
pub mod measure;
pub mod server;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use self::measure::Span;
use self::server::Server;
use crate::member::{Capacity, Location};
use crate::place::Policy;
use crate::unit::{Node, Operator, Service};

/// Maximum size of a settings file, in bytes.
pub const MAX_FILE_BYTES: u64 = 256 << 10;

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the entry, unique among all nodes.
    pub node: Node,
    /// Region, availability zone and rack of the entry.
    pub place: Location,
    /// Listen address for HTTP requests of callers.
    pub callers: SocketAddr,
    /// Listen address for HTTP requests of operators.
    pub operators: SocketAddr,
    /// UDP and TCP listen address for messages of entries and agents.
    pub listen: SocketAddr,
    /// `listen` addresses of all entries, including this one.
    #[serde(deserialize_with = "check::peers")]
    pub entries: Vec<SocketAddr>,
    /// Base URL of the table service.
    #[serde(deserialize_with = "check::url")]
    pub table: String,
    /// Base URL of the object store.
    #[serde(deserialize_with = "check::url")]
    pub objects: String,
    /// Bearer tokens of the operators.
    pub tokens: Vec<Token>,
    /// Planner policy, which trades completion time against fragmentation.
    #[serde(default)]
    pub policy: Policy,
    /// Logging, health checks, metrics and shutdown.
    #[serde(default)]
    pub process: Process,
}

/// Settings that all daemons have in common.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Process {
    /// Listen address for `/healthz`, `/readyz` and `/metrics`; not served if absent.
    pub watch: Option<SocketAddr>,
    /// Minimum level of the log lines that are written.
    pub log_level: Level,
    /// File that log lines are appended to; standard output if absent.
    pub log_file: Option<PathBuf>,
    /// Interval at which buffered log lines are flushed.
    pub log_flush: Span,
    /// Time between the first failing health check of a shutdown and the end of accepting.
    pub notice: Span,
    /// Maximum time that a shutdown waits for running work after `notice`.
    pub drain: Span,
    /// Limits of the HTTP servers.
    pub server: Server,
}

impl Default for Process {
    fn default() -> Self {
        Self {
            watch: None,
            log_level: Level::Info,
            log_file: None,
            log_flush: Span(Duration::from_millis(200)),
            notice: Span(Duration::from_secs(3)),
            drain: Span(Duration::from_hours(1)),
            server: Server::default(),
        }
    }
}

/// The minimum level of the log lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// No log lines.
    Off,
    /// Failures and other events that need an operator's attention.
    Warn,
    /// Warnings and every decision.
    Info,
}

/// The token of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "check::RawToken")]
pub struct Token {
    /// Operator who authenticates with the token.
    pub operator: Operator,
    /// Bearer token, from `secret` or from the content of `secret_file`.
    pub secret: String,
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Name of the agent, unique among all nodes.
    pub node: Node,
    /// Region, availability zone and rack of the agent.
    pub place: Location,
    /// UDP and TCP listen address for messages of entries and agents.
    pub listen: SocketAddr,
    /// `listen` addresses of the entries.
    #[serde(deserialize_with = "check::peers")]
    pub entries: Vec<SocketAddr>,
    /// Service that the target serves.
    pub service: Service,
    /// Base URL of the target.
    #[serde(deserialize_with = "check::url")]
    pub target: String,
    /// Base URL at which the worker starts and stops tasks.
    #[serde(deserialize_with = "check::url")]
    pub worker: String,
    /// Slots, connections, accelerators, cores and memory of the worker.
    #[serde(deserialize_with = "check::capacity")]
    pub capacity: Capacity,
    /// Logging, health checks, metrics and shutdown.
    #[serde(default)]
    pub process: Process,
}

/// Reason why a settings file is refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {cause}")]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the file system.
        cause: std::io::Error,
    },
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("{file}: {found} bytes are over the limit of {MAX_FILE_BYTES}")]
    Size {
        /// Path of the file.
        file: PathBuf,
        /// Size of the file in bytes.
        found: u64,
    },
    /// The file is not valid TOML, or a key is unknown, missing or has a wrong value.
    #[error("{file}: line {line}, key {key}: {problem}", key = key.as_deref().unwrap_or("unknown"))]
    Malformed {
        /// Path of the file.
        file: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// Key at fault, if it is known.
        key: Option<String>,
        /// Description of the fault, with an example of a valid value where there is one.
        problem: String,
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
    if found > MAX_FILE_BYTES {
        return Err(Error::Size { file: file.to_owned(), found });
    }
    let text = std::fs::read_to_string(file).map_err(unreadable)?;
    parse(file, &text)
}

/// Parses the text of a settings file. `file` is used in errors only.
///
/// # Errors
///
/// Returns [`Error`] that names the file, the line and the key.
pub fn parse<T: DeserializeOwned>(file: impl AsRef<Path>, text: &str) -> Result<T, Error> {
    let file = file.as_ref();
    let found = u64::try_from(text.len()).unwrap_or(u64::MAX);
    if found > MAX_FILE_BYTES {
        return Err(Error::Size { file: file.to_owned(), found });
    }
    toml::from_str(text).map_err(|error| malformed(file, text, &error))
}

fn malformed(file: &Path, text: &str, error: &toml::de::Error) -> Error {
    let begin = error.span().map_or(0, |span| span.start).min(text.len());
    let before = text.get(..begin).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let missing = quoted_after(error.message(), "missing field");
    let named = missing.or_else(|| quoted_after(error.message(), "unknown field"));
    let key = named.map(str::to_owned).or_else(|| key_of(text.lines().nth(line - 1)?));
    let mut problem = error.message().trim_end().replace('\n', ", ");
    if let Some(example) = missing.and_then(example) {
        problem = format!("{problem}; write it like {example}");
    }
    Error::Malformed { file: file.to_owned(), line, key, problem }
}

/// Returns the key of a line `key = value` or `[table]`.
fn key_of(line: &str) -> Option<String> {
    let key = line.split_once('=').map_or(line, |(key, _)| key);
    let key = key.trim().trim_matches(['[', ']']);
    (!key.is_empty()).then(|| key.to_owned())
}

/// Returns the first text in backticks after a phrase.
fn quoted_after<'a>(text: &'a str, phrase: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(phrase)?;
    rest.split('`').nth(1)
}

/// Returns an example line for a missing key.
fn example(key: &str) -> Option<&'static str> {
    let examples = [
        ("node", "node = \"entry-1\""),
        ("place", "[place] with region, zone and rack"),
        ("region", "region = \"sac-a\""),
        ("zone", "zone = \"sac-a-1\""),
        ("rack", "rack = \"sac-a-1-r1\""),
        ("callers", "callers = \"10.0.0.1:8080\""),
        ("operators", "operators = \"10.0.0.1:8081\""),
        ("listen", "listen = \"10.0.0.1:7100\""),
        ("entries", "entries = [\"10.0.0.1:7100\"]"),
        ("table", "table = \"http://10.0.0.9:8000\""),
        ("objects", "objects = \"http://10.0.0.9:8001\""),
        ("tokens", "tokens = [{ operator = \"ana\", secret_file = \"/run/token\" }]"),
        ("service", "service = \"taller-app\""),
        ("target", "target = \"http://127.0.0.1:9000\""),
        ("worker", "worker = \"http://127.0.0.1:9001\""),
        ("capacity", "[capacity] with slots, connections, accelerators, cores and memory"),
        ("memory", "memory = \"128 GiB\""),
    ];
    examples.iter().find(|(name, _)| *name == key).map(|(_, example)| *example)
}
