//! Rows of ids that were cancelled before a job arrived.

use std::time::Duration;

use persimmondrift::cell::access::Queue;
use persimmondrift::cell::job::Id;
use persimmondrift::cell::record::{self, Job};
use persimmondrift::cell::table::{Table, Write};
use standin::cell::Cell;

const BARRED: Id = Id(7);
/// How long the rows of an ended job are kept.
const RETENTION: Duration = Duration::from_mins(2);
/// Time after the retention within which they are removed.
const REMOVAL_BOUND: Duration = Duration::from_secs(1);

/// Guards against rows of cancelled ids without a job, which stayed in the store and in the memory of all
/// entries for ever.
#[test]
fn barred_id_expires() {
    let mut cell = Cell::new(1);
    cell.run(Duration::from_secs(2));
    let barred = Job {
        queue: Queue::default(),
        workspace: None,
        accepted_ms: 0,
        accepted_at: None,
        cancelled: true,
        request: None,
    };
    let key = record::job_key(BARRED);
    let value = Some(record::encode(&barred));
    cell.rows.write(Write { table: Table::Jobs, key: key.clone(), value });
    let begin = cell.now;
    let is_removed = |cell: &Cell| cell.rows.get(Table::Jobs, &key).is_none();
    assert!(cell.run_until(RETENTION * 2, is_removed), "never removed");
    let kept = cell.now.since(begin);
    assert!((RETENTION..=RETENTION + REMOVAL_BOUND).contains(&kept), "{kept:?}");
}
