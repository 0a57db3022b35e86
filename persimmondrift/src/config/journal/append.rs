//! What waits to be written into the log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::ring::Ring;
use super::{Effect, Error, LocalState};
use crate::config::{Change, Config, Item, Record};
use crate::intent::{self, Draft, ObservedState};
use crate::place::Outcome;
use crate::store::{self, Write};
use crate::unit::{Job, Operator, Plan, Time, Version};

/// Most rows of one write.
pub const MAX_BATCH_ROWS: u64 = 32;
/// Most ends of one record.
const MAX_BATCH_ENDS: usize = 256;
/// Most appends that wait.
const MAX_PENDING_APPENDS: usize = 1_024;
/// Name under which the system itself changes the configuration.
const SYSTEM_OPERATOR: &str = "persimmon";

/// Names an append at its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A plan that was confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// Its name at this process.
    pub ticket: Ticket,
    /// The plan.
    pub draft: Draft,
    /// Who confirmed it.
    pub operator: Operator,
    /// What the process knows of the system.
    pub observed: ObservedState,
}

#[derive(Debug)]
struct PendingAppend {
    append: Append,
    deadline: Time,
    /// It was sent, and no answer came.
    unanswered: bool,
    /// It is part of the batch under way.
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

    /// Returns whether there was room.
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

    /// Keeps why a call failed, for those who are told in the end.
    pub fn record_failure(&mut self, error: &store::Error) {
        for pending in &mut self.appends {
            pending.error = Some(error.clone());
        }
    }

    /// Takes in that the batch was sent and no answer came.
    pub fn batch_unanswered(&mut self) {
        for pending in self.appends.iter_mut().filter(|pending| pending.in_batch) {
            pending.unanswered = true;
        }
    }

    /// Gives up what has waited for too long.
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

    /// Makes the batch that follows the configuration held, and tells what needs no write.
    ///
    /// An append that fails only because of others of the same batch waits for the next.
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

    /// Adds an append to the batch, unless another one of the batch gets in its way.
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

    /// Takes in that the batch was applied.
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

/// Returns what an append is told at once, if it needs no write.
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
