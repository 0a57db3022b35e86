//! Builds the timeline of a job on the users' platform from the logs of entries and agents.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

use serde::Serialize;

use crate::line::Line;

/// Events without a job id that are included because they affect all jobs: changes of the planner
/// role, and failures of the store.
const CONTEXT_EVENTS: [&str; 5] =
    ["RoleTaken", "RoleLost", "RoleYielded", "StoreFailed", "StoreBack"];

/// The log lines of a job and counts over them.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
pub struct Timeline {
    /// Lines of the job, and context lines between its first and last, ordered by time.
    pub lines: Vec<Line>,
    /// Number of placements of tasks.
    pub placed: u32,
    /// Number of stopped runs by cause.
    pub stopped: BTreeMap<String, u32>,
    /// Number of ended runs by ending.
    pub endings: BTreeMap<String, u32>,
    /// Final state of the job, if the logs hold its end.
    pub state: Option<String>,
    /// Why the job failed, if the logs tell it.
    pub reason: Option<String>,
}

/// Builds the timeline of a job from log files, given with their contents.
#[must_use]
pub fn build(id: &str, logs: &[(PathBuf, String)]) -> Timeline {
    let all = logs.iter().flat_map(|(file, text)| {
        let source = file.file_name().unwrap_or(file.as_os_str()).to_string_lossy().into_owned();
        text.lines().filter_map(move |line| Line::parse(&source, line))
    });
    let (mut job_lines, mut context_lines): (Vec<Line>, Vec<Line>) = (Vec::new(), Vec::new());
    for line in all {
        if line.mentions(id) {
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
        let value = |name: &str| line.value(name);
        let add = |counts: &mut BTreeMap<String, u32>, name: Option<&str>| {
            *counts.entry(name.unwrap_or("?").to_owned()).or_default() += 1;
        };
        match line.name() {
            "Placed" => {
                let count = value("count").and_then(|count| count.parse::<u32>().ok());
                self.placed += count.unwrap_or(1);
            }
            "AttemptStopped" => add(&mut self.stopped, value("cause")),
            "AttemptOver" => add(&mut self.endings, value("ending")),
            "JobEnded" => {
                self.state = value("state").map(str::to_owned);
                self.reason = value("reason").map(|reason| {
                    let agents = value("agents").map(|agents| format!(": {agents}"));
                    reason.to_owned() + &agents.unwrap_or_default()
                });
            }
            _ => {}
        }
    }
}

/// Formats a timeline as text, with the counts in the last line.
#[must_use]
pub fn show(timeline: &Timeline) -> String {
    let mut text = String::new();
    for Line { time, source, event, text: fields } in &timeline.lines {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{time}  {source}  {event}  {fields}");
    }
    let counts = |counts: &BTreeMap<String, u32>| {
        let parts: Vec<String> = counts.iter().map(|(name, n)| format!("{name} {n}")).collect();
        if parts.is_empty() { "none".to_owned() } else { parts.join(", ") }
    };
    let reason = timeline.reason.as_ref().map(|reason| format!(" ({reason})"));
    let _ = writeln!(
        text,
        "tasks placed: {}; runs stopped: {}; runs ended: {}; final state: {}{}",
        timeline.placed,
        counts(&timeline.stopped),
        counts(&timeline.endings),
        timeline.state.as_deref().unwrap_or("not reached in these logs"),
        reason.unwrap_or_default()
    );
    text
}
