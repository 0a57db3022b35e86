//! A planned stop of an entry or an agent cuts nothing off.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use persimmon_load::bench::{Bench, Layout};
use persimmondrift::unit::Region;
use standin::caller::Caller;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of requests that may meet a process that is gone.
const SOON: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(10);
const SERVICE: &str = "order-desk";

fn bench(service_time: Duration) -> Bench {
    let layout = Layout {
        service: SERVICE.parse().expect("valid"),
        regions: vec![Region::try_from("bkk-a").expect("valid")],
        entries: 1,
        workers: 1,
        service_time,
    };
    let bench = Bench::start(&layout).expect("started");
    let caller = Caller::new(bench.entries[0].callers(), TIMEOUT);
    while caller.post(SERVICE, "warm", TIMEOUT, b"").expect("a reply").outcome != "answered" {
        thread::sleep(POLL);
    }
    bench
}

/// Stops one process while a request runs, and returns what the caller was told.
fn stop_meanwhile(stop: impl FnOnce(&mut Bench)) -> String {
    let mut bench = bench(Duration::from_millis(1_500));
    let caller = Caller::new(bench.entries[0].callers(), TIMEOUT);
    let request = thread::spawn(move || caller.post(SERVICE, "long", TIMEOUT, b"order"));
    while !bench.seats[0].target.run_counts().contains_key("long") {
        thread::sleep(POLL);
    }
    stop(&mut bench);
    let reply = request.join().expect("joined").expect("a reply");
    bench.stop();
    reply.outcome
}

#[test]
fn entries_end_what_runs() {
    let outcome = stop_meanwhile(|bench| {
        bench.entries.remove(0).drain(Duration::ZERO);
        assert_eq!(
            bench.seats[0].agent.outstanding(),
            0,
            "the entry stopped before the request ended"
        );
    });
    assert_eq!(outcome, "answered");
}

#[test]
fn agents_end_what_runs() {
    let outcome = stop_meanwhile(|bench| {
        let seat = bench.seats.remove(0);
        seat.agent.drain(TIMEOUT);
        seat.target.stop();
        seat.worker.stop();
    });
    assert_eq!(outcome, "answered");
}

#[test]
fn entries_stop_under_load() {
    let mut bench = bench(Duration::ZERO);
    let callers = bench.entries[0].callers();
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let caller = Caller::new(callers, SOON);
                while !over.load(Ordering::Relaxed) {
                    if let Ok(reply) = caller.post(SERVICE, "load", SOON, b"") {
                        // A refusal of the stopping process carries no outcome: it never ran.
                        assert!(reply.outcome == "answered" || reply.status == 503);
                    }
                }
            });
        }
        bench.entries.remove(0).drain(Duration::from_millis(100));
        over.store(true, Ordering::Relaxed);
    });
    bench.stop();
}

/// An agent that stopped at once left calls unanswered that were on their way.
#[test]
fn agents_refuse_before_they_stop() {
    let mut bench = bench(Duration::ZERO);
    let callers = bench.entries[0].callers();
    // The entry does not hear that the agent leaves.
    bench.entries[0].lose(1_000);
    let outcomes = Mutex::new(BTreeSet::new());
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let caller = Caller::new(callers, SOON);
                while !over.load(Ordering::Relaxed) {
                    if let Ok(reply) = caller.post(SERVICE, "late", SOON, b"") {
                        outcomes.lock().expect("no panic").insert(reply.outcome);
                    }
                }
            });
        }
        thread::sleep(Duration::from_millis(100));
        let seat = bench.seats.remove(0);
        seat.agent.drain(TIMEOUT);
        over.store(true, Ordering::Relaxed);
        seat.target.stop();
        seat.worker.stop();
    });
    bench.stop();
    let outcomes = outcomes.into_inner().expect("no panic");
    assert!(outcomes.contains("not-run"), "{outcomes:?}");
    assert!(!outcomes.contains("unknown"), "{outcomes:?}");
}
