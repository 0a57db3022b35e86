//! The planner role of one availability zone.
//!
//! A new planner first makes its epoch known to the agents and learns what they run. It
//! goes on with the attempts whose parts all run, stops the others, and starts a job only
//! when the table has taken the attempt in under its epoch.

mod succession;

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::succession::{Lot, Prior, SETTLE_WITHIN, Succession};
use crate::config::{Change, Config};
use crate::gang::{self, Command, Coordinator, Ending, Holding, Phase, Report, Term};
use crate::guarantee;
use crate::health::Verdict;
use crate::member::Announce;
use crate::metric;
use crate::place::{self, Allocation, Outcome, Planner, Policy, Share, Spec, Summary};
use crate::unit::{Attempt, Boot, Epoch, Job, Node, Time, Zone};

pub use self::succession::silent_within;

/// Pause between two checks of the role's row in the table.
pub const CHECK_EVERY: Duration = Duration::from_secs(1);
/// The same while a new agent waits for it.
const CHECK_SOON: Duration = Duration::from_millis(100);
/// Time given to a check; after it, what runs is renewed without one.
const CHECK_WITHIN: Duration = Duration::from_secs(2);
/// Time without a tick after which the role must be checked before anything is done.
pub const PAUSED_AFTER: Duration = Duration::from_secs(2);
/// Pause before the end of a job is written again; it doubles up to the longest.
const END_AGAIN: Duration = Duration::from_secs(1);
/// The longest such pause.
const END_AGAIN_MOST: Duration = Duration::from_secs(8);

/// Names one attempt of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Try {
    /// The job.
    pub job: Job,
    /// The attempt.
    pub attempt: Attempt,
}

/// What came of writing an attempt to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Recorded {
    /// It stands there.
    Written,
    /// It does not stand there, or that could not be found out.
    Unwritten,
    /// The same or a later attempt stands there.
    Behind {
        /// The zone that it runs in.
        zone: Zone,
        /// The attempt.
        attempt: Attempt,
        /// The nodes of its parts.
        nodes: Vec<Node>,
    },
}

/// What the role asks of its process.
#[derive(Debug)]
pub enum Effect {
    /// Sends a command to an agent.
    Send {
        /// Its node.
        node: Node,
        /// The command.
        command: Command,
    },
    /// Reads whether the role is still held; the answer comes back by [`Role::checked`].
    Check {
        /// The zone.
        zone: Zone,
        /// The epoch of the role.
        epoch: Epoch,
        /// When it was asked for.
        asked: Time,
    },
    /// Writes an attempt to the table; the answer comes back by [`Role::recorded`].
    Record {
        /// The zone.
        zone: Zone,
        /// The epoch of the role.
        epoch: Epoch,
        /// The attempt.
        task: Try,
        /// The nodes of its parts.
        nodes: Vec<Node>,
    },
    /// Writes the end of a job to the table, until [`Role::change`] brings it.
    End {
        /// The job.
        job: Job,
        /// How it ended.
        outcome: Outcome,
    },
}

/// An end that is not known to be in the table.
#[derive(Debug)]
struct End {
    outcome: Outcome,
    due: Time,
    pause: Duration,
}

/// A job as the role knows it.
#[derive(Debug)]
struct Known {
    spec: Spec,
    /// The last attempt that is over.
    over: Attempt,
}

/// The planner role of a zone.
#[derive(Debug)]
pub struct Role {
    term: Term,
    taken: Time,
    ticked: Time,
    /// When it began to act again after a pause, until the role is checked.
    woke: Option<Time>,
    /// The check whose answer is awaited.
    asked: Option<Time>,
    last_asked: Option<Time>,
    settled: bool,
    planner: Planner,
    coordinator: Coordinator,
    succession: Succession,
    jobs: BTreeMap<Job, Known>,
    ends: BTreeMap<Job, End>,
}

