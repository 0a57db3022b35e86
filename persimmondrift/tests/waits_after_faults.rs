//! Whole cells under random load and faults, by seed: once the faults are over, no group waits beside idle
//! room.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;
use persimmondrift::cell::job::{Group, Id, Request, Resources, Step};
use persimmondrift::cell::mirror::Jobs;
use persimmondrift::cell::planner::Observation;
use persimmondrift::cell::reclaim::cores;
use persimmondrift::cell::record::{Phase, Progress, progress_key};
use persimmondrift::cell::table::Table;
use persimmondrift::unit::Time;
use standin::cell::{Cell, Failure};

/// Time within which a group must run while there is idle room for it.
const PLACE_BOUND: Duration = Duration::from_secs(3);
/// Time after the last fault from which the bound holds.
const CALM_AFTER: Duration = Duration::from_secs(4);
const TICK: Duration = Duration::from_millis(100);
const CALM_TICKS: u32 = 400;
const SEEDS: u64 = 40;
const WORKERS: usize = 9;
const JOBS: u64 = 30;

fn step(width: u16, accelerators: u32) -> Step {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    Step { width, need, estimate_ms: 3_000, ..Step::default() }
}

fn request(steps: Vec<Step>) -> Request {
    Request { spec: "render".to_owned(), steps, schedule: None }
}

fn draw_step(rng: &mut Rng, after: Vec<u16>) -> Step {
    let gang = rng.u8(..3) == 0;
    Step {
        gang,
        after,
        one_rack: gang && rng.bool(),
        checkpoints: rng.bool(),
        spread: (rng.u8(..5) == 0).then_some(1),
        label: (rng.u8(..8) == 0).then(|| format!("r{}", rng.u8(..3))),
        ..step(rng.u16(1..=3), [1, 2, 4, 8][rng.usize(..4)])
    }
}

fn draw_request(rng: &mut Rng) -> Request {
    if rng.u8(..8) == 0 {
        return request(vec![Step { long_running: true, ..step(rng.u16(1..=2), 1) }]);
    }
    let mut steps = vec![draw_step(rng, Vec::new())];
    if rng.u8(..3) == 0 {
        steps.push(draw_step(rng, vec![0]));
    }
    request(steps)
}

fn clear_faults(cell: &mut Cell) {
    for vm in 0..WORKERS {
        cell.set_store_unreachable(vm, false);
        cell.set_frozen(vm, false);
        cell.set_unheard(vm, false);
        cell.worker(vm).failure = Failure::None;
        if cell.worker(vm).draining {
            cell.worker(vm).restart();
        }
    }
}

fn inject_fault(cell: &mut Cell, rng: &mut Rng) {
    let vm = rng.usize(..WORKERS);
    match rng.u8(..14) {
        0 => cell.set_store_unreachable(vm, true),
        1 => cell.set_frozen(vm, true),
        2 => cell.set_unheard(vm, true),
        3 => cell.restart_agent(vm),
        4 => cell.crash_planner(),
        5 => cell.crash_planner_after(rng.usize(..3)),
        6 => cell.worker(vm).crash(Duration::from_millis(rng.u64(500..4_000))),
        7 => cell.worker(vm).draining = true,
        8..=11 => {
            let failure = [Failure::Hangs, Failure::Unresponsive, Failure::LosesStarts];
            let failure = failure.get(rng.usize(..6)).copied().unwrap_or(Failure::Fails);
            for _ in 0..rng.u8(1..4) {
                cell.worker(rng.usize(..WORKERS)).failure = failure;
            }
        }
        _ => clear_faults(cell),
    }
}

/// Returns how many tasks of a step fit on ready workers beside what runs there.
fn free_places(cell: &mut Cell, step: &Step, needs: &BTreeMap<Group, Resources>) -> u32 {
    let mut places = 0_u32;
    for vm in 0..WORKERS {
        let label = format!("r{}", vm / 3);
        let running = cell.running(vm);
        let worker = cell.worker(vm);
        let has_label = step.label.as_ref().is_none_or(|own| *own == label);
        if worker.is_down() || worker.draining || !has_label {
            continue;
        }
        let used = running
            .iter()
            .map(|(task, _)| needs[&task.group()])
            .fold(Resources::default(), |sum, need| sum + need);
        let free = worker.capacity() - used;
        let most = step.spread.map_or(u32::MAX, u32::from);
        places = places.saturating_add(free.count(step.effective_need()).min(most));
    }
    places
}

/// Returns the share of the capacity that is in use, in percent.
fn used_percent(cell: &mut Cell, needs: &BTreeMap<Group, Resources>) -> u64 {
    let (mut used, mut whole) = (0, 0);
    for vm in 0..WORKERS {
        let running = cell.running(vm);
        used += running.iter().map(|(task, _)| cores(needs[&task.group()])).sum::<u64>();
        whole += cores(cell.worker(vm).capacity());
    }
    used * 100 / whole
}

