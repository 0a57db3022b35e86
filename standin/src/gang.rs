//! Simulates two agents with their workers in virtual time, around the real gang state machines. A
//! test drives the planner and delivers the messages. Each agent has its own clock.

use std::collections::BTreeMap;
use std::time::Duration;

use persimmondrift::adapter::worker::{ListedTask, State};
use persimmondrift::gang::{
    Action, Command, Coordinator, Effect, Ending, Holder, LEASE, Report, StartOutcome, Task, Term,
};
use persimmondrift::place::{Adjacency, Allocation, Class, Eviction, Shape, Spec};
use persimmondrift::unit::{
    Accelerators, Attempt, Boot, Cores, Epoch, Job, Mebibytes, Millis, Node, Time,
};

/// Id of the only job.
pub const JOB: Job = Job(7);
/// Node names of the agents, by index.
pub const NODES: [&str; 2] = ["a", "b"];
/// How far the first agent's clock is ahead of the planner's; the second one's is twice as far.
const CLOCK_SKEW: Millis = Millis(1_000_000);

/// A message between a planner and an agent, with the agent's index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// From a planner to an agent.
    Command(usize, Command),
    /// From an agent to its planner.
    Report(usize, Report),
}

/// How a worker handles calls. All variants but `Silent` concern only calls that start a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallBehavior {
    /// Carries them out.
    Execute,
    /// Refuses to start parts.
    Refuse,
    /// Starts parts, but the answer is lost.
    LoseAnswer,
    /// Receives no call to start a part; the agent gets no answer.
    LoseCall,
    /// Neither carries out nor answers any call. Its leases still expire.
    Silent,
}

/// A part that a worker runs or has run.
#[derive(Debug, Clone)]
pub struct Run {
    /// End of its lease, on the agent's clock.
    pub lease_end: Time,
    /// State as the worker lists it.
    pub state: State,
}

/// An agent with its worker.
#[derive(Debug, Clone)]
pub struct Agent {
    /// State machine of the agent.
    pub holder: Holder,
    /// Parts that the worker runs or has run.
    pub runs: BTreeMap<Task, Run>,
    /// How the worker handles calls.
    pub call_behavior: CallBehavior,
}

/// State of the simulation without the planner.
#[derive(Debug, Clone)]
pub struct World {
    /// Time on the planner's clock.
    pub now: Time,
    /// Agents with their workers, in the order of [`NODES`].
    pub agents: [Agent; 2],
    /// Messages that were sent and not delivered yet.
    pub in_flight: Vec<Message>,
    /// Since when one part has run without the other; `None` if both or neither run.
    pub alone_since: Option<Time>,
}

/// Returns the node of an agent.
///
/// # Panics
///
/// Panics if there is no such agent.
#[must_use]
pub fn node(index: usize) -> Node {
    Node::try_from(NODES[index]).expect("valid")
}

/// Creates a planner's coordinator for an epoch.
///
/// # Panics
///
/// Never panics in practice.
#[must_use]
pub fn planner(epoch: u64) -> Coordinator {
    Coordinator::new(Term { zone: "z".parse().expect("valid"), epoch: Epoch(epoch) })
}

/// Returns the spec of the job: two parts of eight accelerators each, in one rack.
///
/// # Panics
///
/// Never panics in practice.
#[must_use]
pub fn spec() -> Spec {
    Spec {
        workspace: "studio".parse().expect("valid"),
        kind: "render".parse().expect("valid"),
        shape: Shape {
            parts: 2,
            accelerators: Accelerators(8),
            cores: Cores(1),
            memory: Mebibytes(1),
            adjacency: Adjacency::Rack,
        },
        class: Class::Urgent,
        eviction: Eviction::Checkpoint,
        run_ms: Millis(60_000),
        claim: false,
        zone: None,
    }
}

/// Returns the allocation of each part: all eight accelerators of its node.
#[must_use]
pub fn allocations() -> Vec<Allocation> {
    [0, 1].map(|index| Allocation { node: node(index), mask: 0xff }).to_vec()
}

impl Default for World {
    /// Creates two agents without parts.
    fn default() -> Self {
        let now = Time::from_secs(50);
        let agent = |index: usize| Agent {
            holder: Holder::new(Boot(1 + index as u64)),
            runs: BTreeMap::new(),
            call_behavior: CallBehavior::Execute,
        };
        let mut world =
            Self { now, agents: [agent(0), agent(1)], in_flight: Vec::new(), alone_since: None };
        world.list(0);
        world.list(1);
        world
    }
}

impl World {
    /// Returns the time on the clock of an agent.
    #[must_use]
    pub fn clock(&self, index: usize) -> Time {
        self.now + Millis(CLOCK_SKEW.0 * (1 + index as u64))
    }

