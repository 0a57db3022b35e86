//! Settings of the daemons, read from TOML files.

mod check;
pub mod measure;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use self::measure::Span;
use crate::member::{Capacity, Place};
use crate::place::Policy;
use crate::unit::{Node, Operator, Service};

/// Largest settings file, in bytes.
pub const MAX_FILE_BYTES: u64 = 256 << 10;

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Deserialize)]
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
    #[serde(deserialize_with = "check::peers")]
    pub entries: Vec<SocketAddr>,
    /// The base URL of the table service.
    #[serde(deserialize_with = "check::url")]
    pub table: String,
    /// The base URL of the object store.
    #[serde(deserialize_with = "check::url")]
    pub objects: String,
    /// The operators and the tokens that prove who they are.
    pub tokens: Vec<Token>,
    /// How the planner weighs completion time against fragmentation.
    #[serde(default)]
    pub policy: Policy,
    /// Logs, health, metrics and the planned stop.
    #[serde(default)]
    pub process: Process,
}

/// What all daemons have in common.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Process {
    /// The address for `/healthz`, `/readyz` and `/metrics`; none if unstated.
    pub watch: Option<SocketAddr>,
    /// The least level that is logged.
    pub log_level: Level,
    /// The file that log lines are appended to; standard output if unstated.
    pub log_file: Option<PathBuf>,
    /// The time between the first log line in memory and its writing.
    pub log_flush: Span,
    /// The time between the failing health check and the end of accepting.
    pub notice: Span,
    /// The longest time a planned stop waits for what runs.
    pub drain: Span,
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
        }
    }
}

/// The least level of the log lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// Failures and what an operator should look at.
    Warn,
    /// Every decision as well.
    Info,
}

/// The token of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "check::RawToken")]
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
    #[serde(deserialize_with = "check::peers")]
    pub entries: Vec<SocketAddr>,
    /// The service that the target offers.
    pub service: Service,
    /// The base URL of the target.
    #[serde(deserialize_with = "check::url")]
    pub target: String,
    /// The base URL of the worker's task calls.
    #[serde(deserialize_with = "check::url")]
    pub worker: String,
    /// What the worker has to give.
    #[serde(deserialize_with = "check::capacity")]
    pub capacity: Capacity,
    /// Logs, health, metrics and the planned stop.
    #[serde(default)]
    pub process: Process,
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
    #[error("{file}: {found} bytes are over the limit of {MAX_FILE_BYTES}")]
    Size {
        /// The file.
        file: PathBuf,
        /// Its size.
        found: u64,
    },
    /// The file is malformed, or a key is unknown, missing or wrong.
    #[error("{file}: line {line}, key {key}: {problem}", key = key.as_deref().unwrap_or("unknown"))]
    Malformed {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key, if the line has one.
        key: Option<String>,
        /// What is wrong and what would be right.
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

/// Reads the text of a settings file.
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

/// Returns the first text in backquotes after a phrase.
fn quoted_after<'a>(text: &'a str, phrase: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(phrase)?;
    rest.split('`').nth(1)
}

/// Returns a right value of a key that is missing.
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
