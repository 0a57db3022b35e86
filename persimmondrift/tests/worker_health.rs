//! Attribution of failures to jobs that fail everywhere, workers that fail every job, or both.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use persimmondrift::health::{Change, Health, Verdict};
use persimmondrift::member::Capacity;
use persimmondrift::place::{Adjacency, Class, Effect, Eviction, Planner, Policy, Shape, Spec};
use persimmondrift::unit::{
    Accelerators, Connections, Cores, Job, Mebibytes, Millis, Node, Rack, Slots, Time,
};

const WORKERS: u32 = 11;

fn node(index: u32) -> Node {
    Node::try_from(format!("worker-{index}")).expect("valid")
}

/// The jobs and workers that were found at fault.
#[derive(Debug, Default, PartialEq, Eq)]
struct Faults {
    jobs: BTreeSet<u64>,
    workers: BTreeSet<Node>,
}

/// Runs jobs on workers in turn; a job does not return to a worker at which it failed.
fn run(jobs: u64, bad_jobs: &[u64], bad_workers: &[u32]) -> Faults {
    let mut health = Health::default();
    let mut faults = Faults::default();
    let mut left: BTreeMap<u64, BTreeSet<u32>> = (0..jobs).map(|j| (j, BTreeSet::new())).collect();
    let mut turn = 0;
    for round in 0..200 {
        for id in left.keys().copied().collect::<Vec<_>>() {
            turn += 1;
            let place = (turn..turn + WORKERS).map(|index| index % WORKERS).find(|index| {
                !left[&id].contains(index) && !faults.workers.contains(&node(*index))
            });
            let Some(place) = place else {
                continue;
            };
            let (job, now) = (Job(id), Time::from_secs(round));
            if bad_jobs.contains(&id) || bad_workers.contains(&place) {
                left.get_mut(&id).expect("left").insert(place);
                let (verdict, change) =
                    health.failed(now, job, &node(place), usize::try_from(WORKERS).expect("small"));
                if let Some(Change::Quarantined(node)) = change {
                    faults.workers.insert(node);
                }
                if verdict == Verdict::AtFault {
                    faults.jobs.insert(id);
                    left.remove(&id);
                }
            } else {
                assert_eq!(health.finished(&node(place)), None);
                health.forget_job(job);
                left.remove(&id);
            }
        }
    }
    assert!(left.is_empty(), "jobs that have not ended: {left:?}");
    faults
}

#[test]
fn job_and_worker_faults_are_distinguished() {
    let cases: [(&str, u64, &[u64], &[u32]); 6] = [
        ("nothing fails", 40, &[], &[]),
        ("one job", 40, &[7], &[]),
        ("several jobs", 40, &[3, 17, 25], &[]),
        ("one worker", 40, &[], &[4]),
        ("one of each", 40, &[7], &[4]),
        ("several of both", 60, &[2, 5, 31], &[0, 6]),
    ];
    for (name, jobs, bad_jobs, bad_workers) in cases {
        let expected = Faults {
            jobs: bad_jobs.iter().copied().collect(),
            workers: bad_workers.iter().map(|&index| node(index)).collect(),
        };
        assert_eq!(run(jobs, bad_jobs, bad_workers), expected, "{name}");
    }
}

#[test]
fn quarantined_workers_are_probed_and_taken_back() {
    let mut health = Health::default();
    let bad = node(0);
    let fail = |health: &mut Health, now, id| health.failed(now, Job(id), &bad, 11).1;
    assert_eq!(fail(&mut health, Time(0), 1), None);
    assert_eq!(fail(&mut health, Time(0), 2), None);
    assert_eq!(fail(&mut health, Time(0), 3), Some(Change::Quarantined(bad.clone())));
    let first = Time(0) + Duration::from_mins(1);
    assert_eq!(health.tick(Time(1)), []);
    assert_eq!(health.tick(first), [Change::Probed(bad.clone())]);
    assert_eq!(
        fail(&mut health, first, 4),
        Some(Change::Quarantined(bad.clone())),
        "one failed probe is enough"
    );
    assert_eq!(health.tick(first + Duration::from_mins(1)), [], "the second quarantine is longer");
    assert_eq!(health.tick(first + Duration::from_mins(2)), [Change::Probed(bad.clone())]);
    assert_eq!(health.finished(&bad), Some(Change::TakenBack(bad.clone())));
    assert_eq!(fail(&mut health, first, 5), None, "earlier failures no longer count");
}

/// Guards against a job being blamed for the failures of a bad worker. It comes about if the only
/// place of the job, such as a claimed guarantee, is on that worker.
#[test]
fn repeated_failures_of_one_job_quarantine_the_worker() {
    let mut health = Health::default();
    let bad = node(0);
    let retry = (Verdict::Retry, None);
    assert_eq!(health.failed(Time(0), Job(1), &bad, 11), retry);
    assert_eq!(health.failed(Time(0), Job(1), &bad, 11), retry);
    let quarantined = Some(Change::Quarantined(bad.clone()));
    assert_eq!(health.failed(Time(0), Job(1), &bad, 11), (Verdict::Retry, quarantined));
    for index in 1..6 {
        assert_eq!(health.failed(Time(0), Job(1), &node(index), 11), retry);
    }
    let last = health.failed(Time(0), Job(1), &node(6), 11);
    assert_eq!(last, (Verdict::AtFault, None), "it fails at every worker that it is tried at");
}

#[test]
fn quarantine_is_limited_to_a_share_of_workers() {
    let mut health = Health::default();
    let mut quarantined = 0;
    for index in 0..WORKERS {
        for id in 0..3 {
            let job = Job(u64::from(index) * 3 + id);
            let (_, change) = health.failed(Time(0), job, &node(index), 11);
            quarantined += u32::from(change.is_some());
        }
    }
    assert_eq!(quarantined, 2, "a fault common to all workers is no evidence against each");
}

/// Guards against a job of a whole rack that never starts again: it failed once in each rack, and
/// so was excluded from a worker in each.
#[test]
fn failed_job_keeps_a_feasible_place() {
    let capacity = Capacity {
        slots: Slots(8),
        connections: Connections(64),
        accelerators: Accelerators(8),
        cores: Cores(32),
        memory: Mebibytes(1 << 17),
    };
    let mut planner = Planner::new(Policy::default());
    for index in 0..9 {
        let rack = Rack::try_from(format!("rack-{}", index / 3)).expect("valid");
        planner.put_worker(&node(index), &rack, capacity, true);
    }
    let shape = Shape {
        parts: 3,
        accelerators: Accelerators(8),
        cores: Cores(1),
        memory: Mebibytes(1),
        adjacency: Adjacency::Rack,
    };
    let spec = Spec {
        workspace: "desk".parse().expect("valid"),
        kind: "route".parse().expect("valid"),
        shape,
        class: Class::Batch,
        eviction: Eviction::Stop,
        run_ms: Millis(60_000),
        claim: false,
        zone: None,
    };
    planner.submit(Time(0), Job(1), spec);
    let mut starts = 0;
    for second in 0..60 {
        for effect in planner.step(Time::from_secs(second)) {
            if let Effect::Start { job, attempt, allocations, .. } = effect {
                starts += 1;
                planner.failed(Time::from_secs(second), job, attempt, &allocations[0].node);
            }
        }
    }
    assert!(starts > 3, "only {starts} starts");
    assert!(!planner.knows(Job(1)), "the job has not been found at fault");
}
