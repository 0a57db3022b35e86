//! Parses the command line, and fills what it omits from the environment and the settings file.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, fs, io};

use lexopt::ValueExt;
use lexopt::prelude::{Long, Short, Value};
use persimmondrift::settings;
use persimmondrift::settings::measure::Span;
use persimmondrift::unit::{Job, Node, Zone};
use serde::Deserialize;

use crate::error::Error;
use crate::worth::Worths;

/// Timeout of one call if the settings give none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Operand of the commands on jobs, as error messages name it.
const JOB_OPERAND: &str = "the number of a job";
/// Operand of the commands on a node, as error messages name it.
const NODE_OPERAND: &str = "the name of a node";
/// Operand of the commands on an availability zone, as error messages name it.
const ZONE_OPERAND: &str = "the name of an availability zone";
/// Environment variable with the operator API addresses of the entries, separated by commas.
const ENTRIES_VARIABLE: &str = "PERSIMMON_ENTRIES";
/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "PERSIMMON_TOKEN";

/// A parsed command line.
#[derive(Debug)]
pub struct Request {
    /// The command with its operands.
    pub command: Command,
    /// Operator API addresses of the entries, tried in this order.
    pub entries: Vec<SocketAddr>,
    /// The operator's bearer token.
    pub token: String,
    /// Timeout of one HTTP call.
    pub timeout: Duration,
    /// Whether to print JSON instead of tables.
    pub json: bool,
    /// Whether to confirm a plan as soon as it is made.
    pub confirm: bool,
    /// File to write a new plan to.
    pub out: Option<PathBuf>,
}

/// A command with its operands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Prints the help of one command, or the general help.
    Help(Option<String>),
    /// Makes a plan from the changes in a file.
    Plan(PathBuf),
    /// Confirms a plan, given by its id or by the file that holds it.
    Confirm(String),
    /// Makes a plan of the differences between the configuration in force and the declarations in a
    /// directory.
    Apply(PathBuf),
    /// Shows a summary of the system.
    Status,
    /// Shows the accepted jobs and those that ended recently.
    Jobs,
    /// Shows the targets with their health and load.
    Targets,
    /// Shows the guarantees of the workspaces and the jobs that claim them.
    Claims,
    /// Shows where a job runs, how it ended, or why it waits.
    Explain(Job),
    /// Shows the timeline of a job, given by its id, from log files; `-` is standard input.
    Timeline(String, Vec<PathBuf>),
    /// Shows what the jobs of a day were worth and why it was lost, from log files; `-` is standard
    /// input.
    Account(Worths, Vec<PathBuf>),
    /// Drains a node: it finishes its work and gets no new work.
    Drain(Node),
    /// Ends the drain of a node.
    Undrain(Node),
    /// Evacuates an availability zone: its nodes finish their work and get no new work.
    Evacuate(Zone),
    /// Returns an evacuated availability zone to service.
    Return(Zone),
    /// Cancels jobs.
    Cancel(Vec<Job>),
}

/// Contents of the settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Operator API addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// File with the operator's token.
    pub token_file: Option<PathBuf>,
    /// Timeout of one HTTP call.
    pub timeout: Option<Span>,
}

/// Parses the arguments. Addresses of entries come from options, else the environment, else the
/// settings; the token from the environment, else a file named by an option or the settings.
pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Request, Error> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut request = Request {
        command: Command::Help(None),
        entries: Vec::new(),
        token: String::new(),
        timeout: DEFAULT_TIMEOUT,
        json: false,
        confirm: false,
        out: None,
    };
    let (mut words, mut help) = (Vec::new(), false);
    let (mut settings_file, mut token_file) = (None, None);
    let mut logs: Vec<PathBuf> = Vec::new();
    let mut worths = Worths::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => help = true,
            Long("json") => request.json = true,
            Long("confirm") => request.confirm = true,
            Long("out") => request.out = Some(parser.value()?.into()),
            Long("log") => logs.push(parser.value()?.into()),
            Long("worth") => worths.add(&parser.value()?.string()?)?,
            Long("entry") => request.entries.push(parser.value()?.parse()?),
            Long("settings") => settings_file = Some(PathBuf::from(parser.value()?)),
            Long("token-file") => token_file = Some(PathBuf::from(parser.value()?)),
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if help || words.first().is_some_and(|word| word == "help") {
        words.retain(|word| word != "help");
        request.command = Command::Help(words.into_iter().next());
        return Ok(request);
    }
    if logs.is_empty() && words.first().is_some_and(|word| word == "account") {
        // Neither does an accounting.
        request.command = Command::Account(worths, parse_logs(&words[1..]));
        return Ok(request);
    }
    if worths != Worths::default() {
        return Err(Error::Operand("no worth"));
    }
    if !logs.is_empty() {
        // A timeline is built from logs alone: no entries or token are needed.
        request.command = parse_timeline(&words, logs)?;
        return Ok(request);
    }
    request.command = parse_command(&words)?;
    let settings = match settings_file {
        Some(file) => settings::read(file)?,
        None => Settings::default(),
    };
    if request.entries.is_empty() {
        request.entries = from_environment()?.unwrap_or(settings.entries);
    }
    if request.entries.is_empty() {
        return Err(Error::NoEntries);
    }
    request.timeout = settings.timeout.map_or(DEFAULT_TIMEOUT, |span| span.0);
    request.token = read_token(token_file.or(settings.token_file))?;
    Ok(request)
}

