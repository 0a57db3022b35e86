//! The planner's side: drives the attempts of a zone from prepare to their end.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Command, HOLD, LEASE, Order, Phase, RENEW_EVERY, RESEND_AFTER, Report, Task, Term};
use crate::place;
use crate::unit::{Attempt, Job, Node, Part, Time};

/// What the planner's process does for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Sends a command to the agent of a node.
    Send {
        /// The node.
        node: Node,
        /// The command.
        command: Command,
    },
    /// Writes the attempt to the table; the answer comes back by [`Coordinator::recorded`].
    Record {
        /// The job.
        job: Job,
        /// The attempt.
        attempt: Attempt,
    },
    /// The attempt is over on all its workers.
    Over {
        /// The job.
        job: Job,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        ending: Ending,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// All parts finished.
    Finished,
    /// A part failed at a node.
    Failed(Node),
    /// It never ran, or was stopped.
    Stopped,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Preparing,
    Recording,
    Running,
    Stopping,
}

#[derive(Debug)]
struct Member {
    node: Node,
    mask: u64,
    phase: Option<Phase>,
    sent: Time,
}

#[derive(Debug)]
struct Gang {
    attempt: Attempt,
    spec: place::Spec,
    stage: Stage,
    members: Vec<Member>,
    ending: Ending,
    began: Time,
}

/// The attempts of one zone.
#[derive(Debug)]
pub struct Coordinator {
    term: Term,
    gangs: BTreeMap<Job, Gang>,
}

impl Coordinator {
    /// Creates a coordinator for a planner's term.
    #[must_use]
    pub fn new(term: Term) -> Self {
        Self { term, gangs: BTreeMap::new() }
    }

    /// Begins an attempt: all its parts are prepared.
    pub fn begin(
        &mut self,
        now: Time,
        job: Job,
        attempt: Attempt,
        spec: place::Spec,
        seats: Vec<place::Seat>,
    ) -> Vec<Effect> {
        let member =
            |seat: place::Seat| Member { node: seat.node, mask: seat.mask, phase: None, sent: now };
        let members = seats.into_iter().map(member).collect();
        let gang = Gang {
            attempt,
            spec,
            stage: Stage::Preparing,
            members,
            ending: Ending::Stopped,
            began: now,
        };
        let effects = gang.commands(&self.term, job, |_| true);
        self.gangs.insert(job, gang);
        effects
    }

    /// Takes in what an agent reports of a part.
    pub fn report(&mut self, now: Time, node: &Node, report: &Report) -> Vec<Effect> {
        let task = report.task;
        let Some(gang) = self.gangs.get_mut(&task.job) else {
            return Vec::new();
        };
        if gang.attempt != task.attempt {
            return Vec::new();
        }
        let Some(member) = gang.members.get_mut(usize::from(task.part.0)) else {
            return Vec::new();
        };
        if member.node != *node || member.is_over() {
            return Vec::new();
        }
        member.phase = Some(report.phase);
        if report.phase == Phase::Failed {
            gang.ending = Ending::Failed(node.clone());
        }
        self.advance(now, task.job)
    }

