//! The working copy of a round: the rows that it started from, overlaid with its changes, which
//! become the batch that the planner writes.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Decision, Input, Plan, request_of};
use crate::cell::access::Queue;
use crate::cell::job::{Group, Id, Request, Step, Task};
use crate::cell::record::{self, Job, Order, OrderTask, Phase, Progress, Running};
use crate::cell::table::{Batch, Condition, MAX_BATCH_ENTRIES, Table, Write};
use crate::unit::Version;

/// Number of changed rows from which on a round leaves further work to the next one, so that it
/// does not act long on the rows that it started from. A group is never cut for it.
const MAX_ROUND_ROWS: usize = 4 * MAX_BATCH_ENTRIES;

/// The agent and the group that an order is for.
pub type OrderKey = (String, Group);

/// Adds an order for each row of one that cannot be read, with the runs of its group that no other order
/// holds: its agent may have them. Returns the keys. An order without runs is removed.
fn restore_orders(input: &Input<'_>, orders: &mut BTreeMap<OrderKey, Order>) -> Vec<OrderKey> {
    let mut restored = Vec::new();
    for (agent, group) in input.orders.unread().filter_map(record::parse_order_key) {
        let request = request_of(input.jobs, group.job).map(|(_, request)| request);
        let progress = input.jobs.progress.get(&record::progress_key(group.job));
        let tasks =
            request.zip(progress).map_or(&[][..], |(request, known)| known.group(request, group));
        let is_held = |index: u16, run: u32| {
            let mut others = orders.iter().filter(|((_, own), _)| *own == group);
            others.any(|(_, order)| order.tasks.iter().any(|it| it.index == index && it.run == run))
        };
        let is_elsewhere = |task: Task, run: u32| {
            input.workers.iter().any(|(other, _, worker)| {
                let reported = |it: &Running| it.task == task && it.run == run;
                other != agent && worker.running.iter().any(reported)
            })
        };
        let ordered = (0_u16..).zip(tasks).filter(|(index, task)| {
            task.phase == Phase::Ordered
                && !is_held(*index, task.run)
                && !is_elsewhere(group.task(*index), task.run)
        });
        let tasks = ordered.map(|(index, task)| OrderTask {
            index,
            run: task.run,
            checkpoint: task.checkpoint.clone(),
            stop: false,
        });
        let tasks: Vec<OrderTask> = tasks.collect();
        let worker = input.workers.get(agent);
        let step = request.and_then(|request| request.steps.get(usize::from(group.step)));
        let order = Order {
            epoch: input.epoch,
            incarnation: worker.map(|worker| worker.incarnation.clone()).unwrap_or_default(),
            session: worker.map_or(0, |worker| worker.session),
            need: step.map(Step::effective_need).unwrap_or_default(),
            tasks,
        };
        let key = (agent.to_owned(), group);
        orders.insert(key.clone(), order);
        restored.push(key);
    }
    restored
}

/// Returns the progress of a job that has none that can be read: that of a new job, and of the runs
/// that are ordered.
fn rebuild(id: Id, request: &Request, orders: &BTreeMap<OrderKey, Order>) -> Progress {
    let mut progress = Progress::new(request);
    for ((_, group), order) in orders.iter().filter(|((_, group), _)| group.job == id) {
        let tasks = progress.group_mut(request, *group);
        for own in &order.tasks {
            if let Some(task) = tasks.get_mut(usize::from(own.index)) {
                task.phase = Phase::Ordered;
                task.run = task.run.max(own.run);
                task.checkpoint.clone_from(&own.checkpoint);
            }
        }
    }
    progress
}

/// The rows of a round, overlaid with its changes.
pub struct Draft<'a> {
    pub input: Input<'a>,
    /// All orders with the changes of the round; an order without tasks is removed.
    pub orders: BTreeMap<OrderKey, Order>,
    progress: BTreeMap<Id, Progress>,
    changed_orders: BTreeSet<OrderKey>,
    changed_progress: BTreeSet<Id>,
    /// Jobs whose progress row is removed.
    pub removed_progress: Vec<Id>,
    /// The configured queues by name. A job looks its queue up several times a round, and a search of
    /// thousands of queues for each takes longer than the rest of the round.
    queues: HashMap<&'a str, &'a Queue>,
    /// The result so far; the writes of orders and progress are added by [`Draft::finish`].
    pub plan: Plan,
}

