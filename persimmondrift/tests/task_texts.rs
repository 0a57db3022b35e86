//! Agents read the text of a task from the accepted job, so that orders stay small.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use persimmondrift::cell::access::Queue;
use persimmondrift::cell::duty::{Action, Heartbeat, Listed, Listing, Reconciler, StartAnswer};
use persimmondrift::cell::job::{Group, Id, Request, Resources, Step};
use persimmondrift::cell::record::{self, Incarnation, Job, Order, OrderTask};
use persimmondrift::cell::spec::Specs;
use persimmondrift::cell::table::{Calls, Error, Outcome, Row, Snapshot, Table};
use persimmondrift::unit::{Epoch, Time, Version};

const ID: Id = Id(7);

/// Returns a store with one job whose first `failures` reads fail, and the counter of its reads.
fn store(failures: usize) -> (Calls, Arc<AtomicUsize>) {
    let step = Step { width: 1, ..Step::default() };
    let request = Request { spec: "text of the job".to_owned(), steps: vec![step], schedule: None };
    let job = Job {
        queue: Queue::default(),
        workspace: None,
        accepted_ms: 1,
        accepted_at: None,
        cancelled: false,
        request: Some(request),
    };
    let row = Row {
        table: Table::Jobs,
        key: record::job_key(ID),
        version: Version(1),
        value: Some(record::encode(&job)),
    };
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    let scan = move |_: Table, from: &str, _: &str, _: Duration| {
        if counted.fetch_add(1, Ordering::Relaxed) < failures {
            return Err(Error::NoAnswer);
        }
        let rows = if from == row.key { vec![row.clone()] } else { Vec::new() };
        Ok(Snapshot { rows, ..Snapshot::default() })
    };
    let store = Calls {
        commit: Box::new(|_, _| Ok(Outcome::Applied(Version(1)))),
        scan: Box::new(scan),
        watch: Box::new(|_, _, _, _| Ok(Snapshot::default())),
        set_relays: Box::new(|_| ()),
        unavailable: Box::new(|| false),
        detour: Box::new(|| false),
    };
    (store, calls)
}

#[test]
fn text_is_read_once() {
    let (store, calls) = store(1);
    let specs = Specs::default();
    assert_eq!(specs.get(&store, ID), Err(Error::NoAnswer));
    for _ in 0..3 {
        let text = specs.get(&store, ID).expect("an answer").expect("the job");
        assert_eq!(&*text, "text of the job");
    }
    assert_eq!(calls.load(Ordering::Relaxed), 2, "one failure and one read");
    assert_eq!(specs.get(&store, Id(8)), Ok(None));
}

#[test]
fn unsent_start_is_retried() {
    let incarnation = Incarnation { started_ms: 5, id: "i-1".to_owned() };
    let group = Group { job: ID, occurrence: 0, step: 0 };
    let task = OrderTask { index: 0, run: 1, checkpoint: String::new(), stop: false };
    let need = Resources { millicores: 1, mebibytes: 1, accelerators: 1 };
    let mut order = Order {
        epoch: Epoch(1),
        incarnation: incarnation.clone(),
        session: 1,
        need,
        tasks: vec![task],
    };
    let row = |order: &Order, version| Row {
        table: Table::Orders,
        key: record::order_key("vm-1", group),
        version: Version(version),
        value: Some(record::encode(order)),
    };
    let now = Time::from_secs(10);
    let mut reconciler = Reconciler::new("vm-1", None, Time(0), Duration::ZERO);
    reconciler.begin_session(1);
    reconciler.reset_orders(&Snapshot::default());
    let capacity = Resources { millicores: 9, mebibytes: 9, accelerators: 9 };
    reconciler.heartbeat(
        now,
        Heartbeat {
            incarnation,
            sequence: 1,
            clock_ms: 0,
            draining: false,
            service: "studio".to_owned(),
            labels: Vec::new(),
            capacity,
            remaining_ms: 0,
            cold_ms: 0,
        },
    );
    reconciler.report_stored(now, Duration::from_secs(5), Listed::default());
    reconciler.apply_listing(now, now, &Listing { started_ms: 5, ..Listing::default() });
    reconciler.apply_orders(&[row(&order, 1)]);
    assert!(matches!(reconciler.next_call(now), Some(Action::Start { .. })));
    reconciler.start_answered(now, group.task(0), 1, StartAnswer::NotSent);
    assert_eq!(reconciler.next_call(now), None, "the start is repeated only after a pause");
    let later = now + Duration::from_millis(300);
    assert!(matches!(reconciler.next_call(later), Some(Action::Start { .. })));
    reconciler.start_answered(later, group.task(0), 1, StartAnswer::NotSent);
    // The start was never sent, so the run ends without an answer from the worker.
    order.tasks[0].stop = true;
    reconciler.apply_orders(&[row(&order, 2)]);
    assert_eq!(reconciler.next_call(later + Duration::from_secs(1)), None);
    assert!(!reconciler.is_busy());
    assert_eq!(reconciler.report(later).ends.len(), 1);
}

#[test]
fn full_order_is_small() {
    // A planner that takes over reads all orders, in pages of up to 500 rows. The narrowest link
    // carries 1.25 MB/s, so a page must be well under 0.5 MB.
    let task = |index| OrderTask { index, run: 9, checkpoint: "0".repeat(16), stop: false };
    let incarnation = Incarnation { started_ms: u64::MAX, id: "i-0123456789".to_owned() };
    let need = Resources { millicores: 32_000, mebibytes: 131_072, accelerators: 8 };
    let tasks = (0..8).map(task).collect();
    let order = Order { epoch: Epoch(9), incarnation, session: u64::MAX, need, tasks };
    let bytes = record::encode(&order).len();
    assert!(bytes < 500, "{bytes} bytes for a worker full of tasks");
}
