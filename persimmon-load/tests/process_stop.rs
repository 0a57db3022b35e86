//! A planned stop of an entry or an agent does not abort requests in flight.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use persimmon_load::bench::{Cluster, Layout};
use persimmondrift::unit::Region;
use standin::caller::Caller;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of requests that may be sent to a process that has already stopped.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const SERVICE: &str = "order-desk";

fn start_cluster(service_time: Duration) -> Cluster {
    let layout = Layout {
        service: SERVICE.parse().expect("valid"),
        regions: vec![Region::try_from("bkk-a").expect("valid")],
        entries: 1,
        workers: 1,
        service_time,
    };
    let cluster = Cluster::start(&layout).expect("started");
    let caller = Caller::new(cluster.entries[0].callers(), TIMEOUT);
    while caller.post(SERVICE, "warm", TIMEOUT, b"").expect("a reply").outcome != "answered" {
        thread::sleep(POLL_INTERVAL);
    }
    cluster
}

/// Calls `stop` while a request runs, and returns the outcome reported to the caller.
fn stop_during_request(stop: impl FnOnce(&mut Cluster)) -> String {
    let mut cluster = start_cluster(Duration::from_millis(1_500));
    let caller = Caller::new(cluster.entries[0].callers(), TIMEOUT);
    let request = thread::spawn(move || caller.post(SERVICE, "long", TIMEOUT, b"order"));
    while !cluster.machines[0].target.run_counts().contains_key("long") {
        thread::sleep(POLL_INTERVAL);
    }
    stop(&mut cluster);
    let reply = request.join().expect("joined").expect("a reply");
    cluster.stop();
    reply.outcome
}

#[test]
fn entry_drain_completes_request() {
    let outcome = stop_during_request(|cluster| {
        cluster.entries.remove(0).drain(Duration::ZERO);
        assert_eq!(
            cluster.machines[0].agent.outstanding(),
            0,
            "the entry stopped before the request ended"
        );
    });
    assert_eq!(outcome, "answered");
}

#[test]
fn agent_drain_completes_request() {
    let outcome = stop_during_request(|cluster| {
        let machine = cluster.machines.remove(0);
        machine.agent.drain(TIMEOUT);
        machine.target.stop();
        machine.worker.stop();
    });
    assert_eq!(outcome, "answered");
}

#[test]
fn entries_stop_under_load() {
    let mut cluster = start_cluster(Duration::ZERO);
    let callers = cluster.entries[0].callers();
    let finished = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let caller = Caller::new(callers, SHORT_TIMEOUT);
                while !finished.load(Ordering::Relaxed) {
                    if let Ok(reply) = caller.post(SERVICE, "load", SHORT_TIMEOUT, b"") {
                        // The stopping process refuses with status 503 and no outcome: the
                        // request did not run.
                        assert!(reply.outcome == "answered" || reply.status == 503);
                    }
                }
            });
        }
        cluster.entries.remove(0).drain(Duration::from_millis(100));
        finished.store(true, Ordering::Relaxed);
    });
    cluster.stop();
}

/// Guards against calls without an answer: an agent that stopped immediately did not answer calls
/// already on their way to it, so their outcome was `unknown`.
#[test]
fn agents_refuse_before_they_stop() {
    let mut cluster = start_cluster(Duration::ZERO);
    let callers = cluster.entries[0].callers();
    // The entry drops all datagrams, so it does not learn that the agent is leaving.
    cluster.entries[0].set_loss(1_000);
    let outcomes = Mutex::new(BTreeSet::new());
    let finished = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let caller = Caller::new(callers, SHORT_TIMEOUT);
                while !finished.load(Ordering::Relaxed) {
                    if let Ok(reply) = caller.post(SERVICE, "late", SHORT_TIMEOUT, b"") {
                        outcomes.lock().expect("no panic").insert(reply.outcome);
                    }
                }
            });
        }
        thread::sleep(Duration::from_millis(100));
        let machine = cluster.machines.remove(0);
        machine.agent.drain(TIMEOUT);
        finished.store(true, Ordering::Relaxed);
        machine.target.stop();
        machine.worker.stop();
    });
    cluster.stop();
    let outcomes = outcomes.into_inner().expect("no panic");
    assert!(outcomes.contains("not-run"), "{outcomes:?}");
    assert!(!outcomes.contains("unknown"), "{outcomes:?}");
}
