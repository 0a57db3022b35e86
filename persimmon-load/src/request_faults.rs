//! Non-idempotent requests under faults of the network, the agents and the entries.

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

use crate::arrivals::{self, Load, Sample, Way, body_of};
use crate::bench::Bench;
use crate::request_load::{ENTRIES, SERVICE, TARGETS, balancer, layout, outcomes};

/// Time that a request takes at its target.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Requests a second.
const RATE: f64 = 700.0;
/// The length of the run.
const LENGTH: Duration = Duration::from_secs(36);
/// The time that each request has.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond the deadline within which the caller must have been told.
const LATE: Duration = Duration::from_millis(900);
/// Pause between two faults of processes.
const PAUSE: Duration = Duration::from_millis(700);
/// Faults of the network, in thousandths of the calls.
const FAULTS: Faults = Faults { lose_call: 5, lose_answer: 5, duplicate: 20, delayed_copy: 20 };

/// What was counted in a run.
#[derive(Debug, Default)]
struct Tally {
    ran_twice: usize,
    false_not_run: usize,
    crossed: usize,
    late: usize,
    not_run_at_all: usize,
}

/// Sends more than 20,000 requests under faults and checks each of them.
///
/// # Errors
///
/// Returns an error if a request ran twice, was told wrongly, or got a wrong answer.
pub fn run() -> anyhow::Result<()> {
    let mut relays = Vec::new();
    let mut seed = 0;
    let mut bench = Bench::start_between(&layout(SERVICE_TIME)?, |_, entries| {
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
    let entries = balancer(&bench);
    let load = Load {
        rate: RATE,
        length: LENGTH,
        classes: vec![("urgent", 10), ("interactive", 70), ("batch", 20)],
        timeout: TIMEOUT,
        body: 500,
        prefix: "f".to_owned(),
        seed: 9,
    };
    let over = AtomicBool::new(false);
    let samples = thread::scope(|scope| -> anyhow::Result<Vec<Sample>> {
        let run = scope.spawn(|| {
            let samples = arrivals::send(&load, &Way::Entries(&entries), SERVICE);
            over.store(true, Ordering::Relaxed);
            samples
        });
        let count = disturb(&mut bench, &relays, &entries, &over)?;
        println!("faults: {count} faults of processes and links");
        Ok(run.join().unwrap_or_default())
    })?;
    thread::sleep(TIMEOUT * 2);
    let met: u64 = relays.iter().map(Relay::injected).sum();
    println!("faults: {met} calls lost, doubled or sent again late");
    let tally = check(&bench, &samples);
    println!("faults: {} requests, {}; {tally:?}", samples.len(), outcomes(samples.iter()));
    for relay in &relays {
        relay.stop();
    }
    bench.stop();
    let clean = tally.ran_twice + tally.false_not_run + tally.crossed + tally.late == 0;
    ensure!(clean, "a request was not answered as it is owed");
    ensure!(samples.len() >= 20_000, "too few requests");
    Ok(())
}

/// Brings about faults, one after the other, until the run is over. Returns their number.
fn disturb(
    bench: &mut Bench,
    relays: &[Relay],
    entries: &RwLock<Vec<SocketAddr>>,
    over: &AtomicBool,
) -> anyhow::Result<usize> {
    let mut count = 0;
    while !over.load(Ordering::Relaxed) {
        let seat = (count * 5) % TARGETS;
        let links = &relays[seat * ENTRIES..(seat + 1) * ENTRIES];
        match count % 5 {
            0 => {
                let known: Result<Vec<SocketAddr>, _> = links.iter().map(Relay::address).collect();
                bench.replace_agent(seat, known?)?;
            }
            1 => {
                stall(links, true);
                thread::sleep(PAUSE * 2);
                stall(links, false);
            }
            2 => {
                bench.seats[seat].target.switch.set(Some(Fault::Pause));
                thread::sleep(PAUSE * 2);
                bench.seats[seat].target.switch.set(None);
            }
            3 => {
                let index = (count / 5) % ENTRIES;
                let address = bench.entries[index].callers();
                entries.write().expect("no panic").retain(|other| *other != address);
                bench.replace_entry(index)?;
                let all = bench.entries.iter().map(entry::Handle::callers).collect();
                thread::sleep(PAUSE);
                *entries.write().expect("no panic") = all;
            }
            _ => {
                // One link alone is cut: entries see the agent differently.
                links[0].stall(true);
                thread::sleep(PAUSE * 4);
                links[0].stall(false);
            }
        }
        count += 1;
        thread::sleep(PAUSE);
    }
    Ok(count)
}

fn stall(links: &[Relay], stalled: bool) {
    for relay in links {
        relay.stall(stalled);
    }
}

fn check(bench: &Bench, samples: &[Sample]) -> Tally {
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    for seat in &bench.seats {
        for (id, times) in seat.target.run_counts() {
            *ran.entry(id).or_default() += times;
        }
    }
    let ran_twice = ran.values().filter(|times| **times > 1).count();
    let mut tally = Tally { ran_twice, ..Tally::default() };
    for sample in samples {
        let times = ran.get(&sample.id).copied().unwrap_or(0);
        let told_not_run = ["not-run", "refused"].contains(&sample.outcome());
        tally.false_not_run += usize::from(told_not_run && times > 0);
        tally.not_run_at_all += usize::from(times == 0);
        tally.late += usize::from(sample.latency > TIMEOUT + LATE || sample.reply.is_none());
        tally.crossed += usize::from(sample.is_good() && (times != 1 || !is_own(sample)));
    }
    tally
}

/// Returns whether the answer is the whole echo of the request.
fn is_own(sample: &Sample) -> bool {
    let mut echo = format!("POST {}\n", sample.id).into_bytes();
    echo.extend(body_of(&sample.id, 500));
    sample.reply.as_ref().is_some_and(|reply| reply.body == echo)
}