impl<'a> Draft<'a> {
    pub fn new(input: Input<'a>) -> Self {
        let orders = input.orders.iter().filter_map(|(key, _, order)| {
            let (agent, group) = record::parse_order_key(key)?;
            Some(((agent.to_owned(), group), order.clone()))
        });
        let mut orders = orders.collect();
        let restored = restore_orders(&input, &mut orders);
        Self {
            input,
            orders,
            progress: BTreeMap::new(),
            changed_orders: restored.into_iter().collect(),
            changed_progress: BTreeSet::new(),
            removed_progress: Vec::new(),
            queues: input.config.queues.iter().rev().map(|queue| (&*queue.name, queue)).collect(),
            plan: Plan::default(),
        }
    }

    /// Returns the queue of a job as configured now, or as it was when the job was accepted if it is
    /// no longer configured.
    pub fn queue_of(&self, job: &'a Job) -> &'a Queue {
        self.queues.get(&*job.queue.name).copied().unwrap_or(&job.queue)
    }

    /// Returns whether the round should leave further work to the next one.
    pub fn is_full(&self) -> bool {
        let rows =
            self.changed_orders.len() + self.changed_progress.len() + self.removed_progress.len();
        rows >= MAX_ROUND_ROWS
    }

    /// Returns the progress of a job with the changes of the round.
    pub fn progress(&mut self, id: Id, request: &Request) -> &Progress {
        self.load(id, request)
    }

    /// Returns the progress of a job for modification, and marks it as changed.
    pub fn progress_mut(&mut self, id: Id, request: &Request) -> &mut Progress {
        self.changed_progress.insert(id);
        self.load(id, request)
    }

    /// Returns the changed progress of each job for modification.
    pub fn changed_progress_mut(&mut self) -> impl Iterator<Item = (Id, &mut Progress)> {
        let changed = &self.changed_progress;
        let progress = self.progress.iter_mut().filter(|(id, _)| changed.contains(id));
        progress.map(|(id, progress)| (*id, progress))
    }

    /// Returns the order of an agent for a group for modification, and marks it as changed.
    pub fn order_mut(&mut self, key: &OrderKey) -> Option<&mut Order> {
        self.changed_orders.insert(key.clone());
        self.orders.get_mut(key)
    }

    /// Adds an order, replacing one without tasks.
    pub fn add_order(&mut self, key: OrderKey, order: Order) {
        self.changed_orders.insert(key.clone());
        self.orders.insert(key, order);
    }

    /// Returns the keys of all orders that have tasks of a group.
    pub fn order_keys_of(&self, group: Group) -> Vec<OrderKey> {
        let of_group =
            self.orders.iter().filter(|((_, own), order)| *own == group && !order.tasks.is_empty());
        of_group.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the plan, with the changed and removed rows as its writes: progress before orders,
    /// since a plan may be written only in part.
    pub fn finish(mut self) -> Plan {
        let mut write = |table, key: String, value| {
            self.plan.writes.push(Write { table, key, value });
        };
        for id in &self.changed_progress {
            let progress = self.progress.get(id).map(record::encode);
            write(Table::Jobs, record::progress_key(*id), progress);
        }
        for key in &self.changed_orders {
            let order = self.orders.get(key).filter(|order| !order.tasks.is_empty());
            write(Table::Orders, record::order_key(&key.0, key.1), order.map(record::encode));
        }
        for id in &self.removed_progress {
            write(Table::Jobs, record::progress_key(*id), None);
        }
        self.plan
    }

    /// Adds a separate batch that writes one row, or removes it if `value` is `None`, on condition
    /// that its version is still `version`.
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

    /// Adds a separate batch that removes rows, given as versions and keys, on condition that their
    /// versions are still these.
    pub fn add_row_removals(&mut self, table: Table, rows: Vec<(Version, String)>) {
        if rows.is_empty() {
            return;
        }
        let mut batch = Batch::default();
        for (version, key) in rows {
            batch.conditions.push(Condition { table, key: key.clone(), version });
            batch.writes.push(Write { table, key, value: None });
        }
        self.plan.row_updates.push(batch);
    }

    pub fn add_decision(&mut self, decision: Decision) {
        self.plan.decisions.push(decision);
    }

    /// Returns the ids of all accepted jobs that are still stored.
    pub fn job_ids(&self) -> Vec<Id> {
        let keys = self.input.jobs.accepted.iter();
        let ids = keys.filter_map(|(key, _, _)| key.strip_prefix(record::JOB_PREFIX)?.parse().ok());
        ids.filter(|id| request_of(self.input.jobs, *id).is_some()).collect()
    }

    fn load(&mut self, id: Id, request: &Request) -> &mut Progress {
        let jobs = self.input.jobs;
        let orders = &self.orders;
        self.progress.entry(id).or_insert_with(|| {
            let known = jobs.progress.get(&record::progress_key(id));
            let usable = |progress: &&Progress| progress.state.is_final() || progress.fits(request);
            known.filter(usable).cloned().unwrap_or_else(|| rebuild(id, request, orders))
        })
    }
}
