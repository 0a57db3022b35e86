//! Planning and confirming: validation, conflicts on the items of a plan, altered and stale plans.

use std::collections::VecDeque;

use persimmondrift::config::{self, Change, Config, MAX_ENDED_JOBS, MAX_RECORDS, Record};
use persimmondrift::guarantee::Error::Impossible;
use persimmondrift::guarantee::Supply;
use persimmondrift::intent::{self, Draft, Error, NodeLoad, ObservedState};
use persimmondrift::member::Capacity;
use persimmondrift::place::{Adjacency, Host, Shape};
use persimmondrift::unit::{
    Accelerators, Connections, Cores, Job, Mebibytes, Operator, Plan, Slots, Version,
};
use serde_json::json;

#[derive(Default)]
struct Log {
    config: Config,
    records: VecDeque<Record>,
    observed: ObservedState,
    nonce: u64,
}

/// Returns workers with 8 accelerators each in one rack of one availability zone.
fn supply(workers: u32) -> Supply {
    let capacity = Capacity {
        slots: Slots(8),
        connections: Connections(64),
        accelerators: Accelerators(8),
        cores: Cores(32),
        memory: Mebibytes(1_024),
    };
    let host = |index| Host {
        node: format!("taller-{index:02}").parse().expect("valid"),
        rack: "rack-0".parse().expect("valid"),
        capacity,
        pinned: 0,
    };
    let zone = "sac-a".parse().expect("valid");
    Supply { zones: [(zone, (0..workers).map(host).collect())].into() }
}

fn operator(name: &str) -> Operator {
    name.parse().expect("valid")
}

impl Log {
    fn new() -> Self {
        let mut log = Self::default();
        log.observed.supply = supply(2);
        let service = Some("taller-app".parse().expect("valid"));
        let load = NodeLoad { service, requests: 3, jobs: [Job(7)].into() };
        log.observed.nodes.insert("taller-00".parse().expect("valid"), load);
        log.apply_plan(vec![put("studio"), put("front-desk"), submit(7, "studio")]);
        log
    }

    fn plan(&mut self, changes: Vec<Change>) -> Result<Draft, Error> {
        self.nonce += 1;
        intent::plan(&self.config, &self.observed, self.nonce, changes)
    }

    fn confirm(&mut self, draft: &Draft, name: &str) -> Result<Version, Error> {
        let record =
            intent::confirm(&self.config, &self.observed, draft, &self.records, &operator(name))?;
        Ok(self.apply(record))
    }

    fn apply(&mut self, record: Record) -> Version {
        assert_eq!(self.config.apply(&record), Ok(true));
        config::push_record(&mut self.records, record);
        self.config.version
    }

    fn apply_plan(&mut self, changes: Vec<Change>) -> Version {
        let draft = self.plan(changes).expect("a plan");
        self.confirm(&draft, "founder").expect("confirmed")
    }
}

fn change(value: serde_json::Value) -> Change {
    serde_json::from_value(value).expect("a change")
}

fn put(workspace: &str) -> Change {
    let quota = json!({ "weight": 1 });
    change(json!({ "put_workspace": { "workspace": workspace, "quota": quota } }))
}

fn guarantee(parts: u64, accelerators: u64) -> Change {
    let shape = json!({ "parts": parts, "accelerators": accelerators, "adjacency": "rack" });
    let quota = json!({ "weight": 1, "guarantees": [shape] });
    change(json!({ "put_workspace": { "workspace": "studio", "quota": quota } }))
}

fn shape(parts: u16, accelerators: u32) -> Shape {
    let (accelerators, cores, memory) = (Accelerators(accelerators), Cores(0), Mebibytes(0));
    Shape { parts, accelerators, cores, memory, adjacency: Adjacency::Rack }
}

fn submit(job: u64, workspace: &str) -> Change {
    let shape = json!({ "parts": 1, "accelerators": 1, "adjacency": "zone" });
    change(json!({ "submit": { "job": job, "spec": {
        "workspace": workspace, "kind": "render", "shape": shape, "class": "batch",
        "eviction": "stop", "run_ms": 1,
    } } }))
}

fn service(timeout: u64) -> Change {
    let serving = json!({ "timeout_ms": timeout });
    change(json!({ "put_service": { "service": "taller-app", "serving": serving } }))
}

