//! Formats results as tables and text, and holds the help texts.

use std::fmt::{Display, Write};

use persimmondrift::adapter::operator::{Agent, JobStatus, Status};
use persimmondrift::config::Config;
use persimmondrift::intent::Draft;
use persimmondrift::place::{Outcome, Spec};
use persimmondrift::unit::{Job, Plan, Version, Workspace, Zone};
use serde::Serialize;

use crate::account::{Account, Amount, Balance, Cause};

/// The jobs that the entries know.
#[derive(Debug, Serialize)]
pub struct Jobs {
    /// Jobs that were submitted and have not ended.
    accepted: Vec<(Job, Spec)>,
    /// Jobs that ended recently; entries keep a bounded number.
    ended: Vec<(Job, Outcome)>,
}

impl From<Status> for Jobs {
    fn from(status: Status) -> Self {
        Self { accepted: status.config.jobs.into_iter().collect(), ended: status.ended }
    }
}

/// Guarantees of one workspace, and the jobs that claim them.
#[derive(Debug, Serialize)]
pub struct Claims {
    workspace: Workspace,
    guarantees: Vec<String>,
    claimed_by: Vec<Job>,
}

/// Aligns rows in columns; the first row is the header.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

fn row(cells: &[&dyn Display]) -> Vec<String> {
    cells.iter().map(|cell| format!("{cell}")).collect()
}

/// Formats a plan with its effects, one a line.
pub fn draft(draft: &Draft) -> String {
    let mut text = format!("plan {} from version {}:\n", draft.plan, draft.base);
    for effect in &draft.effects {
        let _ = writeln!(text, "  {effect}");
    }
    text
}

/// Formats the notice that a plan awaits confirmation.
pub fn pending(plan: Plan) -> String {
    format!("nothing has changed yet; confirm with: persimmonctl confirm {plan}\n")
}

/// Formats the notice that a plan was confirmed.
pub fn confirmed(plan: Plan, version: Version) -> String {
    format!("plan {plan} is confirmed: version {version}\n")
}

/// Formats a summary of the system and a table of the zones.
pub fn status(status: &Status) -> String {
    let config = &status.config;
    let mut behind = 0;
    for agent in &status.agents {
        behind += usize::from(agent.version < config.version);
    }
    let mut text = format!(
        "version {}, {} workspaces, {} services, {} jobs not ended, {} drained\n\
         {} targets, {behind} of them behind version {}\n",
        config.version,
        config.workspaces.len(),
        config.services.len(),
        config.jobs.len(),
        config.drained.len(),
        status.agents.len(),
        config.version
    );
    if !config.evacuated.is_empty() {
        let zones: Vec<&str> = config.evacuated.iter().map(Zone::as_str).collect();
        let _ = writeln!(text, "evacuated zones: {}", zones.join(", "));
    }
    let mut rows = vec![row(&[&"ZONE", &"WORKERS", &"FREE ACCELERATORS", &"JOBS WAITING"])];
    for (zone, summary) in &status.zones {
        rows.push(row(&[zone, &summary.workers, &summary.free, &summary.waiting]));
    }
    text.push_str(&table(&rows));
    text
}

/// Formats the table of jobs.
pub fn jobs(jobs: &Jobs) -> String {
    let mut rows = vec![row(&[&"JOB", &"STATE", &"WORKSPACE", &"KIND", &"CLASS", &"SHAPE"])];
    for (job, spec) in &jobs.accepted {
        let class = format!("{:?}", spec.class).to_lowercase();
        let shape = format!("{} x {}", spec.shape.parts, spec.shape.accelerators);
        rows.push(row(&[job, &"accepted", &spec.workspace, &spec.kind, &class, &shape]));
    }
    for (job, outcome) in &jobs.ended {
        let outcome = format!("{outcome:?}").to_lowercase();
        rows.push(row(&[job, &outcome, &"", &"", &"", &""]));
    }
    table(&rows)
}

