//! What waits to be written into the log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::ring::Ring;
use super::{Effect, Error, Held};
use crate::config::{Change, Config, Item, Record};
use crate::intent::{self, Draft, Facts};
use crate::place::Outcome;
use crate::store::{self, Write};
use crate::unit::{Job, Operator, Plan, Time, Version};

/// Most rows of one write.
pub const BATCH_ROWS: u64 = 32;
/// Most ends of one record.
const BATCH_ENDS: usize = 256;
/// Most appends that wait.
const WAITING: usize = 1_024;
/// Name under which the system itself changes the configuration.
const SYSTEM: &str = "persimmon";

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
    pub facts: Facts,
}

#[derive(Debug)]
struct Waiting {
    append: Append,
    until: Time,
    /// It was sent, and no answer came.
    unsure: bool,
    /// It is part of the batch under way.
    sent: bool,
    error: Option<store::Error>,
}

#[derive(Debug, Default)]
pub struct Queue {
    appends: VecDeque<Waiting>,
    ends: BTreeMap<Job, Outcome>,
    batch: Vec<Record>,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.appends.is_empty() && self.ends.is_empty()
    }

    /// Returns whether there was room.
    pub fn push(&mut self, until: Time, append: Append) -> bool {
        if self.appends.len() >= WAITING {
            return false;
        }
        let waiting = Waiting { append, until, unsure: false, sent: false, error: None };
        self.appends.push_back(waiting);
        true
    }

    pub fn end(&mut self, job: Job, outcome: Outcome) {
        self.ends.insert(job, outcome);
    }

    /// Keeps why a call failed, for those who are told in the end.
    pub fn failed(&mut self, error: &store::Error) {
        for waiting in &mut self.appends {
            waiting.error = Some(error.clone());
        }
    }

    /// Takes in that the batch was sent and no answer came.
    pub fn sent_without_answer(&mut self) {
        for waiting in self.appends.iter_mut().filter(|waiting| waiting.sent) {
            waiting.unsure = true;
        }
    }

    /// Gives up what has waited for too long.
    pub fn expire(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.appends.retain(|waiting| {
            if now < waiting.until {
                return true;
            }
            let error = match &waiting.error {
                _ if waiting.unsure => Error::Undecided,
                Some(error) => Error::Away(error.clone()),
                None => Error::Busy,
            };
            effects.push(Effect::Told(waiting.append.ticket, Err(error)));
            false
        });
        effects
    }

    /// Makes the batch that follows the configuration held, and tells what needs no write.
    ///
    /// An append that fails only because of others of the same batch waits for the next.
    pub fn compose(&mut self, ring: Ring, held: Held<'_>, full: bool) -> (Vec<Write>, Vec<Effect>) {
        self.batch.clear();
        self.ends.retain(|job, _| held.config.jobs.contains_key(job));
        let mut effects = Vec::new();
        if self.is_empty() {
            return (Vec::new(), effects);
        }
        let mut after = held.config.clone();
        let mut touched = BTreeSet::new();
        for mut waiting in std::mem::take(&mut self.appends) {
            waiting.sent = false;
            if let Err(told) = check(&waiting.append, held, full) {
                effects.push(Effect::Told(waiting.append.ticket, told));
                continue;
            }
            if self.has_room() {
                waiting.sent = self.add(&mut after, &mut touched, &waiting.append, held);
            }
            self.appends.push_back(waiting);
        }
        if !full {
            self.batch.extend(self.ends_after(&after));
        }
        (self.batch.iter().map(|record| ring.write(record)).collect(), effects)
    }

    /// Adds an append to the batch, unless another one of the batch gets in its way.
    fn add(
        &mut self,
        after: &mut Config,
        touched: &mut BTreeSet<Item>,
        append: &Append,
        held: Held<'_>,
    ) -> bool {
        let Append { draft, operator, facts, .. } = append;
        let items: Vec<Item> = draft.changes.iter().map(Change::item).collect();
        if items.iter().any(|item| touched.contains(item)) {
            return false;
        }
        let Ok(record) = intent::confirm(after, facts, draft, held.records, operator) else {
            return false;
        };
        touched.extend(items);
        let _ = after.apply(&record);
        self.batch.push(record);
        true
    }

    /// Takes in that the batch was applied.
    pub fn applied(&mut self) -> Vec<Effect> {
        let batch = std::mem::take(&mut self.batch);
        let mut effects = vec![Effect::Accept(batch.clone()), Effect::Wrote];
        let version_of = |plan: Plan| {
            let record = batch.iter().find(|record| record.plan == plan);
            record.map_or(Version(0), |record| record.version)
        };
        self.appends.retain(|waiting| {
            if waiting.sent {
                let version = version_of(waiting.append.draft.plan);
                effects.push(Effect::Told(waiting.append.ticket, Ok(version)));
            }
            !waiting.sent
        });
        effects
    }

    fn has_room(&self) -> bool {
        u64::try_from(self.batch.len()).unwrap_or(u64::MAX) < BATCH_ROWS - 1
    }

    fn ends_after(&self, config: &Config) -> Option<Record> {
        let known = self.ends.iter().filter(|(job, _)| config.jobs.contains_key(job));
        let end = |(&job, &outcome)| Change::End { job, outcome };
        let changes: Vec<Change> = known.take(BATCH_ENDS).map(end).collect();
        if changes.is_empty() {
            return None;
        }
        let operator = Operator::try_from(SYSTEM).ok()?;
        Some(intent::record(config.version.next(), Plan(0), operator, changes))
    }
}

/// Returns what an append is told at once, if it needs no write.
fn check(append: &Append, held: Held<'_>, full: bool) -> Result<(), Result<Version, Error>> {
    let Append { draft, operator, facts, .. } = append;
    if let Some(version) = intent::confirmed(held.records, draft.plan) {
        return Err(Ok(version));
    }
    let record = intent::confirm(held.config, facts, draft, held.records, operator);
    match record {
        Ok(_) if full => Err(Err(Error::Full)),
        Ok(_) => Ok(()),
        Err(error) => Err(Err(error.into())),
    }
}
