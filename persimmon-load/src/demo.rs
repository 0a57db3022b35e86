//! The whole path on loopback, shown in plain lines.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use persimmondrift::adapter::operator::{Status, Told};
use persimmondrift::config::{Change, Quota, Serving};
use persimmondrift::entry;
use persimmondrift::guarantee::Guarantee;
use persimmondrift::intent::Draft;
use persimmondrift::place::{Adjacency, Class, Eviction, Outcome, Shape, Spec};
use persimmondrift::unit::{Accelerators, Cores, Job, Mebibytes, Millis, Region, Version};
use standin::caller::Caller;

use crate::bench::{Bench, Layout, TOKEN};

/// Time after which a step counts as failed.
const STEP_LIMIT: Duration = Duration::from_secs(10);
/// Pause between two looks.
const POLL: Duration = Duration::from_millis(50);
/// The job that is shown.
const JOB: Job = Job(1);
/// Accelerators guaranteed, and needed by each of the two parts.
const PART: Accelerators = Accelerators(8);

/// Runs the demonstration.
///
/// # Errors
///
/// Returns the error of the first step that does not hold.
pub fn run() -> anyhow::Result<()> {
    let layout = Layout {
        service: "taller-app".parse()?,
        regions: vec![Region::try_from("sac-a")?],
        entries: 2,
        workers: 6,
        service_time: Duration::from_millis(2),
    };
    let bench = Bench::start(&layout)?;
    let result = show(&bench);
    bench.stop();
    result
}

fn show(bench: &Bench) -> anyhow::Result<()> {
    let operators: Vec<SocketAddr> = bench.entries.iter().map(entry::Handle::operators).collect();
    wait("all targets take new work", || {
        let agents = status(operators[0])?.agents;
        Ok(agents.iter().filter(|agent| agent.serving).count() == bench.seats.len())
    })?;
    serve(bench)?;
    let version = configure(bench, &operators)?;
    run_job(bench, &operators, version)?;
    let keys = bench.table.keys().len();
    ensure!(keys > 0, "the table service holds no rows");
    println!("4. the table service holds {keys} rows: records, the planner role, the attempt");
    Ok(())
}

fn serve(bench: &Bench) -> anyhow::Result<()> {
    let timeout = Duration::from_secs(2);
    let caller = Caller::new(bench.entries[0].callers(), timeout);
    let reply = caller.post("taller-app", "booking-1", timeout, b"furnace 3, 10:00")?;
    ensure!(reply.outcome == "answered", "the request was {}", reply.outcome);
    ensure!(reply.body == b"POST booking-1\nfurnace 3, 10:00", "the answer is not whole");
    let ran: u32 =
        bench.seats.iter().filter_map(|s| s.target.run_counts().get("booking-1").copied()).sum();
    ensure!(ran == 1, "the request ran {ran} times");
    println!("1. a request was routed, ran once at its target and was answered whole");
    Ok(())
}

fn configure(bench: &Bench, operators: &[SocketAddr]) -> anyhow::Result<Version> {
    let shape = shape(2);
    let changes = vec![
        Change::PutWorkspace {
            workspace: "studio".parse()?,
            quota: Quota {
                guarantees: vec![Guarantee { shape, zone: None }],
                weight: 1,
                limit: None,
            },
        },
        Change::PutService {
            service: "taller-app".parse()?,
            serving: Serving { timeout_ms: 5_000 },
        },
    ];
    let version = intend(operators[0], &changes)?;
    let begin = Instant::now();
    wait("the configuration is in force everywhere", || {
        let mut all = true;
        for &operator in operators {
            let status = status(operator)?;
            all &= status.config.version >= version;
            all &= status.agents.iter().all(|agent| agent.version >= version);
        }
        Ok(all)
    })?;
    println!(
        "2. an intent was planned and confirmed: version {version} is in force at {} entries and {} agents after {} ms",
        operators.len(),
        bench.seats.len(),
        begin.elapsed().as_millis()
    );
    Ok(version)
}

