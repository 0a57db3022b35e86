//! Carries out the commands and prints their results.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

use persimmondrift::config::Change;
use persimmondrift::declare;
use persimmondrift::intent::Draft;
use serde::{Deserialize, Serialize};

use crate::argument::{Command, Request, read_text};
use crate::client::Client;
use crate::error::{Error, Exit};
use crate::line::Line;
use crate::{account, show, story};

/// Contents of an intent file in TOML.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Intent {
    /// Changes, in the order in which they are applied.
    change: Vec<Change>,
}

/// Carries out the command of a request and writes its output to `out`.
pub fn run(request: &Request, out: &mut impl Write) -> Result<Exit, Error> {
    let client = Client::new(request);
    match &request.command {
        Command::Help(command) => {
            write_text(out, show::help(command.as_deref()))?;
            Ok(Exit::Done)
        }
        Command::Plan(file) => {
            let changes = read_intent(file)?;
            make_plan(request, &client, &changes, out)
        }
        Command::Confirm(plan) => confirm(request, &client, plan, out),
        Command::Apply(directory) => {
            let declared = declare::read(directory)?;
            let changes = declare::changes(&client.status()?.config, &declared);
            if changes.is_empty() {
                write_text(out, "what is declared is in force\n")?;
                return Ok(Exit::Done);
            }
            make_plan(request, &client, &changes, out)
        }
        Command::Drain(node) => {
            make_plan(request, &client, &[Change::Drain { node: node.clone() }], out)
        }
        Command::Undrain(node) => {
            make_plan(request, &client, &[Change::Undrain { node: node.clone() }], out)
        }
        Command::Evacuate(zone) => {
            make_plan(request, &client, &[Change::Evacuate { zone: zone.clone() }], out)
        }
        Command::Return(zone) => {
            make_plan(request, &client, &[Change::Return { zone: zone.clone() }], out)
        }
        Command::Cancel(jobs) => {
            let changes: Vec<Change> = jobs.iter().map(|&job| Change::Cancel { job }).collect();
            make_plan(request, &client, &changes, out)
        }
        Command::Status => {
            let status = client.status()?;
            print(request, out, &status, || show::status(&status))
        }
        Command::Jobs => {
            let jobs = show::Jobs::from(client.status()?);
            print(request, out, &jobs, || show::jobs(&jobs))
        }
        Command::Targets => {
            let agents = client.status()?.agents;
            print(request, out, &agents, || show::targets(&agents))
        }
        Command::Claims => {
            let claims = show::claims(&client.status()?.config);
            print(request, out, &claims, || show::claim_table(&claims))
        }
        Command::Timeline(id, files) => {
            let read = |file: &PathBuf| read_text(file).map(|text| (file.clone(), text));
            let logs = files.iter().map(read).collect::<Result<Vec<_>, _>>()?;
            let timeline = story::build(id, &logs);
            if timeline.lines.is_empty() {
                return Err(Error::NoLogLines(id.clone()));
            }
            print(request, out, &timeline, || story::show(&timeline))
        }
        Command::Account(worths, files) => {
            let mut lines = Vec::new();
            for file in files {
                let text = read_text(file)?;
                let source = file.display().to_string();
                lines.extend(text.lines().filter_map(|line| Line::parse(&source, line)));
            }
            let account = account::build(&lines, worths);
            if account.is_empty() {
                return Err(Error::NoJobs);
            }
            print(request, out, &account, || show::account(&account))
        }
        Command::Explain(job) => {
            let explained = client.explain(*job)?;
            print(request, out, &explained, || show::explained(&explained))
        }
    }
}

/// Makes a plan, and with `--confirm` confirms it.
fn make_plan(
    request: &Request,
    client: &Client<'_>,
    changes: &[Change],
    out: &mut impl Write,
) -> Result<Exit, Error> {
    let draft = client.plan(changes)?;
    if let Some(file) = &request.out {
        let text = serde_json::to_vec_pretty(&draft).unwrap_or_default();
        fs::write(file, text).map_err(|error| Error::File(file.clone(), error))?;
    }
    print(request, out, &draft, || show::draft(&draft))?;
    if request.confirm {
        return confirm_draft(request, client, &draft, out);
    }
    if !request.json {
        write_text(out, show::pending(draft.plan))?;
    }
    Ok(Exit::Pending)
}

fn confirm(
    request: &Request,
    client: &Client<'_>,
    plan: &str,
    out: &mut impl Write,
) -> Result<Exit, Error> {
    if let Ok(plan) = plan.parse() {
        let version = client.confirm(plan, None)?;
        return print(request, out, &version, || show::confirmed(plan, version));
    }
    let file = Path::new(plan);
    let draft: Draft = serde_json::from_str(&read_text(file)?)
        .map_err(|error| Error::Intent(file.to_owned(), error.to_string()))?;
    confirm_draft(request, client, &draft, out)
}

fn confirm_draft(
    request: &Request,
    client: &Client<'_>,
    draft: &Draft,
    out: &mut impl Write,
) -> Result<Exit, Error> {
    let version = client.confirm(draft.plan, Some(draft))?;
    print(request, out, &version, || show::confirmed(draft.plan, version))
}

fn read_intent(file: &Path) -> Result<Vec<Change>, Error> {
    if file.extension().is_some_and(|extension| extension == "json") {
        return serde_json::from_str(&read_text(file)?)
            .map_err(|error| Error::Intent(file.to_owned(), error.to_string()));
    }
    let intent: Intent = persimmondrift::settings::read(file)?;
    Ok(intent.change)
}

fn print(
    request: &Request,
    out: &mut impl Write,
    value: &impl Serialize,
    table: impl FnOnce() -> String,
) -> Result<Exit, Error> {
    if request.json {
        let text = serde_json::to_string_pretty(value).unwrap_or_default();
        write_text(out, text + "\n")?;
    } else {
        write_text(out, table())?;
    }
    Ok(Exit::Done)
}

fn write_text(out: &mut impl Write, text: impl AsRef<str>) -> Result<(), Error> {
    out.write_all(text.as_ref().as_bytes()).map_err(Error::Output)
}
