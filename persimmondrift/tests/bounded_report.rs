//! An agent's report fits in a row of the store: ends that do not fit come later.

use std::collections::BTreeMap;

use persimmondrift::cell::duty::{Action, Heartbeat, Listing, Reconciler, StartAnswer};
use persimmondrift::cell::job::{Group, Id, Resources};
use persimmondrift::cell::record::{self, End, Ending, Incarnation, Order, OrderTask, Worker};
use persimmondrift::cell::report::{Ack, Reporter};
use persimmondrift::cell::table::{Row, Snapshot, Table, Write};
use persimmondrift::unit::{Epoch, Time, Version};
use standin::cell::{MAX_LEASE, Rows, check_limits};

const BEGIN: Time = Time(100_000_000);
const GROUP: Group = Group { job: Id(u64::MAX), occurrence: 0, step: 0 };
const CAPACITY: Resources = Resources { millicores: 32_000, mebibytes: 131_072, accelerators: 8 };

/// An agent with the rows that it and the planner write.
struct Stage {
    rows: Rows,
    agent: Reconciler,
    reporter: Reporter,
    worker: Incarnation,
    order: Order,
    /// Ends that the worker has not discarded, by number.
    finished: BTreeMap<u64, End>,
    /// Ends that the planner has taken in, by task index.
    processed: BTreeMap<u16, End>,
}

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation { started_ms, id: format!("w-{started_ms}") }
}

fn ending(index: u16) -> Ending {
    [Ending::Done, Ending::Failed, Ending::Stopped][usize::from(index) % 3]
}

/// Returns the end of a task, whose checkpoint has `bytes` bytes.
fn end(index: u16, bytes: usize) -> End {
    let checkpoint = format!("{index:0>bytes$}");
    End { task: GROUP.task(index), run: 1, ending: ending(index), checkpoint }
}

impl Stage {
    /// Creates an agent that was ordered to run `tasks` tasks and has started them.
    fn new(tasks: u16) -> Self {
        let task = |index| OrderTask { index, run: 1, checkpoint: String::new(), stop: false };
        let order = Order {
            epoch: Epoch(1),
            incarnation: incarnation(1),
            session: 7,
            need: Resources::default(),
            tasks: (0..tasks).map(task).collect(),
        };
        let mut stage = Self {
            rows: Rows::default(),
            agent: Reconciler::new("vm", None, BEGIN, MAX_LEASE),
            reporter: Reporter::new("vm", 7, Version(0), None),
            worker: incarnation(1),
            order,
            finished: BTreeMap::new(),
            processed: BTreeMap::new(),
        };
        stage.agent.begin_session(7);
        stage.agent.reset_orders(&Snapshot::default());
        stage.beat();
        stage.report();
        stage.list();
        stage.write_order();
        while let Some(action) = stage.agent.next_call(BEGIN) {
            let Action::Start { task, run, .. } = action else {
                panic!("{action:?}");
            };
            stage.agent.start_answered(BEGIN, task, run, StartAnswer::Started);
        }
        stage
    }

    fn beat(&mut self) {
        self.agent.heartbeat(
            BEGIN,
            Heartbeat {
                incarnation: self.worker.clone(),
                sequence: 1,
                clock_ms: 1_000,
                draining: false,
                service: "studio".to_owned(),
                labels: vec!["a".to_owned(), "r1".to_owned()],
                capacity: CAPACITY,
                remaining_ms: 0,
                cold_ms: 0,
            },
        );
    }

    /// Ends runs at the worker.
    fn finish(&mut self, ends: impl IntoIterator<Item = End>) {
        for end in ends {
            let number = self.finished.last_key_value().map_or(0, |(number, _)| *number);
            self.finished.insert(number + 1, end);
        }
        self.list();
    }

    /// Polls the worker, which discards the ends that are acknowledged. Each must be in the stored
    /// report, or the planner has taken it in.
    fn list(&mut self) {
        let acknowledged = self.agent.ack_cursor(BEGIN);
        let stored = self.stored();
        for (_, end) in self.finished.extract_if(..=acknowledged, |_, _| true) {
            let known = stored.ends.contains(&end) || self.processed.contains_key(&end.task.index);
            assert!(known, "{} was acknowledged and is in no stored report", end.task);
        }
        let finished = self
            .finished
            .iter()
            .map(|(number, end)| (*number, end.task, end.run, end.ending, end.checkpoint.clone()));
        let listing = Listing {
            started_ms: self.worker.started_ms,
            clock_ms: 1_000,
            running: Vec::new(),
            finished: finished.take(500).collect(),
        };
        self.agent.apply_listing(BEGIN, BEGIN, &listing);
    }

    /// Stores a report, unless the store's limits forbid it.
    fn report(&mut self) {
        let listed = self.agent.listed();
        let batch = self.reporter.batch(self.agent.report(BEGIN));
        assert_eq!(check_limits(&batch), Ok(()));
        let outcome = self.rows.commit(&batch);
        assert_eq!(self.reporter.handle_outcome(&outcome, 8), Ack::Granted);
        self.agent.report_stored(BEGIN, MAX_LEASE, listed);
    }

    fn stored(&self) -> Worker {
        let row = self.rows.get(Table::Workers, "vm").expect("a report");
        record::decode(&row.value.expect("a value")).expect("a report")
    }

