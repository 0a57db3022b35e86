//! Versions only increase, and no accepted plan is lost or applied twice. Simulates entries,
//! agents and a table service with faults, without sockets, over a fixed list of seeds.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use persimmondrift::config::journal::ring::{PREFIX, Ring};
use persimmondrift::config::journal::{
    Answer, Append, Call, Effect, Error, Journal, LocalState, Ticket,
};
use persimmondrift::config::{self, Change, Config, Quota, Record, Serving, Update};
use persimmondrift::intent::{self, Draft, ObservedState};
use persimmondrift::member::Capacity;
use persimmondrift::place::{Adjacency, Class, Eviction, Host, Outcome, Shape, Spec};
use persimmondrift::store::{self, Row, Write};
use persimmondrift::unit::{
    Accelerators, Connections, Cores, Job, Mebibytes, Millis, Node, Operator, Plan, Slots, Time,
    Version,
};

const SEEDS: usize = 1_000;
/// Bytes of entropy of a run, about one for each random decision.
const ENTROPY: u64 = 8_000;
const RING: Ring = Ring { slots: 48 };
const VERSIONS_PER_SNAPSHOT: u64 = 4;
const ENTRIES: usize = 3;
const AGENTS: usize = 2;

#[derive(Default)]
struct Platform {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
    /// Writes that got no answer and take effect later.
    delayed: Vec<Vec<Write>>,
    down: bool,
}

struct Entry {
    journal: Journal,
    config: Config,
    records: VecDeque<Record>,
    call: Option<Call>,
    /// Newest version in the table when the process started.
    version_at_boot: Version,
}

#[derive(Default)]
struct Agent {
    config: Config,
    frames: Vec<Update>,
}

struct World {
    now: Time,
    platform: Platform,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    log: BTreeMap<Version, Record>,
    drafts: Vec<Draft>,
    confirms: BTreeMap<Ticket, Plan>,
    results: BTreeMap<Plan, Vec<std::result::Result<Version, Error>>>,
    confirm_count: BTreeMap<Plan, usize>,
    last_id: u64,
    boots: u64,
}

impl Platform {
    fn write(&mut self, writes: &[Write]) -> store::Outcome {
        let held = |write: &Write| self.rows.get(&write.key).map_or(Version(0), |row| row.version);
        if writes.iter().any(|write| held(write) != write.expected) {
            return store::Outcome::Refused;
        }
        for write in writes.iter().cloned() {
            let Write { key, expected, mutation, value } = write;
            let version = expected.next();
            self.rows.insert(key.clone(), Row { key, version, mutation, value });
        }
        store::Outcome::Applied
    }

    /// Carries out a call with a fault: 0 to 9 loses the answer, 10 to 19 loses the call, 20 to 24
    /// delays a write, 25 to 29 makes the service unreachable. Other values are no fault.
    fn answer(&mut self, call: Call, fault: u8) -> Answer {
        let lost = if self.down || (25..30).contains(&fault) {
            Some(store::Error::Unreachable)
        } else if fault < 20 || (fault < 25 && matches!(call, Call::Write(_))) {
            Some(store::Error::NoAnswer)
        } else {
            None
        };
        let takes_effect = lost.is_none() || (!self.down && fault < 10);
        match call {
            Call::Read(key) => {
                Answer::Row(lost.map_or_else(|| Ok(self.rows.get(&key).cloned()), Err))
            }
            Call::Scan(after) => {
                let rows = self.rows.range(after.clone()..).map(|(_, row)| row.clone());
                let rows = rows.filter(|row| row.key.starts_with(PREFIX) && row.key > after);
                let page = rows.take(20).collect();
                Answer::Rows(lost.map_or(Ok(page), Err))
            }
            Call::Write(writes) => {
                if (20..25).contains(&fault) && !self.down {
                    self.delayed.push(writes);
                    return Answer::Wrote(Err(store::Error::NoAnswer));
                }
                let outcome =
                    if takes_effect { self.write(&writes) } else { store::Outcome::Refused };
                Answer::Wrote(lost.map_or(Ok(outcome), Err))
            }
            Call::Get(name) => {
                Answer::Object(lost.map_or_else(|| Ok(self.objects.get(&name).cloned()), Err))
            }
            Call::Put(name, bytes) => {
                if takes_effect {
                    self.objects.insert(name, bytes);
                }
                Answer::Stored(lost.map_or(Ok(()), Err))
            }
            Call::Delete(name) => {
                if takes_effect {
                    self.objects.remove(&name);
                }
                Answer::Stored(lost.map_or(Ok(()), Err))
            }
        }
    }