fn from_environment() -> Result<Option<Vec<SocketAddr>>, Error> {
    let Ok(text) = env::var(ENTRIES_VARIABLE) else {
        return Ok(None);
    };
    let parse = |word: &str| word.trim().parse().map_err(|_| Error::NoEntries);
    text.split(',').map(parse).collect::<Result<_, _>>().map(Some)
}

fn read_token(file: Option<PathBuf>) -> Result<String, Error> {
    if let Ok(token) = env::var(TOKEN_VARIABLE) {
        return Ok(token);
    }
    let file = file.ok_or(Error::NoToken)?;
    read_text(&file).map(|text| text.trim().to_owned())
}

/// Reads a file, or standard input if the path is `-`.
pub fn read_text(file: &Path) -> Result<String, Error> {
    if file == Path::new("-") {
        return io::read_to_string(io::stdin())
            .map_err(|error| Error::File(file.to_owned(), error));
    }
    fs::read_to_string(file).map_err(|error| Error::File(file.to_owned(), error))
}

/// Returns the log files that operands name; standard input if there are none.
fn parse_logs(words: &[String]) -> Vec<PathBuf> {
    if words.is_empty() {
        vec![PathBuf::from("-")]
    } else {
        words.iter().map(PathBuf::from).collect()
    }
}

fn parse_timeline(words: &[String], logs: Vec<PathBuf>) -> Result<Command, Error> {
    match words {
        [name, id] if name == "explain" => Ok(Command::Timeline(id.to_lowercase(), logs)),
        [name, ..] if name != "explain" => Err(Error::Operand("no log")),
        _ => Err(Error::Operand("the id of a job")),
    }
}

fn parse_command(words: &[String]) -> Result<Command, Error> {
    let (name, operands) = words.split_first().ok_or(Error::NoCommand)?;
    let single = |needs: &'static str| match operands {
        [operand] => Ok(operand),
        _ => Err(Error::Operand(needs)),
    };
    let without_operands = |command: Command| {
        if operands.is_empty() { Ok(command) } else { Err(Error::Operand("no operand")) }
    };
    match name.as_str() {
        "plan" => Ok(Command::Plan(single("one file with changes")?.into())),
        "confirm" => Ok(Command::Confirm(single("the id of a plan, or its file")?.clone())),
        "apply" => Ok(Command::Apply(single("one directory with declarations")?.into())),
        "status" => without_operands(Command::Status),
        "jobs" => without_operands(Command::Jobs),
        "targets" => without_operands(Command::Targets),
        "claims" => without_operands(Command::Claims),
        "explain" => {
            let job = single(JOB_OPERAND)?.parse().map_err(|_| Error::Operand(JOB_OPERAND))?;
            Ok(Command::Explain(job))
        }
        "drain" => Ok(Command::Drain(
            single(NODE_OPERAND)?.parse().map_err(|_| Error::Operand(NODE_OPERAND))?,
        )),
        "undrain" => Ok(Command::Undrain(
            single(NODE_OPERAND)?.parse().map_err(|_| Error::Operand(NODE_OPERAND))?,
        )),
        "evacuate" => Ok(Command::Evacuate(
            single(ZONE_OPERAND)?.parse().map_err(|_| Error::Operand(ZONE_OPERAND))?,
        )),
        "return" => Ok(Command::Return(
            single(ZONE_OPERAND)?.parse().map_err(|_| Error::Operand(ZONE_OPERAND))?,
        )),
        "cancel" if operands.is_empty() => Err(Error::Operand(JOB_OPERAND)),
        "cancel" => {
            let jobs = operands.iter().map(|word| word.parse()).collect::<Result<_, _>>();
            jobs.map(Command::Cancel).map_err(|_| Error::Operand(JOB_OPERAND))
        }
        other => Err(Error::Command(other.to_owned())),
    }
}
