//! What a planner notices without writing anything: changes of trust in workers, and why groups
//! wait.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use super::Planner;
use super::draft::Draft;
use super::place::{Closed, PendingGroup, Pool, assigned};
use crate::cell::health::Trust;
use crate::cell::job::{Group, Resources, Step};
use crate::unit::{Time, Version};

/// Time that a group waits before the reason is logged, and pause until it is logged again.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of lines on waiting groups within [`WAIT_LOG_INTERVAL`].
const MAX_WAIT_LINES: u32 = 10;

/// What a worker did that counts against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A task failed on it.
    Failed,
    /// A task made no progress on it.
    Stalled,
    /// It crashed without a suspect on it.
    Crashed,
}

/// How many workers of a service do not take a group, by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Exclusion {
    /// Workers that may take work at all.
    pub workers: usize,
    /// Share of the capacity of the service that is in use, in percent.
    pub used_percent: u64,
    /// Workers of the service that may take no work at all.
    pub unusable: Unusable,
    /// Workers without the label that the group asks for.
    pub unlabeled: usize,
    /// Workers that have too few free resources.
    pub full: usize,
    /// Workers that have too few free resources because room is held for groups of higher rank.
    pub held: usize,
    /// Workers that run as many tasks of the group as one worker may.
    pub spread: usize,
    /// Workers that are kept empty for urgent work.
    pub reserved: usize,
    /// Workers whose free resources are kept for groups that have claimed such recently.
    pub claimed: usize,
    /// Workers that are quarantined.
    pub quarantined: usize,
    /// Workers that run the one task that probes them.
    pub probed: usize,
    /// Workers that the group has failed on, or that crashed under it.
    pub failed_on: usize,
    /// Workers that have just started a suspect.
    pub watched: usize,
    /// Workers that could run a task of the group. No placement of the whole gang, or on one rack, is
    /// found.
    pub unplaced: usize,
}

/// How many workers of a service may take no work, by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Unusable {
    /// Workers that are not up.
    pub absent: usize,
    /// Workers that do not answer, and those whose agent has not reported for a while.
    pub silent: usize,
    /// Workers that are about to leave.
    pub draining: usize,
    /// Workers whose session is revoked.
    pub revoked: usize,
    /// Workers that run a task that they have no order for.
    pub unordered: usize,
    /// Workers in zones that are being evacuated.
    pub evacuated: usize,
}

/// The reason that mainly keeps a group waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// The tasks do not fit into the free resources of all workers together.
    NoRoom,
    /// The tasks fit into the free resources in total, but not on one worker or rack, or not on
    /// workers with the label or the spread that they ask for.
    WrongPlace,
    /// Workers with enough resources are withheld for other work.
    OtherWork,
    /// Workers that may hold the tasks are distrusted.
    BadWorker,
    /// Some members of a gang fit, but not all.
    Gang,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoom => "no_room",
            Self::WrongPlace => "wrong_place",
            Self::OtherWork => "other_work",
            Self::BadWorker => "bad_worker",
            Self::Gang => "gang",
        })
    }
}

impl Exclusion {
    /// Returns the reason that mainly keeps a group of this step waiting; `fits_in_total` tells
    /// whether its tasks fit into the free resources of all workers together.
    ///
    /// Workers that have the room come first, since the wait would end if they took the group.
    #[must_use]
    pub fn reason(&self, step: &Step, fits_in_total: bool) -> WaitReason {
        if self.unplaced > 0 && step.one_rack {
            WaitReason::WrongPlace
        } else if self.unplaced > 0 && step.gang {
            WaitReason::Gang
        } else if self.held + self.reserved + self.claimed > 0 {
            WaitReason::OtherWork
        } else if self.watched > 0 || self.quarantined + self.probed + self.failed_on > self.full {
            WaitReason::BadWorker
        } else if fits_in_total || self.spread > 0 || self.unlabeled > self.full {
            WaitReason::WrongPlace
        } else {
            WaitReason::NoRoom
        }
    }
}

/// Something that a planner has noticed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// A worker is quarantined.
    Quarantined {
        /// Agent of the worker.
        agent: String,
        /// Its faults since its last success.
        faults: u32,
        /// The last fault.
        cause: Option<Fault>,
        /// How long it stays quarantined, in milliseconds.
        for_ms: u64,
    },
    /// The quarantine of a worker is over.
    TakenBack {
        /// Agent of the worker.
        agent: String,
        /// Trust in the worker from now on.
        trust: Trust,
        /// Time since the quarantine was noticed, in milliseconds.
        after_ms: u64,
    },
    /// A group is still not placed.
    Waits {
        /// Group that waits.
        group: Group,
        /// Number of its tasks that wait.
        count: u32,
        /// Accelerators of each task.
        accelerators: u32,
        /// Why the workers do not take it.
        exclusion: Exclusion,
        /// The main reason.
        reason: WaitReason,
        /// Accelerators that are free on all workers of the service together.
        free_accelerators: u32,
        /// Accelerators that are free on the worker with the most of them.
        most_accelerators: u32,
    },
    /// A zone is being evacuated.
    Evacuates {
        /// Name of the zone.
        zone: String,
        /// Version of the operators' row.
        request: Version,
        /// Number of its workers.
        workers: usize,
        /// Number of runs left on them.
        runs: usize,
        /// Number of runs that this planner has moved out of it.
        moved: usize,
    },
}

