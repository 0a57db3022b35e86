//! An agent's reports: what is written, and what the store's answer means for the agent.
//!
//! A report is on condition that the row is as the agent left it. When it is not, the planner has
//! given the agent up in the meantime; then orders have to be read again before the next grant
//! counts, since they may have gone to others.

use super::record::{self, Worker};
use super::table::{Batch, Condition, Outcome, Table, Write};
use crate::unit::Version;

/// What an answer of the store means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The report is stored; the grant counts at once.
    Granted,
    /// The report is stored; the grant counts once the orders were read again.
    Reread,
    /// The planner had given the agent up; the report has to be sent again.
    GivenUp,
    /// An earlier report was stored after all; the report has to be sent again.
    Again,
}

/// Writes the reports of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reporter {
    agent: String,
    boot: u64,
    sequence: u64,
    version: Version,
    reread: bool,
}

impl Reporter {
    /// Creates a reporter of a process that found its agent's report at a version.
    #[must_use]
    pub fn new(agent: &str, boot: u64, version: Version) -> Self {
        Self { agent: agent.to_owned(), boot, sequence: 0, version, reread: false }
    }

    /// Returns the batch that stores a report.
    pub fn batch(&mut self, report: Worker) -> Batch {
        self.sequence += 1;
        let report = Worker { boot: self.boot, sequence: self.sequence, ..report };
        let (table, key) = (Table::Workers, self.agent.clone());
        let value = Some(record::encode(&report));
        Batch {
            conditions: vec![Condition { table, key: key.clone(), version: self.version }],
            writes: vec![Write { table, key, value }],
        }
    }

    /// Takes in the store's answer.
    pub fn answered(&mut self, outcome: &Outcome) -> Answer {
        match outcome {
            Outcome::Applied(version) => {
                self.version = *version;
                if self.reread { Answer::Reread } else { Answer::Granted }
            }
            Outcome::Refused(rows) => {
                let row = rows.iter().find(|row| row.key == self.agent);
                let found: Option<Worker> =
                    row.and_then(|row| record::decode(row.value.as_deref()?));
                self.version = found.as_ref().and(row).map_or(Version(0), |row| row.version);
                if found.is_some_and(|found| found.boot == self.boot && !found.revoked) {
                    return Answer::Again;
                }
                self.reread = true;
                Answer::GivenUp
            }
        }
    }

    /// Takes note that the orders were read again.
    pub fn reread(&mut self) {
        self.reread = false;
    }

    /// Returns the version of the row.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }
}
