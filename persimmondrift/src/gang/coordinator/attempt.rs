//! The state machine of one attempt and its parts.

use super::{Ending, FoundPart, part_at};
use crate::gang::{
    HOLD, LEASE, MAX_RESEND_INTERVAL, Order, PREPARE_TIMEOUT, Phase, RECORD_TIMEOUT,
    RESEND_INTERVAL, START_TIMEOUT, STOP_GRACE,
};
use crate::place;
use crate::unit::{Attempt, Millis, Node, Part, Time};

/// The stage of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The agents are asked to hold the accelerators.
    Preparing,
    /// The attempt is being written to the table.
    Recording,
    /// The parts start or run.
    Running,
    /// The parts are being stopped.
    Stopping,
}

#[derive(Debug, Clone)]
pub struct Member {
    pub part: Part,
    pub node: Node,
    /// The accelerators, one bit each.
    pub mask: u64,
    /// The state last reported by the agent.
    pub phase: Option<Phase>,
    /// Last time at which the part is known to have run; sending the go counts as well.
    pub confirmed_at: Time,
    /// The end of the hold or lease, on the planner's clock.
    pub until: Time,
    /// Whether the agent has restarted and has not reported the part since.
    pub agent_restarted: bool,
    /// When the last order was sent; `None` makes the next one due at once.
    sent_at: Option<Time>,
    /// Orders sent since the last change of phase or stage, without refreshes of a hold.
    tries: u32,
}

/// An attempt and its parts.
#[derive(Debug, Clone)]
pub struct Gang {
    pub attempt: Attempt,
    /// Requirements of the job; `None` for an adopted attempt, which is never prepared again.
    pub spec: Option<place::Spec>,
    pub stage: Stage,
    /// The parts, sorted by number.
    pub members: Vec<Member>,
    /// The ending as far as it is known.
    pub ending: Ending,
    entered_at: Time,
    /// The time for which [`Gang::lease_start`] was computed last, and the result.
    lease_start_cache: (Time, Time),
}

impl Gang {
    /// Creates an attempt in the preparing stage.
    pub fn prepare(
        now: Time,
        attempt: Attempt,
        spec: place::Spec,
        allocations: Vec<place::Allocation>,
    ) -> Self {
        let member = |(index, allocation): (usize, place::Allocation)| {
            Member::new(part_at(index), allocation.node, allocation.mask, now)
        };
        let members = allocations.into_iter().enumerate().map(member).collect();
        Self::new(now, attempt, Some(spec), Stage::Preparing, members)
    }

    /// Creates an attempt from parts that were started under an earlier planner.
    pub fn adopt(now: Time, attempt: Attempt, found: Vec<FoundPart>, complete: bool) -> Self {
        let member = |found: FoundPart| Member {
            phase: Some(found.holding.phase),
            confirmed_at: found.at,
            until: now + LEASE,
            ..Member::new(found.holding.task.part, found.node, found.holding.mask, now)
        };
        let mut members: Vec<Member> = found.into_iter().map(member).collect();
        members.sort_unstable_by_key(|member| member.part);
        let stage = if complete { Stage::Running } else { Stage::Stopping };
        Self::new(now, attempt, None, stage, members)
    }

    fn new(
        now: Time,
        attempt: Attempt,
        spec: Option<place::Spec>,
        stage: Stage,
        members: Vec<Member>,
    ) -> Self {
        let (ending, lease_start_cache) = (Ending::Stopped, (Time::default(), Time::default()));
        Self { attempt, spec, stage, members, ending, entered_at: now, lease_start_cache }
    }

    /// Enters a stage. Its orders are due at once, except on entering [`Stage::Recording`], which
    /// only keeps the holds alive.
    pub fn enter(&mut self, now: Time, stage: Stage) {
        let go = self.stage == Stage::Recording && stage == Stage::Running;
        self.stage = stage;
        self.entered_at = now;
        self.lease_start_cache = (Time::default(), Time::default());
        for member in &mut self.members {
            if stage != Stage::Recording {
                (member.sent_at, member.tries) = (None, 0);
            }
            if go {
                member.confirmed_at = now;
            }
        }
    }

    /// Applies time limits: stops an attempt whose stage timed out or whose part failed, and marks
    /// parts of a stopping attempt as gone once their hold or lease and [`STOP_GRACE`] have
    /// passed.
    pub fn expire(&mut self, now: Time) {
        let elapsed = now.since(self.entered_at);
        let late = match self.stage {
            Stage::Preparing => elapsed >= PREPARE_TIMEOUT,
            Stage::Recording => elapsed >= RECORD_TIMEOUT,
            Stage::Running => self.is_starting() && elapsed >= START_TIMEOUT,
            Stage::Stopping => false,
        };
        let broken = self.members.iter().any(Member::is_broken);
        if self.stage != Stage::Stopping && (late || broken) {
            self.enter(now, Stage::Stopping);
        }
        if self.stage != Stage::Stopping {
            return;
        }
        for member in &mut self.members {
            if !member.is_over() && member.until + STOP_GRACE <= now {
                member.set_phase(Phase::Gone);
            }
        }
    }