/// Limits how often waiting groups are logged.
#[derive(Debug, Default)]
pub(super) struct WaitLog {
    /// When each group was first seen waiting, or was logged last.
    waiting: HashMap<Group, Time>,
    interval_start: Time,
    lines: u32,
}

impl WaitLog {
    /// Returns whether the wait of a group is to be logged now.
    fn is_due(&mut self, now: Time, group: Group) -> bool {
        if now.since(self.interval_start) >= WAIT_LOG_INTERVAL {
            self.interval_start = now;
            self.lines = 0;
            // Groups that are no longer waiting were not seen for a while.
            self.waiting.retain(|_, at| now.since(*at) < 2 * WAIT_LOG_INTERVAL);
        }
        let since = *self.waiting.entry(group).or_insert(now);
        if now.since(since) < WAIT_LOG_INTERVAL || self.lines >= MAX_WAIT_LINES {
            return false;
        }
        self.lines += 1;
        self.waiting.insert(group, now);
        true
    }

    fn forget(&mut self, group: Group) {
        self.waiting.remove(&group);
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Planner {
    /// Records faults of an agent's worker.
    pub(super) fn record_fault(&mut self, now: Time, agent: &str, fault: Fault, count: u32) {
        self.health.record_faults(now, agent, count);
        self.last_faults.insert(agent.to_owned(), fault);
    }

    /// Notes which workers were quarantined or taken back since the last round.
    pub(super) fn observe_trust(&mut self, draft: &mut Draft<'_>) {
        let input = draft.input;
        for (agent, _, _) in input.workers.iter() {
            let trust = self.health.trust_level(input.now, agent);
            let since = self.quarantines.get(agent).copied();
            match (trust, since) {
                (Trust::Quarantined, None) => {
                    self.quarantines.insert(agent.to_owned(), input.now);
                    draft.plan.observations.push(Observation::Quarantined {
                        agent: agent.to_owned(),
                        faults: self.health.faults(agent),
                        cause: self.last_faults.get(agent).copied(),
                        for_ms: millis(self.health.quarantine_left(input.now, agent)),
                    });
                }
                (Trust::Full | Trust::Suspected | Trust::Probed, Some(since)) => {
                    self.quarantines.remove(agent);
                    draft.plan.observations.push(Observation::TakenBack {
                        agent: agent.to_owned(),
                        trust,
                        after_ms: millis(input.now.since(since)),
                    });
                }
                _ => {}
            }
        }
    }

    /// Notes why `count` tasks of a group are not placed, if they have waited for a while.
    pub(super) fn observe_wait(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &Pool,
        pending: &PendingGroup<'_>,
        count: u32,
        closed: &Closed,
    ) {
        let PendingGroup { group, request, .. } = *pending;
        if count == 0 {
            self.wait_log.forget(group);
            return;
        }
        if !self.wait_log.is_due(draft.input.now, group) {
            return;
        }
        let step = &request.steps[usize::from(group.step)];
        let need = step.effective_need();
        let failed = self.failed_on.get(&group);
        let assigned = assigned(draft, pool, group);
        let mut exclusion = Exclusion {
            workers: pool.slots.len(),
            used_percent: pool.used_percent,
            unusable: pool.unusable,
            ..Exclusion::default()
        };
        let (mut free, mut most_accelerators) = (Resources::default(), 0);
        for (index, slot) in pool.slots.iter().enumerate() {
            free = free + slot.free;
            most_accelerators = slot.free.accelerators.max(most_accelerators);
            let is_spread = step.spread.is_some_and(|spread| assigned[index] >= spread.into());
            let reason = if !slot.has_label(step) {
                &mut exclusion.unlabeled
            } else if failed.is_some_and(|agents| agents.contains(&slot.agent)) {
                &mut exclusion.failed_on
            } else if slot.trust == Trust::Quarantined {
                &mut exclusion.quarantined
            } else if slot.trust == Trust::Probed && slot.free != slot.capacity {
                &mut exclusion.probed
            } else if !(slot.free + pool.held[index]).holds(need) {
                &mut exclusion.full
            } else if !slot.free.holds(need) {
                &mut exclusion.held
            } else if is_spread {
                &mut exclusion.spread
            } else if pool.watch.is_watched(index) {
                &mut exclusion.watched
            } else if closed.reserved[index] {
                &mut exclusion.reserved
            } else if closed.claimed[index] {
                &mut exclusion.claimed
            } else {
                &mut exclusion.unplaced
            };
            *reason += 1;
        }
        draft.plan.observations.push(Observation::Waits {
            group,
            count,
            accelerators: need.accelerators,
            reason: exclusion.reason(step, free.holds(need.times(count))),
            exclusion,
            free_accelerators: free.accelerators,
            most_accelerators,
        });
    }
}
