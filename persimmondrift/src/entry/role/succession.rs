//! What a new planner finds: the agents it has heard from, the parts that run, and the
//! attempts of earlier planners that may still run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gang::{FoundPart, Holding, LEASE, Phase, STOP_GRACE};
use crate::member::{Announce, Capacity, DEAD_AFTER, State};
use crate::unit::{Attempt, Boot, Job, Millis, Node, Rack, Time};

/// Time after the role was taken by which an agent that was not heard holds up no job.
pub const SURVEY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time given to the agents to report all parts of an attempt.
pub const ADOPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before an agent that has not answered is asked again.
const SURVEY_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time after which a part at an agent that is not heard has stopped.
#[must_use]
pub fn silent_part_timeout() -> Duration {
    DEAD_AFTER + Duration::from(Millis(LEASE.0)) + STOP_GRACE
}

/// How far an agent is known to this planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AgentState {
    /// It announced itself at this time; the role has not been checked since.
    Announced(Time),
    /// The role was held after the agent had announced itself.
    RoleChecked,
    /// It has told all its parts under this epoch.
    Reported,
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
    state: AgentState,
    surveyed_at: Option<Time>,
}

/// The parts of one attempt that agents reported.
#[derive(Debug)]
pub struct FoundAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// The parts found so far.
    pub parts: Vec<FoundPart>,
    /// When the first one was found.
    pub since: Time,
}

/// An attempt that an earlier planner has recorded, and that may still run.
#[derive(Debug)]
pub struct PriorAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// The nodes of its parts.
    pub nodes: Vec<Node>,
}

/// What a new planner has found so far.
#[derive(Debug, Default)]
pub struct Takeover {
    agents: BTreeMap<Node, Agent>,
    found: BTreeMap<Job, FoundAttempt>,
    priors: BTreeMap<Job, PriorAttempt>,
}

impl Takeover {
    /// Takes in what an agent announces; returns whether it is new or has started anew.
    pub fn put_agent(&mut self, now: Time, node: &Node, boot: Boot, announce: &Announce) -> bool {
        let known = self.agents.get(node).filter(|agent| agent.boot == boot);
        let state = known.map_or(AgentState::Announced(now), |agent| agent.state);
        let agent = Agent {
            rack: announce.place.rack.clone(),
            capacity: announce.capacity,
            open: announce.state == State::Serving,
            boot,
            state,
            surveyed_at: known.and_then(|agent| agent.surveyed_at),
        };
        let new = known.is_none();
        self.agents.insert(node.clone(), agent);
        new
    }

    /// Takes in that an agent is given up.
    pub fn remove_agent(&mut self, node: &Node) {
        self.agents.remove(node);
    }

    /// Takes in that the role was held after this time.
    pub fn role_checked(&mut self, asked_at: Time) {
        for agent in self.agents.values_mut() {
            if matches!(agent.state, AgentState::Announced(announced_at) if announced_at <= asked_at)
            {
                agent.state = AgentState::RoleChecked;
            }
        }
    }

    /// Returns whether an agent has announced itself since the role was last checked.
    pub fn awaits_check(&self) -> bool {
        self.agents.values().any(|agent| matches!(agent.state, AgentState::Announced(_)))
    }

    /// Returns the agents to ask for their parts, the first time or again.
    pub fn agents_to_survey(&mut self, now: Time) -> Vec<Node> {
        let mut nodes = Vec::new();
        for (node, agent) in &mut self.agents {
            let due = agent
                .surveyed_at
                .is_none_or(|surveyed_at| now.since(surveyed_at) >= SURVEY_RETRY_PAUSE);
            if agent.state == AgentState::RoleChecked && due {
                agent.surveyed_at = Some(now);
                nodes.push(node.clone());
            }
        }
        nodes
    }

