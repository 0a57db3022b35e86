//! Crashes that no stored report had when the planner wrote off their runs: the agent reports each as
//! a loss.

mod common;

use std::time::Duration;

use common::begin_next;
use persimmondrift::cell::duty::{Heartbeat, Listing, Reconciler};
use persimmondrift::cell::job::{Group, Id, Resources, Task};
use persimmondrift::cell::record::{self, Ending, Incarnation, Order, OrderTask, Worker};
use persimmondrift::cell::table::{Row, Snapshot, Table};
use persimmondrift::unit::{Epoch, Time, Version};
use standin::cell::MAX_LEASE;

const BEGIN: Time = Time(100_000_000);
const NEED: Resources = Resources { millicores: 1_000, mebibytes: 1, accelerators: 0 };

fn task(job: u64) -> Task {
    Group { job: Id(job), occurrence: 0, step: 0 }.task(0)
}

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation { started_ms, id: format!("i-{started_ms}") }
}

fn heartbeat(started_ms: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        incarnation: incarnation(started_ms),
        sequence,
        clock_ms: 1_000,
        draining: false,
        service: "studio".to_owned(),
        labels: Vec::new(),
        capacity: NEED.times(40),
        remaining_ms: 0,
        cold_ms: 0,
    }
}

fn row(job: u64, is_ordered: bool) -> Row {
    let order = Order {
        epoch: Epoch(1),
        incarnation: incarnation(1),
        session: 0,
        need: NEED,
        tasks: vec![OrderTask { index: 0, run: 1, checkpoint: String::new(), stop: false }],
    };
    let key = record::order_key("vm", task(job).group());
    let version = Version(job * 2 + u64::from(!is_ordered));
    Row { table: Table::Orders, key, version, value: is_ordered.then(|| record::encode(&order)) }
}

fn listing(jobs: impl IntoIterator<Item = u64>) -> Listing {
    let running = jobs.into_iter().map(|job| (task(job), 1, String::new(), 0)).collect();
    Listing { started_ms: 1, clock_ms: 1_000, running, ..Listing::default() }
}

/// Creates an agent with orders for jobs 1 to `jobs`, each with one task.
fn agent(jobs: u64) -> Reconciler {
    let mut agent = Reconciler::new("vm", None, BEGIN, MAX_LEASE);
    let rows = (1..=jobs).map(|job| row(job, true)).collect();
    agent.reset_orders(&Snapshot { rows, ..Snapshot::default() });
    agent.heartbeat(BEGIN, heartbeat(1, 1));
    store_report(&mut agent);
    agent
}

/// Creates an agent whose worker has just started the tasks of all jobs.
fn busy_agent(jobs: u64) -> Reconciler {
    let mut agent = agent(jobs);
    agent.apply_listing(BEGIN, BEGIN, &listing(1..=jobs));
    agent
}

fn store_report(agent: &mut Reconciler) -> Worker {
    let (listed, report) = (agent.listed(), agent.report(BEGIN));
    agent.report_stored(BEGIN, MAX_LEASE, listed);
    report
}

fn write_off(agent: &mut Reconciler, job: u64) {
    agent.apply_orders(&[row(job, false)]);
}

fn losses(agent: &Reconciler) -> Vec<(Task, Ending)> {
    let losses = agent.report(BEGIN).losses;
    assert!(losses.iter().all(|loss| loss.run == 1 && loss.crashed), "{losses:?}");
    losses.iter().map(|loss| (loss.task, loss.ending)).collect()
}

#[test]
fn end_in_no_report_becomes_loss() {
    let mut agent = busy_agent(2);
    begin_next(&mut agent, BEGIN, heartbeat(2, 1));
    write_off(&mut agent, 1);
    assert_eq!(losses(&agent), [(task(1), Ending::CrashedAtStart)]);
    let report = store_report(&mut agent);
    assert_eq!(report.ends.iter().map(|end| end.task).collect::<Vec<_>>(), [task(2)]);
    for sequence in 2..4 {
        agent.heartbeat(BEGIN, heartbeat(2, sequence));
        write_off(&mut agent, 1);
    }
    assert_eq!(losses(&agent), [(task(1), Ending::CrashedAtStart)], "reported once");
}