/// Formats the table of targets.
pub fn targets(agents: &[Agent]) -> String {
    let mut rows = vec![row(&[&"NODE", &"JUDGEMENT", &"STATE", &"VERSION", &"REQUESTS", &"PARTS"])];
    for agent in agents {
        let judgement = agent.judgement.to_lowercase();
        let state = if agent.serving { "serving" } else { "leaving" };
        let (version, running) = (agent.version, agent.running);
        rows.push(row(&[&agent.node, &judgement, &state, &version, &running, &agent.tasks]));
    }
    table(&rows)
}

/// Collects the guarantees of all workspaces and the jobs that claim them.
pub fn claims(config: &Config) -> Vec<Claims> {
    let mut claims = Vec::new();
    for (workspace, quota) in &config.workspaces {
        let claimed = |(_, spec): &(&Job, &Spec)| spec.claim && spec.workspace == *workspace;
        let shown = |guarantee| serde_json::to_string(guarantee).unwrap_or_default();
        claims.push(Claims {
            workspace: workspace.clone(),
            guarantees: quota.guarantees.iter().map(shown).collect(),
            claimed_by: config.jobs.iter().filter(claimed).map(|(&job, _)| job).collect(),
        });
    }
    claims
}

/// Formats the table of guarantees and claims.
pub fn claim_table(claims: &[Claims]) -> String {
    let mut rows = vec![row(&[&"WORKSPACE", &"CLAIMED BY", &"GUARANTEES"])];
    for claim in claims {
        let jobs: Vec<String> = claim.claimed_by.iter().map(ToString::to_string).collect();
        rows.push(row(&[&claim.workspace, &jobs.join(","), &claim.guarantees.join(" ")]));
    }
    table(&rows)
}

/// Formats the state of a job.
pub fn explained(explained: &JobStatus) -> String {
    let job = explained.job;
    if let Some(outcome) = explained.outcome {
        return format!("job {job} has ended: {}\n", format!("{outcome:?}").to_lowercase());
    }
    let Some(spec) = &explained.spec else {
        return format!("job {job} is not known\n");
    };
    let shape = spec.shape;
    let mut text = format!(
        "job {job} of {} is accepted and needs {} parts with {} accelerators each\n",
        spec.workspace, shape.parts, shape.accelerators
    );
    for (zone, state) in &explained.zones {
        let _ = writeln!(text, "  zone {zone}: {state}");
    }
    if explained.zones.is_empty() {
        text.push_str("  no entry that answered plans a zone that it may run in\n");
    }
    text
}

/// Formats an accounting: a table of the worth by queue, what it does not contain, and a table of the
/// work that was thrown away.
pub fn account(account: &Account) -> String {
    let amount = |amount: Amount, owed: Amount| {
        let permille = amount.permille_of(owed);
        format!("{amount} ({}.{}%)", permille / 10, permille % 10)
    };
    let balances = || {
        let queues = account.queues.values().map(|queue| &queue.balance);
        std::iter::once(&account.total).chain(queues)
    };
    let line = |name: &str, cell: &dyn Fn(&Balance) -> String| {
        let cells = balances().map(cell);
        std::iter::once(name.to_owned()).chain(cells).collect::<Vec<String>>()
    };
    let mut header = vec![String::new(), "TOTAL".to_owned()];
    header.extend(account.queues.keys().cloned());
    let worths = account.queues.values().map(|queue| {
        let (worth, late) = (Amount(queue.worth.whole), Amount(queue.worth.late));
        format!("{worth},{late}{}", if queue.given { "" } else { " (assumed)" })
    });
    let worths = ["worth,late".to_owned(), String::new()].into_iter().chain(worths).collect();
    let mut rows = vec![
        header,
        worths,
        line("jobs", &|balance| balance.jobs.to_string()),
        line("in time", &|balance| balance.in_time.to_string()),
        line("owed", &|balance| balance.owed.to_string()),
        line("earned", &|balance| amount(balance.earned, balance.owed)),
        line("lost", &|balance| amount(balance.lost, balance.owed)),
    ];
    for cause in Cause::ALL {
        rows.push(line(&format!("  {}", cause.name()), &|balance| {
            let lost = balance.causes.get(&cause).copied().unwrap_or_default();
            amount(lost, balance.owed)
        }));
    }
    let mut text = table(&rows);
    let assumed = account.queues.iter().filter(|(_, queue)| !queue.given).map(|(name, _)| &**name);
    let assumed: Vec<&str> = assumed.collect();
    if !assumed.is_empty() {
        let _ =
            writeln!(text, "no --worth for {}: worth 1, late half is assumed", assumed.join(", "));
    }
    let notes = [
        (account.unsized_jobs, "not accounted for: their lines lack work, chain or objective"),
        (account.unsubmitted, "not accounted for: no line tells what was submitted"),
        (account.cancelled, "not owed: cancelled"),
        (account.open_ended, "not owed: repeated or long-running, without an objective"),
        (account.pending, "not owed yet: still in time when the logs end"),
    ];
    for (count, note) in notes {
        if count > 0 {
            let _ = writeln!(text, "{count} jobs {note}");
        }
    }
    if !account.waste.is_empty() {
        text.push('\n');
        text.push_str(&waste(account));
    }
    text
}

