//! Errors of the commands, and the exit codes of the process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use persimmondrift::unit::Job;
use persimmondrift::{declare, settings};

/// Exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded, or there was nothing to do.
    Done = 0,
    /// No entry could be reached or the table service is unavailable, so nothing was accepted. Also
    /// a malformed answer, and a failure to write the output.
    Unavailable = 1,
    /// The arguments, a file or the settings are invalid.
    Usage = 2,
    /// An entry refused the intent or the call, or the job is unknown.
    Refused = 3,
    /// The configuration changed since the plan was made.
    Conflict = 4,
    /// The plan may or may not have been accepted.
    Unknown = 5,
    /// A plan was made and awaits confirmation.
    Pending = 6,
}

/// Reason why a command failed. The texts are printed for the operator.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An option is unknown or its value is invalid.
    #[error("{0}; see persimmonctl --help")]
    Argument(#[from] lexopt::Error),
    /// The arguments name no command.
    #[error("no command is given; see persimmonctl --help")]
    NoCommand,
    /// The command is unknown.
    #[error("`{0}` is no command; see persimmonctl --help")]
    Command(String),
    /// The operands do not fit the command; holds what it needs.
    #[error("the command needs {0}; see persimmonctl COMMAND --help")]
    Operand(&'static str),
    /// No valid address of an entry is given by option, environment or settings.
    #[error("no entry is named; give --entry ADDRESS, or --settings FILE, or PERSIMMON_ENTRIES")]
    NoEntries,
    /// No token is given by environment, option or settings.
    #[error("no token is given; set PERSIMMON_TOKEN, or give --token-file FILE")]
    NoToken,
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A file holds no valid intent or plan.
    #[error("{0}: {1}; see persimmonctl plan --help for the form")]
    Intent(PathBuf, String),
    /// A settings or intent file cannot be read or is invalid.
    #[error("{0}")]
    Settings(#[from] settings::Error),
    /// A declaration cannot be read or is invalid.
    #[error("{0}")]
    Declaration(#[from] declare::Error),
    /// No entry could be reached; holds the failure at each.
    #[error("no entry answered ({0}); see whether the addresses are right and the entries run")]
    NoEntry(String),
    /// The call may have reached the entry, but no complete answer arrived in time.
    #[error("{0} gave no whole answer ({1}); confirm the same plan again, it is accepted once")]
    IncompleteAnswer(SocketAddr, String),
    /// An entry answered with an error status.
    #[error("refused: {text}; {next}", next = advice(*status))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Reason that the entry gave.
        text: String,
    },
    /// An entry answered with a body that is malformed or of another kind than expected.
    #[error("{0} gave an answer that is not understood; see whether it has the same release")]
    UnexpectedAnswer(SocketAddr),
    /// No entry knows the job.
    #[error("job {0} is not known to any entry; see persimmonctl jobs")]
    NoJob(Job),
    /// No log line mentions the job.
    #[error("no line of these logs names {0}; give the logs of all entries and agents")]
    NoLogLines(String),
    /// No log line reports a submitted job.
    #[error(
        "no line of these logs reports a submitted job; give the logs of all entries and agents"
    )]
    NoJobs,
    /// The worth of a queue is malformed.
    #[error(
        "{0:?} is no worth; give QUEUE=WORTH,LATE with WORTH from 0 to 1000000 and LATE from 0 to 1"
    )]
    Worth(String),
    /// The worth of a queue is given twice.
    #[error("{0:?} gives the worth of a queue again; give each queue once")]
    RepeatedWorth(String),
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(io::Error),
}

impl Error {
    /// Returns the exit code that reports this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Refused { status: 409, .. } => Exit::Conflict,
            Self::NoEntry(_)
            | Self::UnexpectedAnswer(_)
            | Self::Output(_)
            | Self::Refused { status: 503, .. } => Exit::Unavailable,
            Self::IncompleteAnswer(..) | Self::Refused { status: 504, .. } => Exit::Unknown,
            Self::Refused { .. } | Self::NoJob(_) | Self::NoLogLines(_) | Self::NoJobs => {
                Exit::Refused
            }
            _ => Exit::Usage,
        }
    }
}

/// Returns the advice to the operator after an answer with an error status.
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