#[test]
fn stored_end_is_no_loss() {
    let mut agent = busy_agent(2);
    begin_next(&mut agent, BEGIN, heartbeat(2, 1));
    let stored = store_report(&mut agent);
    write_off(&mut agent, 1);
    assert_eq!(losses(&agent), []);
    let mut next = Reconciler::new("vm", Some(&stored), BEGIN, MAX_LEASE);
    next.reset_orders(&Snapshot { rows: vec![row(2, true)], ..Snapshot::default() });
    assert_eq!(next.report(BEGIN).ends.len(), 1);
    write_off(&mut next, 2);
    assert_eq!(losses(&next), [], "the last report of the earlier process had them");
}

/// Guards against an end that counts as stored since a report from before it was.
#[test]
fn earlier_report_has_no_later_end() {
    let mut agent = busy_agent(1);
    let listed = agent.listed();
    begin_next(&mut agent, BEGIN, heartbeat(2, 1));
    agent.report_stored(BEGIN, MAX_LEASE, listed);
    write_off(&mut agent, 1);
    assert_eq!(losses(&agent), [(task(1), Ending::CrashedAtStart)]);
}

/// Guards against an end that counts as stored since a report was that held it back.
#[test]
fn held_end_becomes_loss() {
    let mut agent = agent(7);
    let end = |job: u64| (job, task(job), 1, Ending::Done, "c".repeat(8_000));
    let finished = (1..=5).map(end).collect();
    agent.apply_listing(BEGIN, BEGIN, &Listing { finished, ..listing(6..=7) });
    begin_next(&mut agent, BEGIN, heartbeat(2, 1));
    let report = store_report(&mut agent);
    assert!(report.ends.iter().all(|end| end.ending == Ending::Done), "the others are held back");
    assert_eq!(report.ends.len(), 4, "the last end as done is held back, too");
    write_off(&mut agent, 6);
    assert_eq!(losses(&agent), [(task(6), Ending::CrashedAtStart)]);
    (1..=5).for_each(|job| write_off(&mut agent, job));
    let report = store_report(&mut agent);
    let ends: Vec<(Task, Ending)> = report.ends.iter().map(|end| (end.task, end.ending)).collect();
    let late = (task(5), Ending::Done);
    assert_eq!(ends, [(task(7), Ending::CrashedAtStart), late], "no report had the last one");
    write_off(&mut agent, 7);
    assert_eq!(losses(&agent), [(task(6), Ending::CrashedAtStart)], "job 7 was in a report");
}

/// Guards against a crash that is forgotten before it is reported, since the last heartbeat before it
/// was long ago.
#[test]
fn loss_is_kept_after_long_silence() {
    let mut agent = busy_agent(1);
    write_off(&mut agent, 1);
    let at = |second| BEGIN + Duration::from_secs(second);
    begin_next(&mut agent, at(90), heartbeat(2, 1));
    agent.heartbeat(at(91), heartbeat(2, 2));
    assert_eq!(losses(&agent), [(task(1), Ending::CrashedAtStart)]);
    agent.heartbeat(at(152), heartbeat(2, 3));
    assert_eq!(losses(&agent), []);
}

#[test]
fn recent_start_is_kept() {
    let mut agent = agent(200);
    agent.apply_listing(BEGIN, BEGIN, &listing(2..=200));
    let later = BEGIN + Duration::from_secs(3);
    agent.apply_listing(later, later, &listing(1..=200));
    begin_next(&mut agent, later, heartbeat(2, 1));
    (1..=200).for_each(|job| write_off(&mut agent, job));
    let losses = losses(&agent);
    assert_eq!(losses.len(), 128);
    assert!(losses.contains(&(task(1), Ending::CrashedAtStart)), "{losses:?}");
}
