//! The planner role of one availability zone.
//!
//! A new planner first makes its epoch known to the agents and learns what they run. It
//! goes on with the attempts whose parts all run, stops the others, and starts a job only
//! when the table has taken the attempt in under its epoch.

mod succession;

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::succession::{FoundAttempt, PriorAttempt, SURVEY_TIMEOUT, Takeover};
use crate::config::{Change, Config};
use crate::gang::{self, Command, Coordinator, Ending, Holding, Phase, Report, Term};
use crate::guarantee;
use crate::health::Verdict;
use crate::member::Announce;
use crate::metric;
use crate::place::{self, Allocation, Outcome, Planner, Policy, Share, Spec, Summary};
use crate::unit::{Attempt, Boot, Epoch, Job, Node, Time, Zone};

pub use self::succession::silent_part_timeout;

/// Pause between two checks of the role's row in the table.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The same while a new agent waits for it.
const URGENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time given to a check; after it, what runs is renewed without one.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a tick after which the role must be checked before anything is done.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Pause before the end of a job is written again; it doubles up to the longest.
const MIN_END_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The longest such pause.
const MAX_END_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// Names one attempt of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId {
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
    Superseded {
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
    /// Reads whether the role is still held; the answer comes back by [`Role::role_checked`].
    Check {
        /// The zone.
        zone: Zone,
        /// The epoch of the role.
        epoch: Epoch,
        /// When it was asked for.
        asked_at: Time,
    },
    /// Writes an attempt to the table; the answer comes back by [`Role::attempt_recorded`].
    Record {
        /// The zone.
        zone: Zone,
        /// The epoch of the role.
        epoch: Epoch,
        /// The attempt.
        attempt_id: AttemptId,
        /// The nodes of its parts.
        nodes: Vec<Node>,
    },
    /// Writes the end of a job to the table, until [`Role::apply_change`] brings it.
    End {
        /// The job.
        job: Job,
        /// How it ended.
        outcome: Outcome,
    },
}

/// An end that is not known to be in the table.
#[derive(Debug)]
struct UnwrittenEnd {
    outcome: Outcome,
    due: Time,
    pause: Duration,
}

/// A job as the role knows it.
#[derive(Debug)]
struct KnownJob {
    spec: Spec,
    /// The last attempt that is over.
    last_ended: Attempt,
}

/// The planner role of a zone.
#[derive(Debug)]
pub struct Role {
    term: Term,
    taken_at: Time,
    last_tick: Time,
    /// When it began to act again after a pause, until the role is checked.
    resumed_at: Option<Time>,
    /// The check whose answer is awaited.
    pending_check: Option<Time>,
    last_check: Option<Time>,
    survey_done: bool,
    planner: Planner,
    coordinator: Coordinator,
    takeover: Takeover,
    jobs: BTreeMap<Job, KnownJob>,
    unwritten_ends: BTreeMap<Job, UnwrittenEnd>,
}

