//! Replays bursts on the users' platform through planner and agents, and checks the share of the
//! jobs' worth that is earned against the stated goals and against FIFO first-fit.

use persimmon_load::cell_load::{DEPLOYMENTS, Outcome, draw, long, run_fifo, run_planner};

const SEEDS: std::ops::Range<u64> = 201..204;
/// Load and the share of the worth that must be earned at it.
const MIN_WORTH_SHARES: [(f64, f64); 2] = [(1.0, 0.85), (2.0, 0.75)];
/// Completion rate of the largest tenth of the jobs, as a share of the rate of all jobs.
const MIN_LARGEST_RATE: f64 = 0.7;

fn rate((all, served): (u32, u32)) -> f64 {
    f64::from(served) / f64::from(all.max(1))
}

fn check(outcome: &Outcome, min_share: f64, name: &str) {
    assert_eq!(outcome.faults, Vec::<String>::new(), "{name}");
    assert!(
        outcome.share() >= min_share,
        "{name}: earned only {:.3} of the worth",
        outcome.share()
    );
    let largest = rate(outcome.largest);
    assert!(
        largest >= MIN_LARGEST_RATE * rate(outcome.all),
        "{name}: only {largest:.3} of the largest jobs completed"
    );
}

#[test]
fn targets_met() {
    for deployment in &DEPLOYMENTS {
        for (load, min_share) in MIN_WORTH_SHARES {
            for seed in SEEDS {
                let items = draw(deployment, load, seed);
                let name = format!("{} load {load} seed {seed}", deployment.name);
                check(&run_planner(deployment, &items), min_share, &name);
            }
        }
    }
}

#[test]
fn planner_earns_more_than_fifo() {
    let deployment = &DEPLOYMENTS[0];
    let lists: Vec<_> = SEEDS.map(|seed| draw(deployment, 2.0, seed)).collect();
    let planned: f64 = lists.iter().map(|items| run_planner(deployment, items).share()).sum();
    let fifo: f64 = lists.iter().map(|items| run_fifo(deployment, items).share()).sum();
    assert!(planned > fifo, "planner earned {planned:.3}, FIFO {fifo:.3}");
}

#[test]
fn same_seed_gives_same_outcome() {
    let deployment = &DEPLOYMENTS[0];
    let once = run_planner(deployment, &draw(deployment, 2.0, 7));
    let again = run_planner(deployment, &draw(deployment, 2.0, 7));
    assert!((once.share() - again.share()).abs() < f64::EPSILON);
    assert_eq!(once.in_time, again.in_time);
}

// Guards against rows of ended jobs that leave the store too early or never, and against jobs that wait
// beside idle room late in a day.
#[test]
fn long_day() {
    let deployment = &DEPLOYMENTS[0];
    let (load, min_share) = MIN_WORTH_SHARES[0];
    let items = long::draw(deployment, load, SEEDS.start);
    let outcome = long::run(deployment, &items);
    check(&outcome, min_share, "long day");
    assert_eq!(outcome.all.0, u32::try_from(items.len()).expect("few jobs"));
}