    /// Takes in that an agent has told all its parts; returns it the first time.
    pub fn agent_reported(&mut self, node: &Node, boot: Boot) -> Option<&Agent> {
        let agent = self.agents.get_mut(node)?;
        if agent.boot != boot || agent.state != AgentState::RoleChecked {
            return None;
        }
        agent.state = AgentState::Reported;
        Some(agent)
    }

    /// Returns an agent that has told all its parts.
    pub fn reported_agent(&self, node: &Node) -> Option<&Agent> {
        self.agents.get(node).filter(|agent| agent.state == AgentState::Reported)
    }

    /// Returns whether all agents have told their parts.
    pub fn all_reported(&self) -> bool {
        self.agents.values().all(|agent| agent.state == AgentState::Reported)
    }

    /// Takes in a part of a job that an agent reported. Returns the parts of an earlier
    /// attempt that are to be stopped for it.
    pub fn add_part(
        &mut self,
        now: Time,
        node: &Node,
        holding: Holding,
        at: Time,
    ) -> Vec<FoundPart> {
        let attempt = holding.task.attempt;
        let part = FoundPart { node: node.clone(), holding, at };
        let new_attempt = FoundAttempt { attempt, parts: Vec::new(), since: now };
        let known = self.found.entry(part.holding.task.job).or_insert(new_attempt);
        if attempt < known.attempt {
            return vec![part];
        }
        let mut earlier = Vec::new();
        if attempt > known.attempt {
            earlier = std::mem::take(&mut known.parts);
            known.attempt = attempt;
        }
        known.parts.retain(|other| other.holding.task != part.holding.task);
        known.parts.push(part);
        earlier
    }

    /// Notes an attempt that an earlier planner has recorded.
    pub fn add_prior(&mut self, job: Job, prior: PriorAttempt) {
        self.priors.insert(job, prior);
    }

    /// Returns whether an earlier attempt of a job may still run.
    pub fn blocks(&self, job: Job) -> bool {
        self.found.contains_key(&job) || self.priors.contains_key(&job)
    }

    /// Drops what is known of the earlier attempts of a job that has ended.
    pub fn remove_job(&mut self, job: Job) -> Option<FoundAttempt> {
        self.priors.remove(&job);
        self.found.remove(&job)
    }

    /// Takes out a found that has all its parts, or that has waited long enough for them. A job
    /// that is not known has no number of parts.
    pub fn take_found(
        &mut self,
        now: Time,
        ready: impl Fn(Job) -> bool,
        parts: impl Fn(Job) -> Option<usize>,
    ) -> Option<(Job, FoundAttempt, bool)> {
        let all_reported = self.all_reported();
        let decide = |job: Job, found: &FoundAttempt| {
            let can_continue =
                |phase| matches!(phase, Phase::Starting | Phase::Running | Phase::Finished);
            let healthy = found.parts.iter().all(|part| can_continue(part.holding.phase));
            let expected = parts(job);
            let complete = healthy && expected == Some(found.parts.len());
            let late = now.since(found.since) >= ADOPT_TIMEOUT;
            let give_up = late || (expected.is_some() && (!healthy || all_reported));
            (complete || give_up).then_some(complete)
        };
        let mut choices = self.found.iter().filter(|(job, _)| ready(**job));
        let (job, complete) = choices.find_map(|(&job, found)| Some((job, decide(job, found)?)))?;
        Some((job, self.found.remove(&job)?, complete))
    }

    /// Takes out an earlier attempt that is over: all its agents were heard, or the silent
    /// ones have been silent for longer than a lease.
    pub fn take_ended_prior(&mut self, now: Time, taken: Time) -> Option<(Job, PriorAttempt)> {
        let waited = now.since(taken) >= silent_part_timeout();
        let ended = |prior: &PriorAttempt| {
            waited || prior.nodes.iter().all(|node| self.reported_agent(node).is_some())
        };
        let mut choices = self.priors.iter().filter(|(job, _)| !self.found.contains_key(job));
        let job = choices.find_map(|(&job, prior)| ended(prior).then_some(job))?;
        Some((job, self.priors.remove(&job)?))
    }
}
