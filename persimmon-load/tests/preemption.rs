//! Replays a load of twice the room with many guaranteed workspaces, and checks how much work is
//! undone for others, what is earned, and that guarantees are met.

use persimmon_load::cell_load::{CROWDED, Outcome, draw, run_planner};

const SEEDS: std::ops::Range<u64> = 301..304;
/// Maximum share of the placed tasks that may be stopped for other jobs.
const MAX_RECLAIMED_SHARE: f64 = 0.1;
/// Minimum share of the worth that must be earned.
const MIN_WORTH_SHARE: f64 = 0.41;

fn replay(seed: u64) -> Outcome {
    let outcome = run_planner(&CROWDED, &draw(&CROWDED, 1.0, seed));
    println!(
        "seed {seed}: {} placed, {} reclaimed, share {:.3}, lost {:.1}, in time {:?} of {:?}",
        outcome.placed,
        outcome.reclaimed,
        outcome.share(),
        outcome.lost,
        outcome.in_time,
        outcome.of_kind
    );
    outcome
}

// Guards against work that is placed and stopped again and again (issue 29, SHORT).
#[test]
fn crowded_cell_finishes_what_it_starts() {
    let outcomes: Vec<(u64, Outcome)> = SEEDS.map(|seed| (seed, replay(seed))).collect();
    for (seed, outcome) in outcomes {
        assert_eq!(outcome.faults, Vec::<String>::new(), "seed {seed}");
        let share = f64::from(outcome.reclaimed) / f64::from(outcome.placed.max(1));
        assert!(share <= MAX_RECLAIMED_SHARE, "seed {seed}: {share:.3} of the runs were stopped");
        assert!(
            outcome.share() >= MIN_WORTH_SHARE,
            "seed {seed}: earned only {:.3} of the worth",
            outcome.share()
        );
    }
}
