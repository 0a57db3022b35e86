//! Whole cells under random faults, by seed: no invariant is broken, and every job ends.

use std::time::Duration;

use fastrand::Rng;
use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::record::State;
use standin::cell::{Cell, Failure};

const SEEDS: u64 = 60;
const WORKERS: usize = 6;
const JOBS: u64 = 14;

fn draw_request(rng: &mut Rng) -> Request {
    let step = |rng: &mut Rng, after: Vec<u16>| {
        let gang = rng.bool();
        Step {
            width: rng.u16(1..=4),
            need: Resources {
                millicores: 2_000,
                mebibytes: 4_096,
                accelerators: [1, 2, 4, 8][rng.usize(..4)],
            },
            estimate_ms: rng.u32(1_500..6_000),
            after,
            checkpoints: rng.bool(),
            gang,
            one_rack: gang && rng.bool(),
            ..Step::default()
        }
    };
    let mut steps = vec![step(rng, Vec::new())];
    if rng.bool() {
        steps.push(step(rng, vec![0]));
    }
    Request { spec: "render".to_owned(), steps, schedule: None }
}

fn draw_failure(rng: &mut Rng) -> Failure {
    match rng.u8(..4) {
        0 => Failure::Hangs,
        1 => Failure::Unresponsive,
        _ => Failure::DelayedStarts(Duration::from_millis(rng.u64(500..9_000))),
    }
}

/// Injects one random fault, or clears the faults that last.
fn inject_fault(cell: &mut Cell, rng: &mut Rng) {
    let vm = rng.usize(..WORKERS);
    match rng.u8(..9) {
        0 => cell.set_store_unreachable(vm, true),
        1 => cell.set_frozen(vm, true),
        2 => cell.restart_agent(vm),
        3 => cell.crash_planner(),
        4 => cell.worker(vm).restart(),
        5 => cell.lose_power(),
        6 => {
            let failure = draw_failure(rng);
            cell.worker(vm).failure = failure;
        }
        _ => {
            for vm in 0..WORKERS {
                cell.set_store_unreachable(vm, false);
                cell.set_frozen(vm, false);
                cell.worker(vm).failure = Failure::None;
            }
        }
    }
}

fn run_seed(seed: u64) -> Result<(), String> {
    let mut rng = Rng::with_seed(seed);
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(2));
    let queues = ["urgent", "normal", "low"];
    for id in 1..=JOBS {
        let request = draw_request(&mut rng);
        cell.submit(Id(id), queues[rng.usize(..3)], ["ana", "luis"][rng.usize(..2)], request);
        cell.run(Duration::from_millis(rng.u64(100..1_500)));
        if rng.u8(..10) == 0 {
            cell.cancel(Id(id));
        }
        if rng.bool() {
            inject_fault(&mut cell, &mut rng);
        }
    }
    for vm in 0..WORKERS {
        cell.set_store_unreachable(vm, false);
        cell.set_frozen(vm, false);
        cell.worker(vm).failure = Failure::None;
    }
    let is_final = |cell: &Cell, id: u64| cell.state(Id(id)).is_some_and(State::is_final);
    let ended =
        cell.run_until(Duration::from_mins(3), |cell| (1..=JOBS).all(|id| is_final(cell, id)));
    if !cell.violations.is_empty() {
        return Err(format!("seed {seed}: {:#?}", cell.violations));
    }
    let open: Vec<u64> = (1..=JOBS).filter(|id| !is_final(&cell, *id)).collect();
    if !ended {
        return Err(format!("seed {seed}: jobs {open:?} have not ended"));
    }
    // No task fails by itself here, so no job may be shown as failed.
    let failed = (1..=JOBS).find(|id| cell.state(Id(*id)) == Some(State::Failed));
    failed.map_or(Ok(()), |id| Err(format!("seed {seed}: job {id} is shown as failed")))
}

#[test]
fn invariants_hold() {
    let failed_seeds: Vec<String> = (0..SEEDS).filter_map(|seed| run_seed(seed).err()).collect();
    assert!(
        failed_seeds.is_empty(),
        "{} of {SEEDS}: {}",
        failed_seeds.len(),
        failed_seeds.join("\n")
    );
}
