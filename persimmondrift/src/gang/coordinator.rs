//! The planner's side of the gang protocol: drives the attempts of a zone from prepare to end. It
//! is a state machine without I/O and returns effects for the caller to carry out.

mod attempt;

use std::collections::{BTreeMap, BTreeSet};

use self::attempt::{Gang, Member, Stage};
use super::peer::{Outbox, Peers};
use super::{Command, Holding, LEASE, Order, Phase, Report, Task, Term};
use crate::place;
use crate::unit::{Attempt, Boot, Job, Node, Part, Time};

/// An action that the planner's process carries out for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Sends a command to the agent of a node.
    Send {
        /// The node of the agent.
        node: Node,
        /// The command to send.
        command: Command,
    },
    /// Writes the attempt to the table; the caller reports the result with
    /// [`Coordinator::recorded`].
    Record {
        /// The job of the attempt.
        job: Job,
        /// The attempt to record.
        attempt: Attempt,
        /// The nodes of the parts, in the order of the parts.
        nodes: Vec<Node>,
    },
    /// Reports that the attempt has ended on all its workers.
    Over {
        /// The job of the attempt.
        job: Job,
        /// The attempt that ended.
        attempt: Attempt,
        /// The reason for which the attempt ended.
        ending: Ending,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// All parts finished.
    Finished,
    /// A part failed at this node.
    Failed(Node),
    /// The agent of this node refused a part.
    Refused(Node),
    /// The attempt could not be written to the table.
    Unwritten,
    /// The attempt never ran, or was stopped.
    Stopped,
}

/// A part that was started under an earlier planner and reported by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundPart {
    /// The node of the part's worker.
    pub node: Node,
    /// The part as the agent reported it.
    pub holding: Holding,
    /// Lower bound, on the planner's clock, of the time at which the part was in that state.
    pub at: Time,
}

/// The attempts of one zone.
#[derive(Debug, Clone)]
pub struct Coordinator {
    term: Term,
    gangs: BTreeMap<Job, Gang>,
    peers: Peers,
    /// Jobs whose attempt is starting or stopping, or has a part that neither runs nor has
    /// finished. [`Coordinator::tick`] advances only these.
    unsettled: BTreeSet<Job>,
}

impl Coordinator {
    /// Creates a coordinator for a planner's term.
    #[must_use]
    pub fn new(term: Term) -> Self {
        let (gangs, peers, unsettled) = (BTreeMap::new(), Peers::default(), BTreeSet::new());
        Self { term, gangs, peers, unsettled }
    }

    /// Registers an incarnation of an agent. After a restart, parts that the new incarnation does
    /// not list in its next complete report count as gone.
    pub fn register_agent(&mut self, now: Time, node: &Node, boot: Boot) {
        if !self.peers.register(now, node, boot) {
            return;
        }
        for gang in self.gangs.values_mut() {
            for member in gang.members.iter_mut().filter(|member| member.node == *node) {
                member.agent_restarted = true;
            }
        }
    }

    /// Asks an agent for a complete report, which also makes this planner's epoch known to it.
    #[must_use]
    pub fn survey(&self, now: Time, node: &Node) -> Vec<Effect> {
        self.peers.survey(now, &self.term, node).into_iter().collect()
    }

    /// Begins an attempt by preparing all its parts.
    pub fn begin(
        &mut self,
        now: Time,
        job: Job,
        attempt: Attempt,
        spec: place::Spec,
        allocations: Vec<place::Allocation>,
    ) -> Vec<Effect> {
        let gang = Gang::prepare(now, attempt, spec, allocations);
        self.gangs.insert(job, gang);
        self.unsettled.insert(job);
        self.step(now, [job])
    }

    /// Takes over an attempt whose parts were reported by their agents. Keeps it running if
    /// `complete`, and stops it otherwise.
    pub fn adopt(
        &mut self,
        now: Time,
        job: Job,
        attempt: Attempt,
        found: Vec<FoundPart>,
        complete: bool,
    ) -> Vec<Effect> {
        for part in &found {
            let task = part.holding.task;
            self.peers.set_running(&part.node, task, part.holding.phase == Phase::Running);
        }
        let gang = Gang::adopt(now, attempt, found, complete);
        self.gangs.insert(job, gang);
        self.unsettled.insert(job);
        self.step(now, [job])
    }

    /// Orders an agent to stop a part that belongs to no attempt of this coordinator.
    #[must_use]
    pub fn stop_stray(&self, now: Time, node: &Node, task: Task) -> Vec<Effect> {
        let mut outbox = Outbox::default();
        outbox.push(node, task, Order::Stop);
        self.peers.flush(now, &self.term, outbox)
    }