fn node(action: &str, name: &str) -> Change {
    change(json!({ action: { "node": name } }))
}

#[test]
fn changes_are_validated() {
    let name = |name: &str| name.parse().expect("valid");
    let node_of = |name: &str| name.parse().expect("valid");
    let cancel = |job: u64| change(json!({ "cancel": { "job": job } }));
    let remove = |name: &str| change(json!({ "remove_workspace": { "workspace": name } }));
    let end = change(json!({ "end": { "job": 7, "outcome": "failed" } }));
    let unknown = change(json!({ "remove_service": { "service": "nothing" } }));
    let cases: Vec<(&str, Vec<Change>, Error)> = vec![
        ("nothing", vec![], Error::Empty),
        ("cancel", vec![cancel(9)], Error::NoJob(Job(9))),
        ("cancel twice", vec![cancel(7), cancel(7)], ended(7)),
        ("submit twice", vec![submit(7, "studio")], Error::JobExists(Job(7))),
        ("submit nowhere", vec![submit(8, "lab")], Error::NoWorkspace(name("lab"))),
        ("end by hand", vec![end], Error::SystemOnly(Job(7))),
        ("drain unknown", vec![node("drain", "taller-01")], Error::NoNode(node_of("taller-01"))),
        (
            "not drained",
            vec![node("undrain", "taller-00")],
            Error::NotDrained(node_of("taller-00")),
        ),
        ("remove unknown", vec![remove("lab")], Error::NoWorkspace(name("lab"))),
        (
            "remove busy",
            vec![remove("studio")],
            Error::HasJobs { workspace: name("studio"), jobs: 1 },
        ),
        ("no service", vec![unknown], Error::NoService("nothing".parse().expect("valid"))),
        ("no time", vec![service(0)], bounds("timeout_ms", 0, 1, 86_400_000)),
        ("no parts", vec![guarantee(0, 1)], bounds("parts", 0, 1, 1_024)),
        ("many parts", vec![guarantee(1_025, 1)], bounds("parts", 1_025, 1, 1_024)),
        ("many changes", vec![put("lab"); 1_025], bounds("changes", 1_025, 1, 1_024)),
        ("too large", vec![guarantee(1, 9)], Impossible { shape: shape(1, 9) }.into()),
        ("too many", vec![guarantee(3, 8)], Impossible { shape: shape(3, 8) }.into()),
    ];
    for (name, changes, expected) in cases {
        let mut log = Log::new();
        assert_eq!(log.plan(changes), Err(expected), "{name}");
    }
}

fn bounds(field: &str, found: u64, least: u64, most: u64) -> Error {
    Error::Bounds { field: field.to_owned(), found, least, most }
}

fn ended(job: u64) -> Error {
    let outcome = persimmondrift::place::Outcome::Cancelled;
    Error::JobEnded { job: Job(job), outcome }
}

#[test]
fn only_the_same_items_conflict() {
    let cancel = || change(json!({ "cancel": { "job": 7 } }));
    let remove = || change(json!({ "remove_workspace": { "workspace": "front-desk" } }));
    let cases: Vec<(&str, Change, Change, bool)> = vec![
        ("the same workspace", put("studio"), guarantee(1, 1), true),
        ("two workspaces", put("studio"), put("lab"), false),
        ("workspace and service", put("studio"), service(9), false),
        ("the same service", service(8), service(9), true),
        ("the same node", node("drain", "taller-00"), node("drain", "taller-00"), true),
        ("the same job", cancel(), cancel(), true),
        ("a job and another", submit(8, "studio"), submit(9, "studio"), false),
        ("two new jobs of one id", submit(8, "studio"), submit(8, "studio"), true),
        ("a workspace that is gone", remove(), submit(8, "front-desk"), false),
    ];
    for (name, theirs, mine, conflicts) in cases {
        let mut log = Log::new();
        let draft = log.plan(vec![mine]).expect(name);
        let planned = log.plan(vec![theirs.clone()]).expect(name);
        log.confirm(&planned, "other").expect(name);
        match log.confirm(&draft, "founder") {
            Err(Error::Conflict { base, current, changes }) => {
                assert!(conflicts, "{name}");
                assert_eq!((base, current), (Version(1), Version(2)), "{name}");
                assert_eq!(changes.len(), 1, "{name}");
                let made = (&changes[0].operator, changes[0].change.item());
                assert_eq!(made, (&operator("other"), theirs.item()), "{name}");
            }
            Err(error) => {
                // No conflict, but the second check finds that the workspace was removed.
                assert_eq!(
                    error,
                    Error::NoWorkspace("front-desk".parse().expect("valid")),
                    "{name}"
                );
            }
            Ok(version) => assert!(!conflicts && version == Version(3), "{name}"),
        }
    }
}

