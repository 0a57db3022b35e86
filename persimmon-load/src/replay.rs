//! Replay of seeded job lists in virtual time: compares the zone planner with two baselines, FIFO
//! first-fit and plain backfill.

mod baseline;
mod cost;
mod figures;
mod list;
mod run;

use std::fs;
use std::path::PathBuf;

use anyhow::{Context, anyhow, bail, ensure};
use lexopt::Arg;
use persimmondrift::place::Policy;

pub use cost::run as planner_cost;
use figures::{Figures, Ratio};
use list::{Deployment, List};
use run::{Scheduler, replay};

/// Seeds of the lists on which the planner's weights are tuned.
const TUNING_SEEDS: std::ops::Range<u64> = 1..21;
/// Seeds of the lists on which the tuned weights are evaluated.
const HELD_OUT_SEEDS: std::ops::Range<u64> = 101..121;
/// Time within which a claim of a guarantee must start.
const MAX_CLAIM_WAIT_SECONDS: f64 = 6.1;

/// Replays the lists of both deployments and prints the figures of each scheduler.
///
/// # Errors
///
/// Returns an error if an argument is malformed or a claim did not start in time.
pub fn run(mut parser: lexopt::Parser) -> anyhow::Result<()> {
    let mut tuning = false;
    let mut policy = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("tuning") => tuning = true,
            Arg::Long("policy") => {
                let file = PathBuf::from(parser.value()?);
                let text =
                    fs::read_to_string(&file).with_context(|| format!("{}", file.display()))?;
                let parsed = toml::from_str(&text);
                // The whole error would quote the file over several lines.
                policy = Some(
                    parsed.map_err(|error| anyhow!("{}: {}", file.display(), error.message()))?,
                );
            }
            other => bail!("{}; see --help", other.unexpected()),
        }
    }
    print_results(tuning, policy.as_ref())
}

fn print_results(tuning: bool, policy: Option<&Policy>) -> anyhow::Result<()> {
    let seeds = if tuning { TUNING_SEEDS } else { HELD_OUT_SEEDS };
    let mut late_claims = 0;
    for deployment in [Deployment::Soplo, Deployment::Kleenline] {
        println!(
            "## {deployment:?}, {} lists, seeds {} to {}",
            seeds.end - seeds.start,
            seeds.start,
            seeds.end - 1
        );
        println!();
        let lists: Vec<List> = seeds.clone().map(|seed| List::new(deployment, seed)).collect();
        let replay_all = |scheduler: &dyn Fn() -> Scheduler| {
            Figures::of(lists.iter().map(|list| replay(list, scheduler())))
        };
        let fifo = replay_all(&|| Scheduler::baseline(true));
        let backfill = replay_all(&|| Scheduler::baseline(false));
        if let Some(policy) = policy {
            let figures = replay_all(&|| Scheduler::planner(policy.clone()));
            figures::print(&[("FIFO first-fit", &fifo), ("planner, as given", &figures)]);
            figures::compare("as given", &figures, &fifo, &backfill);
            continue;
        }
        let completion = replay_all(&|| Scheduler::planner(Policy::completion()));
        let fragmentation = replay_all(&|| Scheduler::planner(Policy::fragmentation()));
        let rows = [
            ("FIFO first-fit", &fifo),
            ("plain backfill", &backfill),
            ("planner, completion", &completion),
            ("planner, fragmentation", &fragmentation),
        ];
        figures::print(&rows);
        for (name, figures) in &rows[2..] {
            figures::compare(name, figures, &fifo, &backfill);
            late_claims += figures.late_claims(MAX_CLAIM_WAIT_SECONDS);
        }
        println!();
    }
    ensure!(
        late_claims == 0,
        "{late_claims} claims did not start within {MAX_CLAIM_WAIT_SECONDS} s"
    );
    Ok(())
}

impl Ratio {
    /// Returns whether the ratio meets its goal, as printed.
    fn verdict(&self) -> &'static str {
        if self.value <= self.target { "met" } else { "not met" }
    }
}