    /// Returns the newest version in the table.
    fn newest(&self) -> Version {
        let records = self.rows.values().filter(|row| row.key.starts_with(PREFIX));
        let version = |row: &Row| {
            serde_json::from_value::<Record>(row.value.clone()).expect("a record").version
        };
        records.map(version).max().unwrap_or_default()
    }
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Time::from_secs(1),
            platform: Platform::default(),
            entries: Vec::new(),
            agents: (0..AGENTS).map(|_| Agent::default()).collect(),
            log: BTreeMap::new(),
            drafts: Vec::new(),
            confirms: BTreeMap::new(),
            results: BTreeMap::new(),
            confirm_count: BTreeMap::new(),
            last_id: 0,
            boots: 0,
        };
        for index in 0..ENTRIES {
            let entry = world.boot(index);
            world.entries.push(entry);
        }
        world
    }

    fn boot(&mut self, index: usize) -> Entry {
        self.boots += 1;
        let mut journal = Journal::with_sizes(self.boots, RING, VERSIONS_PER_SNAPSHOT);
        journal.set_rank(index as u64);
        let (config, records) = (Config::default(), VecDeque::new());
        Entry { journal, config, records, call: None, version_at_boot: self.platform.newest() }
    }

    fn step(&mut self, u: &mut Unstructured) -> Result<()> {
        let index = u.int_in_range(0..=ENTRIES - 1)?;
        match u.int_in_range(0..=99_u8)? {
            0..=63 => self.call(index, u.int_in_range(0..=160)?),
            64..=70 => self.plan(index, u)?,
            71..=80 => self.confirm(index, u)?,
            81 => self.inject_fault(index, u)?,
            82..=83 => {
                if let Some(delayed) = self.platform.delayed.pop() {
                    let _ = self.platform.write(&delayed);
                }
            }
            84..=87 => self.send(index, u)?,
            88..=91 => self.deliver(u)?,
            _ => self.now = self.now + Duration::from_millis(u.int_in_range(10..=255)?),
        }
        Ok(())
    }

    /// Restarts one or two entries, or changes whether the platform is down.
    fn inject_fault(&mut self, index: usize, u: &mut Unstructured) -> Result<()> {
        match u.int_in_range(0..=9_u8)? {
            0 => self.entries[index] = self.boot(index),
            1 => {
                let other = (index + 1) % ENTRIES;
                self.entries[index] = self.boot(index);
                self.entries[other] = self.boot(other);
            }
            2 => self.platform.down = true,
            _ => self.platform.down = false,
        }
        Ok(())
    }

    /// Makes the next call of an entry, or delivers the answer to the last one.
    fn call(&mut self, index: usize, fault: u8) {
        let entry = &mut self.entries[index];
        let local = LocalState { config: &entry.config, records: &entry.records };
        let effects = if let Some(call) = entry.call.take() {
            let answer = self.platform.answer(call, fault);
            entry.journal.handle_answer(self.now, answer, local)
        } else {
            entry.call = entry.journal.next_call(self.now, local);
            if entry.call.is_some() { Vec::new() } else { entry.journal.tick(self.now) }
        };
        self.perform(index, effects);
        let entry = &self.entries[index];
        if entry.journal.has_caught_up() {
            assert!(
                entry.config.version >= entry.version_at_boot,
                "an entry that caught up is older than the table at its start"
            );
        }
    }

    fn perform(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Accept(records) => {
                    for record in records {
                        self.accept(index, record);
                    }
                }
                Effect::Adopt(config) => {
                    let entry = &mut self.entries[index];
                    assert!(config.version > entry.config.version, "adopted an older version");
                    entry.config = *config;
                    entry.records.clear();
                }
                Effect::Backfill(records) => {
                    for record in records {
                        assert_eq!(self.log.get(&record.version), Some(&record));
                        config::push_record(&mut self.entries[index].records, record);
                    }
                }
                Effect::AppendResult(ticket, result) => {
                    let plan = self.confirms[&ticket];
                    self.results.entry(plan).or_default().push(result);
                }
                Effect::Malformed(key) => {
                    assert!(key.starts_with("config-"), "{key} is malformed");
                }
                Effect::NotifyEntries | Effect::Failed(_) => {}
            }
        }
    }

    fn accept(&mut self, index: usize, record: Record) {
        let entry = &mut self.entries[index];
        assert_eq!(entry.config.apply(&record), Ok(true), "a record is not the next one");
        let agreed = self.log.entry(record.version).or_insert_with(|| record.clone());
        assert_eq!(*agreed, record, "two records have one version");
        config::push_record(&mut entry.records, record);
    }

    fn plan(&mut self, index: usize, u: &mut Unstructured) -> Result<()> {
        let name = u.int_in_range(b'a'..=b'e')?;
        let change = change(u.int_in_range(0..=5)?, name, &self.entries[index].config);
        let nonce = self.last_id + 1;
        self.last_id = nonce;
        let draft = intent::plan(&self.entries[index].config, &observed(), nonce, vec![change]);
        self.drafts.extend(draft);
        Ok(())
    }

    fn confirm(&mut self, index: usize, u: &mut Unstructured) -> Result<()> {
        let Some(newest) = self.drafts.len().checked_sub(1) else {
            return Ok(());
        };
        let draft = self.drafts[newest - u.int_in_range(0..=3.min(newest))?].clone();
        self.last_id += 1;
        let ticket = Ticket(self.last_id);
        self.confirms.insert(ticket, draft.plan);
        *self.confirm_count.entry(draft.plan).or_default() += 1;
        let operator = Operator::try_from("founder").expect("valid");
        let append = Append { ticket, draft, operator, observed: observed() };
        let rejected = self.entries[index].journal.append(self.now, append);
        self.perform(index, rejected.into_iter().collect());
        Ok(())
    }

    /// Sends an update from an entry to an agent, which may repeat up to four versions.
    fn send(&mut self, index: usize, u: &mut Unstructured) -> Result<()> {
        let Entry { config, records, .. } = &self.entries[index];
        let agent = &mut self.agents[u.int_in_range(0..=AGENTS - 1)?];
        let back = u.int_in_range(0..=4)?;
        let after = Version(agent.config.version.0.saturating_sub(back));
        agent.frames.push(config::agent_update(config, records, after));
        Ok(())
    }

    /// Delivers a random frame to an agent and may keep it for a second delivery. Without frames,
    /// the agent receives the version of an entry instead.
    fn deliver(&mut self, u: &mut Unstructured) -> Result<()> {
        let ahead = &self.entries[u.int_in_range(0..=ENTRIES - 1)?].config;
        let agent = &mut self.agents[u.int_in_range(0..=AGENTS - 1)?];
        let before = agent.config.version;
        if agent.frames.is_empty() {
            agent.config.advance_version(ahead.agent_version, ahead.version);
        } else {
            let frame = u.int_in_range(0..=agent.frames.len() - 1)?;
            let update = agent.frames[frame].clone();
            agent.config.apply_update(update);
            if u.ratio(2, 3)? {
                agent.frames.swap_remove(frame);
            }
        }
        assert!(agent.config.version >= before, "the version of an agent decreased");
        Ok(())
    }

    /// Ends all faults, and runs until entries and agents have caught up.
    fn recover(&mut self) {
        self.platform.down = false;
        for delayed in std::mem::take(&mut self.platform.delayed) {
            let _ = self.platform.write(&delayed);
        }
        for _ in 0..40 {
            self.now = self.now + Duration::from_secs(5);
            for index in 0..ENTRIES {
                for _ in 0..20 {
                    self.call(index, u8::MAX);
                }
            }
        }
        for agent in &mut self.agents {
            let Entry { config, records, .. } = &self.entries[0];
            let after = agent.config.version;
            agent.config.apply_update(config::agent_update(config, records, after));
        }
    }

    fn check(&self) {
        let newest = self.platform.newest();
        let mut replayed = Config::default();
        for record in self.log.values() {
            assert_eq!(replayed.apply(record), Ok(true), "the log has a gap");
        }
        assert_eq!(replayed.version, newest, "no entry read the newest record");
        for entry in &self.entries {
            assert_eq!(entry.config, replayed, "entries differ");
            assert!(entry.records.len() as u64 <= newest.0);
        }
        for agent in &self.agents {
            let Config { version, workspaces, services, drained, .. } = &agent.config;
            assert_eq!(*version, newest, "an agent did not catch up");
            assert_eq!((workspaces, services), (&replayed.workspaces, &replayed.services));
            assert_eq!((drained, agent.config.jobs.len()), (&replayed.drained, 0));
        }
        for (plan, results) in &self.results {
            self.check_plan(*plan, results);
        }
    }

    /// Checks that a plan is in the log at most once, and that the reported results are true.
    fn check_plan(&self, plan: Plan, results: &[std::result::Result<Version, Error>]) {
        let versions: Vec<Version> =
            self.log.values().filter(|record| record.plan == plan).map(|r| r.version).collect();
        assert!(versions.len() <= 1, "plan {plan} took effect at {versions:?}");
        for result in results {
            match result {
                Ok(version) => assert_eq!(versions, [*version], "plan {plan} was lost"),
                Err(Error::Undecided) => {}
                Err(error) if self.confirm_count[&plan] == 1 => {
                    assert_eq!(
                        versions,
                        [],
                        "plan {plan} took effect, but the result was: {error}"
                    );
                }
                Err(_) => {}
            }
        }
    }
}

