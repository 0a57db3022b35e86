//! The rows of a round, with its changes on top.

use std::collections::{BTreeMap, BTreeSet};

use super::{Decision, Input, Plan, request_of};
use crate::cell::job::{Group, Id, Request};
use crate::cell::record::{self, Order, Progress};
use crate::cell::table::{Batch, Condition, Table, Write};
use crate::unit::Version;

/// Most entries of a batch, conditions included; the store takes 100.
pub const MAX_BATCH_ENTRIES: usize = 90;

/// Names the orders of an agent for a group.
pub type OrderKey = (String, Group);

/// The rows of a round, with its changes on top.
pub struct Draft<'a> {
    /// What the round started from.
    pub input: Input<'a>,
    /// All orders as they will be; an empty one is removed.
    pub orders: BTreeMap<OrderKey, Order>,
    progress: BTreeMap<Id, Progress>,
    changed_orders: BTreeSet<OrderKey>,
    changed_progress: BTreeSet<Id>,
    /// Jobs whose progress is removed.
    pub removed_progress: Vec<Id>,
    /// The round's result so far, apart from orders and progress.
    pub plan: Plan,
}

impl<'a> Draft<'a> {
    /// Creates a draft without changes.
    pub fn new(input: Input<'a>) -> Self {
        let orders = input.orders.iter().filter_map(|(key, _, order)| {
            let (agent, group) = record::parse_order_key(key)?;
            Some(((agent.to_owned(), group), order.clone()))
        });
        Self {
            input,
            orders: orders.collect(),
            progress: BTreeMap::new(),
            changed_orders: BTreeSet::new(),
            changed_progress: BTreeSet::new(),
            removed_progress: Vec::new(),
            plan: Plan::default(),
        }
    }

    /// Returns how many more entries the batch takes.
    pub fn entries_left(&self) -> usize {
        // The role row is a condition and a write.
        let used = self.changed_orders.len()
            + self.changed_progress.len()
            + self.removed_progress.len()
            + 2;
        MAX_BATCH_ENTRIES.saturating_sub(used)
    }

    /// Returns the progress of a job as it will be.
    pub fn progress(&mut self, id: Id, request: &Request) -> &Progress {
        self.load(id, request)
    }

    /// Returns the progress of a job to be changed.
    pub fn progress_mut(&mut self, id: Id, request: &Request) -> &mut Progress {
        self.changed_progress.insert(id);
        self.load(id, request)
    }

    /// Returns the orders of an agent for a group to be changed.
    pub fn order_mut(&mut self, key: &OrderKey) -> Option<&mut Order> {
        self.changed_orders.insert(key.clone());
        self.orders.get_mut(key)
    }

    /// Adds orders for a group that the agent has none for.
    pub fn add_order(&mut self, key: OrderKey, order: Order) {
        self.changed_orders.insert(key.clone());
        self.orders.insert(key, order);
    }

    /// Returns which agents have orders for a group.
    pub fn order_keys_of(&self, group: Group) -> Vec<OrderKey> {
        let of_group =
            self.orders.iter().filter(|((_, own), order)| *own == group && !order.tasks.is_empty());
        of_group.map(|(key, _)| key.clone()).collect()
    }

    /// Turns the changes into a batch.
    pub fn finish(mut self) -> Plan {
        let mut write = |table, key: String, value| {
            self.plan.writes.push(Write { table, key, value });
        };
        for key in &self.changed_orders {
            let order = self.orders.get(key).filter(|order| !order.tasks.is_empty());
            write(Table::Orders, record::order_key(&key.0, key.1), order.map(record::encode));
        }
        for id in &self.changed_progress {
            let progress = self.progress.get(id).map(record::encode);
            write(Table::Jobs, record::progress_key(*id), progress);
        }
        for id in &self.removed_progress {
            write(Table::Jobs, record::progress_key(*id), None);
        }
        self.plan
    }

    /// Adds a batch of its own that writes one row, on condition of its version.
    pub fn add_row_update(
        &mut self,
        table: Table,
        key: String,
        version: Version,
        value: Option<Vec<u8>>,
    ) {
        let conditions = vec![Condition { table, key: key.clone(), version }];
        self.plan.row_updates.push(Batch { conditions, writes: vec![Write { table, key, value }] });
    }

    /// Adds a decision for the log.
    pub fn add_decision(&mut self, decision: Decision) {
        self.plan.decisions.push(decision);
    }

    /// Returns the ids of all accepted jobs that have not been forgotten.
    pub fn job_ids(&self) -> Vec<Id> {
        let keys = self.input.jobs.accepted.iter();
        let ids = keys.filter_map(|(key, _, _)| key.strip_prefix(record::JOB_PREFIX)?.parse().ok());
        ids.filter(|id| request_of(self.input.jobs, *id).is_some()).collect()
    }

    fn load(&mut self, id: Id, request: &Request) -> &mut Progress {
        let jobs = self.input.jobs;
        self.progress.entry(id).or_insert_with(|| {
            let known = jobs.progress.get(&record::progress_key(id));
            known.cloned().unwrap_or_else(|| Progress::new(request))
        })
    }
}
