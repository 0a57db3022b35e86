//! Claims evict borrowers from a guaranteed place, and plans that break a guarantee are refused.

use persimmondrift::config::{Change, Config, Quota};
use persimmondrift::gang::{Holding, Phase, Task};
use persimmondrift::guarantee::{self, Guarantee, Supply};
use persimmondrift::intent::{self, ObservedState};
use persimmondrift::member::Capacity;
use persimmondrift::place::{
    Adjacency, Allocation, Cause, Class, Effect, Entitlement, Eviction, Host, Planner, Policy,
    Shape, Spec,
};
use persimmondrift::unit::{
    Accelerators, Attempt, Connections, Cores, Job, Mebibytes, Millis, Node, Part, Rack, Slots,
    Time, Workspace, Zone,
};

const CAPACITY: Capacity = Capacity {
    slots: Slots(8),
    connections: Connections(64),
    accelerators: Accelerators(8),
    cores: Cores(32),
    memory: Mebibytes(1 << 17),
};
const NOW: Time = Time(1_000_000);

fn node(index: u32) -> Node {
    Node::try_from(format!("worker-{index}")).expect("valid")
}

fn rack(index: u32) -> Rack {
    Rack::try_from(format!("rack-{}", index / 3)).expect("valid")
}

fn workspace(name: &str) -> Workspace {
    Workspace::try_from(name).expect("valid")
}

fn shape(parts: u16, accelerators: u32, adjacency: Adjacency) -> Shape {
    let accelerators = Accelerators(accelerators);
    Shape { parts, accelerators, cores: Cores(1), memory: Mebibytes(1), adjacency }
}

fn spec(name: &str, shape: Shape, eviction: Eviction, claim: bool) -> Spec {
    Spec {
        workspace: workspace(name),
        kind: "render".parse().expect("valid"),
        shape,
        class: Class::Batch,
        eviction,
        run_ms: Millis(60_000),
        claim,
        zone: None,
    }
}

fn planner(workers: u32, entitlements: &[(&str, Shape)]) -> Planner {
    let mut planner = Planner::new(Policy::default());
    for index in 0..workers {
        planner.put_worker(&node(index), &rack(index), CAPACITY, true);
    }
    let entitlement =
        |&(name, shape): &(&str, Shape)| Entitlement { workspace: workspace(name), shape };
    planner.set_guarantees(entitlements.iter().map(entitlement).collect());
    planner
}

fn started(effects: &[Effect]) -> Vec<Job> {
    let job = |effect: &Effect| match effect {
        Effect::Start { job, .. } => Some(*job),
        _ => None,
    };
    effects.iter().filter_map(job).collect()
}

/// Releases every attempt that was asked to stop, then runs a step.
fn release_stopped(planner: &mut Planner, now: Time, effects: &[Effect]) -> Vec<Effect> {
    for effect in effects {
        if let Effect::Stop { job, attempt, .. } = effect {
            planner.released(now, *job, *attempt);
        }
    }
    planner.step(now)
}

#[test]
fn claims_evict_borrowers_at_once() {
    let whole = shape(3, 8, Adjacency::Rack);
    let small = shape(1, 2, Adjacency::Worker);
    let mut planner = planner(11, &[("studio", whole), ("desk", whole), ("desk", small)]);
    for id in 0..88 {
        let borrower = spec("batch", shape(1, 1, Adjacency::Worker), Eviction::Checkpoint, false);
        planner.submit(NOW, Job(id), borrower);
    }
    assert_eq!(started(&planner.step(NOW)).len(), 88, "every accelerator is borrowed");
    let claims = [("studio", whole), ("desk", whole), ("desk", small)];
    for (id, (name, shape)) in claims.into_iter().enumerate() {
        let id = 100 + u64::try_from(id).expect("small");
        planner.submit(NOW, Job(id), spec(name, shape, Eviction::Never, true));
    }
    let stops = planner.step(NOW);
    let claimed = |effect: &Effect| matches!(effect, Effect::Stop { cause: Cause::Claimed, .. });
    assert!(stops.iter().all(claimed), "the first step only stops borrowers");
    assert_eq!(stops.len(), 24 + 24 + 2);
    let starts = started(&release_stopped(&mut planner, NOW, &stops));
    assert_eq!(starts, [Job(100), Job(101), Job(102)]);
}

