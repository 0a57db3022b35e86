//! The state of a takeover by a new planner: which agents have reported their parts, which parts
//! were found, and which recorded attempts of earlier planners may still run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gang::{FoundPart, Holding, LEASE, Phase, STOP_GRACE};
use crate::member::{Announce, Capacity, DEAD_AFTER, State};
use crate::unit::{Attempt, Boot, Job, Millis, Node, Rack, Time};

/// Time after the role was taken at which jobs are placed although some agents have not reported.
pub const SURVEY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to wait for the remaining parts of an attempt after the first was reported.
pub const ADOPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before an agent that has not reported is asked again.
const SURVEY_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Returns the time after which a part at a silent agent has certainly stopped.
#[must_use]
pub fn silent_part_timeout() -> Duration {
    DEAD_AFTER + Duration::from(Millis(LEASE.0)) + STOP_GRACE
}

/// The progress of the takeover at one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AgentState {
    /// The agent announced itself at this time; the role has not been checked since.
    Announced(Time),
    /// A check after the announcement showed that the role is held. The agent may be asked for its
    /// parts.
    RoleChecked,
    /// The agent has reported all its parts under this epoch.
    Reported,
}

/// An agent of the zone.
#[derive(Debug)]
pub struct Agent {
    /// The rack of its worker.
    pub rack: Rack,
    /// The capacity of its worker.
    pub capacity: Capacity,
    /// Whether it takes new work.
    pub open: bool,
    boot: Boot,
    state: AgentState,
    surveyed_at: Option<Time>,
}

/// An attempt of an earlier planner, as far as agents have reported its parts.
#[derive(Debug)]
pub struct FoundAttempt {
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The parts reported so far.
    pub parts: Vec<FoundPart>,
    /// When the first part of the job was reported.
    pub since: Time,
}

/// An attempt that an earlier planner has recorded and that may still run.
#[derive(Debug)]
pub struct PriorAttempt {
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The nodes of its parts.
    pub nodes: Vec<Node>,
}

/// The agents of the zone, and the attempts of earlier planners that are not yet adopted or ended.
#[derive(Debug, Default)]
pub struct Takeover {
    agents: BTreeMap<Node, Agent>,
    found: BTreeMap<Job, FoundAttempt>,
    priors: BTreeMap<Job, PriorAttempt>,
}

impl Takeover {
    /// Adds or updates an agent as announced. Returns whether this incarnation is new.
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

    /// Removes an agent whose worker was lost.
    pub fn remove_agent(&mut self, node: &Node) {
        self.agents.remove(node);
    }

    /// Records that the role was still held at a check asked for at this time.
    pub fn role_checked(&mut self, asked_at: Time) {
        for agent in self.agents.values_mut() {
            if matches!(agent.state, AgentState::Announced(at) if at <= asked_at) {
                agent.state = AgentState::RoleChecked;
            }
        }
    }

    /// Returns whether a new agent waits for a check of the role.
    pub fn awaits_check(&self) -> bool {
        self.agents.values().any(|agent| matches!(agent.state, AgentState::Announced(_)))
    }

    /// Returns the agents to ask for their parts now, for the first time or again, and records the
    /// time.
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

    /// Records that an agent has reported all its parts. Returns the agent the first time.
    pub fn agent_reported(&mut self, node: &Node, boot: Boot) -> Option<&Agent> {
        let agent = self.agents.get_mut(node)?;
        if agent.boot != boot || agent.state != AgentState::RoleChecked {
            return None;
        }
        agent.state = AgentState::Reported;
        Some(agent)
    }

    /// Returns an agent if it has reported all its parts.
    pub fn reported_agent(&self, node: &Node) -> Option<&Agent> {
        self.agents.get(node).filter(|agent| agent.state == AgentState::Reported)
    }

    /// Returns whether all agents have reported their parts.
    pub fn all_reported(&self) -> bool {
        self.agents.values().all(|agent| agent.state == AgentState::Reported)
    }

    /// Adds a part that an agent reported. Only the latest attempt of a job is kept; returns the
    /// parts of earlier ones, which must be stopped.
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

    /// Adds an attempt that an earlier planner has recorded.
    pub fn add_prior(&mut self, job: Job, prior: PriorAttempt) {
        self.priors.insert(job, prior);
    }

    /// Returns whether an earlier attempt of a job may still run.
    pub fn blocks(&self, job: Job) -> bool {
        self.found.contains_key(&job) || self.priors.contains_key(&job)
    }

    /// Removes the earlier attempts of a job that has ended. Returns the one found at agents.
    pub fn remove_job(&mut self, job: Job) -> Option<FoundAttempt> {
        self.priors.remove(&job);
        self.found.remove(&job)
    }

    /// Removes and returns a found attempt that is complete or need not be waited for any longer,
    /// and whether it is complete. `ready` selects the jobs to consider; `parts` returns the number
    /// of parts of a job, or `None` if the job is unknown.
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

    /// Removes and returns a recorded attempt that no longer runs: all its agents have reported, or
    /// the role has been held for so long that parts at silent agents have stopped.
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
