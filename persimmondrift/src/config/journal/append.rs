//! The queue of confirmed plans and job outcomes that are to be written into the log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::ring::Ring;
use super::{Effect, Error, LocalState};
use crate::config::{Change, Config, Item, Record};
use crate::intent::{self, Draft, ObservedState};
use crate::place::Outcome;
use crate::store::{self, Write};
use crate::unit::{Job, Operator, Plan, Time, Version};

/// Maximum number of rows in one write.
pub const MAX_BATCH_ROWS: u64 = 32;
/// Maximum number of job outcomes in one record.
const MAX_BATCH_ENDS: usize = 256;
/// Maximum number of pending appends. Further ones are refused.
const MAX_PENDING_APPENDS: usize = 1_024;
/// Operator name in records that the system itself writes.
const SYSTEM_OPERATOR: &str = "persimmon";

/// Identifies an append within its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A confirmed plan that is to be appended to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// Id under which the result is reported; assigned by the thread that owns the journal.
    pub ticket: Ticket,
    /// Plan to append.
    pub draft: Draft,
    /// Operator who confirmed the plan.
    pub operator: Operator,
    /// Workers and nodes as the entry saw them when the plan was confirmed.
    pub observed: ObservedState,
}

#[derive(Debug)]
struct PendingAppend {
    append: Append,
    deadline: Time,
    /// A write with this append got no answer and may have taken effect.
    unanswered: bool,
    /// The append is part of the last batch built.
    in_batch: bool,
    error: Option<store::Error>,
}

#[derive(Debug, Default)]
pub struct Queue {
    appends: VecDeque<PendingAppend>,
    job_ends: BTreeMap<Job, Outcome>,
    batch: Vec<Record>,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.appends.is_empty() && self.job_ends.is_empty()
    }

    /// Adds an append unless the queue is full. Returns whether it was added.
    pub fn push(&mut self, deadline: Time, append: Append) -> bool {
        if self.appends.len() >= MAX_PENDING_APPENDS {
            return false;
        }
        let pending =
            PendingAppend { append, deadline, unanswered: false, in_batch: false, error: None };
        self.appends.push_back(pending);
        true
    }

    pub fn add_job_end(&mut self, job: Job, outcome: Outcome) {
        self.job_ends.insert(job, outcome);
    }

    /// Stores the error of a failed call. Pending appends report it if they expire.
    pub fn record_failure(&mut self, error: &store::Error) {
        for pending in &mut self.appends {
            pending.error = Some(error.clone());
        }
    }

    /// Marks the appends of the batch, whose write may have taken effect.
    pub fn batch_unanswered(&mut self) {
        for pending in self.appends.iter_mut().filter(|pending| pending.in_batch) {
            pending.unanswered = true;
        }
    }

    /// Fails the appends whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.appends.retain(|pending| {
            if now < pending.deadline {
                return true;
            }
            let error = match &pending.error {
                _ if pending.unanswered => Error::Undecided,
                Some(error) => Error::Unavailable(error.clone()),
                None => Error::Busy,
            };
            effects.push(Effect::AppendResult(pending.append.ticket, Err(error)));
            false
        });
        effects
    }

    /// Builds the batch of records that follow the local configuration, and reports the appends
    /// that need no write: invalid ones and plans that are in the log already. If the ring is
    /// `full`, nothing is written.
    ///
    /// An append that fails only because of others in the batch is left for the next one.
    pub fn build_batch(
        &mut self,
        ring: Ring,
        local: LocalState<'_>,
        full: bool,
    ) -> (Vec<Write>, Vec<Effect>) {
        self.batch.clear();
        self.job_ends.retain(|job, _| local.config.jobs.contains_key(job));
        let mut effects = Vec::new();
        if self.is_empty() {
            return (Vec::new(), effects);
        }
        let mut after = local.config.clone();
        let mut touched_items = BTreeSet::new();
        for mut pending in std::mem::take(&mut self.appends) {
            pending.in_batch = false;
            if let Err(result) = check(&pending.append, local, full) {
                effects.push(Effect::AppendResult(pending.append.ticket, result));
                continue;
            }
            if self.batch_has_room() {
                pending.in_batch =
                    self.add_to_batch(&mut after, &mut touched_items, &pending.append, local);
            }
            self.appends.push_back(pending);
        }
        if !full {
            self.batch.extend(self.job_ends_record(&after));
        }
        (self.batch.iter().map(|record| ring.write(record)).collect(), effects)
    }

    /// Adds an append to the batch. Returns `false` if it conflicts with another one there.
    fn add_to_batch(
        &mut self,
        after: &mut Config,
        touched_items: &mut BTreeSet<Item>,
        append: &Append,
        local: LocalState<'_>,
    ) -> bool {
        let Append { draft, operator, observed, .. } = append;
        let items: Vec<Item> = draft.changes.iter().map(Change::item).collect();
        if items.iter().any(|item| touched_items.contains(item)) {
            return false;
        }
        let Ok(record) = intent::confirm(after, observed, draft, local.records, operator) else {
            return false;
        };
        touched_items.extend(items);
        let _ = after.apply(&record);
        self.batch.push(record);
        true
    }

    /// Removes the appends of the batch that was written and reports their versions.
    pub fn batch_applied(&mut self) -> Vec<Effect> {
        let batch = std::mem::take(&mut self.batch);
        let mut effects = vec![Effect::Accept(batch.clone()), Effect::NotifyEntries];
        let version_of = |plan: Plan| {
            let record = batch.iter().find(|record| record.plan == plan);
            record.map_or(Version(0), |record| record.version)
        };
        self.appends.retain(|pending| {
            if pending.in_batch {
                let version = version_of(pending.append.draft.plan);
                effects.push(Effect::AppendResult(pending.append.ticket, Ok(version)));
            }
            !pending.in_batch
        });
        effects
    }

    fn batch_has_room(&self) -> bool {
        u64::try_from(self.batch.len()).unwrap_or(u64::MAX) < MAX_BATCH_ROWS - 1
    }

    fn job_ends_record(&self, config: &Config) -> Option<Record> {
        let known = self.job_ends.iter().filter(|(job, _)| config.jobs.contains_key(job));
        let end = |(&job, &outcome)| Change::End { job, outcome };
        let changes: Vec<Change> = known.take(MAX_BATCH_ENDS).map(end).collect();
        if changes.is_empty() {
            return None;
        }
        let operator = Operator::try_from(SYSTEM_OPERATOR).ok()?;
        Some(intent::new_record(config.version.next(), Plan(0), operator, changes))
    }
}

/// Returns the result of an append as an error if it needs no write.
fn check(append: &Append, local: LocalState<'_>, full: bool) -> Result<(), Result<Version, Error>> {
    let Append { draft, operator, observed, .. } = append;
    if let Some(version) = intent::confirmed_version(local.records, draft.plan) {
        return Err(Ok(version));
    }
    let record = intent::confirm(local.config, observed, draft, local.records, operator);
    match record {
        Ok(_) if full => Err(Err(Error::Full)),
        Ok(_) => Ok(()),
        Err(error) => Err(Err(error.into())),
    }
}
