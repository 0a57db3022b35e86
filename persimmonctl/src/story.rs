//! The timeline of a job on the users' platform, put together from the logs of all processes.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

use serde::Serialize;

/// Events without an id that bear on every job: the planner's role, and the store.
const CONTEXT_EVENTS: [&str; 5] =
    ["RoleTaken", "RoleLost", "RoleYielded", "StoreFailed", "StoreBack"];

/// A line of a log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Line {
    /// When it was written; the text sorts by time.
    pub time: String,
    /// The file that it stands in.
    pub source: String,
    /// The number and the name of its event.
    pub event: String,
    /// What it says.
    pub text: String,
}

/// What the lines of a job add up to.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
pub struct Timeline {
    /// The lines, the earliest first.
    pub lines: Vec<Line>,
    /// How often tasks were placed.
    pub placed: u32,
    /// How often runs were stopped, by cause.
    pub stopped: BTreeMap<String, u32>,
    /// How runs ended.
    pub endings: BTreeMap<String, u32>,
    /// The final state, if it was reached.
    pub state: Option<String>,
}

/// Builds the timeline of a job from the texts of logs.
#[must_use]
pub fn build(id: &str, logs: &[(PathBuf, String)]) -> Timeline {
    let all = logs.iter().flat_map(|(file, text)| {
        let source = file.file_name().unwrap_or(file.as_os_str()).to_string_lossy().into_owned();
        text.lines().filter_map(move |line| parse(&source, line))
    });
    let (mut job_lines, mut context_lines): (Vec<Line>, Vec<Line>) = (Vec::new(), Vec::new());
    for line in all {
        if mentions(&line.text, id) {
            job_lines.push(line);
        } else if CONTEXT_EVENTS.iter().any(|name| line.event.ends_with(name)) {
            context_lines.push(line);
        }
    }
    job_lines.sort();
    let mut timeline = Timeline::default();
    for line in &job_lines {
        timeline.count(line);
    }
    if let (Some(first), Some(last)) = (job_lines.first(), job_lines.last()) {
        let during = |line: &Line| line.time >= first.time && line.time <= last.time;
        timeline.lines = context_lines.into_iter().filter(during).collect();
    }
    timeline.lines.extend(job_lines);
    timeline.lines.sort();
    timeline
}

impl Timeline {
    fn count(&mut self, line: &Line) {
        let value = |name: &str| {
            let mut words = line.text.split_whitespace();
            words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
        };
        let add = |counts: &mut BTreeMap<String, u32>, name: Option<&str>| {
            *counts.entry(name.unwrap_or("?").to_owned()).or_default() += 1;
        };
        match line.event.split(' ').nth(1) {
            Some("Placed") => {
                let count = value("count").and_then(|count| count.parse::<u32>().ok());
                self.placed += count.unwrap_or(1);
            }
            Some("AttemptStopped") => add(&mut self.stopped, value("cause")),
            Some("AttemptOver") => add(&mut self.endings, value("ending")),
            Some("JobEnded") => self.state = value("state").map(str::to_owned),
            _ => {}
        }
    }
}

/// Returns whether a text names a job, or one of its tasks.
fn mentions(text: &str, id: &str) -> bool {
    let is_separator = |c: char| !c.is_ascii_alphanumeric();
    text.split(is_separator).any(|word| word == id)
}

/// Splits a line into its parts; nothing if it has no event.
fn parse(source: &str, line: &str) -> Option<Line> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let event_index = words.iter().position(|word| is_event(word))?;
    let name = words.get(event_index + 1)?;
    // The level stands before the event, and the time before the level.
    let time = words[..event_index.saturating_sub(1)].join(" ");
    Some(Line {
        time: time.trim_matches(['[', ']']).to_owned(),
        source: source.to_owned(),
        event: format!("{} {name}", words[event_index]),
        text: words[event_index + 2..].join(" "),
    })
}

fn is_event(word: &str) -> bool {
    let digits = word.strip_prefix('E').unwrap_or_default();
    digits.len() == 3 && digits.bytes().all(|digit| digit.is_ascii_digit())
}

/// Shows a timeline as text.
#[must_use]
pub fn show(timeline: &Timeline) -> String {
    let mut text = String::new();
    for Line { time, source, event, text: fields } in &timeline.lines {
        // Writing into a string does not fail.
        let _ = writeln!(text, "{time}  {source}  {event}  {fields}");
    }
    let counts = |counts: &BTreeMap<String, u32>| {
        let parts: Vec<String> = counts.iter().map(|(name, n)| format!("{name} {n}")).collect();
        if parts.is_empty() { "none".to_owned() } else { parts.join(", ") }
    };
    let _ = writeln!(
        text,
        "tasks placed: {}; runs stopped: {}; runs ended: {}; final state: {}",
        timeline.placed,
        counts(&timeline.stopped),
        counts(&timeline.endings),
        timeline.state.as_deref().unwrap_or("not reached in these logs")
    );
    text
}