#[test]
fn pinned_jobs_stay_off_guarantees() {
    let whole = shape(3, 8, Adjacency::Rack);
    let mut planner = planner(6, &[("studio", whole)]);
    for id in 0..6 {
        let job = spec("desk", shape(1, 8, Adjacency::Worker), Eviction::Never, false);
        planner.submit(NOW, Job(id), job);
    }
    assert_eq!(started(&planner.step(NOW)).len(), 3, "one rack is kept for the guarantee");
    planner.submit(NOW, Job(9), spec("studio", whole, Eviction::Never, true));
    assert_eq!(started(&planner.step(NOW)), [Job(9)]);
}

#[test]
fn claims_beyond_the_guarantee_wait() {
    let whole = shape(1, 8, Adjacency::Worker);
    let mut planner = planner(1, &[("studio", whole)]);
    for id in 0..2 {
        planner.submit(NOW, Job(id), spec("studio", whole, Eviction::Never, true));
    }
    assert_eq!(started(&planner.step(NOW)), [Job(0)]);
    assert_eq!(planner.step(NOW), [], "the second claim has no guarantee left");
}

#[test]
fn lost_workers_move_guarantees_or_report_risk() {
    let whole = shape(3, 8, Adjacency::Rack);
    let mut planner = planner(6, &[("studio", whole)]);
    assert_eq!(planner.step(NOW), []);
    planner.remove_worker(NOW, &node(0));
    assert_eq!(planner.step(NOW), [], "the guarantee has moved to the other rack");
    planner.remove_worker(NOW, &node(3));
    let risk = [Effect::AtRisk { workspace: workspace("studio"), shape: whole }];
    assert_eq!(planner.step(NOW), risk);
    planner.put_worker(&node(0), &rack(0), CAPACITY, true);
    let back = [Effect::Restored { workspace: workspace("studio"), shape: whole }];
    assert_eq!(planner.step(NOW), back);
}

#[test]
fn claims_survive_the_loss_of_a_borrower() {
    let whole = shape(3, 8, Adjacency::Rack);
    let mut planner = planner(6, &[("studio", whole)]);
    for id in 0..6 {
        let job = spec("desk", shape(1, 8, Adjacency::Worker), Eviction::Stop, false);
        planner.submit(NOW, Job(id), job);
    }
    planner.step(NOW);
    planner.submit(NOW, Job(9), spec("studio", whole, Eviction::Never, true));
    let stops = planner.step(NOW);
    assert_eq!(stops.len(), 3);
    let placement = planner.guarantee_status()[0].allocations.clone().expect("kept");
    planner.remove_worker(NOW, &placement[0].node);
    let more = planner.step(NOW);
    let mut all = stops;
    all.extend(more);
    let starts = started(&release_stopped(&mut planner, NOW, &all));
    assert_eq!(
        starts.first(),
        Some(&Job(9)),
        "the claim starts on the other rack, before the borrowers"
    );
}

fn supply(workers: u32) -> Supply {
    let host = |index| Host { node: node(index), rack: rack(index), capacity: CAPACITY, pinned: 0 };
    let mut supply = Supply::default();
    for name in ["sac-a1", "sac-a2"] {
        let zone = Zone::try_from(name).expect("valid");
        supply.zones.insert(zone, (0..workers).map(host).collect());
    }
    supply
}

fn observed_state() -> ObservedState {
    ObservedState { supply: supply(3), ..ObservedState::default() }
}

fn put(name: &str, shapes: &[Shape]) -> Change {
    let guarantee = |&shape: &Shape| Guarantee { shape, zone: None };
    let quota =
        Quota { guarantees: shapes.iter().map(guarantee).collect(), weight: 1, limit: None };
    Change::PutWorkspace { workspace: workspace(name), quota }
}

