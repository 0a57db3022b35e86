//! Rows that another writer has put into the system's tables: such a row costs what it is about, and
//! nothing else.

use std::time::Duration;

use persimmondrift::cell::duty::{Listed, Listing, Reconciler};
use persimmondrift::cell::job::{Group, Id, Request, Resources, Schedule, Step};
use persimmondrift::cell::planner::Decision;
use persimmondrift::cell::record::{
    self, Incarnation, Job, Order, OrderTask, Progress, ROLE_KEY, Role, State, Worker,
};
use persimmondrift::cell::table::{Row, Snapshot, Table, Write};
use persimmondrift::unit::{Epoch, Fence, StoreTime, Time, Version};
use standin::cell::{self, Cell};

const WORKERS: usize = 3;
/// A value that no record decodes from.
const UNREADABLE: &[u8] = &[0xff; 12];
const WORK: Duration = Duration::from_secs(2);

fn request(width: u16) -> Request {
    let need = Resources { millicores: 1_000, mebibytes: 1_024, accelerators: 1 };
    let step = Step { width, need, estimate_ms: 2_000, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

/// Returns a job as an entry accepts it.
fn job(request: Request) -> Job {
    Job {
        queue: cell::queue("normal", 1),
        workspace: None,
        accepted_ms: 100_000,
        accepted_at: None,
        cancelled: false,
        request: Some(request),
    }
}

fn put(cell: &mut Cell, table: Table, key: &str, value: &[u8]) {
    cell.rows.write(Write { table, key: key.to_owned(), value: Some(value.to_vec()) });
}

fn read<T: persimmondrift::cell::codec::Record>(cell: &Cell, table: Table, key: &str) -> Option<T> {
    cell.rows.get(table, key).and_then(|row| record::decode(row.value.as_deref()?))
}

/// Creates a cell in which job 1 runs.
fn cell_with_job(width: u16, work: Duration) -> Cell {
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(2));
    submit(&mut cell, 1, width, work);
    cell.run(Duration::from_millis(500));
    cell
}

fn submit(cell: &mut Cell, id: u64, width: u16, work: Duration) {
    cell.submit(Id(id), "normal", "ana", request(width));
    cell.set_work_time(Id(id), work);
}

fn assert_completes(cell: &mut Cell, id: u64, within: Duration) {
    let done = |cell: &Cell| cell.state(Id(id)) == Some(State::Completed);
    assert!(cell.run_until(within, done), "job {id} is {:?}", cell.state(Id(id)));
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// Guards against entries of which none can take the role, since its row cannot be decoded.
#[test]
fn unreadable_role_is_taken_over() {
    let mut cell = cell_with_job(4, WORK);
    put(&mut cell, Table::Jobs, ROLE_KEY, UNREADABLE);
    assert_completes(&mut cell, 1, Duration::from_secs(6));
    let role: Option<Role> = read(&cell, Table::Jobs, ROLE_KEY);
    assert!(role.is_some_and(|role| role.epoch > Epoch(1)), "the epoch begins anew");
}

/// Guards against an epoch that none can follow.
#[test]
fn absurd_epoch_is_followed() {
    let mut cell = cell_with_job(4, WORK);
    let role = Role { holder: "other".to_owned(), epoch: Epoch(u64::MAX), tag: 1 };
    put(&mut cell, Table::Jobs, ROLE_KEY, &record::encode(&role));
    assert_completes(&mut cell, 1, Duration::from_secs(6));
}

/// Guards against tasks that are placed again while they run, and an agent that never reports again,
/// since the agent's report cannot be decoded.
#[test]
fn unreadable_report_is_replaced() {
    let mut cell = cell_with_job(24, Duration::from_secs(3));
    for vm in 0..WORKERS {
        put(&mut cell, Table::Workers, &format!("vm-{vm}"), UNREADABLE);
        cell.run(Duration::from_millis(150));
    }
    assert_completes(&mut cell, 1, Duration::from_secs(20));
    let reports: Vec<Option<Worker>> =
        (0..WORKERS).map(|vm| read(&cell, Table::Workers, &format!("vm-{vm}"))).collect();
    assert!(reports.iter().all(Option::is_some), "{reports:?}");
}

/// Guards against planners that end one after the other, since a job has more tasks than memory holds.
#[test]
fn job_beyond_limits_is_refused() {
    let mut cell = cell_with_job(4, WORK);
    let mut huge = request(u16::MAX);
    huge.schedule = Some(Schedule { first_ms: 0, every_ms: 0, times: u32::MAX });
    let mut cyclic = request(1);
    cyclic.steps[0].after = vec![0, u16::MAX];
    for (id, request) in [(8, huge), (9, cyclic)] {
        let row = record::encode(&job(request));
        put(&mut cell, Table::Jobs, &record::job_key(Id(id)), &row);
    }
    assert_completes(&mut cell, 1, Duration::from_secs(6));
    assert_eq!(cell.state(Id(8)), None);
    assert_eq!(cell.starts(Id(9)), 0);
}

/// Guards against a job that counts as completed although none of its tasks has run.
#[test]
fn progress_of_another_size_is_refused() {
    let mut cell = Cell::new(WORKERS);
    let short = Progress { state: State::Running, ..Progress::default() };
    put(&mut cell, Table::Jobs, &record::progress_key(Id(1)), &record::encode(&short));
    submit(&mut cell, 1, 4, WORK);
    cell.run(Duration::from_secs(1));
    assert_ne!(cell.state(Id(1)), Some(State::Completed));
    assert_completes(&mut cell, 1, Duration::from_secs(6));
    assert_eq!(cell.starts(Id(1)), 4);
}

/// Guards against an order under another spelling of its key, which a planner ends in each round and
/// never removes.
#[test]
fn other_spelling_of_order_key_is_ignored() {
    let mut cell = cell_with_job(4, WORK);
    let tasks = vec![OrderTask { index: 0, run: 9, checkpoint: String::new(), stop: false }];
    let order = Order {
        epoch: Epoch(1),
        incarnation: Incarnation { started_ms: 7, id: "w".to_owned() },
        session: 7,
        need: Resources::default(),
        tasks,
    };
    let group = Group { job: Id(1), occurrence: 0, step: 0 };
    let key = record::order_key("vm-0", group).replace(".0.0", ".00.+0");
    put(&mut cell, Table::Orders, &key, &record::encode(&order));
    assert_completes(&mut cell, 1, Duration::from_secs(6));
    cell.run(Duration::from_secs(1));
    let before = cell.decisions.len();
    cell.run(Duration::from_secs(1));
    assert_eq!(cell.decisions.len(), before, "the order is ended in each round");
}

/// Guards against tasks that are placed on a worker whose agent has an impossible address.
#[test]
fn report_with_odd_port_names_no_worker() {
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(2));
    let report: Worker = read(&cell, Table::Workers, "vm-0").expect("a report");
    submit(&mut cell, 1, 32, WORK);
    for peer in ["10.1.0.20:99999", "10.1.0.20:0", "10.1.0.20", "[[["] {
        let odd = Worker { peer: peer.to_owned(), ..report.clone() };
        put(&mut cell, Table::Workers, "vm-9", &record::encode(&odd));
        cell.run(Duration::from_millis(300));
    }
    assert_completes(&mut cell, 1, Duration::from_secs(8));
    let is_odd = |decision: &&Decision| matches!(decision, Decision::Placed { agent, .. } if agent == "vm-9");
    assert_eq!(cell.decisions.iter().find(is_odd), None);
}

/// Guards against tasks that start again after they were done, since an agent that starts beside a report
/// that it cannot read begins another session and acknowledges the ends of the last one.
#[test]
fn session_outlasts_an_unreadable_report() {
    let mut cell = cell_with_job(24, Duration::from_secs(2));
    for vm in 0..WORKERS {
        put(&mut cell, Table::Workers, &format!("vm-{vm}"), UNREADABLE);
        cell.restart_agent(vm);
    }
    assert_completes(&mut cell, 1, Duration::from_secs(10));
    assert_eq!(cell.starts(Id(1)), 24);
}

/// Guards against tasks that a new planner places again while they run, since it cannot read the order
/// that holds them.
#[test]
fn unreadable_order_is_restored() {
    let mut cell = cell_with_job(24, Duration::from_secs(3));
    let orders = cell.rows.snapshot(Table::Orders).rows;
    assert_eq!(orders.len(), WORKERS);
    for row in &orders {
        put(&mut cell, Table::Orders, &row.key, UNREADABLE);
    }
    cell.crash_planner();
    assert_completes(&mut cell, 1, Duration::from_secs(10));
    assert_eq!(cell.starts(Id(1)), 24);
    cell.run(Duration::from_secs(1));
    assert_eq!(cell.rows.snapshot(Table::Orders).rows, Vec::new());
}

/// Returns an agent whose worker has started and has answered a poll.
fn agent(clock_ms: u64) -> Reconciler {
    let now = Time::from_secs(10);
    let mut agent = Reconciler::new("vm-0", None, now, cell::MAX_LEASE);
    agent.begin_session(7);
    let listing = Listing { started_ms: 5, clock_ms, ..Listing::default() };
    for _ in 0..2 {
        agent.apply_listing(now, now, &listing);
    }
    agent
}

/// Guards against a fencing token that makes a worker refuse all calls from then on.
#[test]
fn absurd_epoch_of_order_is_no_token() {
    let mut agent = agent(1_000);
    let incarnation = Incarnation { started_ms: 5, id: String::new() };
    let order = Order {
        epoch: Epoch(u64::MAX),
        incarnation,
        session: 7,
        need: Resources::default(),
        tasks: Vec::new(),
    };
    let group = Group { job: Id(1), occurrence: 0, step: 0 };
    let key = record::order_key("vm-0", group);
    let version = Version(20);
    let row = Row { table: Table::Orders, key, version, value: Some(record::encode(&order)) };
    agent.reset_orders(&Snapshot { rows: vec![row], version, now: StoreTime(0) });
    assert!(agent.token() <= Fence(20), "{}", agent.token());
}

/// Guards against the overflow of a lease whose end no clock shows.
#[test]
fn lease_beyond_any_clock_is_bounded() {
    let mut agent = agent(u64::MAX);
    let now = Time::from_secs(10);
    agent.report_stored(now, Duration::from_secs(5), Listed::default());
    assert_eq!(agent.renew_lease(now), Some(u64::MAX));
}