    /// Returns whether this coordinator drives an attempt of the job.
    #[must_use]
    pub fn has(&self, job: Job) -> bool {
        self.gangs.contains_key(&job)
    }

    /// Returns whether this coordinator drives the given attempt.
    #[must_use]
    pub fn drives(&self, job: Job, attempt: Attempt) -> bool {
        self.gangs.get(&job).is_some_and(|gang| gang.attempt == attempt)
    }

    /// Handles a report of an agent. Reports of other epochs, other incarnations or with an older
    /// clock are ignored.
    pub fn report(&mut self, now: Time, node: &Node, report: &Report) -> Vec<Effect> {
        if report.epoch != self.term.epoch || !self.peers.update_clock(now, node, report) {
            return Vec::new();
        }
        let mut jobs = BTreeSet::new();
        for holding in &report.holdings {
            if self.observe(node, report.at(), holding) {
                jobs.insert(holding.task.job);
            }
        }
        if report.complete {
            jobs.extend(self.end_unlisted(node, &report.holdings));
        }
        self.unsettled.extend(&jobs);
        self.step(now, jobs)
    }

    /// Handles the result of writing an attempt to the table. Starts the parts if `written`, and
    /// stops the attempt otherwise.
    pub fn recorded(
        &mut self,
        now: Time,
        job: Job,
        attempt: Attempt,
        written: bool,
    ) -> Vec<Effect> {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return Vec::new();
        };
        if gang.attempt != attempt || gang.stage != Stage::Recording {
            return Vec::new();
        }
        if !written {
            gang.ending = Ending::Unwritten;
        }
        gang.enter(now, if written { Stage::Running } else { Stage::Stopping });
        self.step(now, [job])
    }

    /// Stops the attempt of a job.
    pub fn stop(&mut self, now: Time, job: Job) -> Vec<Effect> {
        match self.gangs.get_mut(&job) {
            Some(gang) if gang.stage != Stage::Stopping => {
                gang.enter(now, Stage::Stopping);
            }
            _ => return Vec::new(),
        }
        self.unsettled.insert(job);
        self.step(now, [job])
    }

    /// Stops the attempts that have a part on a lost worker. They end once that part has certainly
    /// stopped, at the latest when its lease ends.
    pub fn worker_lost(&mut self, now: Time, node: &Node) -> Vec<Effect> {
        let mut jobs = Vec::new();
        for (&job, gang) in &mut self.gangs {
            let affected = gang.members.iter().any(|m| m.node == *node && !m.is_over());
            if affected && gang.stage != Stage::Stopping {
                gang.enter(now, Stage::Stopping);
                jobs.push(job);
            }
        }
        self.unsettled.extend(&jobs);
        self.step(now, jobs)
    }

    /// Resends unanswered commands and renews the leases of running parts.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut outbox = Outbox::default();
        for (node, tasks) in self.peers.due(now) {
            for task in tasks {
                self.renew(now, &node, task, &mut outbox);
            }
        }
        let mut effects = self.peers.flush(now, &self.term, outbox);
        let jobs: Vec<Job> = self.unsettled.iter().copied().collect();
        effects.extend(self.step(now, jobs));
        effects
    }

    /// Returns the number of attempts that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.gangs.len()
    }

    /// Returns the number of attempts whose parts all run or have finished.
    #[must_use]
    pub fn settled(&self) -> usize {
        self.gangs.len() - self.unsettled.len()
    }

    /// Returns whether there is no attempt that has not ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }

    /// Returns the end of the lease that all parts of an attempt share.
    #[must_use]
    pub fn lease_end(&self, job: Job) -> Option<Time> {
        self.gangs.get(&job).map(|gang| gang.lease_start() + LEASE)
    }

    /// Records the reported state of a part; returns whether it changed.
    fn observe(&mut self, node: &Node, at: Time, holding: &Holding) -> bool {
        let task = holding.task;
        let Some(gang) = self.gangs.get_mut(&task.job) else {
            return false;
        };
        if gang.attempt != task.attempt {
            return false;
        }
        let Some(member) = gang.member(task.part) else {
            return false;
        };
        if member.node != *node || member.is_over() {
            return false;
        }
        member.agent_restarted = false;
        if holding.phase == Phase::Running {
            member.confirmed_at = member.confirmed_at.max(at);
        }
        if member.phase == Some(holding.phase) {
            return false;
        }
        member.set_phase(holding.phase);
        let failed = match holding.phase {
            Phase::Failed => Some(Ending::Failed(node.clone())),
            Phase::Refused(_) => Some(Ending::Refused(node.clone())),
            _ => None,
        };
        if let Some(ending) = failed
            && gang.ending == Ending::Stopped
        {
            gang.ending = ending;
        }
        self.peers.set_running(node, task, holding.phase == Phase::Running);
        true
    }

    /// Marks parts as gone that were held by an earlier incarnation of an agent and are missing
    /// from a complete report of the current one. Returns their jobs.
    fn end_unlisted(&mut self, node: &Node, listed: &[Holding]) -> Vec<Job> {
        let mut jobs = Vec::new();
        for (&job, gang) in &mut self.gangs {
            let attempt = gang.attempt;
            let unlisted = |member: &&mut Member| {
                let task = Task { job, attempt, part: member.part };
                member.agent_restarted
                    && member.node == *node
                    && listed.iter().all(|h| h.task != task)
            };
            for member in gang.members.iter_mut().filter(|member| unlisted(member)) {
                if !member.is_over() {
                    member.set_phase(Phase::Gone);
                    jobs.push(job);
                }
            }
        }
        jobs
    }

    fn renew(&mut self, now: Time, node: &Node, task: Task, outbox: &mut Outbox) {
        let Some(gang) = self.gangs.get_mut(&task.job) else {
            self.peers.set_running(node, task, false);
            return;
        };
        if gang.attempt != task.attempt || gang.stage != Stage::Running {
            self.peers.set_running(node, task, false);
            return;
        }
        let end = gang.cached_lease_start(now) + LEASE;
        if end <= now {
            gang.enter(now, Stage::Stopping);
            self.unsettled.insert(task.job);
            return;
        }
        if let Some(member) = gang.member(task.part) {
            member.until = member.until.max(end);
        }
        let lease = self.peers.lease(node, end);
        outbox.push(node, task, Order::Renew { lease });
    }

    /// Advances the attempts of the given jobs and sends the orders that are due.
    fn step(&mut self, now: Time, jobs: impl IntoIterator<Item = Job>) -> Vec<Effect> {
        let mut outbox = Outbox::default();
        let mut effects = Vec::new();
        for job in jobs {
            self.advance(now, job, &mut outbox, &mut effects);
        }
        effects.extend(self.peers.flush(now, &self.term, outbox));
        effects
    }

    fn advance(&mut self, now: Time, job: Job, outbox: &mut Outbox, effects: &mut Vec<Effect>) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            self.unsettled.remove(&job);
            return;
        };
        gang.expire(now);
        if gang.stage == Stage::Preparing && gang.all(|phase| phase == Phase::Held) {
            gang.enter(now, Stage::Recording);
            let nodes = gang.members.iter().map(|member| member.node.clone()).collect();
            effects.push(Effect::Record { job, attempt: gang.attempt, nodes });
        }
        if gang.stage == Stage::Running && gang.all(|phase| phase == Phase::Finished) {
            gang.ending = Ending::Finished;
        }
        if gang.members.iter().all(Member::is_over) {
            self.finish(job, effects);
            return;
        }
        let runs = |phase| matches!(phase, Phase::Running | Phase::Finished);
        if gang.stage == Stage::Running && gang.all(runs) {
            self.unsettled.remove(&job);
            return;
        }
        self.send_due(now, job, outbox);
    }

    fn send_due(&mut self, now: Time, job: Job, outbox: &mut Outbox) {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return;
        };
        let (stage, attempt) = (gang.stage, gang.attempt);
        let end = gang.cached_lease_start(now) + LEASE;
        let spec = gang.spec.clone();
        for member in gang.members.iter_mut().filter(|member| member.is_due(now, stage)) {
            let lease = self.peers.lease(&member.node, end);
            let Some(order) = member.order(stage, lease, spec.as_ref()) else {
                continue;
            };
            member.mark_sent(now, &order, end);
            let task = Task { job, attempt, part: member.part };
            outbox.push(&member.node, task, order);
        }
    }

    fn finish(&mut self, job: Job, effects: &mut Vec<Effect>) {
        self.unsettled.remove(&job);
        let Some(gang) = self.gangs.remove(&job) else {
            return;
        };
        for member in &gang.members {
            let task = Task { job, attempt: gang.attempt, part: member.part };
            self.peers.set_running(&member.node, task, false);
        }
        effects.push(Effect::Over { job, attempt: gang.attempt, ending: gang.ending });
    }
}

fn part_at(index: usize) -> Part {
    Part(u16::try_from(index).unwrap_or(u16::MAX))
}
