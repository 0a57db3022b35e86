//! Configuration updates for agents and entries: changes without jobs, pages of records, lost
//! and repeated messages, and updates larger than a frame.

use std::collections::VecDeque;

use persimmondrift::config::{self, Change, Config, Record, Serving, Update};
use persimmondrift::intent;
use persimmondrift::place::{Adjacency, Class, Eviction, Shape, Spec};
use persimmondrift::unit::{
    Accelerators, Boot, Cores, Job, Mebibytes, Millis, Node, Plan, Sequence, Version,
};
use persimmondrift::wire::{self, Body, Frame};

#[derive(Default)]
struct Log {
    config: Config,
    records: VecDeque<Record>,
}

impl Log {
    fn apply(&mut self, change: Change) {
        let version = self.config.version.next();
        let operator = "founder".parse().expect("valid");
        let record = intent::new_record(version, Plan(version.0), operator, vec![change]);
        assert_eq!(self.config.apply(&record), Ok(true));
        config::push_record(&mut self.records, record);
    }

    fn put_service(&mut self, timeout_ms: u64) {
        let service = "taller-app".parse().expect("valid");
        self.apply(Change::PutService { service, serving: Serving { timeout_ms } });
    }

    fn submit_job(&mut self, job: u64) {
        let (accelerators, cores, memory) = (Accelerators(1), Cores(1), Mebibytes(1));
        let shape = Shape { parts: 1, accelerators, cores, memory, adjacency: Adjacency::Zone };
        let spec = Spec {
            workspace: "studio".parse().expect("valid"),
            kind: "render".parse().expect("valid"),
            shape,
            class: Class::Batch,
            eviction: Eviction::Stop,
            run_ms: Millis(1),
            claim: false,
            zone: None,
        };
        self.apply(Change::Submit { job: Job(job), spec });
    }

    fn agent_update(&self, after: u64) -> Update {
        config::agent_update(&self.config, &self.records, Version(after))
    }
}

#[test]
fn jobs_do_not_reach_agents() {
    let mut log = Log::default();
    log.put_service(1);
    for job in 1..=3_000 {
        log.submit_job(job);
    }
    let update = log.agent_update(0);
    let bytes = wire_size(&update);
    assert!(bytes < 100, "{bytes} bytes for one change that concerns agents");
    let mut agent = Config::default();
    assert!(agent.apply_update(update));
    assert_eq!((agent.version, agent.jobs.len()), (Version(3_001), 0));
    // Agents do not need the new job: the version alone is enough.
    log.submit_job(3_001);
    assert!(agent.advance_version(log.config.agent_version, log.config.version));
    assert_eq!(agent.version, Version(3_002));
    log.put_service(2);
    assert!(
        !agent.advance_version(log.config.agent_version, log.config.version),
        "the agent skipped a change"
    );
    // An agent whose next records are no longer kept gets the whole configuration without jobs.
    log.records.clear();
    let mut late = Config::default();
    assert!(late.apply_update(log.agent_update(0)));
    assert_eq!((late.version, late.jobs.len()), (log.config.version, 0));
    assert_eq!(late.services, log.config.services);
}

#[test]
fn updates_never_lower_the_version() {
    let mut log = Log::default();
    let mut pushes = Vec::new();
    for timeout in 1..=6 {
        log.put_service(timeout);
        pushes.push(log.agent_update(timeout.saturating_sub(3)));
    }
    let cases: [(&str, &[usize], u64); 5] = [
        ("in order", &[0, 1, 2, 3, 4, 5], 6),
        ("two lost", &[0, 3, 5], 6),
        ("three lost: the next starts too late", &[0, 4, 5], 1),
        ("repeated", &[0, 0, 2, 2, 1, 0], 3),
        ("reversed", &[2, 1, 0], 3),
    ];
    for (name, order, version) in cases {
        let mut agent = Config::default();
        for &index in order {
            let before = agent.version;
            agent.apply_update(pushes[index].clone());
            assert!(agent.version >= before, "{name}");
        }
        assert_eq!(agent.version, Version(version), "{name}");
        let timeout = agent.services.values().next().map(|serving| serving.timeout_ms);
        assert_eq!(timeout, Some(version), "{name}");
    }
}

#[test]
fn entries_catch_up_in_pages() {
    let mut log = Log::default();
    for timeout in 1..=1_000 {
        log.put_service(timeout);
    }
    let mut behind = Config::default();
    let mut pages = 0;
    while behind.version < log.config.version {
        let update = config::entry_update(&log.config, &log.records, behind.version);
        let Update::Records(records) = update else {
            panic!("expected records, got a whole configuration");
        };
        for record in &records {
            assert_eq!(behind.apply(record), Ok(true));
        }
        pages += 1;
    }
    assert_eq!((pages, &behind), (4, &log.config));
    let none = config::entry_update(&log.config, &log.records, behind.version);
    assert_eq!(none, Update::Records(Vec::new()));
}

#[test]
fn large_configurations_span_frames() {
    let mut log = Log::default();
    for job in 1..=90_000 {
        log.submit_job(job);
    }
    let update = config::entry_update(&log.config, &log.records, Version(0));
    assert!(matches!(update, Update::Whole(_)));
    assert!(wire_size(&update) > wire::MAX_FRAME_BYTES, "the update fits into one frame");
    let (node, boot) = (Node::try_from("entry-0").expect("valid"), Boot(1));
    let frame = |body: Body| Frame { node: node.clone(), boot, sequence: Sequence(1), body };
    let mut bytes = Vec::new();
    wire::write_update(&mut bytes, &update, frame).expect("written");
    assert_eq!(wire::read_update(bytes.as_slice()).expect("read"), update);
    let cut = &bytes[..bytes.len() - 1];
    assert!(wire::read_update(cut).is_err(), "a truncated update was accepted");
}

fn wire_size(update: &Update) -> usize {
    let (node, boot) = (Node::try_from("entry-0").expect("valid"), Boot(1));
    let mut bytes = Vec::new();
    let frame = |body: Body| Frame { node: node.clone(), boot, sequence: Sequence(1), body };
    wire::write_update(&mut bytes, update, frame).expect("written");
    bytes.len()
}
