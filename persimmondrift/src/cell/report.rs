//! The reports of an agent: builds the batch that stores a report, and interprets the outcome.
//!
//! A report is a compare-and-set on the agent's row: it is stored only if the row is unchanged
//! since the agent's last report. Otherwise an earlier report was stored although its answer was
//! lost, of this process or of a former one, or the planner has revoked the agent's session: then all
//! earlier orders are over, and the next report opens a new session.

use super::record::{self, Order, Worker};
use super::table::{Batch, Condition, Outcome, Snapshot, Table, Write};
use crate::unit::Version;
use crate::warn;

/// What the outcome of a commit means for the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ack {
    /// The report is stored, and the grant that comes with it is valid at once.
    Granted,
    /// The report is stored, but its grant is valid only after the orders have been read again.
    RereadOrders,
    /// The session was revoked; the report has to be sent again in the new session.
    SessionEnded,
    /// An earlier report of this process was stored although its answer was lost; the report has to
    /// be sent again.
    Resend,
    /// A report of a former process was stored after this process read the row. The state has to be
    /// recovered from it anew.
    FormerReport,
}

/// Returns what is known of an agent's report that cannot be read: the newest of its orders tells the
/// session and the incarnation that the runs of its worker belong to.
#[must_use]
pub fn restore(orders: &Snapshot) -> Option<Worker> {
    let orders = orders.rows.iter().filter_map(|row| {
        let order: Order = record::decode(row.value.as_deref()?)?;
        Some((row.version, order))
    });
    let (_, Order { incarnation, session, .. }) = orders.max_by_key(|(version, _)| *version)?;
    Some(Worker { incarnation, session, ..Worker::default() })
}

/// Builds the reports of one agent process, and tracks the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reporter {
    agent: String,
    boot: u64,
    sequence: u64,
    version: Version,
    session: u64,
    must_reread: bool,
}

impl Reporter {
    /// Creates the reporter of a new process. `last` is the agent's stored report at `version`; its
    /// session continues unless it was revoked, and otherwise the process opens a new one.
    #[must_use]
    pub fn new(agent: &str, boot: u64, version: Version, last: Option<&Worker>) -> Self {
        let open = last.filter(|last| !last.revoked);
        let session = open.map_or(boot, |last| last.session);
        Self { agent: agent.to_owned(), boot, sequence: 0, version, session, must_reread: false }
    }

    /// Returns the current session; orders of any other session are invalid.
    #[must_use]
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Returns the batch that stores a report, stamped with the process, sequence number and
    /// session.
    pub fn batch(&mut self, report: Worker) -> Batch {
        self.sequence += 1;
        let (boot, session, sequence) = (self.boot, self.session, self.sequence);
        let report = Worker { boot, sequence, session, ..report };
        let (table, key) = (Table::Workers, self.agent.clone());
        let value = Some(record::encode(&report));
        Batch {
            conditions: vec![Condition { table, key: key.clone(), version: self.version }],
            writes: vec![Write { table, key, value }],
        }
    }

    /// Interprets the outcome of a batch. `next_session` becomes the session if the current one was
    /// revoked.
    pub fn handle_outcome(&mut self, outcome: &Outcome, next_session: u64) -> Ack {
        match outcome {
            Outcome::Applied(version) => {
                self.version = *version;
                if self.must_reread { Ack::RereadOrders } else { Ack::Granted }
            }
            Outcome::Refused(rows) => {
                let row = rows.iter().find(|row| row.key == self.agent && row.value.is_some());
                let found: Option<Worker> =
                    row.and_then(|row| record::decode(row.value.as_deref()?));
                self.version = row.map_or(Version(0), |row| row.version);
                // A row that cannot be read was not written by a planner, so nothing was revoked.
                let is_unreadable = row.is_some() && found.is_none();
                if is_unreadable {
                    warn!(RowRefused, "key={} version={} malformed", self.agent, self.version);
                    return Ack::Resend;
                }
                if let Some(found) = found.filter(|found| !found.revoked) {
                    let is_own = found.boot == self.boot;
                    return if is_own { Ack::Resend } else { Ack::FormerReport };
                }
                self.must_reread = true;
                self.session = next_session;
                Ack::SessionEnded
            }
        }
    }

    /// Records that the orders have been read again since the session began.
    pub fn orders_reread(&mut self) {
        self.must_reread = false;
    }

    /// Returns the version of the agent's row as last known.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }
}