fn run_job(bench: &Bench, operators: &[SocketAddr], _after: Version) -> anyhow::Result<()> {
    let spec = Spec {
        workspace: "studio".parse()?,
        kind: "render".parse()?,
        shape: shape(2),
        class: Class::Interactive,
        eviction: Eviction::Checkpoint,
        run_ms: Millis(1_500),
        claim: false,
        zone: None,
    };
    intend(operators[0], &[Change::Submit { job: JOB, spec }])?;
    wait("the job has finished", || {
        Ok(status(operators[1])?.ended.contains(&(JOB, Outcome::Finished)))
    })?;
    let mut racks = Vec::new();
    let mut parts = 0;
    for (index, seat) in bench.seats.iter().enumerate() {
        let trace = seat.worker.trace();
        if !trace.is_empty() {
            racks.push(index / 3);
        }
        parts += trace.len();
    }
    racks.dedup();
    ensure!(parts == 2, "{parts} parts ran instead of 2");
    ensure!(racks.len() == 1, "the parts ran in {} racks", racks.len());
    println!("3. a job of 2 parts ran whole on adjacent accelerators of one rack and finished");
    Ok(())
}

fn shape(parts: u16) -> Shape {
    Shape {
        parts,
        accelerators: PART,
        cores: Cores(8),
        memory: Mebibytes(1 << 10),
        adjacency: Adjacency::Rack,
    }
}

/// Plans and confirms changes, and returns the version they led to.
///
/// # Errors
///
/// Returns an error if the plan or its confirmation is refused.
pub fn intend(operator: SocketAddr, changes: &[Change]) -> anyhow::Result<Version> {
    let draft = plan(operator, changes)?;
    for effect in &draft.effects {
        println!("   plan {}: {effect}", draft.plan);
    }
    confirm(operator, &draft)
}

/// Plans and confirms changes without a word, and returns the version they led to.
///
/// # Errors
///
/// Returns an error if the plan or its confirmation is refused.
pub fn intend_quietly(operator: SocketAddr, changes: &[Change]) -> anyhow::Result<Version> {
    let draft = plan(operator, changes)?;
    confirm(operator, &draft)
}

fn plan(operator: SocketAddr, changes: &[Change]) -> anyhow::Result<Draft> {
    match post(operator, "/v1/plans", &serde_json::to_vec(changes)?)? {
        Told::Planned(draft) => Ok(draft),
        _ => bail!("no plan was made"),
    }
}

fn confirm(operator: SocketAddr, draft: &Draft) -> anyhow::Result<Version> {
    let path = format!("/v1/plans/{}/confirm", draft.plan);
    match post(operator, &path, &serde_json::to_vec(draft)?)? {
        Told::Confirmed(version) => Ok(version),
        _ => bail!("the plan was not confirmed"),
    }
}

/// Returns the state of the system as an entry sees it.
///
/// # Errors
///
/// Returns an error if the entry gives no answer.
pub fn status(operator: SocketAddr) -> anyhow::Result<Status> {
    let url = format!("http://{operator}/v1/status");
    let header = format!("Bearer {TOKEN}");
    let mut response = ureq::get(&url).header("Authorization", header).call()?;
    match serde_json::from_slice(&response.body_mut().read_to_vec()?)? {
        Told::Status(status) => Ok(*status),
        _ => bail!("the answer is not a status"),
    }
}

fn post(operator: SocketAddr, path: &str, body: &[u8]) -> anyhow::Result<Told> {
    let url = format!("http://{operator}{path}");
    let header = format!("Bearer {TOKEN}");
    let mut response = ureq::post(&url).header("Authorization", header).send(body)?;
    Ok(serde_json::from_slice(&response.body_mut().read_to_vec()?)?)
}

fn wait(what: &str, mut holds: impl FnMut() -> anyhow::Result<bool>) -> anyhow::Result<()> {
    let begin = Instant::now();
    while begin.elapsed() < STEP_LIMIT {
        if holds().with_context(|| what.to_owned())? {
            return Ok(());
        }
        thread::sleep(POLL);
    }
    bail!("not within {} s: {what}", STEP_LIMIT.as_secs())
}