    /// Queues the commands among a planner's effects for delivery; returns the other effects.
    pub fn send(&mut self, effects: Vec<Effect>) -> Vec<Effect> {
        let mut others = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { node, command } => {
                    let index = usize::from(node.as_str() == NODES[1]);
                    self.in_flight.push(Message::Command(index, command));
                }
                other => others.push(other),
            }
        }
        others
    }

    /// Delivers a command to an agent.
    pub fn command(&mut self, index: usize, command: Command) {
        let now = self.clock(index);
        let actions = self.agents[index].holder.command(now, command);
        self.apply_actions(index, actions);
    }

    /// Runs an agent's timer, which stops parts whose hold or lease has ended.
    pub fn tick(&mut self, index: usize) {
        let now = self.clock(index);
        let actions = self.agents[index].holder.tick(now);
        self.apply_actions(index, actions);
    }

    /// Passes the worker's list of parts to its agent, unless the worker is silent.
    pub fn list(&mut self, index: usize) {
        let now = self.clock(index);
        let agent = &mut self.agents[index];
        if agent.call_behavior == CallBehavior::Silent {
            return;
        }
        let listed =
            |(&task, run): (&Task, &Run)| ListedTask { task, mask: 0xff, state: run.state };
        let list: Vec<ListedTask> = agent.runs.iter().map(listed).collect();
        let actions = agent.holder.listed(now, now, &list);
        self.apply_actions(index, actions);
    }

    /// Restarts an agent; its worker keeps running.
    pub fn restart(&mut self, index: usize, boot: u64) {
        self.agents[index].holder = Holder::new(Boot(boot));
        self.list(index);
    }

    /// Advances the time. Workers stop the parts whose lease has expired.
    pub fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        for index in 0..2 {
            let now = self.clock(index);
            for run in self.agents[index].runs.values_mut() {
                if run.state == State::Running && run.lease_end <= now {
                    run.state = State::Stopped;
                }
            }
        }
    }

    /// Returns the attempt whose part runs at an agent's worker.
    #[must_use]
    pub fn running(&self, index: usize) -> Option<Attempt> {
        let runs =
            |(task, run): (&Task, &Run)| (run.state == State::Running).then_some(task.attempt);
        self.agents[index].runs.iter().find_map(runs)
    }

    /// Checks that no part has run alone for longer than a lease, and that at most one
    /// attempt runs.
    ///
    /// # Errors
    ///
    /// Returns a description of the violation.
    pub fn check(&mut self) -> Result<(), String> {
        let running = [self.running(0), self.running(1)];
        match running {
            [Some(first), Some(second)] if first != second => {
                return Err(format!("attempts {first} and {second} run at once"));
            }
            [Some(_), None] | [None, Some(_)] => {
                let since = *self.alone_since.get_or_insert(self.now);
                if self.now.since(since) > Duration::from(LEASE) {
                    return Err(format!("a part has run alone since {since}, now {}", self.now));
                }
            }
            _ => self.alone_since = None,
        }
        Ok(())
    }

    fn apply_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let now = self.clock(index);
            let agent = &mut self.agents[index];
            match action {
                Action::Start { task, until, .. } => {
                    let (runs, started) = match agent.call_behavior {
                        CallBehavior::Execute => (true, StartOutcome::Confirmed),
                        CallBehavior::Refuse => (false, StartOutcome::Refused),
                        CallBehavior::LoseAnswer => (true, StartOutcome::Unknown),
                        CallBehavior::LoseCall | CallBehavior::Silent => {
                            (false, StartOutcome::Unknown)
                        }
                    };
                    if runs && until > now {
                        let run = Run { lease_end: until, state: State::Running };
                        agent.runs.entry(task).or_insert(run);
                    }
                    let actions = agent.holder.started(now, task, started);
                    self.apply_actions(index, actions);
                }
                Action::Renew { task, until } => {
                    if let Some(run) = agent.runs.get_mut(&task)
                        && run.state == State::Running
                        && agent.call_behavior != CallBehavior::Silent
                    {
                        run.lease_end = until;
                    }
                }
                Action::Stop { task } if agent.call_behavior == CallBehavior::Silent => {
                    let actions = agent.holder.stopped(now, task, false);
                    self.apply_actions(index, actions);
                }
                Action::Stop { task } => {
                    let stopped = Run { lease_end: now, state: State::Stopped };
                    let run = agent.runs.entry(task).or_insert(stopped);
                    if run.state == State::Running {
                        run.state = State::Stopped;
                    }
                    let actions = agent.holder.stopped(now, task, true);
                    self.apply_actions(index, actions);
                }
                Action::Report(report) => self.in_flight.push(Message::Report(index, report)),
            }
        }
    }
}

/// Returns how an attempt ended, if the effects contain its end.
#[must_use]
pub fn ending(effects: &[Effect]) -> Option<Ending> {
    effects.iter().find_map(|effect| match effect {
        Effect::Over { ending, .. } => Some(ending.clone()),
        _ => None,
    })
}
