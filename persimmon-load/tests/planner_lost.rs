//! Jobs go on while the entry that plans their zone is stopped, or all entries are replaced.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_load::bench::{Bench, Layout};
use persimmon_load::demo::{intend, status};
use persimmondrift::adapter::worker::State;
use persimmondrift::config::{Change, Quota};
use persimmondrift::entry;
use persimmondrift::gang::LEASE;
use persimmondrift::place::{Adjacency, Class, Eviction, Shape, Spec};
use persimmondrift::unit::{Accelerators, Cores, Job, Mebibytes, Millis, Region};
use standin::fault::Fault;

/// Time after which a wait counts as failed.
const LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

fn layout(workers: usize) -> Layout {
    Layout {
        service: "taller-app".parse().expect("valid"),
        regions: vec![Region::try_from("sac-a").expect("valid")],
        entries: 2,
        workers,
        service_time: Duration::from_millis(2),
    }
}

fn start(layout: &Layout) -> Bench {
    let bench = Bench::start(layout).expect("started");
    let workspace = "studio".parse().expect("valid");
    let change = Change::PutWorkspace { workspace, quota: Quota { weight: 1, ..Quota::default() } };
    wait("all agents are known", || {
        operators(&bench).iter().all(|&o| status(o).is_ok_and(|s| s.agents.len() == layout.workers))
    });
    wait("the workspace is taken", || {
        intend(operators(&bench)[0], std::slice::from_ref(&change)).is_ok()
    });
    bench
}

fn job(job: u64, parts: u16, accelerators: u32, class: Class) -> Change {
    let shape = Shape {
        parts,
        accelerators: Accelerators(accelerators),
        cores: Cores(1),
        memory: Mebibytes(64),
        adjacency: Adjacency::Rack,
    };
    let spec = Spec {
        workspace: "studio".parse().expect("valid"),
        kind: "render".parse().expect("valid"),
        shape,
        class,
        eviction: Eviction::Never,
        run_ms: Millis(600_000),
        claim: false,
        zone: None,
    };
    Change::Submit { job: Job(job), spec }
}

fn operators(bench: &Bench) -> Vec<SocketAddr> {
    bench.entries.iter().map(entry::Handle::operators).collect()
}

/// Returns the attempts of the parts of a job that run.
fn running(bench: &Bench, job: u64) -> Vec<u32> {
    let parts = bench.seats.iter().flat_map(|seat| seat.worker.trace());
    let runs = parts.filter(|part| part.task.job == Job(job) && part.state == State::Running);
    runs.map(|part| part.task.attempt.0).collect()
}

fn wait(what: &str, mut holds: impl FnMut() -> bool) -> Duration {
    let begin = Instant::now();
    while !holds() {
        assert!(begin.elapsed() < LIMIT, "not in time: {what}");
        thread::sleep(POLL);
    }
    begin.elapsed()
}

#[test]
fn planner_is_stopped_and_a_worker_pauses() {
    let mut bench = start(&layout(6));
    intend(operators(&bench)[0], &[job(1, 2, 8, Class::Batch)]).expect("taken");
    intend(operators(&bench)[0], &[job(2, 2, 8, Class::Batch)]).expect("taken");
    wait("both jobs run", || running(&bench, 1) == [1, 1] && running(&bench, 2) == [1, 1]);
    let plans = |&o: &SocketAddr| status(o).is_ok_and(|status| !status.zones.is_empty());
    let holder = operators(&bench).iter().position(plans).expect("one plans");
    let paused = bench
        .seats
        .iter()
        .position(|seat| seat.worker.trace().iter().any(|part| part.task.job == Job(2)))
        .expect("it runs there");
    bench.seats[paused].worker.switch.set(Some(Fault::Pause));
    let begin = Instant::now();
    bench.entries.remove(holder).stop();
    let left = operators(&bench)[0];
    intend(left, &[job(3, 1, 8, Class::Urgent)]).expect("taken");
    wait("the urgent job runs", || running(&bench, 3) == [1]);
    println!("urgent job after the planner was stopped: {} ms", begin.elapsed().as_millis());
    let mut alone = Duration::ZERO;
    wait("the first attempt of the paused worker's job is over", || {
        let parts = running(&bench, 2).iter().filter(|&&attempt| attempt == 1).count();
        alone += if parts == 1 { POLL } else { Duration::ZERO };
        parts == 0
    });
    println!("a part ran alone for about {} ms", alone.as_millis());
    thread::sleep(Duration::from(LEASE).saturating_sub(begin.elapsed()));
    assert_eq!(running(&bench, 1), [1, 1], "the job without faults was stopped");
    bench.stop();
}

#[test]
fn all_entries_are_replaced() {
    const JOBS: u64 = 50;
    let layout = layout(15);
    let mut bench = start(&layout);
    let jobs: Vec<Change> = (1..=JOBS).map(|id| job(id, 2, 1, Class::Batch)).collect();
    intend(operators(&bench)[0], &jobs).expect("taken");
    let whole = |bench: &Bench| (1..=JOBS).filter(|&id| running(bench, id) == [1, 1]).count();
    wait("all jobs run", || whole(&bench) == 50);
    let begin = Instant::now();
    bench.replace_entries(&layout).expect("replaced");
    println!("all entries replaced after {} ms", begin.elapsed().as_millis());
    let change = job(JOBS + 1, 1, 8, Class::Urgent);
    wait("a new job is taken", || {
        intend(operators(&bench)[0], std::slice::from_ref(&change)).is_ok()
    });
    println!("new job taken after {} ms", begin.elapsed().as_millis());
    wait("the new job runs", || running(&bench, JOBS + 1) == [1]);
    println!("first new placement after {} ms", begin.elapsed().as_millis());
    thread::sleep((Duration::from(LEASE) * 5 / 4).saturating_sub(begin.elapsed()));
    assert_eq!(whole(&bench), 50, "jobs were stopped");
    bench.stop();
}
