//! The queue of the planner: shares, limits, urgent work, large jobs, cancellations, and the
//! explanations why jobs wait.

use std::time::Duration;

use persimmondrift::gang::LEASE;
use persimmondrift::member::Capacity;
use persimmondrift::place::{
    Adjacency, Cause, Class, Effect, Eviction, Outcome, Planner, Policy, Shape, Share, Spec, Wait,
};
use persimmondrift::unit::{
    Accelerators, Attempt, Connections, Cores, Job, Mebibytes, Millis, Node, Rack, Slots, Time,
};

const CAPACITY: Capacity = Capacity {
    slots: Slots(8),
    connections: Connections(64),
    accelerators: Accelerators(8),
    cores: Cores(32),
    memory: Mebibytes(1 << 17),
};
const NOW: Time = Time(1_000_000);

fn planner(workers: u32) -> Planner {
    let mut planner = Planner::new(Policy::default());
    for index in 0..workers {
        let node = Node::try_from(format!("worker-{index}")).expect("valid");
        let rack = Rack::try_from(format!("rack-{}", index / 3)).expect("valid");
        planner.put_worker(&node, &rack, CAPACITY, true);
    }
    planner
}

fn spec(workspace: &str, parts: u16, accelerators: u32, class: Class, run_secs: u64) -> Spec {
    Spec {
        workspace: workspace.parse().expect("valid"),
        kind: "render".parse().expect("valid"),
        shape: Shape {
            parts,
            accelerators: Accelerators(accelerators),
            cores: Cores(1),
            memory: Mebibytes(1),
            adjacency: Adjacency::Rack,
        },
        class,
        eviction: Eviction::Checkpoint,
        run_ms: Millis(run_secs * 1_000),
        claim: false,
        zone: None,
    }
}

fn started(effects: &[Effect]) -> Vec<Job> {
    let job = |effect: &Effect| match effect {
        Effect::Start { job, .. } => Some(*job),
        _ => None,
    };
    effects.iter().filter_map(job).collect()
}

fn later(seconds: u64) -> Time {
    NOW + Duration::from_secs(seconds)
}

#[test]
fn weights_divide_free_accelerators() {
    let mut planner = planner(3);
    planner.set_share("studio".parse().expect("valid"), Share { weight: 2, limit: None });
    planner.set_share("desk".parse().expect("valid"), Share { weight: 1, limit: None });
    let mut running = Vec::new();
    let mut next = 0;
    let mut held = [0_u32; 2];
    for round in 0..200 {
        while next < (round + 1) * 8 {
            let name = if next % 2 == 0 { "studio" } else { "desk" };
            planner.submit(later(round), Job(next), spec(name, 1, 1, Class::Batch, 600));
            next += 1;
        }
        running.extend(started(&planner.step(later(round))));
        for &Job(id) in &running {
            held[usize::from(id % 2 == 1)] += 1;
        }
        for job in running.extract_if(.., |job| job.0 % 5 == round % 5).collect::<Vec<_>>() {
            planner.ended(later(round), job, Outcome::Finished);
        }
    }
    assert!(held[0] > held[1], "weight 2 holds {} and weight 1 holds {}", held[0], held[1]);
    assert!(held[1] * 4 > held[0], "weight 1 is starved");
}

#[test]
fn limits_hold() {
    let mut planner = planner(1);
    let desk = "desk".parse().expect("valid");
    planner.set_share(desk, Share { weight: 1, limit: Some(Accelerators(3)) });
    for id in 0..8 {
        planner.submit(NOW, Job(id), spec("desk", 1, 1, Class::Batch, 600));
    }
    assert_eq!(started(&planner.step(NOW)).len(), 3);
    let reason = planner.explain(NOW, Job(7)).expect("known");
    assert_eq!(reason.to_string(), "workspace desk holds 3 of 3 accelerators");
}

#[test]
fn urgent_work_evicts_batch_work() {
    let mut planner = planner(1);
    for id in 0..8 {
        planner.submit(NOW, Job(id), spec("desk", 1, 1, Class::Batch, 600));
    }
    assert_eq!(started(&planner.step(NOW)).len(), 8);
    planner.submit(NOW, Job(9), spec("studio", 1, 2, Class::Urgent, 60));
    let stops = planner.step(NOW);
    assert_eq!(stops.len(), 2);
    for effect in stops {
        let Effect::Stop { job, attempt, cause: Cause::Urgent } = effect else {
            panic!("not a stop for urgent work: {effect:?}");
        };
        planner.released(NOW, job, attempt);
    }
    assert_eq!(started(&planner.step(NOW)), [Job(9)]);
}

#[test]
fn large_jobs_are_not_starved() {
    let mut planner = planner(3);
    let mut submit_job = |id| {
        let mut spec = spec("desk", 1, 4, Class::Batch, 100);
        spec.eviction = Eviction::Never;
        planner.submit(later(id * 20), Job(id), spec);
    };
    for id in 0..6 {
        submit_job(id);
    }
    let mut running: Vec<(u64, Job)> =
        started(&planner.step(NOW)).into_iter().map(|job| (job.0 * 20 + 100, job)).collect();
    planner.submit(NOW, Job(1_000), spec("studio", 3, 8, Class::Batch, 600));
    for second in 1..2_000 {
        if second % 15 == 0 {
            let mut small = spec("desk", 1, 4, Class::Batch, 100);
            small.eviction = Eviction::Never;
            planner.submit(later(second), Job(10 + second), small);
        }
        for (_, job) in running.extract_if(.., |(end, _)| *end <= second).collect::<Vec<_>>() {
            planner.ended(later(second), job, Outcome::Finished);
        }
        let jobs = started(&planner.step(later(second)));
        if jobs.contains(&Job(1_000)) {
            assert!(second < 900, "reserved after 600 s, but started after {second} s");
            return;
        }
        running.extend(jobs.into_iter().map(|job| (second + 100, job)));
    }
    panic!("the large job never started");
}

