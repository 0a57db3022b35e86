//! An agent's reports: what is written, and what the store's answer means for the agent.
//!
//! A report is on condition that the row is as the agent left it. When it is not, the planner has
//! ended the agent's session in the meantime: what was ordered before is over, and a new session
//! begins with the next report.

use super::record::{self, Worker};
use super::table::{Batch, Condition, Outcome, Table, Write};
use crate::unit::Version;

/// What an answer of the store means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ack {
    /// The report is stored; the grant counts at once.
    Granted,
    /// The report is stored; the grant counts once the orders were read again.
    RereadOrders,
    /// The planner has ended the session; the report has to be sent again in a new one.
    SessionEnded,
    /// An earlier report was stored after all; the report has to be sent again.
    Resend,
}

/// Writes the reports of one process.
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
    /// Creates a reporter of a process that found its agent's report at a version. A session that
    /// was not ended goes on.
    #[must_use]
    pub fn new(agent: &str, boot: u64, version: Version, last: Option<&Worker>) -> Self {
        let open = last.filter(|last| !last.revoked);
        let session = open.map_or(boot, |last| last.session);
        Self { agent: agent.to_owned(), boot, sequence: 0, version, session, must_reread: false }
    }

    /// Returns the session that orders have to be for.
    #[must_use]
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Returns the batch that stores a report.
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

    /// Takes in the store's answer. `next_session` names the session that begins if this one was
    /// ended.
    pub fn handle_outcome(&mut self, outcome: &Outcome, next_session: u64) -> Ack {
        match outcome {
            Outcome::Applied(version) => {
                self.version = *version;
                if self.must_reread { Ack::RereadOrders } else { Ack::Granted }
            }
            Outcome::Refused(rows) => {
                let row = rows.iter().find(|row| row.key == self.agent);
                let found: Option<Worker> =
                    row.and_then(|row| record::decode(row.value.as_deref()?));
                self.version = found.as_ref().and(row).map_or(Version(0), |row| row.version);
                if found.is_some_and(|found| found.boot == self.boot && !found.revoked) {
                    return Ack::Resend;
                }
                self.must_reread = true;
                self.session = next_session;
                Ack::SessionEnded
            }
        }
    }

    /// Takes note that the orders were read again.
    pub fn orders_reread(&mut self) {
        self.must_reread = false;
    }

    /// Returns the version of the row.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }
}
