//! The planner role of one availability zone: it combines placement, gangs and the takeover from
//! an earlier planner.
//!
//! A new planner first announces its epoch to the agents and collects reports of the parts they
//! run. It keeps the attempts whose parts all run, stops the others, and starts a job only after
//! the attempt is recorded in the table under its epoch.

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
/// Pause between two checks while a new agent waits for one, or after a pause of the process.
const URGENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time to wait for a check after a pause of the process. Then the leases of running parts are
/// renewed without one.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a tick after which the role must be checked before the planner acts.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Pause before the end of a job is written again. It doubles with each write.
const MIN_END_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Upper bound of the pause before the end of a job is written again.
const MAX_END_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// Identifies one attempt of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId {
    /// The job of the attempt.
    pub job: Job,
    /// The number of the attempt.
    pub attempt: Attempt,
}

/// The result of writing an attempt to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Recorded {
    /// The attempt is in the table.
    Written,
    /// The attempt is not in the table, or the result of the write is unknown.
    Unwritten,
    /// The table already has this attempt or a later one.
    Superseded {
        /// The zone whose planner recorded that attempt.
        zone: Zone,
        /// The number of that attempt.
        attempt: Attempt,
        /// The nodes of its parts, in the order of the parts.
        nodes: Vec<Node>,
    },
}

/// An action that the entry carries out for the role.
#[derive(Debug)]
pub enum Effect {
    /// Sends a command to an agent.
    Send {
        /// The node of the agent.
        node: Node,
        /// The command to send.
        command: Command,
    },
    /// Reads whether the role is still held. [`Role::role_checked`] receives the answer.
    Check {
        /// The zone of the role.
        zone: Zone,
        /// The epoch of the role.
        epoch: Epoch,
        /// When the role asked for the check; identifies the check.
        asked_at: Time,
    },
    /// Writes an attempt to the table. [`Role::attempt_recorded`] receives the result.
    Record {
        /// The zone of the role.
        zone: Zone,
        /// The epoch of the role.
        epoch: Epoch,
        /// The attempt to write.
        attempt_id: AttemptId,
        /// The nodes of the parts, in the order of the parts.
        nodes: Vec<Node>,
    },
    /// Writes the end of a job. Repeated until [`Role::apply_change`] receives that change.
    End {
        /// The job that ended.
        job: Job,
        /// The outcome to write.
        outcome: Outcome,
    },
}

/// The end of a job that is not yet known to be in the log of accepted changes.
#[derive(Debug)]
struct UnwrittenEnd {
    outcome: Outcome,
    due: Time,
    pause: Duration,
}

/// A job that may run in the zone and has not ended.
#[derive(Debug)]
struct KnownJob {
    spec: Spec,
    /// The last attempt that has ended, 0 if there is none.
    last_ended: Attempt,
}

/// The planner role of a zone.
#[derive(Debug)]
pub struct Role {
    term: Term,
    taken_at: Time,
    last_tick: Time,
    /// When the process resumed after a pause; `None` once the role has been checked.
    resumed_at: Option<Time>,
    /// When the check was asked for whose answer is pending.
    pending_check: Option<Time>,
    last_check: Option<Time>,
    survey_done: bool,
    planner: Planner,
    coordinator: Coordinator,
    takeover: Takeover,
    jobs: BTreeMap<Job, KnownJob>,
    unwritten_ends: BTreeMap<Job, UnwrittenEnd>,
}

/// Returns whether no other entry has a higher rendezvous hash for a zone's role than `node`.
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
    /// Creates the role under an epoch that was just written to the table.
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

    /// Adds or updates the worker of an agent of the zone, as announced.
    pub fn put_worker(&mut self, now: Time, node: &Node, boot: Boot, announce: &Announce) {
        if self.takeover.put_agent(now, node, boot, announce) {
            self.coordinator.register_agent(now, node, boot);
        }
        self.add_to_planner(node);
        self.planner.put_holdings(node, &announce.tasks);
    }

    /// Stops placing new work on the worker of a silent agent.
    pub fn worker_suspected(&mut self, node: &Node) {
        self.planner.close_worker(node);
    }

    /// Sets how completion time is weighed against fragmentation.
    pub fn set_policy(&mut self, policy: Policy) {
        self.planner.set_policy(policy);
    }

    /// Applies the guarantees and shares of a configuration.
    pub fn configure(&mut self, config: &Config) {
        self.planner.set_guarantees(guarantee::entitlements(config, &self.term.zone));
        self.planner.clear_shares();
        for (workspace, quota) in &config.workspaces {
            let share = Share { weight: quota.weight, limit: quota.limit };
            self.planner.set_share(workspace.clone(), share);
        }
    }

    /// Adds a job, if it may run in this zone.
    pub fn submit(&mut self, now: Time, job: Job, spec: &Spec) {
        if spec.zone.as_ref().is_some_and(|zone| *zone != self.term.zone) {
            return;
        }
        let known = KnownJob { spec: spec.clone(), last_ended: Attempt(0) };
        self.jobs.entry(job).or_insert(known);
        self.submit_to_planner(now, job);
    }

    /// Applies an accepted change of the configuration.
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

    /// Removes a lost worker and stops the attempts that have a part on it.
    pub fn worker_lost(&mut self, now: Time, node: &Node) -> Vec<Effect> {
        self.takeover.remove_agent(node);
        let decisions = self.planner.remove_worker(now, node);
        let mut effects = self.apply_decisions(now, decisions);
        let gang_effects = self.coordinator.worker_lost(now, node);
        effects.extend(self.apply_gang_effects(now, gang_effects));
        effects
    }

    /// Handles a report of an agent. Reports of other epochs are ignored.
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

    /// Handles the result of writing an attempt to the table.
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
                // The planner of another zone has recorded an attempt of the job.
                self.jobs.remove(&attempt_id.job);
            }
        }
        let gang_effects =
            self.coordinator.recorded(now, attempt_id.job, attempt_id.attempt, written);
        self.apply_gang_effects(now, gang_effects)
    }

    /// Handles the answer to the check asked for at `asked_at`: whether the role is still held. The
    /// owner drops a role that is no longer held.
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

    /// Takes over attempts, places jobs and advances the attempts. After a pause of the process it
    /// first waits for a check of the role.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        if self.may_be_superseded(now) && self.resumed_at.is_none() {
            // A check asked for before the pause does not show that the role is still held.
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

    /// Returns the numbers of workers, free accelerators and waiting jobs in the zone.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.planner.summary()
    }

    /// Returns what a job is waiting for or that it runs, if the planner has the job.
    #[must_use]
    pub fn explain(&self, now: Time, job: Job) -> Option<String> {
        self.planner.explain(now, job).map(|wait| wait.to_string())
    }

    /// Returns the number of attempts that have not ended.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.coordinator.len()
    }

    /// Returns whether another planner may have taken the role during a pause of this process.
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

    /// Asks the agents for their parts, and adopts or stops the attempts that they run.
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

    /// Allocates in the planner the accelerators of an attempt that already runs. Returns false if
    /// that is not possible.
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

    /// Removes a job from the planner. It must have no allocations there.
    fn remove_from_planner(&mut self, now: Time, job: Job) {
        self.planner.ended(now, job, Outcome::Cancelled);
    }

    /// Handles one part that an agent reported: collects it for takeover, or stops it as a stray.
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
        // A running part of an unknown job is kept: the job may just have been accepted.
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

    /// Submits a job to the planner, unless an earlier attempt may still run.
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