/// Formats the table of work that was thrown away.
fn waste(account: &Account) -> String {
    let header: [&dyn Display; 4] =
        [&"WORK THROWN AWAY", &"RUNS", &"CORE-SECONDS", &"AT MOST, WITH CHECKPOINTS"];
    let mut rows = vec![row(&header)];
    let (mut runs, mut core_ms, mut checkpointed, mut estimated) = (0, 0, 0, 0);
    for (cause, waste) in &account.waste {
        let cause = format!("{cause:?}");
        let (lost, kept) = (Amount(waste.core_ms), Amount(waste.checkpointed_core_ms));
        rows.push(row(&[&cause, &waste.runs, &lost, &kept]));
        runs += waste.runs;
        core_ms += waste.core_ms;
        checkpointed += waste.checkpointed_core_ms;
        estimated += waste.estimated_runs;
    }
    rows.push(row(&[&"total", &runs, &Amount(core_ms), &Amount(checkpointed)]));
    let mut text = table(&rows);
    if estimated > 0 {
        let _ = writeln!(
            text,
            "{estimated} of these runs: only accelerators are counted, since no line tells what a \
             task takes or whether it has checkpoints"
        );
    }
    text
}

/// Returns the help of a command, or the general help.
pub fn help(command: Option<&str>) -> &'static str {
    match command {
        Some("plan") => PLAN_HELP,
        Some("confirm") => CONFIRM_HELP,
        Some("apply") => APPLY_HELP,
        Some("status" | "jobs" | "targets" | "claims") => SHOW_HELP,
        Some("explain") => EXPLAIN_HELP,
        Some("account") => ACCOUNT_HELP,
        Some("drain" | "undrain") => DRAIN_HELP,
        Some("evacuate" | "return") => EVACUATE_HELP,
        Some("cancel") => CANCEL_HELP,
        _ => HELP,
    }
}

const HELP: &str = "persimmonctl [OPTIONS] COMMAND

Commands that state an intent; nothing changes until its plan is confirmed:
  plan FILE       makes a plan of the changes in a file
  confirm PLAN    confirms a plan by its id, or by the file that plan --out wrote
  apply DIR       plans what brings the system to what the files of a directory declare
  drain NODE      plans that a node finishes its work and takes nothing new
  undrain NODE    plans that a drain is taken back
  evacuate ZONE   plans that the nodes of an availability zone take nothing new
  return ZONE     plans that an evacuated zone is returned to service
  cancel JOB...   plans that jobs are cancelled

