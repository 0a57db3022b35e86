//! What a new planner finds: the agents it has heard from, the parts that run, and the
//! attempts of earlier planners that may still run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gang::{FoundPart, Holding, LEASE, Phase, STOP_GRACE};
use crate::member::{Announce, Capacity, DEAD_AFTER, State};
use crate::unit::{Attempt, Boot, Job, Millis, Node, Rack, Time};

/// Time after the role was taken by which an agent that was not heard holds up no job.
pub const SETTLE_WITHIN: Duration = Duration::from_secs(1);
/// Time given to the agents to report all parts of an attempt.
pub const ADOPT_WITHIN: Duration = Duration::from_secs(3);
/// Pause before an agent that has not answered is asked again.
const SURVEY_AGAIN: Duration = Duration::from_millis(300);

/// Time after which a part at an agent that is not heard has stopped.
#[must_use]
pub fn silent_within() -> Duration {
    DEAD_AFTER + Duration::from(Millis(LEASE.0)) + STOP_GRACE
}

/// How far an agent is known to this planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It announced itself at this time; the role has not been checked since.
    Joined(Time),
    /// The role was held after the agent had announced itself.
    Checked,
    /// It has told all its parts under this epoch.
    Heard,
}

/// An agent of the zone.
#[derive(Debug)]
pub struct Agent {
    /// Its rack.
    pub rack: Rack,
    /// What its worker has to give.
    pub capacity: Capacity,
    /// Whether it takes new work.
    pub open: bool,
    boot: Boot,
    standing: Standing,
    asked: Option<Time>,
}

/// The parts of one attempt that agents reported.
#[derive(Debug)]
pub struct Lot {
    /// The attempt.
    pub attempt: Attempt,
    /// The parts found so far.
    pub parts: Vec<FoundPart>,
    /// When the first one was found.
    pub since: Time,
}

/// An attempt that an earlier planner has recorded, and that may still run.
#[derive(Debug)]
pub struct Prior {
    /// The attempt.
    pub attempt: Attempt,
    /// The nodes of its parts.
    pub nodes: Vec<Node>,
}

/// What a new planner has found so far.
#[derive(Debug, Default)]
pub struct Succession {
    agents: BTreeMap<Node, Agent>,
    lots: BTreeMap<Job, Lot>,
    priors: BTreeMap<Job, Prior>,
}

impl Succession {
    /// Takes in what an agent announces; returns whether it is new or has started anew.
    pub fn put(&mut self, now: Time, node: &Node, boot: Boot, said: &Announce) -> bool {
        let known = self.agents.get(node).filter(|agent| agent.boot == boot);
        let standing = known.map_or(Standing::Joined(now), |agent| agent.standing);
        let agent = Agent {
            rack: said.place.rack.clone(),
            capacity: said.capacity,
            open: said.state == State::Serving,
            boot,
            standing,
            asked: known.and_then(|agent| agent.asked),
        };
        let new = known.is_none();
        self.agents.insert(node.clone(), agent);
        new
    }

    /// Takes in that an agent is given up.
    pub fn remove(&mut self, node: &Node) {
        self.agents.remove(node);
    }

    /// Takes in that the role was held after this time.
    pub fn checked(&mut self, asked: Time) {
        for agent in self.agents.values_mut() {
            if matches!(agent.standing, Standing::Joined(joined) if joined <= asked) {
                agent.standing = Standing::Checked;
            }
        }
    }

    /// Returns whether an agent has announced itself since the role was last checked.
    pub fn awaits_check(&self) -> bool {
        self.agents.values().any(|agent| matches!(agent.standing, Standing::Joined(_)))
    }

    /// Returns the agents to ask for their parts, the first time or again.
    pub fn unheard(&mut self, now: Time) -> Vec<Node> {
        let mut nodes = Vec::new();
        for (node, agent) in &mut self.agents {
            let due = agent.asked.is_none_or(|asked| now.since(asked) >= SURVEY_AGAIN);
            if agent.standing == Standing::Checked && due {
                agent.asked = Some(now);
                nodes.push(node.clone());
            }
        }
        nodes
    }