/// Returns the groups whose turn has come and of which nothing runs, though they fit twice over.
fn idle_waits(cell: &mut Cell, requests: &BTreeMap<Id, Request>) -> Vec<Group> {
    let mut jobs = Jobs::default();
    jobs.reset(cell.rows.snapshot(Table::Jobs));
    let mut needs = BTreeMap::new();
    for (id, request) in requests {
        for (number, step) in (0..).zip(&request.steps) {
            let group = Group { job: *id, occurrence: 0, step: number };
            needs.insert(group, step.effective_need());
        }
    }
    let is_busy = used_percent(cell, &needs) >= 50;
    let mut waits = Vec::new();
    for (id, request) in requests {
        let is_open = jobs.state(*id).is_some_and(|state| !state.is_final());
        let new = Progress::new(request);
        let progress = jobs.progress.get(&progress_key(*id)).unwrap_or(&new);
        if !is_open || !progress.fits(request) {
            continue;
        }
        let running: Vec<_> = (0..WORKERS).flat_map(|vm| cell.running(vm)).collect();
        for (number, step) in (0..).zip(&request.steps) {
            let group = Group { job: *id, occurrence: 0, step: number };
            let is_done = |step| progress.is_step_done(request, Group { step, ..group });
            if is_done(number) || !step.after.iter().all(|before| is_done(*before)) {
                continue;
            }
            let own = running.iter().filter(|(task, _)| task.group() == group).count();
            let waiting = progress.group(request, group).iter();
            let waiting = waiting.filter(|task| task.phase != Phase::Done).count();
            let is_waiting = if step.long_running {
                own < waiting
            } else {
                !is_busy && !running.iter().any(|(task, _)| task.job == *id)
            };
            let units = if step.gang { u32::from(step.width) } else { 1 };
            if is_waiting && free_places(cell, step, &needs) >= 2 * units {
                waits.push(group);
            }
        }
    }
    waits
}

fn run_seed(seed: u64, with_deadly_tasks: bool) -> Result<(), String> {
    let mut rng = Rng::with_seed(seed);
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(2));
    let (mut requests, mut deadly) = (BTreeMap::new(), BTreeSet::new());
    for id in (1..=JOBS).map(Id) {
        let request = draw_request(&mut rng);
        let queue = ["urgent", "normal", "low"][rng.usize(..3)];
        cell.submit(id, queue, ["ana", "luis"][rng.usize(..2)], request.clone());
        if request.is_long_running() {
            cell.set_work_time(id, Duration::from_mins(5));
        }
        if with_deadly_tasks && rng.u8(..12) == 0 {
            let task = Group { job: id, occurrence: 0, step: 0 }.task(0);
            cell.set_deadly(task, Duration::from_millis(rng.u64(500..3_000)));
            deadly.insert(id);
        }
        requests.insert(id, request);
        cell.run(Duration::from_millis(rng.u64(100..1_500)));
        if rng.u8(..10) == 0 {
            cell.cancel(id);
        }
        if rng.bool() {
            inject_fault(&mut cell, &mut rng);
        }
    }
    clear_faults(&mut cell);
    cell.run(CALM_AFTER);
    let mut since: BTreeMap<Group, Time> = BTreeMap::new();
    for _ in 0..CALM_TICKS {
        cell.run(TICK);
        let mut waits = idle_waits(&mut cell, &requests);
        // A deadly task brings a fault of its own with each start.
        waits.retain(|group| !deadly.contains(&group.job));
        since.retain(|group, _| waits.contains(group));
        for group in waits {
            let begin = *since.entry(group).or_insert(cell.now);
            if cell.now.since(begin) > PLACE_BOUND {
                let step = &requests[&group.job].steps[usize::from(group.step)];
                let of_group = |seen: &&Observation| matches!(seen, Observation::Waits { group: own, .. } if *own == group);
                let wait = cell.observations.iter().rfind(of_group);
                return Err(format!(
                    "seed {seed}: {group} waits at {}: {step:?} {wait:?}",
                    cell.now
                ));
            }
        }
    }
    if cell.violations.is_empty() {
        Ok(())
    } else {
        Err(format!("seed {seed}: {:#?}", cell.violations))
    }
}

fn assert_seeds_pass(with_deadly_tasks: bool) {
    let failed: Vec<String> =
        (0..SEEDS).filter_map(|seed| run_seed(seed, with_deadly_tasks).err()).collect();
    assert!(failed.is_empty(), "{} of {SEEDS}:\n{}", failed.len(), failed.join("\n"));
}

/// Guards against groups that wait beside idle room once all faults are over.
#[test]
fn groups_run_after_faults() {
    assert_seeds_pass(false);
}

/// Guards against groups that wait beside idle room because of suspects that crash their workers.
#[test]
fn groups_run_beside_deadly_tasks() {
    assert_seeds_pass(true);
}