/// Returns whether a zone's role falls to an entry: the highest hash among the live ones.
#[must_use]
pub fn falls_to(zone: &Zone, node: &Node, others: &[&Node]) -> bool {
    let score = |node: &Node| {
        let seed = xxh3_64_with_seed(node.as_str().as_bytes(), 0);
        xxh3_64_with_seed(zone.as_str().as_bytes(), seed)
    };
    let own = score(node);
    others.iter().all(|other| score(other) <= own)
}

impl Role {
    /// Creates the role under an epoch that the table has just taken in.
    #[must_use]
    pub fn new(now: Time, zone: Zone, epoch: Epoch) -> Self {
        let term = Term { zone, epoch };
        Self {
            coordinator: Coordinator::new(term.clone()),
            term,
            taken: now,
            ticked: now,
            woke: None,
            asked: None,
            last_asked: None,
            settled: false,
            planner: Planner::default(),
            succession: Succession::default(),
            jobs: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }

    /// Returns the epoch of the role.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.term.epoch
    }

    /// Takes in what an agent of the zone announces.
    pub fn put_worker(&mut self, now: Time, node: &Node, boot: Boot, said: &Announce) {
        if self.succession.put(now, node, boot, said) {
            self.coordinator.register_agent(now, node, boot);
        }
        self.place_worker(node);
        self.planner.put_holdings(node, &said.tasks);
    }

    /// Takes in that an agent is silent: it gets nothing new.
    pub fn suspected(&mut self, node: &Node) {
        self.planner.close_worker(node);
    }

    /// Sets how completion time is weighed against fragmentation.
    pub fn set_policy(&mut self, policy: Policy) {
        self.planner.set_policy(policy);
    }

    /// Takes in the guarantees and shares of a configuration.
    pub fn configure(&mut self, config: &Config) {
        self.planner.set_guarantees(guarantee::entitlements(config, &self.term.zone));
        self.planner.clear_shares();
        for (workspace, quota) in &config.workspaces {
            let share = Share { weight: quota.weight, limit: quota.limit };
            self.planner.set_share(workspace.clone(), share);
        }
    }

    /// Takes in a job, if it may run in this zone.
    pub fn submit(&mut self, now: Time, job: Job, spec: &Spec) {
        if spec.zone.as_ref().is_some_and(|zone| *zone != self.term.zone) {
            return;
        }
        let known = Known { spec: spec.clone(), over: Attempt(0) };
        self.jobs.entry(job).or_insert(known);
        self.place_job(now, job);
    }

