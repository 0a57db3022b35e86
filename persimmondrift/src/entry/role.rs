//! The planner role of one availability zone.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::config::{Change, Config};
use crate::gang::{self, Command, Coordinator, Ending, Report, Term};
use crate::guarantee;
use crate::health::Verdict;
use crate::member::{Announce, State};
use crate::place::{self, Outcome, Planner, Share, Spec, Summary};
use crate::unit::{Attempt, Epoch, Job, Node, Time, Zone};

/// Names one attempt of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Try {
    /// The job.
    pub job: Job,
    /// The attempt.
    pub attempt: Attempt,
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
    /// Writes an attempt to the table.
    Record {
        /// The zone.
        zone: Zone,
        /// The epoch of the role.
        epoch: Epoch,
        /// The attempt.
        task: Try,
    },
    /// Writes the end of a job to the table.
    End {
        /// The job.
        job: Job,
        /// How it ended.
        outcome: Outcome,
    },
}

/// The planner role of a zone.
#[derive(Debug)]
pub struct Role {
    term: Term,
    planner: Planner,
    coordinator: Coordinator,
    specs: BTreeMap<Job, Spec>,
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
    /// Creates the role under an epoch.
    #[must_use]
    pub fn new(zone: Zone, epoch: Epoch) -> Self {
        let term = Term { zone, epoch };
        Self {
            coordinator: Coordinator::new(term.clone()),
            term,
            planner: Planner::default(),
            specs: BTreeMap::new(),
        }
    }

    /// Returns the epoch of the role.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.term.epoch
    }

    /// Takes in what an agent of the zone announces.
    pub fn put_worker(&mut self, node: &Node, said: &Announce) {
        let open = said.state == State::Serving;
        self.planner.put_worker(node, &said.place.rack, said.capacity, open);
        self.planner.put_holdings(node, &said.tasks);
    }

    /// Takes in the guarantees and shares of a configuration.
    pub fn configure(&mut self, config: &Config) {
        self.planner.set_guarantees(guarantee::promises(config, &self.term.zone));
        self.planner.clear_shares();
        for (workspace, quota) in &config.workspaces {
            let share = Share { weight: quota.weight, limit: quota.limit };
            self.planner.set_share(workspace.clone(), share);
        }
    }

    /// Takes in a job, if it may run in this zone.
    pub fn submit(&mut self, now: Time, job: Job, spec: &Spec) {
        if spec.zone.as_ref().is_none_or(|zone| *zone == self.term.zone) {
            self.specs.insert(job, spec.clone());
            self.planner.submit(now, job, spec.clone());
        }
    }

    /// Takes in an accepted change.
    pub fn change(&mut self, now: Time, change: &Change, config: &Config) -> Vec<Effect> {
        match change {
            Change::Submit { job, spec } => {
                self.submit(now, *job, spec);
                Vec::new()
            }
            Change::Cancel { job } => {
                let decisions = self.planner.cancel(*job);
                self.forget_ended(*job);
                self.decide(now, decisions)
            }
            Change::PutWorkspace { .. } | Change::RemoveWorkspace { .. } => {
                self.configure(config);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Takes in that a worker has fallen silent: it gets nothing new.
    pub fn suspected(&mut self, node: &Node) {
        self.planner.close_worker(node);
    }

    /// Takes in that a worker is lost.
    pub fn lost(&mut self, now: Time, node: &Node) -> Vec<Effect> {
        let decisions = self.planner.remove_worker(now, node);
        let mut effects = self.decide(now, decisions);
        let asked = self.coordinator.lost(now, node);
        effects.extend(self.drive(now, asked));
        effects
    }

    /// Takes in what an agent reports of a part.
    pub fn report(&mut self, now: Time, node: &Node, report: &Report) -> Vec<Effect> {
        let asked = self.coordinator.report(now, node, report);
        self.drive(now, asked)
    }

    /// Takes in whether an attempt was written to the table.
    pub fn recorded(&mut self, now: Time, task: Try, written: bool) -> Vec<Effect> {
        let asked = self.coordinator.recorded(now, task.job, task.attempt, written);
        self.drive(now, asked)
    }

    /// Starts what fits, and drives the attempts.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let decisions = self.planner.step(now);
        let mut effects = self.decide(now, decisions);
        let asked = self.coordinator.tick(now);
        effects.extend(self.drive(now, asked));
        effects
    }

    /// Returns what the zone has and what waits in it.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.planner.summary()
    }

    fn decide(&mut self, now: Time, decisions: Vec<place::Effect>) -> Vec<Effect> {
        let mut asked = Vec::new();
        for decision in decisions {
            match decision {
                place::Effect::Start { job, attempt, seats, reason } => {
                    let nodes: Vec<&str> = seats.iter().map(|seat| seat.node.as_str()).collect();
                    crate::log!(Placed, "job {job} attempt {attempt} on {nodes:?}: {reason:?}");
                    let Some(spec) = self.specs.get(&job) else {
                        continue;
                    };
                    asked.extend(self.coordinator.begin(now, job, attempt, spec.clone(), seats));
                }
                place::Effect::Stop { job, attempt, cause } => {
                    crate::log!(AttemptStopped, "job {job} attempt {attempt}: {cause:?}");
                    asked.extend(self.coordinator.stop(now, job, attempt));
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
                gang::Effect::Record { job, attempt } => effects.push(Effect::Record {
                    zone: self.term.zone.clone(),
                    epoch: self.term.epoch,
                    task: Try { job, attempt },
                }),
                gang::Effect::Over { job, attempt, ending } => {
                    crate::log!(AttemptOver, "job {job} attempt {attempt}: {ending:?}");
                    effects.extend(self.over(now, job, attempt, &ending));
                }
            }
        }
        effects
    }

    fn over(&mut self, now: Time, job: Job, attempt: Attempt, ending: &Ending) -> Vec<Effect> {
        let (outcome, decisions) = match ending {
            Ending::Finished => {
                (Some(Outcome::Finished), self.planner.ended(now, job, Outcome::Finished))
            }
            Ending::Failed(node) => {
                let (verdict, decisions) = self.planner.failed(now, job, attempt, node);
                ((verdict == Verdict::AtFault).then_some(Outcome::Failed), decisions)
            }
            Ending::Stopped => {
                self.planner.released(now, job, attempt);
                (None, Vec::new())
            }
        };
        self.forget_ended(job);
        let mut effects = self.decide(now, decisions);
        if let Some(outcome) = outcome {
            crate::log!(JobEnded, "job {job}: {outcome:?}");
            effects.push(Effect::End { job, outcome });
        }
        effects
    }

    fn forget_ended(&mut self, job: Job) {
        if !self.planner.knows(job) {
            self.specs.remove(&job);
        }
    }
}
