//! Demonstration on loopback: routes a request, changes the configuration, runs a gang job, and
//! prints a line for each step.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use persimmondrift::adapter::operator::{Reply, Status};
use persimmondrift::config::{Change, Quota, Serving};
use persimmondrift::entry;
use persimmondrift::guarantee::Guarantee;
use persimmondrift::intent::Draft;
use persimmondrift::place::{Adjacency, Class, Eviction, Outcome, Shape, Spec};
use persimmondrift::unit::{Accelerators, Cores, Job, Mebibytes, Millis, Region, Version};
use standin::caller::Caller;

use crate::bench::{Cluster, Layout, TOKEN};

/// Time within which a step must complete.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const JOB: Job = Job(1);
/// Accelerators that each of the job's two parts needs, all of them guaranteed.
const PART_ACCELERATORS: Accelerators = Accelerators(8);

/// Starts a system of two entries and six workers and runs the demonstration on it.
///
/// # Errors
///
/// Returns an error if the system cannot be started or a step fails.
pub fn run() -> anyhow::Result<()> {
    let layout = Layout {
        service: "taller-app".parse()?,
        regions: vec![Region::try_from("sac-a")?],
        entries: 2,
        workers: 6,
        service_time: Duration::from_millis(2),
    };
    let cluster = Cluster::start(&layout)?;
    let result = run_steps(&cluster);
    cluster.stop();
    result
}

fn run_steps(cluster: &Cluster) -> anyhow::Result<()> {
    let operators: Vec<SocketAddr> = cluster.entries.iter().map(entry::Handle::operators).collect();
    wait_until("all targets take new work", || {
        let agents = status(operators[0])?.agents;
        Ok(agents.iter().filter(|agent| agent.serving).count() == cluster.machines.len())
    })?;
    check_request(cluster)?;
    let version = configure(cluster, &operators)?;
    run_job(cluster, &operators, version)?;
    let keys = cluster.table.keys().len();
    ensure!(keys > 0, "the table service holds no rows");
    println!("4. the table service holds {keys} rows: records, the planner role, the attempt");
    Ok(())
}

fn check_request(cluster: &Cluster) -> anyhow::Result<()> {
    let timeout = Duration::from_secs(2);
    let caller = Caller::new(cluster.entries[0].callers(), timeout);
    let reply = caller.post("taller-app", "booking-1", timeout, b"furnace 3, 10:00")?;
    ensure!(reply.outcome == "answered", "the request was {}", reply.outcome);
    ensure!(
        reply.body == b"POST booking-1\nfurnace 3, 10:00",
        "the response body is not the echoed request"
    );
    let ran: u32 = cluster
        .machines
        .iter()
        .filter_map(|s| s.target.run_counts().get("booking-1").copied())
        .sum();
    ensure!(ran == 1, "the request ran {ran} times");
    println!("1. a request was routed, ran once at its target and was answered whole");
    Ok(())
}

fn configure(cluster: &Cluster, operators: &[SocketAddr]) -> anyhow::Result<Version> {
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
    let version = plan_and_confirm(operators[0], &changes)?;
    let begin = Instant::now();
    wait_until("the configuration is in force everywhere", || {
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
        cluster.machines.len(),
        begin.elapsed().as_millis()
    );
    Ok(version)
}

fn run_job(cluster: &Cluster, operators: &[SocketAddr], _after: Version) -> anyhow::Result<()> {
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
    plan_and_confirm(operators[0], &[Change::Submit { job: JOB, spec }])?;
    wait_until("the job has finished", || {
        Ok(status(operators[1])?.ended.contains(&(JOB, Outcome::Finished)))
    })?;
    let mut racks = Vec::new();
    let mut parts = 0;
    for (index, machine) in cluster.machines.iter().enumerate() {
        let trace = machine.worker.trace();
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
        accelerators: PART_ACCELERATORS,
        cores: Cores(8),
        memory: Mebibytes(1 << 10),
        adjacency: Adjacency::Rack,
    }
}

/// Plans changes, prints their effects, confirms the plan and returns the resulting version.
///
/// # Errors
///
/// Returns an error if the entry refuses the plan or its confirmation.
pub fn plan_and_confirm(operator: SocketAddr, changes: &[Change]) -> anyhow::Result<Version> {
    let draft = plan(operator, changes)?;
    for effect in &draft.effects {
        println!("   plan {}: {effect}", draft.plan);
    }
    confirm(operator, &draft)
}

/// Plans changes, confirms the plan and returns the resulting version, without printing.
///
/// # Errors
///
/// Returns an error if the entry refuses the plan or its confirmation.
pub fn plan_and_confirm_quietly(
    operator: SocketAddr,
    changes: &[Change],
) -> anyhow::Result<Version> {
    let draft = plan(operator, changes)?;
    confirm(operator, &draft)
}

fn plan(operator: SocketAddr, changes: &[Change]) -> anyhow::Result<Draft> {
    match post(operator, "/v1/plans", &serde_json::to_vec(changes)?)? {
        Reply::Planned(draft) => Ok(draft),
        _ => bail!("the entry did not answer with a plan"),
    }
}

fn confirm(operator: SocketAddr, draft: &Draft) -> anyhow::Result<Version> {
    let path = format!("/v1/plans/{}/confirm", draft.plan);
    match post(operator, &path, &serde_json::to_vec(draft)?)? {
        Reply::Confirmed(version) => Ok(version),
        _ => bail!("the entry did not confirm the plan"),
    }
}

/// Returns the state of the system as known to an entry.
///
/// # Errors
///
/// Returns an error if the entry does not answer with a status.
pub fn status(operator: SocketAddr) -> anyhow::Result<Status> {
    let url = format!("http://{operator}/v1/status");
    let header = format!("Bearer {TOKEN}");
    let mut response = ureq::get(&url).header("Authorization", header).call()?;
    match serde_json::from_slice(&response.body_mut().read_to_vec()?)? {
        Reply::Status(status) => Ok(*status),
        _ => bail!("the entry did not answer with a status"),
    }
}

fn post(operator: SocketAddr, path: &str, body: &[u8]) -> anyhow::Result<Reply> {
    let url = format!("http://{operator}{path}");
    let header = format!("Bearer {TOKEN}");
    let mut response = ureq::post(&url).header("Authorization", header).send(body)?;
    Ok(serde_json::from_slice(&response.body_mut().read_to_vec()?)?)
}

fn wait_until(
    condition: &str,
    mut is_met: impl FnMut() -> anyhow::Result<bool>,
) -> anyhow::Result<()> {
    let begin = Instant::now();
    while begin.elapsed() < STEP_TIMEOUT {
        if is_met().with_context(|| condition.to_owned())? {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    bail!("condition not met within {} s: {condition}", STEP_TIMEOUT.as_secs())
}