/// Returns whether a zone's role falls to an entry: the highest hash among the live ones.
#[must_use]
pub fn is_preferred_holder(zone: &Zone, node: &Node, others: &[&Node]) -> bool {
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
            taken_at: now,
            last_tick: now,
            resumed_at: None,
            pending_check: None,
            last_check: None,
            survey_done: false,
            planner: Planner::default(),
            takeover: Takeover::default(),
            jobs: BTreeMap::new(),
            unwritten_ends: BTreeMap::new(),
        }
    }

    /// Returns the epoch of the role.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.term.epoch
    }

    /// Takes in what an agent of the zone announces.
    pub fn put_worker(&mut self, now: Time, node: &Node, boot: Boot, announce: &Announce) {
        if self.takeover.put_agent(now, node, boot, announce) {
            self.coordinator.register_agent(now, node, boot);
        }
        self.add_to_planner(node);
        self.planner.put_holdings(node, &announce.tasks);
    }

    /// Takes in that an agent is silent: it gets nothing new.
    pub fn worker_suspected(&mut self, node: &Node) {
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
        let known = KnownJob { spec: spec.clone(), last_ended: Attempt(0) };
        self.jobs.entry(job).or_insert(known);
        self.submit_to_planner(now, job);
    }

    /// Takes in an accepted change.
    pub fn apply_change(&mut self, now: Time, change: &Change, config: &Config) -> Vec<Effect> {
        match change {
            Change::Submit { job, spec } => {
                self.submit(now, *job, spec);
                Vec::new()
            }
            Change::Cancel { job } => self.cancel(now, *job),
            Change::End { job, .. } => {
                self.unwritten_ends.remove(job);
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
    pub fn worker_lost(&mut self, now: Time, node: &Node) -> Vec<Effect> {
        self.takeover.remove_agent(node);
        let decisions = self.planner.remove_worker(now, node);
        let mut effects = self.apply_decisions(now, decisions);
        let gang_effects = self.coordinator.worker_lost(now, node);
        effects.extend(self.apply_gang_effects(now, gang_effects));
        effects
    }

    /// Takes in what an agent reports.
    pub fn report(&mut self, now: Time, node: &Node, report: &Report) -> Vec<Effect> {
        if report.epoch != self.term.epoch {
            return Vec::new();
        }
        let mut gang_effects = self.coordinator.report(now, node, report);
        if report.complete && self.takeover.agent_reported(node, report.boot).is_some() {
            self.add_to_planner(node);
            for holding in &report.holdings {
                gang_effects.extend(self.add_found_part(now, node, holding, report.at()));
            }
        }
        self.apply_gang_effects(now, gang_effects)
    }

    /// Takes in what came of writing an attempt to the table.
    pub fn attempt_recorded(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        recorded: Recorded,
    ) -> Vec<Effect> {
        let written = recorded == Recorded::Written && !self.may_be_superseded(now);
        if let Recorded::Superseded { zone, attempt, nodes } = recorded {
            if zone == self.term.zone {
                self.takeover.add_prior(attempt_id.job, PriorAttempt { attempt, nodes });
            } else {
                // Another zone has started the job.
                self.jobs.remove(&attempt_id.job);
            }
        }
        let gang_effects =
            self.coordinator.recorded(now, attempt_id.job, attempt_id.attempt, written);
        self.apply_gang_effects(now, gang_effects)
    }

    /// Takes in whether the role was found to be held by a check asked for at a time. A role
    /// that is not held any more is dropped by its owner.
    pub fn role_checked(&mut self, asked_at: Time, held: bool) {
        if self.pending_check != Some(asked_at) {
            return;
        }
        self.pending_check = None;
        if held {
            self.resumed_at = None;
            self.takeover.role_checked(asked_at);
        }
    }

    /// Starts what fits, and drives the attempts.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        if self.may_be_superseded(now) && self.resumed_at.is_none() {
            // What was asked before the pause tells nothing about the time after it.
            (self.resumed_at, self.pending_check, self.last_check) = (Some(now), None, None);
        }
        self.last_tick = now;
        let mut effects: Vec<Effect> = self.check(now).into_iter().collect();
        if self.resumed_at.is_some_and(|resumed_at| now.since(resumed_at) < CHECK_TIMEOUT) {
            return effects;
        }
        if self.resumed_at.is_none() {
            effects.extend(self.take_over(now));
            let decisions = self.planner.step(now);
            effects.extend(self.apply_decisions(now, decisions));
        }
        let gang_effects = self.coordinator.tick(now);
        effects.extend(self.apply_gang_effects(now, gang_effects));
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
    fn may_be_superseded(&self, now: Time) -> bool {
        self.resumed_at.is_some() || now.since(self.last_tick) >= PAUSE_THRESHOLD
    }

    fn check(&mut self, now: Time) -> Option<Effect> {
        let urgent = self.takeover.awaits_check() || self.resumed_at.is_some();
        let pause = if urgent { URGENT_CHECK_INTERVAL } else { CHECK_INTERVAL };
        let early = self.last_check.is_some_and(|last| now.since(last) < pause);
        if self.pending_check.is_some() || early {
            return None;
        }
        (self.pending_check, self.last_check) = (Some(now), Some(now));
        let (zone, epoch) = (self.term.zone.clone(), self.term.epoch);
        Some(Effect::Check { zone, epoch, asked_at: now })
    }

    /// Learns what the agents run, and goes on with it or stops it.
    fn take_over(&mut self, now: Time) -> Vec<Effect> {
        let mut gang_effects = Vec::new();
        for node in self.takeover.agents_to_survey(now) {
            gang_effects.extend(self.coordinator.survey(now, &node));
        }
        let late = now.since(self.taken_at) >= SURVEY_TIMEOUT;
        if !self.survey_done && (late || self.takeover.all_reported()) {
            self.survey_done = true;
            let jobs: Vec<Job> = self.jobs.keys().copied().collect();
            for job in jobs {
                self.submit_to_planner(now, job);
            }
        }
        while let Some((job, found_attempt, complete)) = self.take_found(now) {
            gang_effects.extend(self.adopt(now, job, found_attempt, complete));
        }
        while let Some((job, prior)) = self.takeover.take_ended_prior(now, self.taken_at) {
            if let Some(known) = self.jobs.get_mut(&job) {
                known.last_ended = known.last_ended.max(prior.attempt);
            }
            self.submit_to_planner(now, job);
        }
        self.apply_gang_effects(now, gang_effects)
    }

    fn take_found(&mut self, now: Time) -> Option<(Job, FoundAttempt, bool)> {
        let (jobs, coordinator) = (&self.jobs, &self.coordinator);
        let parts = |job| jobs.get(&job).map(|k: &KnownJob| usize::from(k.spec.shape.parts));
        self.takeover.take_found(now, |job| !coordinator.has(job), parts)
    }

    fn adopt(
        &mut self,
        now: Time,
        job: Job,
        found_attempt: FoundAttempt,
        complete: bool,
    ) -> Vec<gang::Effect> {
        let continues = complete && self.allocate_found(now, job, &found_attempt);
        crate::log!(
            AttemptAdopted,
            "job {job} attempt {}: continues {continues}",
            found_attempt.attempt
        );
        if !continues {
            self.remove_from_planner(now, job);
        }
        self.coordinator.adopt(now, job, found_attempt.attempt, found_attempt.parts, continues)
    }

    /// Books the accelerators of an attempt that runs already.
    fn allocate_found(&mut self, now: Time, job: Job, found_attempt: &FoundAttempt) -> bool {
        let Some(known) = self.jobs.get(&job) else {
            return false;
        };
        let mut parts: Vec<_> = found_attempt.parts.iter().collect();
        parts.sort_unstable_by_key(|part| part.holding.task.part);
        let allocation = |part: &gang::FoundPart| {
            let (node, mask) = (part.node.clone(), part.holding.mask);
            Allocation { node, mask }
        };
        let allocations: Vec<Allocation> = parts.into_iter().map(allocation).collect();
        self.planner.submit(now, job, known.spec.clone());
        self.planner.adopt(now, job, found_attempt.attempt, &allocations)
    }

    /// Takes a job out of the placement, which has no allocations for it.
    fn remove_from_planner(&mut self, now: Time, job: Job) {
        self.planner.ended(now, job, Outcome::Cancelled);
    }

    /// Takes in one part that an agent told of.
    fn add_found_part(
        &mut self,
        now: Time,
        node: &Node,
        part: &Holding,
        at: Time,
    ) -> Vec<gang::Effect> {
        let task = part.task;
        if self.coordinator.drives(task.job, task.attempt) {
            return Vec::new();
        }
        let ended = matches!(part.phase, Phase::Finished | Phase::Failed);
        let running = matches!(part.phase, Phase::Starting | Phase::Running | Phase::Stopping);
        let known = self.jobs.get(&task.job);
        let superseded = known.is_some_and(|known| task.attempt <= known.last_ended);
        let mut strays = Vec::new();
        // A job that is not known may have been accepted a moment ago.
        if !superseded && (running || (ended && known.is_some())) {
            if !self.coordinator.has(task.job) {
                self.remove_from_planner(now, task.job);
            }
            strays = self.takeover.add_part(now, node, part.clone(), at);
        } else if !ended {
            strays.push(gang::FoundPart { node: node.clone(), holding: part.clone(), at });
        }
        let stop = |found: gang::FoundPart| {
            self.coordinator.stop_stray(now, &found.node, found.holding.task)
        };
        strays.into_iter().flat_map(stop).collect()
    }

    fn add_to_planner(&mut self, node: &Node) {
        if let Some(agent) = self.takeover.reported_agent(node) {
            self.planner.put_worker(node, &agent.rack, agent.capacity, agent.open);
        }
    }

    /// Lets a job be placed, unless an earlier attempt may still run.
    fn submit_to_planner(&mut self, now: Time, job: Job) {
        if !self.survey_done || self.takeover.blocks(job) || self.coordinator.has(job) {
            return;
        }
        if let Some(known) = self.jobs.get(&job) {
            self.planner.submit(now, job, known.spec.clone());
            self.planner.raise_attempt(job, known.last_ended);
        }
    }

    fn cancel(&mut self, now: Time, job: Job) -> Vec<Effect> {
        self.jobs.remove(&job);
        let mut gang_effects = Vec::new();
        if let Some(found_attempt) = self.takeover.remove_job(job) {
            gang_effects =
                self.coordinator.adopt(now, job, found_attempt.attempt, found_attempt.parts, false);
        }
        let decisions = self.planner.cancel(job);
        let mut effects = self.apply_gang_effects(now, gang_effects);
        effects.extend(self.apply_decisions(now, decisions));
        if !self.coordinator.has(job) {
            self.remove_from_planner(now, job);
        }
        effects
    }

    fn apply_decisions(&mut self, now: Time, decisions: Vec<place::Effect>) -> Vec<Effect> {
        let mut gang_effects = Vec::new();
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
                    gang_effects.extend(self.coordinator.begin(
                        now,
                        job,
                        attempt,
                        spec,
                        allocations,
                    ));
                }
                place::Effect::Stop { job, attempt, cause } => {
                    crate::log!(AttemptStopped, "job {job} attempt {attempt}: {cause:?}");
                    gang_effects.extend(self.coordinator.stop(now, job));
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
        self.apply_gang_effects(now, gang_effects)
    }

    fn apply_gang_effects(&mut self, now: Time, gang_effects: Vec<gang::Effect>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for effect in gang_effects {
            match effect {
                gang::Effect::Send { node, command } => {
                    effects.push(Effect::Send { node, command });
                }
                gang::Effect::Record { job, attempt, nodes } => effects.push(Effect::Record {
                    zone: self.term.zone.clone(),
                    epoch: self.term.epoch,
                    attempt_id: AttemptId { job, attempt },
                    nodes,
                }),
                gang::Effect::Over { job, attempt, ending } => {
                    metric::count_attempt(&ending);
                    crate::log!(AttemptOver, "job {job} attempt {attempt}: {ending:?}");
                    effects.extend(self.finish_attempt(now, job, attempt, &ending));
                }
            }
        }
        effects
    }

    fn finish_attempt(
        &mut self,
        now: Time,
        job: Job,
        attempt: Attempt,
        ending: &Ending,
    ) -> Vec<Effect> {
        if let Some(known) = self.jobs.get_mut(&job) {
            known.last_ended = known.last_ended.max(attempt);
        }
        let mut decisions = Vec::new();
        match ending {
            Ending::Finished => {
                decisions = self.planner.ended(now, job, Outcome::Finished);
                self.end_job(now, job, Outcome::Finished);
            }
            Ending::Failed(node) => {
                let (verdict, node_decisions) = self.planner.failed(now, job, attempt, node);
                decisions = node_decisions;
                if verdict == Verdict::AtFault {
                    self.end_job(now, job, Outcome::Failed);
                }
            }
            Ending::Refused(_) | Ending::Unwritten | Ending::Stopped => {
                self.planner.released(now, job, attempt);
            }
        }
        if !self.jobs.contains_key(&job) || self.takeover.blocks(job) {
            self.remove_from_planner(now, job);
        }
        self.submit_to_planner(now, job);
        self.apply_decisions(now, decisions)
    }

    fn end_job(&mut self, now: Time, job: Job, outcome: Outcome) {
        if self.jobs.remove(&job).is_some() {
            crate::log!(JobEnded, "job {job}: {outcome:?}");
            self.unwritten_ends
                .insert(job, UnwrittenEnd { outcome, due: now, pause: MIN_END_RETRY_PAUSE });
        }
    }

    fn write_ends(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (&job, end) in &mut self.unwritten_ends {
            if end.due <= now {
                end.due = now + end.pause;
                end.pause = MAX_END_RETRY_PAUSE.min(end.pause * 2);
                effects.push(Effect::End { job, outcome: end.outcome });
            }
        }
        effects
    }
}
