//! Preemption happens only if more is gained than lost, and stops the tasks that lose least.

use std::collections::BTreeSet;
use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step, Task};
use persimmondrift::cell::rank::{Rank, Timeliness};
use persimmondrift::cell::reclaim::{
    StopCost, Victim, gain, may_preempt, select_victims, total_loss, work,
};
use standin::cell::Cell;

const NEED: Resources = Resources { millicores: 4_000, mebibytes: 1_024, accelerators: 2 };

fn rank(priority: u32, slack_ms: i64) -> Rank {
    Rank { guaranteed: false, priority, age_ms: 0, timeliness: Timeliness::InTime, slack_ms }
}

fn step(estimate_ms: u32, checkpoints: bool, gang: bool) -> Step {
    Step { width: 3, need: NEED, estimate_ms, checkpoints, gang, ..Step::default() }
}

fn request(width: u16, accelerators: u32, gang: bool, estimate_ms: u32) -> Request {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    let step = Step { width, need, estimate_ms, gang, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

fn member(job: u64, index: u16, loss: u64) -> Victim {
    let task = Task { job: Id(job), occurrence: 0, step: 0, index };
    let room = Resources { millicores: 1, mebibytes: 1, accelerators: 2 };
    Victim { task, room, priority: 0, percent: 0, loss, gang: true }
}

#[test]
fn completed_work_counts_as_loss() {
    // A task counts as 20 cores with its accelerators; half of its 10 s is done.
    let relaxed = rank(1, 30_000);
    let stop_cost = |step: &Step, run| StopCost { rank: relaxed, step, percent: 50, run }.loss();
    assert_eq!(stop_cost(&step(10_000, false, false), 1), 20 * 5_000);
    assert_eq!(
        stop_cost(&step(10_000, false, false), 3),
        3 * 20 * 5_000,
        "the cost grows with each run"
    );
    assert_eq!(stop_cost(&step(10_000, false, true), 1), 3 * 20 * 5_000, "all members start again");
    assert!(
        stop_cost(&step(10_000, true, false), 1) < 20 * 1_000,
        "it resumes from its checkpoint"
    );
}

#[test]
fn missed_objective_counts_as_loss() {
    let own = step(10_000, false, false);
    let loss = |slack_ms, percent| {
        StopCost { rank: rank(0, slack_ms), step: &own, percent, run: 1 }.loss()
    };
    let all = work(&own, 1);
    let objective = gain(&rank(0, 0), all);
    assert_eq!(loss(20_000, 10), all / 10, "there is time to start again");
    assert_eq!(loss(500, 10), all / 10 + objective, "the stop makes it late");
    assert_eq!(loss(-5_000, 10), all / 10, "it is late anyway");
    let saved = step(10_000, true, false);
    let stop_cost = StopCost { rank: rank(0, -4_000), step: &saved, percent: 90, run: 1 };
    assert!(stop_cost.loss() < objective, "the checkpoint leaves enough time");
}

#[test]
fn gang_loss_counted_once() {
    let all = [member(1, 0, 700), member(1, 1, 700), member(2, 0, 900)];
    assert_eq!(total_loss(&all, &mut BTreeSet::new()), 1_600);
    // Two members of one gang are cheaper than one member of each gang.
    let none = Resources::default();
    let need = Resources { accelerators: 4, ..none };
    let mixed = [member(2, 0, 900), member(1, 0, 700), member(1, 1, 700)];
    let chosen = select_victims(none, need, &mixed).expect("there is room");
    assert!(chosen.iter().all(|victim| victim.task.job == Id(1)), "{chosen:?}");
}

#[test]
fn preemption_needs_short_slack_or_guarantee() {
    assert!(may_preempt(&rank(0, 1_000)));
    assert!(!may_preempt(&rank(0, 10_000)), "it has slack to wait");
    assert!(!may_preempt(&Rank { timeliness: Timeliness::Late, ..rank(0, -1_000) }));
    assert!(may_preempt(&Rank { guaranteed: true, ..rank(0, 10_000) }));
    assert!(gain(&rank(0, 0), 100) > gain(&rank(1, 0), 100));
    assert_eq!(gain(&rank(2, 0), 100), gain(&rank(9, 0), 100));
}

#[test]
fn urgent_stopped_last() {
    let mut cell = Cell::new(6);
    cell.run(Duration::from_secs(2));
    // Three workers run urgent work beyond its guarantee, the others background work.
    cell.submit(Id(1), "urgent", "luis", request(3, 8, true, 3_000));
    cell.run(Duration::from_millis(200));
    cell.submit(Id(2), "low", "luis", request(24, 1, false, 3_000));
    cell.run(Duration::from_millis(200));
    cell.submit(Id(3), "urgent", "ana", request(2, 8, true, 3_000));
    cell.run(Duration::from_secs(2));
    assert_eq!(cell.starts(Id(1)), 3, "urgent work that would be late is not preempted");
    assert_eq!(cell.starts(Id(3)), 2);
    assert_eq!(cell.violations, Vec::<String>::new());
}