    /// Takes in the reported ends, as the planner does: they are no longer ordered.
    fn plan(&mut self) {
        let stored = self.stored();
        let of_order = stored.incarnation == self.order.incarnation;
        assert!(of_order || self.left() == stored.ends.len(), "the planner writes off ends");
        for end in stored.ends {
            self.order.tasks.retain(|task| task.index != end.task.index);
            self.processed.entry(end.task.index).or_insert(end);
        }
        self.write_order();
    }

    /// Returns the number of runs that the planner holds for unfinished.
    fn left(&self) -> usize {
        self.order.tasks.len()
    }

    fn write_order(&mut self) {
        let (table, key) = (Table::Orders, record::order_key("vm", GROUP));
        let value = (!self.order.tasks.is_empty()).then(|| record::encode(&self.order));
        self.rows.write(Write { table, key, value });
        let row: Vec<Row> = self.rows.range(Table::Orders, "", "z").collect();
        self.agent.apply_orders(&row);
    }

    /// Replaces the agent's process.
    fn restart_agent(&mut self, boot: u64) {
        let row = self.rows.get(Table::Workers, "vm").expect("a report");
        let last = self.stored();
        self.reporter = Reporter::new("vm", boot, row.version, Some(&last));
        self.agent = Reconciler::new("vm", Some(&last), BEGIN, MAX_LEASE);
        self.agent.begin_session(self.reporter.session());
        self.agent.reset_orders(&self.rows.snapshot(Table::Orders));
        self.beat();
    }

    /// Reports, plans and polls until the planner has taken in all ends.
    fn drain(&mut self, mut each_round: impl FnMut(&mut Self)) {
        for _ in 0..100 {
            self.report();
            each_round(self);
            self.list();
            self.plan();
            if self.left() == 0 {
                return;
            }
        }
        panic!("{} ends have not come", self.left());
    }
}

/// Guards against an agent that repeats a report that the store rejects for its size.
#[test]
fn many_ends_come_in_parts() {
    let mut stage = Stage::new(600);
    stage.finish((0..600).map(|index| end(index, 300)));
    // No planner takes them in at first.
    for _ in 0..3 {
        stage.report();
        stage.list();
    }
    stage.drain(|_| ());
    let expected: BTreeMap<u16, End> = (0..600).map(|index| (index, end(index, 300))).collect();
    assert_eq!(stage.processed, expected);
}

/// Guards against an end that the worker may discard before it is in a stored report.
#[test]
fn held_ends_survive_agent_restarts() {
    let mut stage = Stage::new(600);
    stage.finish((0..400).map(|index| end(index, 300)));
    let mut boot = 10;
    stage.drain(|stage| {
        stage.list();
        boot += 1;
        stage.restart_agent(boot);
        let next = u16::try_from(boot - 11).expect("few rounds") * 100 + 400;
        stage.finish((next..(next + 100).min(600)).map(|index| end(index, 300)));
    });
    let expected: BTreeMap<u16, End> = (0..600).map(|index| (index, end(index, 300))).collect();
    assert_eq!(stage.processed, expected);
}

/// Guards against held ends that the planner writes off since the worker has a new incarnation.
#[test]
fn held_ends_survive_new_incarnation() {
    let mut stage = Stage::new(400);
    stage.finish((0..400).map(|index| end(index, 300)));
    stage.report();
    stage.worker = incarnation(2);
    stage.finished.clear();
    stage.beat();
    stage.drain(|_| ());
    let expected: BTreeMap<u16, End> = (0..400).map(|index| (index, end(index, 300))).collect();
    assert_eq!(stage.processed, expected);
    stage.report();
    assert_eq!(stage.stored().incarnation, incarnation(2));
}

#[test]
fn long_checkpoints_fit() {
    let mut stage = Stage::new(60);
    let running = (0..50).map(|index| (GROUP.task(index), 1, "c".repeat(4_000), 10));
    let finished = vec![(1, GROUP.task(59), 1, Ending::Failed, "c".repeat(70_000))];
    let listing = Listing { started_ms: 1, clock_ms: 1_000, running: running.collect(), finished };
    stage.agent.apply_listing(BEGIN, BEGIN, &listing);
    stage.report();
    let stored = stage.stored();
    assert!(stored.running.len() >= 50, "{} runs", stored.running.len());
    assert_eq!(stored.ends.len(), 1, "the end comes without a checkpoint that no row takes");
    assert_eq!(stage.agent.listed().number, 1);
}

#[test]
fn many_runs_fit() {
    let mut stage = Stage::new(1_200);
    let all = (0..1_200).map(|index| (GROUP.task(index), 1, "c".repeat(100), 10));
    let listing =
        Listing { started_ms: 1, clock_ms: 1_000, running: all.collect(), finished: Vec::new() };
    stage.agent.apply_listing(BEGIN, BEGIN, &listing);
    stage.report();
}

/// Guards against an end with a checkpoint that an earlier version accepted, which exceeds the ends of
/// a report by itself and is held back with all later ones for ever.
#[test]
fn long_checkpoint_of_earlier_version_comes() {
    let mut stage = Stage::new(3);
    let row = stage.rows.get(Table::Workers, "vm").expect("a report");
    let last = Worker { ends: vec![end(0, 40_000)], ..stage.stored() };
    stage.reporter = Reporter::new("vm", 9, row.version, Some(&last));
    stage.agent = Reconciler::new("vm", Some(&last), BEGIN, MAX_LEASE);
    stage.agent.begin_session(stage.reporter.session());
    stage.agent.reset_orders(&stage.rows.snapshot(Table::Orders));
    stage.beat();
    stage.finish([end(1, 10), end(2, 10)]);
    stage.drain(|_| ());
}