fn observed() -> ObservedState {
    let node: Node = "taller-00".parse().expect("valid");
    let capacity = Capacity {
        slots: Slots(1),
        connections: Connections(1),
        accelerators: Accelerators(8),
        cores: Cores(32),
        memory: Mebibytes(1_024),
    };
    let rack = "rack-0".parse().expect("valid");
    let host = Host { node: node.clone(), rack, capacity, pinned: 0 };
    let mut observed = ObservedState::default();
    observed.supply.zones.insert("sac-a".parse().expect("valid"), vec![host]);
    observed.nodes.insert(node, intent::NodeLoad::default());
    observed
}

fn change(kind: u8, name: u8, config: &Config) -> Change {
    let text = char::from(name).to_string();
    let workspace = text.parse().expect("valid");
    let node = "taller-00".parse().expect("valid");
    match kind {
        0 => Change::PutWorkspace { workspace, quota: Quota { weight: 1, ..Quota::default() } },
        1 => Change::PutService {
            service: text.parse().expect("valid"),
            serving: Serving { timeout_ms: u64::from(name) },
        },
        2 if config.drained.is_empty() => Change::Drain { node },
        2 => Change::Undrain { node },
        3 => match config.jobs.first_key_value() {
            Some((&job, _)) => Change::Cancel { job },
            None => Change::RemoveWorkspace { workspace },
        },
        _ => {
            let (accelerators, cores, memory) = (Accelerators(1), Cores(0), Mebibytes(0));
            let adjacency = Adjacency::Zone;
            let shape = Shape { parts: 1, accelerators, cores, memory, adjacency };
            let (class, eviction, run_ms) = (Class::Batch, Eviction::Stop, Millis(1));
            let kind = "render".parse().expect("valid");
            let (claim, zone) = (false, None);
            let spec = Spec { workspace, kind, shape, class, eviction, run_ms, claim, zone };
            Change::Submit { job: Job(0), spec }
        }
    }
}

#[test]
fn versions_only_increase() {
    let mut accepted = 0;
    for seed in 1..=SEEDS as u64 {
        arbtest(|u| {
            let mut world = World::new();
            while !u.is_empty() {
                if world.step(u).is_err() {
                    break;
                }
            }
            // Outcomes of jobs are queued at every entry, and none may be lost.
            let running: Vec<Job> = world.entries[0].config.jobs.keys().copied().collect();
            for job in &running {
                for entry in &mut world.entries {
                    entry.journal.add_job_end(*job, Outcome::Finished);
                }
            }
            world.recover();
            world.check();
            for job in running {
                assert!(
                    world.entries[0].config.job_outcome(job).is_some(),
                    "the outcome of job {job} was lost"
                );
            }
            accepted += world.log.len();
            Ok(())
        })
        .seed(seed << 32 | ENTROPY);
    }

    println!("{accepted} records in all runs");
    assert!(accepted > 40 * SEEDS, "only {accepted} records in all runs");
}