#[test]
fn guarantees_are_checked_again() {
    let mut log = Log::new();
    let draft = log.plan(vec![guarantee(2, 8)]).expect("fits");
    log.observed.supply = supply(1);
    assert!(matches!(log.confirm(&draft, "founder"), Err(Error::Guarantee(_))));
}

#[test]
fn drafts_carry_the_whole_plan() {
    let mut log = Log::new();
    let draft = log.plan(vec![put("lab")]).expect("a plan");
    let json = serde_json::to_vec(&draft).expect("encoded");
    let back: Draft = serde_json::from_slice(&json).expect("decoded");
    assert_eq!(back, draft);
    let altered = |alter: fn(&mut Draft)| {
        let mut other = draft.clone();
        alter(&mut other);
        other
    };
    let cases = [
        altered(|draft| draft.changes = vec![put("other")]),
        altered(|draft| draft.base = Version(0)),
        altered(|draft| draft.base = Version(9)),
        altered(|draft| draft.plan = Plan(1)),
    ];
    for other in cases {
        assert_eq!(log.confirm(&other, "founder"), Err(Error::Altered(other.plan)));
    }
    let version = log.confirm(&back, "founder").expect("confirmed");
    assert_eq!(intent::confirmed_version(&log.records, draft.plan), Some(version));
    let again = log.plan(vec![put("lab")]).expect("a plan");
    assert_ne!(again.plan, draft.plan);
}

#[test]
fn jobs_without_an_id_get_one() {
    let mut log = Log::new();
    let two = vec![submit(0, "studio"), submit(0, "studio")];
    let draft = log.plan(two).expect("a plan");
    let before = log.config.jobs.len();
    log.confirm(&draft, "founder").expect("confirmed");
    assert_eq!(log.config.jobs.len(), before + 2);
    assert!(log.config.jobs.keys().all(|job| job.0 > 0 && job.0 < 1 << 53));
}

#[test]
fn effects_list_affected_items() {
    let mut log = Log::new();
    log.observed.supply = supply(3);
    log.apply_plan(vec![guarantee(2, 4)]);
    let changes = vec![guarantee(2, 8), service(9), node("drain", "taller-00")];
    let effects = log.plan(changes).expect("a plan").effects.join("\n");
    for part in ["16 accelerators", "was 8", "1 jobs", "1 targets", "3 requests and jobs 7"] {
        assert!(effects.contains(part), "{part} is missing in: {effects}");
    }
}

#[test]
fn old_plans_are_stale() {
    let mut log = Log::new();
    let draft = log.plan(vec![put("lab")]).expect("a plan");
    for round in 0..=MAX_RECORDS {
        let version = log.config.version.next();
        let changes = vec![service(1 + round as u64)];
        let record = intent::new_record(version, Plan(round as u64), operator("other"), changes);
        log.apply(record);
    }
    let (base, current) = (Version(1), log.config.version);
    assert_eq!(log.confirm(&draft, "founder"), Err(Error::Stale { base, current }));
    assert_eq!(log.records.len(), MAX_RECORDS);
}

#[test]
fn the_newest_ended_jobs_are_kept() {
    let mut log = Log::new();
    let last = 100 + MAX_ENDED_JOBS as u64;
    for job in 100..=last {
        log.apply_plan(vec![submit(job, "studio")]);
        log.apply_plan(vec![change(json!({ "cancel": { "job": job } }))]);
    }
    assert_eq!(log.config.ended.len(), MAX_ENDED_JOBS);
    assert!(log.config.job_outcome(Job(last)).is_some(), "the newest outcome was dropped");
    assert!(log.config.job_outcome(Job(100)).is_none(), "the oldest outcome was kept");
    assert_eq!(log.config.ended.back().map(|(job, _)| *job), Some(Job(last)));
}
