//! Running jobs continue while the entry with the planner role of their zone is stopped, or all
//! entries are replaced.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_load::bench::{Cluster, Layout};
use persimmon_load::demo::{plan_and_confirm, status};
use persimmondrift::adapter::worker::State;
use persimmondrift::config::{Change, Quota};
use persimmondrift::entry;
use persimmondrift::gang::LEASE;
use persimmondrift::place::{Adjacency, Class, Eviction, Shape, Spec};
use persimmondrift::unit::{Accelerators, Cores, Job, Mebibytes, Millis, Region};
use standin::fault::Fault;

/// Time within which an awaited condition must hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn layout(workers: usize) -> Layout {
    Layout {
        service: "taller-app".parse().expect("valid"),
        regions: vec![Region::try_from("sac-a").expect("valid")],
        entries: 2,
        workers,
        service_time: Duration::from_millis(2),
    }
}

fn start(layout: &Layout) -> Cluster {
    let cluster = Cluster::start(layout).expect("started");
    let workspace = "studio".parse().expect("valid");
    let change = Change::PutWorkspace { workspace, quota: Quota { weight: 1, ..Quota::default() } };
    wait_until("all agents are known", || {
        operators(&cluster)
            .iter()
            .all(|&o| status(o).is_ok_and(|s| s.agents.len() == layout.workers))
    });
    wait_until("the workspace is accepted", || {
        plan_and_confirm(operators(&cluster)[0], std::slice::from_ref(&change)).is_ok()
    });
    cluster
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

fn operators(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.entries.iter().map(entry::Handle::operators).collect()
}

/// Returns the attempt numbers of the running parts of a job.
fn running_attempts(cluster: &Cluster, job: u64) -> Vec<u32> {
    let parts = cluster.machines.iter().flat_map(|machine| machine.worker.trace());
    let runs = parts.filter(|part| part.task.job == Job(job) && part.state == State::Running);
    runs.map(|part| part.task.attempt.0).collect()
}

fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) -> Duration {
    let begin = Instant::now();
    while !is_met() {
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {condition}"
        );
        thread::sleep(POLL_INTERVAL);
    }
    begin.elapsed()
}

#[test]
fn planner_is_stopped_and_a_worker_pauses() {
    let mut cluster = start(&layout(6));
    plan_and_confirm(operators(&cluster)[0], &[job(1, 2, 8, Class::Batch)]).expect("accepted");
    plan_and_confirm(operators(&cluster)[0], &[job(2, 2, 8, Class::Batch)]).expect("accepted");
    wait_until("both jobs run", || {
        running_attempts(&cluster, 1) == [1, 1] && running_attempts(&cluster, 2) == [1, 1]
    });
    let is_planner = |&o: &SocketAddr| status(o).is_ok_and(|status| !status.zones.is_empty());
    let planner =
        operators(&cluster).iter().position(is_planner).expect("one entry has the planner role");
    let paused = cluster
        .machines
        .iter()
        .position(|machine| machine.worker.trace().iter().any(|part| part.task.job == Job(2)))
        .expect("job 2 runs on a worker");
    cluster.machines[paused].worker.switch.set(Some(Fault::Pause));
    let begin = Instant::now();
    cluster.entries.remove(planner).stop();
    let remaining = operators(&cluster)[0];
    plan_and_confirm(remaining, &[job(3, 1, 8, Class::Urgent)]).expect("accepted");
    wait_until("the urgent job runs", || running_attempts(&cluster, 3) == [1]);
    println!("urgent job after the planner was stopped: {} ms", begin.elapsed().as_millis());
    let mut alone = Duration::ZERO;
    wait_until("the first attempt of the paused worker's job is over", || {
        let parts = running_attempts(&cluster, 2).iter().filter(|&&attempt| attempt == 1).count();
        alone += if parts == 1 { POLL_INTERVAL } else { Duration::ZERO };
        parts == 0
    });
    println!("a part ran alone for about {} ms", alone.as_millis());
    thread::sleep(Duration::from(LEASE).saturating_sub(begin.elapsed()));
    assert_eq!(
        running_attempts(&cluster, 1),
        [1, 1],
        "job 1 was stopped although its workers had no fault"
    );
    cluster.stop();
}

#[test]
fn all_entries_are_replaced() {
    const JOBS: u64 = 50;
    let layout = layout(15);
    let mut cluster = start(&layout);
    let jobs: Vec<Change> = (1..=JOBS).map(|id| job(id, 2, 1, Class::Batch)).collect();
    plan_and_confirm(operators(&cluster)[0], &jobs).expect("accepted");
    let complete_jobs = |cluster: &Cluster| {
        (1..=JOBS).filter(|&id| running_attempts(cluster, id) == [1, 1]).count()
    };
    wait_until("all jobs run", || complete_jobs(&cluster) == 50);
    let begin = Instant::now();
    cluster.replace_entries(&layout).expect("replaced");
    println!("all entries replaced after {} ms", begin.elapsed().as_millis());
    let change = job(JOBS + 1, 1, 8, Class::Urgent);
    wait_until("a new job is accepted", || {
        plan_and_confirm(operators(&cluster)[0], std::slice::from_ref(&change)).is_ok()
    });
    println!("new job taken after {} ms", begin.elapsed().as_millis());
    wait_until("the new job runs", || running_attempts(&cluster, JOBS + 1) == [1]);
    println!("first new placement after {} ms", begin.elapsed().as_millis());
    thread::sleep((Duration::from(LEASE) * 5 / 4).saturating_sub(begin.elapsed()));
    assert_eq!(complete_jobs(&cluster), 50, "jobs were stopped while all entries were replaced");
    cluster.stop();
}