Commands that show:
  status          version in force, zones, targets that are behind
  jobs            jobs accepted, and jobs ended lately
  explain JOB     what a job does, or what it waits for; with --log FILE its story
  targets         targets with their judgement and load
  account [FILE]...
                  what the jobs of a day were worth and why it was lost, from logs
  claims          guarantees, and the jobs that claim them

Options:
  --entry ADDRESS    operators' address of an entry; several are tried in turn
  --settings FILE    settings with entries, token_file and timeout
  --token-file FILE  file with the operator's token
  --confirm          confirms a plan as soon as it is made
  --out FILE         writes the plan to a file
  --json             prints JSON in place of tables
  --help             prints this, or the help of a command

Environment: PERSIMMON_ENTRIES (addresses, separated by commas), PERSIMMON_TOKEN

Exit codes:
  0  done, or nothing to do
  1  the entries or the table service do not answer: nothing was accepted
  2  arguments, a file or settings are wrong
  3  refused; the message says why
  4  the configuration changed since the plan was made: plan again
  5  not known whether the plan was accepted: confirm the same plan again
  6  a plan was made and waits to be confirmed
";
const PLAN_HELP: &str = "persimmonctl plan FILE [--out PLANFILE] [--confirm]

Makes a plan of the changes in a file and prints what it would bring about. Exit code 6.
The file is TOML, or JSON if its name ends in .json (a list of the same changes):

  [[change]]
  put_service = { service = \"taller-app\", serving = { timeout_ms = 5000 } }

  [[change]]
  [change.submit]
  job = 1
  [change.submit.spec]
  workspace = \"studio\"
  kind = \"render\"
  class = \"interactive\"
  eviction = \"checkpoint\"
  run_ms = 60000
  shape = { parts = 2, accelerators = 8, adjacency = \"rack\" }

Other changes: put_workspace, remove_workspace, drain, undrain, evacuate, return,
cancel.
";
const CONFIRM_HELP: &str = "persimmonctl confirm PLAN

Confirms a plan by its id, or by the file that plan --out wrote. With the file it can be
confirmed at any entry. Confirming twice changes nothing the second time.
";
const APPLY_HELP: &str = "persimmonctl apply DIR [--confirm]

Reads the .toml files of a directory, compares them with what is in force, and plans the
difference. Exit code 0 if there is none, 6 if a plan waits to be confirmed. In the CI of a
settings repository: without --confirm on a proposal, with --confirm on the main branch.
";
const SHOW_HELP: &str = "persimmonctl status | jobs | targets | claims [--json]

Shows the state as the entries see it. All entries that are named are asked for the zones that
they plan.
";
const EXPLAIN_HELP: &str = "persimmonctl explain JOB [--json] [--log FILE]...

With --log, JOB is an id of 16 hexadecimal digits on the users' platform, and the story of the job
is told from the logs of entries and agents, in order; - is standard input. No process is asked.


Shows what a job does or how it ended, or what it waits for.
";
const ACCOUNT_HELP: &str = "persimmonctl account [--worth QUEUE=WORTH,LATE]... [--json] [FILE]...

Reads the logs of all entries and agents of a day, from files or standard input (-), and prints what
was owed for the jobs, what was earned, and by cause what was lost. No process is asked.

  --worth QUEUE=WORTH,LATE  worth of a mean job of a queue, and the share of it from 0 to 1 that a
                            late job is worth; a queue without it has worth 1, late half
";
const DRAIN_HELP: &str = "persimmonctl drain NODE | undrain NODE [--confirm]

Plans that the agent NODE takes nothing new and finishes what runs, or that it takes new work
again. `persimmonctl targets` shows when nothing runs there any more.
";
const EVACUATE_HELP: &str = "persimmonctl evacuate ZONE | return ZONE [--confirm]

Plans that all agents of the availability zone ZONE, also those that join later, take nothing new
and finish what runs, or that they take new work again. Nodes that are drained stay drained.
";
const CANCEL_HELP: &str = "persimmonctl cancel JOB... [--confirm]

Plans that jobs are cancelled, running or not. Cancelling twice changes nothing.
";