#[test]
fn plans_that_break_a_guarantee_are_refused() {
    let rack_of = shape(3, 8, Adjacency::Rack);
    let one = shape(1, 8, Adjacency::Worker);
    let submit = |shape, eviction| Change::Submit {
        job: Job(1),
        spec: spec("studio", shape, eviction, false),
    };
    let zone = Zone::try_from("sac-a1").expect("valid");
    let unfit = guarantee::Error::Unfit { workspace: workspace("studio"), shape: rack_of, zone };
    let wide = shape(4, 8, Adjacency::Rack);
    let cases: [(&str, Vec<Change>, Result<(), guarantee::Error>); 6] = [
        ("one a zone", vec![put("studio", &[rack_of, rack_of])], Ok(())),
        ("one too many", vec![put("studio", &[rack_of; 3])], Err(unfit)),
        (
            "wider than a rack",
            vec![put("studio", &[wide])],
            Err(guarantee::Error::Impossible { shape: wide }),
        ),
        (
            "a job wider than a rack",
            vec![put("studio", &[]), submit(wide, Eviction::Stop)],
            Err(guarantee::Error::Impossible { shape: wide }),
        ),
        (
            "a job that cannot be evicted",
            vec![put("studio", &[rack_of, rack_of]), submit(one, Eviction::Never)],
            Err(guarantee::Error::Kept { shape: one }),
        ),
        (
            "a job that can be stopped",
            vec![put("studio", &[rack_of, rack_of]), submit(one, Eviction::Stop)],
            Ok(()),
        ),
    ];
    for (name, changes, expected) in cases {
        let result = intent::plan(&Config::default(), &observed_state(), 1, changes);
        assert_eq!(result.map(|_| ()), expected.map_err(intent::Error::Guarantee), "{name}");
    }
}

#[test]
fn plans_choose_the_zone_of_guarantees() {
    let rack_of = shape(3, 8, Adjacency::Rack);
    let changes = vec![put("studio", &[rack_of, rack_of])];
    let draft =
        intent::plan(&Config::default(), &observed_state(), 1, changes.clone()).expect("fits");
    let Change::PutWorkspace { quota, .. } = &draft.changes[0] else {
        panic!("the change is another one");
    };
    let zones: Vec<&str> =
        quota.guarantees.iter().filter_map(|g| g.zone.as_ref()).map(Zone::as_str).collect();
    assert_eq!(zones, ["sac-a1", "sac-a2"]);
    let Change::PutWorkspace { quota: stated, .. } = &changes[0] else {
        panic!("the change is another one");
    };
    assert!(quota.matches_declaration(stated), "a declaration without zones is met by the plan");
}

fn holding(job: u64, mask: u64) -> Holding {
    let task = Task { job: Job(job), attempt: Attempt(2), part: Part(0) };
    Holding { task, mask, phase: Phase::Running }
}

#[test]
fn new_planner_does_not_reuse_unknown_holdings() {
    let half = shape(1, 4, Adjacency::Worker);
    let mut planner = planner(1, &[]);
    planner.put_holdings(&node(0), &[holding(7, 0x0f)]);
    for id in 0..2 {
        planner.submit(NOW, Job(id), spec("desk", half, Eviction::Stop, false));
    }
    assert_eq!(started(&planner.step(NOW)), [Job(0)], "the other half is held by job 7");
    planner.put_holdings(&node(0), &[]);
    assert_eq!(started(&planner.step(NOW)), [Job(1)]);
}

#[test]
fn adopted_attempts_keep_their_allocations() {
    let half = shape(1, 4, Adjacency::Worker);
    let mut planner = planner(1, &[("studio", half)]);
    planner.submit(NOW, Job(1), spec("studio", half, Eviction::Never, true));
    planner.submit(NOW, Job(2), spec("desk", half, Eviction::Never, false));
    planner.submit(NOW, Job(3), spec("desk", half, Eviction::Stop, false));
    let allocation = |mask| [Allocation { node: node(0), mask }];
    assert!(planner.adopt(NOW, Job(1), Attempt(2), &allocation(0xf0)));
    assert!(!planner.adopt(NOW, Job(2), Attempt(1), &allocation(0x3c)), "the allocations overlap");
    assert!(
        !planner.adopt(NOW, Job(2), Attempt(1), &allocation(0xf00)),
        "there are 8 accelerators"
    );
    assert!(!planner.adopt(NOW, Job(9), Attempt(1), &allocation(0x0f)), "the job is not known");
    assert!(planner.adopt(NOW, Job(2), Attempt(1), &allocation(0x0f)));
    assert_eq!(planner.guarantee_status()[0].claim, Some(Job(1)), "the job keeps its claim");
    assert_eq!(planner.step(NOW), [], "nothing is free and no guarantee is at risk");
    planner.released(NOW, Job(1), Attempt(1));
    assert_eq!(planner.step(NOW), [], "the release of an older attempt is ignored");
}

#[test]
fn settings_change_single_weights() {
    let policy: Policy =
        toml::from_str("reservations = 3\nmove_gain = 5.0\nsettle = 60000\n").expect("valid");
    assert_eq!(policy, Policy::fragmentation());
    assert!(toml::from_str::<Policy>("reservation = 3").is_err(), "an unknown key is refused");
}