/// Guards against two jobs without checkpoints that evict each other in turn, lose their progress
/// each time and never end.
#[test]
fn jobs_without_checkpoints_do_not_evict_each_other() {
    let mut planner = Planner::new(Policy::fragmentation());
    let node = Node::try_from("worker-0").expect("valid");
    let rack = Rack::try_from("rack-0").expect("valid");
    planner.put_worker(&node, &rack, CAPACITY, true);
    let mut ends: [Option<u64>; 3] = [None; 3];
    let mut starts = [0; 3];
    for (id, run) in [(0, 2_000), (1, 900), (2, 1_200)] {
        let mut job = spec("desk", 1, 8, Class::Batch, run / 4);
        job.eviction = Eviction::Stop;
        planner.submit(later(id), Job(id), job);
    }
    for second in 0..20_000 {
        for (job, _) in (0..).map(Job).zip(ends).filter(|(_, end)| *end == Some(second)) {
            planner.ended(later(second), job, Outcome::Finished);
        }
        for effect in planner.step(later(second)) {
            match effect {
                Effect::Start { job, .. } => {
                    let id = usize::try_from(job.0).expect("small");
                    ends[id] = Some(second + [2_000, 900, 1_200][id]);
                    starts[id] += 1;
                }
                Effect::Stop { job, attempt, .. } => {
                    ends[usize::try_from(job.0).expect("small")] = None;
                    planner.released(later(second), job, attempt);
                }
                _ => {}
            }
        }
    }
    assert!((0..3).all(|id| !planner.knows(Job(id))), "all have ended, after {starts:?} starts");
}

#[test]
fn mass_cancellation_does_not_delay_urgent_work() {
    let mut planner = planner(3);
    for id in 0..10_000 {
        planner.submit(NOW, Job(id), spec("desk", 1, 8, Class::Batch, 600));
    }
    let running = started(&planner.step(NOW));
    assert_eq!(running.len(), 3);
    for id in 0..10_000 {
        let stops = planner.cancel(Job(id));
        assert_eq!(stops.len(), usize::from(running.contains(&Job(id))));
        assert_eq!(planner.cancel(Job(id)), [], "a repeated cancel has no effect");
    }
    planner.submit(NOW, Job(10_000), spec("studio", 1, 8, Class::Urgent, 60));
    assert_eq!(planner.step(NOW), [], "the jobs that run were already asked to stop");
    planner.released(NOW, running[0], Attempt(1));
    assert_eq!(started(&planner.step(NOW)), [Job(10_000)]);
    assert!(!planner.knows(running[0]), "a cancelled job is removed once released");
}

#[test]
fn impossible_jobs_do_not_block_others() {
    let mut planner = planner(3);
    planner.submit(NOW, Job(0), spec("desk", 4, 8, Class::Urgent, 60));
    planner.submit(NOW, Job(1), spec("desk", 0, 8, Class::Batch, 60));
    planner.submit(NOW, Job(2), spec("desk", 1, 8, Class::Batch, 60));
    assert_eq!(started(&planner.step(NOW)), [Job(2)]);
    for id in [0, 1] {
        assert!(matches!(planner.explain(NOW, Job(id)), Some(Wait::Impossible(_))));
    }
}

#[test]
fn steps_without_a_change_do_nothing() {
    let mut planner = planner(1);
    for id in 0..9 {
        planner.submit(NOW, Job(id), spec("desk", 1, 1, Class::Batch, 600));
    }
    assert_eq!(started(&planner.step(NOW)).len(), 8);
    assert_eq!(planner.step(NOW + Duration::from_millis(50)), []);
    let reason = planner.explain(NOW, Job(8)).expect("known").to_string();
    assert_eq!(reason, "1 x 1 accelerators in one rack: 0 are free, expected in 600 s");
}

#[test]
fn lease_of_lost_attempt_lapses_before_the_next_starts() {
    let mut planner = planner(1);
    planner.submit(NOW, Job(1), spec("desk", 1, 8, Class::Batch, 600));
    assert_eq!(started(&planner.step(NOW)), [Job(1)]);
    let node = Node::try_from("worker-0").expect("valid");
    assert_eq!(planner.remove_worker(NOW, &node).len(), 1);
    planner.released(NOW, Job(1), Attempt(1));
    let rack = Rack::try_from("rack-0").expect("valid");
    planner.put_worker(&node, &rack, CAPACITY, true);
    let lapsed = NOW + Duration::from(LEASE);
    assert_eq!(planner.step(lapsed), [], "the lease has not lapsed");
    assert_eq!(started(&planner.step(lapsed + Duration::from_secs(1))), [Job(1)]);
}