    pub fn member(&mut self, part: Part) -> Option<&mut Member> {
        let index = self.members.binary_search_by_key(&part, |member| member.part).ok()?;
        self.members.get_mut(index)
    }

    /// Returns whether every part has reported a phase and the phase satisfies `predicate`.
    pub fn all(&self, predicate: impl Fn(Phase) -> bool) -> bool {
        self.members.iter().all(|member| member.phase.is_some_and(&predicate))
    }

    /// Returns the time from which the shared lease counts: the latest time at which all parts
    /// that have not ended are known to have run.
    pub fn lease_start(&self) -> Time {
        let live = self.members.iter().filter(|member| !member.is_over());
        live.map(|member| member.confirmed_at).min().unwrap_or(self.entered_at)
    }

    /// Returns [`Gang::lease_start`], computed once for each `now`.
    pub fn cached_lease_start(&mut self, now: Time) -> Time {
        if self.lease_start_cache.0 != now {
            self.lease_start_cache = (now, self.lease_start());
        }
        self.lease_start_cache.1
    }

    fn is_starting(&self) -> bool {
        !self.all(|phase| matches!(phase, Phase::Running | Phase::Finished))
    }
}

impl Member {
    fn new(part: Part, node: Node, mask: u64, now: Time) -> Self {
        Self {
            part,
            node,
            mask,
            phase: None,
            confirmed_at: now,
            until: now,
            agent_restarted: false,
            sent_at: None,
            tries: 0,
        }
    }

    /// Returns whether the part does not run and will not run again.
    pub fn is_over(&self) -> bool {
        self.phase.is_some_and(Phase::is_over)
    }

    /// Returns whether the state of this part forces the attempt to stop.
    fn is_broken(&self) -> bool {
        let broken = |phase| {
            matches!(phase, Phase::Failed | Phase::Gone | Phase::Stopping | Phase::Refused(_))
        };
        self.phase.is_some_and(broken)
    }

    /// Sets the phase. The next order is due at once, unless the part is held, starting or
    /// stopping: then the resend timer keeps running.
    pub fn set_phase(&mut self, phase: Phase) {
        let waits = matches!(phase, Phase::Held | Phase::Starting | Phase::Stopping);
        let sent_at = if waits { self.sent_at } else { None };
        (self.phase, self.sent_at, self.tries) = (Some(phase), sent_at, 0);
    }

    /// Returns whether an order is due, for the first time or as a resend.
    pub fn is_due(&self, now: Time, stage: Stage) -> bool {
        let pause = match self.phase {
            Some(Phase::Held) if self.tries == 0 => MAX_RESEND_INTERVAL,
            _ if stage == Stage::Stopping => MAX_RESEND_INTERVAL
                .min(RESEND_INTERVAL * (1 << self.tries.saturating_sub(1).min(3))),
            _ => RESEND_INTERVAL,
        };
        !self.is_over() && self.sent_at.is_none_or(|sent_at| now.since(sent_at) >= pause)
    }

    /// Returns the order that advances the part in a stage, if there is one.
    pub fn order(&self, stage: Stage, lease: Millis, spec: Option<&place::Spec>) -> Option<Order> {
        match (stage, self.phase) {
            (Stage::Preparing | Stage::Recording, None | Some(Phase::Held)) => {
                Some(Order::Prepare { mask: self.mask, hold: HOLD, spec: spec?.clone() })
            }
            (Stage::Running, Some(Phase::Held)) => Some(Order::Go { lease }),
            (Stage::Running, Some(Phase::Starting)) => Some(Order::Renew { lease }),
            (Stage::Stopping, _) => Some(Order::Stop),
            _ => None,
        }
    }

    /// Records that an order was sent; `end` is the end of the lease that it may grant.
    pub fn mark_sent(&mut self, now: Time, order: &Order, end: Time) {
        let refresh = matches!(order, Order::Prepare { .. }) && self.phase.is_some();
        let tries = if refresh { 0 } else { self.tries + 1 };
        (self.sent_at, self.tries) = (Some(now), tries);
        match order {
            Order::Prepare { hold, .. } => self.until = self.until.max(now + *hold),
            Order::Go { .. } | Order::Renew { .. } => self.until = self.until.max(end),
            Order::Stop => {}
        }
    }
}
