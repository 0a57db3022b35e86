//! Failures and exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use persimmondrift::unit::Job;
use persimmondrift::{declare, settings};

/// What the exit code says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// It is done, or there was nothing to do.
    Done = 0,
    /// No entry answered, or the table service does not answer them: nothing was accepted.
    Unavailable = 1,
    /// The arguments, a file or the settings are wrong.
    Usage = 2,
    /// The system refused the intent or the call.
    Refused = 3,
    /// The configuration changed since the plan was made.
    Conflict = 4,
    /// It is not known whether the plan was accepted.
    Unknown = 5,
    /// A plan was made and waits to be confirmed.
    Pending = 6,
}

/// Reports a command that was not carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The arguments are wrong.
    #[error("{0}; see persimmonctl --help")]
    Argument(#[from] lexopt::Error),
    /// No command is given.
    #[error("no command is given; see persimmonctl --help")]
    NoCommand,
    /// A command is not known.
    #[error("`{0}` is no command; see persimmonctl --help")]
    Command(String),
    /// A command lacks its operand.
    #[error("the command needs {0}; see persimmonctl COMMAND --help")]
    Operand(&'static str),
    /// No entry is named.
    #[error("no entry is named; give --entry ADDRESS, or --settings FILE, or PERSIMMON_ENTRIES")]
    NoEntries,
    /// No token is given.
    #[error("no token is given; set PERSIMMON_TOKEN, or give --token-file FILE")]
    NoToken,
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A file holds no intent.
    #[error("{0}: {1}; see persimmonctl plan --help for the form")]
    Intent(PathBuf, String),
    /// The settings are wrong.
    #[error("{0}")]
    Settings(#[from] settings::Error),
    /// The declarations are wrong.
    #[error("{0}")]
    Declaration(#[from] declare::Error),
    /// No entry answered.
    #[error("no entry answered ({0}); see whether the addresses are right and the entries run")]
    NoEntry(String),
    /// An entry gave no whole answer in time.
    #[error("{0} gave no whole answer ({1}); confirm the same plan again, it is accepted once")]
    IncompleteAnswer(SocketAddr, String),
    /// An entry refused the call.
    #[error("refused: {text}; {next}", next = advice(*status))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The reason that the entry gave.
        text: String,
    },
    /// An entry answered, but not what was asked for.
    #[error("{0} gave an answer that is not understood; see whether it has the same release")]
    UnexpectedAnswer(SocketAddr),
    /// A job is not known.
    #[error("job {0} is not known to any entry; see persimmonctl jobs")]
    NoJob(Job),
    /// No log names a job.
    #[error("no line of these logs names {0}; give the logs of all entries and agents")]
    NoLogLines(String),
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(io::Error),
}

impl Error {
    /// Returns the exit code.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Refused { status: 409, .. } => Exit::Conflict,
            Self::NoEntry(_)
            | Self::UnexpectedAnswer(_)
            | Self::Output(_)
            | Self::Refused { status: 503, .. } => Exit::Unavailable,
            Self::IncompleteAnswer(..) | Self::Refused { status: 504, .. } => Exit::Unknown,
            Self::Refused { .. } | Self::NoJob(_) | Self::NoLogLines(_) => Exit::Refused,
            _ => Exit::Usage,
        }
    }
}

/// Returns what to do after a refusal.
fn advice(status: u16) -> &'static str {
    match status {
        401 => "give the token of an operator that the entry's settings name",
        404 => "make the plan again, or give the file that plan --out wrote",
        409 => "look at what changed, then plan again",
        503 => "ask again when the table service is back, see persimmonctl status",
        504 => "it is accepted once at most",
        _ => "change the intent, then plan again",
    }
}