    /// Takes in that an agent has told all its parts; returns it the first time.
    pub fn heard(&mut self, node: &Node, boot: Boot) -> Option<&Agent> {
        let agent = self.agents.get_mut(node)?;
        if agent.boot != boot || agent.standing != Standing::Checked {
            return None;
        }
        agent.standing = Standing::Heard;
        Some(agent)
    }

    /// Returns an agent that has told all its parts.
    pub fn agent(&self, node: &Node) -> Option<&Agent> {
        self.agents.get(node).filter(|agent| agent.standing == Standing::Heard)
    }

    /// Returns whether all agents have told their parts.
    pub fn complete(&self) -> bool {
        self.agents.values().all(|agent| agent.standing == Standing::Heard)
    }

    /// Takes in a part of a job that an agent reported. Returns the parts of an earlier
    /// attempt that are to be stopped for it.
    pub fn find(&mut self, now: Time, node: &Node, holding: Holding, at: Time) -> Vec<FoundPart> {
        let attempt = holding.task.attempt;
        let found = FoundPart { node: node.clone(), holding, at };
        let fresh = Lot { attempt, parts: Vec::new(), since: now };
        let lot = self.lots.entry(found.holding.task.job).or_insert(fresh);
        if attempt < lot.attempt {
            return vec![found];
        }
        let mut earlier = Vec::new();
        if attempt > lot.attempt {
            earlier = std::mem::take(&mut lot.parts);
            lot.attempt = attempt;
        }
        lot.parts.retain(|part| part.holding.task != found.holding.task);
        lot.parts.push(found);
        earlier
    }

    /// Notes an attempt that an earlier planner has recorded.
    pub fn note(&mut self, job: Job, prior: Prior) {
        self.priors.insert(job, prior);
    }

    /// Returns whether an earlier attempt of a job may still run.
    pub fn holds_up(&self, job: Job) -> bool {
        self.lots.contains_key(&job) || self.priors.contains_key(&job)
    }

    /// Drops what is known of the earlier attempts of a job that has ended.
    pub fn drop_job(&mut self, job: Job) -> Option<Lot> {
        self.priors.remove(&job);
        self.lots.remove(&job)
    }

    /// Takes out a lot that has all its parts, or that has waited long enough for them. A job
    /// that is not known has no number of parts.
    pub fn take_lot(
        &mut self,
        now: Time,
        ready: impl Fn(Job) -> bool,
        parts: impl Fn(Job) -> Option<usize>,
    ) -> Option<(Job, Lot, bool)> {
        let all_heard = self.complete();
        let decide = |job: Job, lot: &Lot| {
            let goes_on =
                |phase| matches!(phase, Phase::Starting | Phase::Running | Phase::Finished);
            let fit = lot.parts.iter().all(|part| goes_on(part.holding.phase));
            let wanted = parts(job);
            let whole = fit && wanted == Some(lot.parts.len());
            let late = now.since(lot.since) >= ADOPT_WITHIN;
            let over = late || (wanted.is_some() && (!fit || all_heard));
            (whole || over).then_some(whole)
        };
        let mut choices = self.lots.iter().filter(|(job, _)| ready(**job));
        let (job, whole) = choices.find_map(|(&job, lot)| Some((job, decide(job, lot)?)))?;
        Some((job, self.lots.remove(&job)?, whole))
    }

    /// Takes out an earlier attempt that is over: all its agents were heard, or the silent
    /// ones have been silent for longer than a lease.
    pub fn take_prior(&mut self, now: Time, taken: Time) -> Option<(Job, Prior)> {
        let waited = now.since(taken) >= silent_within();
        let over =
            |prior: &Prior| waited || prior.nodes.iter().all(|node| self.agent(node).is_some());
        let mut choices = self.priors.iter().filter(|(job, _)| !self.lots.contains_key(job));
        let job = choices.find_map(|(&job, prior)| over(prior).then_some(job))?;
        Some((job, self.priors.remove(&job)?))
    }
}
