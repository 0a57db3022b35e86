//! Experiment `faults`: sends non-idempotent requests while network, agents, targets and entries
//! fail, and checks that each runs at most once and is reported correctly.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use anyhow::ensure;
use persimmondrift::entry;
use standin::fault::Fault;
use standin::relay::{Faults, Relay};

use crate::arrivals::{self, Destination, Load, Sample, body_of};
use crate::bench::Cluster;
use crate::request_load::{ENTRIES, SERVICE, TARGETS, caller_addresses, layout, outcomes};

/// Time a target takes to serve a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Mean number of requests per second.
const RATE: f64 = 700.0;
const LENGTH: Duration = Duration::from_secs(36);
/// Deadline of each request.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the deadline within which the caller must have received a response.
const MAX_LATE: Duration = Duration::from_millis(900);
/// Pause between two injected faults.
const FAULT_PAUSE: Duration = Duration::from_millis(700);
/// Network faults, in thousandths of the calls.
const FAULTS: Faults = Faults { lose_call: 5, lose_answer: 5, duplicate: 20, delayed_copy: 20 };

/// Violations found in a run, and the requests that did not run.
#[derive(Debug, Default)]
struct Tally {
    ran_twice: usize,
    /// Requests that ran although the caller was told that they did not.
    false_not_run: usize,
    /// Requests answered with status 200 that did not run exactly once or whose body is not their
    /// echo.
    crossed: usize,
    /// Requests whose response came too late or not at all.
    late: usize,
    not_run_at_all: usize,
}

/// Sends more than 20,000 requests under faults and checks each of them.
///
/// # Errors
///
/// Returns an error if a request ran twice, was reported wrongly, was answered late or received a
/// wrong response.
pub fn run() -> anyhow::Result<()> {
    let mut relays = Vec::new();
    let mut seed = 0;
    let mut cluster = Cluster::start_with_addresses(&layout(SERVICE_TIME)?, |_, entries| {
        let mut known = Vec::new();
        for &entry in entries {
            seed += 1;
            let relay = Relay::start(entry, FAULTS, seed)?;
            known.push(relay.address()?);
            relays.push(relay);
        }
        Ok(known)
    })?;
    thread::sleep(Duration::from_secs(2));
    let entries = caller_addresses(&cluster);
    let load = Load {
        rate: RATE,
        length: LENGTH,
        classes: vec![("urgent", 10), ("interactive", 70), ("batch", 20)],
        timeout: TIMEOUT,
        body: 500,
        prefix: "f".to_owned(),
        seed: 9,
    };
    let finished = AtomicBool::new(false);
    let samples = thread::scope(|scope| -> anyhow::Result<Vec<Sample>> {
        let run = scope.spawn(|| {
            let samples = arrivals::send(&load, &Destination::Entries(&entries), SERVICE);
            finished.store(true, Ordering::Relaxed);
            samples
        });
        let count = inject_faults(&mut cluster, &relays, &entries, &finished)?;
        println!("faults: {count} faults of processes and links");
        Ok(run.join().unwrap_or_default())
    })?;
    thread::sleep(TIMEOUT * 2);
    let injected: u64 = relays.iter().map(Relay::injected).sum();
    println!("faults: {injected} calls lost, doubled or sent again late");
    let tally = check(&cluster, &samples);
    println!("faults: {} requests, {}; {tally:?}", samples.len(), outcomes(samples.iter()));
    for relay in &relays {
        relay.stop();
    }
    cluster.stop();
    let passed = tally.ran_twice + tally.false_not_run + tally.crossed + tally.late == 0;
    ensure!(passed, "a request ran twice, was reported wrongly or was answered late: {tally:?}");
    ensure!(samples.len() >= 20_000, "fewer than 20,000 requests were sent");
    Ok(())
}

/// Injects faults one after the other until the run has finished, and returns their number.
fn inject_faults(
    cluster: &mut Cluster,
    relays: &[Relay],
    entries: &RwLock<Vec<SocketAddr>>,
    finished: &AtomicBool,
) -> anyhow::Result<usize> {
    let mut count = 0;
    while !finished.load(Ordering::Relaxed) {
        let machine = (count * 5) % TARGETS;
        let links = &relays[machine * ENTRIES..(machine + 1) * ENTRIES];
        match count % 5 {
            0 => {
                let known: Result<Vec<SocketAddr>, _> = links.iter().map(Relay::address).collect();
                cluster.replace_agent(machine, known?)?;
            }
            1 => {
                stall(links, true);
                thread::sleep(FAULT_PAUSE * 2);
                stall(links, false);
            }
            2 => {
                cluster.machines[machine].target.switch.set(Some(Fault::Pause));
                thread::sleep(FAULT_PAUSE * 2);
                cluster.machines[machine].target.switch.set(None);
            }
            3 => {
                let index = (count / 5) % ENTRIES;
                let address = cluster.entries[index].callers();
                entries.write().expect("lock is not poisoned").retain(|other| *other != address);
                cluster.replace_entry(index)?;
                let all = cluster.entries.iter().map(entry::Handle::callers).collect();
                thread::sleep(FAULT_PAUSE);
                *entries.write().expect("lock is not poisoned") = all;
            }
            _ => {
                // A single link is cut, so that the entries disagree on whether the agent is alive.
                links[0].stall(true);
                thread::sleep(FAULT_PAUSE * 4);
                links[0].stall(false);
            }
        }
        count += 1;
        thread::sleep(FAULT_PAUSE);
    }
    Ok(count)
}

fn stall(links: &[Relay], stalled: bool) {
    for relay in links {
        relay.stall(stalled);
    }
}

/// Compares what the callers were told with what ran at the targets.
fn check(cluster: &Cluster, samples: &[Sample]) -> Tally {
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    for machine in &cluster.machines {
        for (id, times) in machine.target.run_counts() {
            *ran.entry(id).or_default() += times;
        }
    }
    let ran_twice = ran.values().filter(|times| **times > 1).count();
    let mut tally = Tally { ran_twice, ..Tally::default() };
    for sample in samples {
        let times = ran.get(&sample.id).copied().unwrap_or(0);
        let reported_not_run = ["not-run", "refused"].contains(&sample.outcome());
        tally.false_not_run += usize::from(reported_not_run && times > 0);
        tally.not_run_at_all += usize::from(times == 0);
        tally.late += usize::from(sample.latency > TIMEOUT + MAX_LATE || sample.reply.is_none());
        tally.crossed += usize::from(sample.is_good() && (times != 1 || !is_echo(sample)));
    }
    tally
}

/// Returns whether the response body is the complete echo of the request.
fn is_echo(sample: &Sample) -> bool {
    let mut echo = format!("POST {}\n", sample.id).into_bytes();
    echo.extend(body_of(&sample.id, 500));
    sample.reply.as_ref().is_some_and(|reply| reply.body == echo)
}