    /// Takes in whether the attempt was written to the table.
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
        gang.stage = if written { Stage::Running } else { Stage::Stopping };
        for member in &mut gang.members {
            member.sent = now;
        }
        gang.commands(&self.term, job, |_| true)
    }

    /// Stops an attempt.
    pub fn stop(&mut self, now: Time, job: Job, attempt: Attempt) -> Vec<Effect> {
        match self.gangs.get_mut(&job) {
            Some(gang) if gang.attempt == attempt && gang.stage != Stage::Stopping => {
                gang.stage = Stage::Stopping;
            }
            _ => return Vec::new(),
        }
        self.advance(now, job)
    }

    /// Takes in that a worker is lost: its parts are over once their lease has lapsed.
    pub fn lost(&mut self, now: Time, node: &Node) -> Vec<Effect> {
        let mut jobs = Vec::new();
        for (&job, gang) in &mut self.gangs {
            for member in gang.members.iter_mut().filter(|member| member.node == *node) {
                if !member.is_over() {
                    member.phase = Some(Phase::Gone);
                    jobs.push(job);
                }
            }
        }
        jobs.into_iter().flat_map(|job| self.advance(now, job)).collect()
    }

    /// Sends again what was not answered, and renews what runs.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (&job, gang) in &mut self.gangs {
            if gang.stage == Stage::Preparing && now.since(gang.began) >= Duration::from(HOLD) {
                gang.stage = Stage::Stopping;
            }
            let settled = gang.members.iter().all(|member| member.phase == Some(Phase::Running));
            let pause = if settled { RENEW_EVERY } else { RESEND_AFTER };
            let mut due = Vec::new();
            for member in &mut gang.members {
                due.push(now.since(member.sent) >= Duration::from(pause));
                if due[due.len() - 1] {
                    member.sent = now;
                }
            }
            effects.extend(gang.commands(&self.term, job, |index| due[index]));
        }
        effects
    }

    /// Returns the number of attempts that are not over.
    #[must_use]
    pub fn len(&self) -> usize {
        self.gangs.len()
    }

    /// Returns whether no attempt is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }

    fn advance(&mut self, now: Time, job: Job) -> Vec<Effect> {
        let Some(gang) = self.gangs.get_mut(&job) else {
            return Vec::new();
        };
        let attempt = gang.attempt;
        let all = |phase: Phase| gang.members.iter().all(|m| m.phase == Some(phase));
        if gang.stage != Stage::Stopping && gang.members.iter().any(Member::is_lost) {
            gang.stage = Stage::Stopping;
            for member in &mut gang.members {
                member.sent = now;
            }
            let effects = gang.commands(&self.term, job, |_| true);
            return effects.into_iter().chain(self.finish(job)).collect();
        }
        if gang.stage == Stage::Preparing && all(Phase::Held) {
            gang.stage = Stage::Recording;
            return vec![Effect::Record { job, attempt }];
        }
        if gang.stage == Stage::Running && all(Phase::Finished) {
            gang.ending = Ending::Finished;
        }
        if gang.members.iter().all(Member::is_over) {
            return self.finish(job);
        }
        if gang.stage == Stage::Stopping {
            return gang.commands(&self.term, job, |_| true);
        }
        Vec::new()
    }

    fn finish(&mut self, job: Job) -> Vec<Effect> {
        let over = self.gangs.get(&job).is_some_and(|g| g.members.iter().all(Member::is_over));
        if !over {
            return Vec::new();
        }
        let Some(gang) = self.gangs.remove(&job) else {
            return Vec::new();
        };
        vec![Effect::Over { job, attempt: gang.attempt, ending: gang.ending }]
    }
}

impl Member {
    fn is_over(&self) -> bool {
        matches!(self.phase, Some(Phase::Finished | Phase::Failed | Phase::Gone))
    }

    fn is_lost(&self) -> bool {
        matches!(self.phase, Some(Phase::Failed | Phase::Gone | Phase::Refused(_)))
    }
}

impl Gang {
    fn commands(&self, term: &Term, job: Job, due: impl Fn(usize) -> bool) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            if !due(index) || member.is_over() {
                continue;
            }
            let Some(order) = self.order(member) else {
                continue;
            };
            let part = Part(u16::try_from(index).unwrap_or(u16::MAX));
            let task = Task { job, attempt: self.attempt, part };
            let command = Command { term: term.clone(), task, order };
            effects.push(Effect::Send { node: member.node.clone(), command });
        }
        effects
    }

    fn order(&self, member: &Member) -> Option<Order> {
        match (self.stage, member.phase) {
            (Stage::Preparing, None) => {
                Some(Order::Prepare { mask: member.mask, hold: HOLD, spec: self.spec.clone() })
            }
            (Stage::Running, Some(Phase::Held)) => Some(Order::Go { lease: LEASE }),
            (Stage::Running, Some(Phase::Running)) => Some(Order::Renew { lease: LEASE }),
            (Stage::Stopping, _) => Some(Order::Stop),
            _ => None,
        }
    }
}