    /// Takes in an accepted change.
    pub fn change(&mut self, now: Time, change: &Change, config: &Config) -> Vec<Effect> {
        match change {
            Change::Submit { job, spec } => {
                self.submit(now, *job, spec);
                Vec::new()
            }
            Change::Cancel { job } => self.cancel(now, *job),
            Change::End { job, .. } => {
                self.ends.remove(job);
                self.cancel(now, *job)
            }
            Change::PutWorkspace { .. } | Change::RemoveWorkspace { .. } => {
                self.configure(config);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Takes in that a worker is lost.
    pub fn lost(&mut self, now: Time, node: &Node) -> Vec<Effect> {
        self.succession.remove(node);
        let decisions = self.planner.remove_worker(now, node);
        let mut effects = self.decide(now, decisions);
        let asked = self.coordinator.worker_lost(now, node);
        effects.extend(self.drive(now, asked));
        effects
    }

    /// Takes in what an agent reports.
    pub fn report(&mut self, now: Time, node: &Node, report: &Report) -> Vec<Effect> {
        if report.epoch != self.term.epoch {
            return Vec::new();
        }
        let mut asked = self.coordinator.report(now, node, report);
        if report.complete && self.succession.heard(node, report.boot).is_some() {
            self.place_worker(node);
            for holding in &report.holdings {
                asked.extend(self.find(now, node, holding, report.at()));
            }
        }
        self.drive(now, asked)
    }

    /// Takes in what came of writing an attempt to the table.
    pub fn recorded(&mut self, now: Time, task: Try, recorded: Recorded) -> Vec<Effect> {
        let written = recorded == Recorded::Written && !self.doubts(now);
        if let Recorded::Behind { zone, attempt, nodes } = recorded {
            if zone == self.term.zone {
                self.succession.note(task.job, Prior { attempt, nodes });
            } else {
                // Another zone has started the job.
                self.jobs.remove(&task.job);
            }
        }
        let asked = self.coordinator.recorded(now, task.job, task.attempt, written);
        self.drive(now, asked)
    }

    /// Takes in whether the role was found to be held by a check asked for at a time. A role
    /// that is not held any more is dropped by its owner.
    pub fn checked(&mut self, asked: Time, held: bool) {
        if self.asked != Some(asked) {
            return;
        }
        self.asked = None;
        if held {
            self.woke = None;
            self.succession.checked(asked);
        }
    }

    /// Starts what fits, and drives the attempts.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        if self.doubts(now) && self.woke.is_none() {
            // What was asked before the pause tells nothing about the time after it.
            (self.woke, self.asked, self.last_asked) = (Some(now), None, None);
        }
        self.ticked = now;
        let mut effects: Vec<Effect> = self.check(now).into_iter().collect();
        if self.woke.is_some_and(|woke| now.since(woke) < CHECK_WITHIN) {
            return effects;
        }
        if self.woke.is_none() {
            effects.extend(self.succeed(now));
            let decisions = self.planner.step(now);
            effects.extend(self.decide(now, decisions));
        }
        let asked = self.coordinator.tick(now);
        effects.extend(self.drive(now, asked));
        effects.extend(self.write_ends(now));
        effects
    }

    /// Returns what the zone has and what waits in it.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.planner.summary()
    }

    /// Returns what a job does or waits for, if it is known here.
    #[must_use]
    pub fn explain(&self, now: Time, job: Job) -> Option<String> {
        self.planner.explain(now, job).map(|wait| wait.to_string())
    }

    /// Returns the number of attempts that are under way.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.coordinator.len()
    }

    /// Returns whether the role may have been taken over unnoticed in a pause.
    fn doubts(&self, now: Time) -> bool {
        self.woke.is_some() || now.since(self.ticked) >= PAUSED_AFTER
    }

    fn check(&mut self, now: Time) -> Option<Effect> {
        let waits = self.succession.awaits_check() || self.woke.is_some();
        let pause = if waits { CHECK_SOON } else { CHECK_EVERY };
        let early = self.last_asked.is_some_and(|last| now.since(last) < pause);
        if self.asked.is_some() || early {
            return None;
        }
        (self.asked, self.last_asked) = (Some(now), Some(now));
        let (zone, epoch) = (self.term.zone.clone(), self.term.epoch);
        Some(Effect::Check { zone, epoch, asked: now })
    }

    /// Learns what the agents run, and goes on with it or stops it.
    fn succeed(&mut self, now: Time) -> Vec<Effect> {
        let mut asked = Vec::new();
        for node in self.succession.unheard(now) {
            asked.extend(self.coordinator.survey(now, &node));
        }
        let late = now.since(self.taken) >= SETTLE_WITHIN;
        if !self.settled && (late || self.succession.complete()) {
            self.settled = true;
            let jobs: Vec<Job> = self.jobs.keys().copied().collect();
            for job in jobs {
                self.place_job(now, job);
            }
        }
        while let Some((job, lot, whole)) = self.take_lot(now) {
            asked.extend(self.adopt(now, job, lot, whole));
        }
        while let Some((job, prior)) = self.succession.take_prior(now, self.taken) {
            if let Some(known) = self.jobs.get_mut(&job) {
                known.over = known.over.max(prior.attempt);
            }
            self.place_job(now, job);
        }
        self.drive(now, asked)
    }

    fn take_lot(&mut self, now: Time) -> Option<(Job, Lot, bool)> {
        let (jobs, coordinator) = (&self.jobs, &self.coordinator);
        let parts = |job| jobs.get(&job).map(|k: &Known| usize::from(k.spec.shape.parts));
        self.succession.take_lot(now, |job| !coordinator.has(job), parts)
    }

    fn adopt(&mut self, now: Time, job: Job, lot: Lot, whole: bool) -> Vec<gang::Effect> {
        let goes_on = whole && self.book(now, job, &lot);
        crate::log!(AttemptAdopted, "job {job} attempt {}: goes on {goes_on}", lot.attempt);
        if !goes_on {
            self.withdraw(now, job);
        }
        self.coordinator.adopt(now, job, lot.attempt, lot.parts, goes_on)
    }

    /// Books the accelerators of an attempt that runs already.
    fn book(&mut self, now: Time, job: Job, lot: &Lot) -> bool {
        let Some(known) = self.jobs.get(&job) else {
            return false;
        };
        let mut parts: Vec<_> = lot.parts.iter().collect();
        parts.sort_unstable_by_key(|part| part.holding.task.part);
        let allocation = |part: &gang::FoundPart| {
            let (node, mask) = (part.node.clone(), part.holding.mask);
            Allocation { node, mask }
        };
        let allocations: Vec<Allocation> = parts.into_iter().map(allocation).collect();
        self.planner.submit(now, job, known.spec.clone());
        self.planner.adopt(now, job, lot.attempt, &allocations)
    }

    /// Takes a job out of the placement, which has no allocations for it.
    fn withdraw(&mut self, now: Time, job: Job) {
        self.planner.ended(now, job, Outcome::Cancelled);
    }

    /// Takes in one part that an agent told of.
    fn find(&mut self, now: Time, node: &Node, part: &Holding, at: Time) -> Vec<gang::Effect> {
        let task = part.task;
        if self.coordinator.drives(task.job, task.attempt) {
            return Vec::new();
        }
        let ends = matches!(part.phase, Phase::Finished | Phase::Failed);
        let runs = matches!(part.phase, Phase::Starting | Phase::Running | Phase::Stopping);
        let known = self.jobs.get(&task.job);
        let over = known.is_some_and(|known| task.attempt <= known.over);
        let mut strays = Vec::new();
        // A job that is not known may have been accepted a moment ago.
        if !over && (runs || (ends && known.is_some())) {
            if !self.coordinator.has(task.job) {
                self.withdraw(now, task.job);
            }
            strays = self.succession.find(now, node, part.clone(), at);
        } else if !ends {
            strays.push(gang::FoundPart { node: node.clone(), holding: part.clone(), at });
        }
        let stop = |found: gang::FoundPart| {
            self.coordinator.stop_stray(now, &found.node, found.holding.task)
        };
        strays.into_iter().flat_map(stop).collect()
    }

    fn place_worker(&mut self, node: &Node) {
        if let Some(agent) = self.succession.agent(node) {
            self.planner.put_worker(node, &agent.rack, agent.capacity, agent.open);
        }
    }

    /// Lets a job be placed, unless an earlier attempt may still run.
    fn place_job(&mut self, now: Time, job: Job) {
        if !self.settled || self.succession.holds_up(job) || self.coordinator.has(job) {
            return;
        }
        if let Some(known) = self.jobs.get(&job) {
            self.planner.submit(now, job, known.spec.clone());
            self.planner.raise_attempt(job, known.over);
        }
    }

    fn cancel(&mut self, now: Time, job: Job) -> Vec<Effect> {
        self.jobs.remove(&job);
        let mut asked = Vec::new();
        if let Some(lot) = self.succession.drop_job(job) {
            asked = self.coordinator.adopt(now, job, lot.attempt, lot.parts, false);
        }
        let decisions = self.planner.cancel(job);
        let mut effects = self.drive(now, asked);
        effects.extend(self.decide(now, decisions));
        if !self.coordinator.has(job) {
            self.withdraw(now, job);
        }
        effects
    }

    fn decide(&mut self, now: Time, decisions: Vec<place::Effect>) -> Vec<Effect> {
        let mut asked = Vec::new();
        for decision in decisions {
            match decision {
                place::Effect::Start { job, attempt, allocations, reason } => {
                    let nodes: Vec<&str> =
                        allocations.iter().map(|allocation| allocation.node.as_str()).collect();
                    let Some(known) = self.jobs.get(&job) else {
                        continue;
                    };
                    crate::log!(Placed, "job {job} attempt {attempt} on {nodes:?}: {reason:?}");
                    let spec = known.spec.clone();
                    asked.extend(self.coordinator.begin(now, job, attempt, spec, allocations));
                }
                place::Effect::Stop { job, attempt, cause } => {
                    crate::log!(AttemptStopped, "job {job} attempt {attempt}: {cause:?}");
                    asked.extend(self.coordinator.stop(now, job));
                }
                place::Effect::AtRisk { workspace, shape } => {
                    crate::warn!(GuaranteeAtRisk, "{workspace}: {shape}, {}", self.term.zone);
                }
                place::Effect::Restored { workspace, shape } => {
                    crate::log!(GuaranteeRestored, "{workspace}: {shape}, {}", self.term.zone);
                }
                place::Effect::Quarantined { node } => crate::warn!(Quarantined, "{node}"),
                place::Effect::TakenBack { node } => crate::log!(TakenBack, "{node}"),
            }
        }
        self.drive(now, asked)
    }

    fn drive(&mut self, now: Time, asked: Vec<gang::Effect>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for effect in asked {
            match effect {
                gang::Effect::Send { node, command } => {
                    effects.push(Effect::Send { node, command });
                }
                gang::Effect::Record { job, attempt, nodes } => effects.push(Effect::Record {
                    zone: self.term.zone.clone(),
                    epoch: self.term.epoch,
                    task: Try { job, attempt },
                    nodes,
                }),
                gang::Effect::Over { job, attempt, ending } => {
                    metric::count_attempt(&ending);
                    crate::log!(AttemptOver, "job {job} attempt {attempt}: {ending:?}");
                    effects.extend(self.over(now, job, attempt, &ending));
                }
            }
        }
        effects
    }

    fn over(&mut self, now: Time, job: Job, attempt: Attempt, ending: &Ending) -> Vec<Effect> {
        if let Some(known) = self.jobs.get_mut(&job) {
            known.over = known.over.max(attempt);
        }
        let mut decisions = Vec::new();
        match ending {
            Ending::Finished => {
                decisions = self.planner.ended(now, job, Outcome::Finished);
                self.end(now, job, Outcome::Finished);
            }
            Ending::Failed(node) => {
                let (verdict, judged) = self.planner.failed(now, job, attempt, node);
                decisions = judged;
                if verdict == Verdict::AtFault {
                    self.end(now, job, Outcome::Failed);
                }
            }
            Ending::Refused(_) | Ending::Unwritten | Ending::Stopped => {
                self.planner.released(now, job, attempt);
            }
        }
        if !self.jobs.contains_key(&job) || self.succession.holds_up(job) {
            self.withdraw(now, job);
        }
        self.place_job(now, job);
        self.decide(now, decisions)
    }

    fn end(&mut self, now: Time, job: Job, outcome: Outcome) {
        if self.jobs.remove(&job).is_some() {
            crate::log!(JobEnded, "job {job}: {outcome:?}");
            self.ends.insert(job, End { outcome, due: now, pause: END_AGAIN });
        }
    }

    fn write_ends(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (&job, end) in &mut self.ends {
            if end.due <= now {
                end.due = now + end.pause;
                end.pause = END_AGAIN_MOST.min(end.pause * 2);
                effects.push(Effect::End { job, outcome: end.outcome });
            }
        }
        effects
    }
}
