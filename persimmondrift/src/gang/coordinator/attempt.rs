//! The state of one attempt.

use super::{Ending, Found, part_at};
use crate::gang::{
    HOLD, LEASE, Order, PREPARE_WITHIN, Phase, RECORD_WITHIN, RESEND_AFTER, RESEND_MOST, SLACK,
    START_WITHIN,
};
use crate::place;
use crate::unit::{Attempt, Millis, Node, Part, Time};

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The agents are asked to hold.
    Preparing,
    /// The attempt is being written to the table.
    Recording,
    /// The parts start or run.
    Running,
    /// The parts are stopped.
    Stopping,
}

/// A part of an attempt.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its number.
    pub part: Part,
    /// Where it runs.
    pub node: Node,
    /// The accelerators.
    pub mask: u64,
    /// Its state as last reported.
    pub phase: Option<Phase>,
    /// When, at the latest known, it ran; the go counts too.
    pub confirmed: Time,
    /// The end of its hold or lease.
    pub until: Time,
    /// Whether its agent has started anew and has not told of the part.
    pub reborn: bool,
    sent: Option<Time>,
    tries: u32,
}

/// An attempt.
#[derive(Debug, Clone)]
pub struct Gang {
    /// Its number.
    pub attempt: Attempt,
    /// What the job needs; an adopted attempt is not prepared again.
    pub spec: Option<place::Spec>,
    /// How far it is.
    pub stage: Stage,
    /// Its parts, in the order of their numbers.
    pub members: Vec<Member>,
    /// How it ends, as far as known.
    pub ending: Ending,
    entered: Time,
    floor: (Time, Time),
}

impl Gang {
    /// Creates an attempt that is to be prepared.
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

    /// Creates an attempt that an earlier planner has started.
    pub fn adopt(now: Time, attempt: Attempt, found: Vec<Found>, whole: bool) -> Self {
        let member = |found: Found| Member {
            phase: Some(found.holding.phase),
            confirmed: found.at,
            until: now + LEASE,
            ..Member::new(found.holding.task.part, found.node, found.holding.mask, now)
        };
        let mut members: Vec<Member> = found.into_iter().map(member).collect();
        members.sort_unstable_by_key(|member| member.part);
        let stage = if whole { Stage::Running } else { Stage::Stopping };
        Self::new(now, attempt, None, stage, members)
    }

    fn new(
        now: Time,
        attempt: Attempt,
        spec: Option<place::Spec>,
        stage: Stage,
        members: Vec<Member>,
    ) -> Self {
        let (ending, floor) = (Ending::Stopped, (Time::default(), Time::default()));
        Self { attempt, spec, stage, members, ending, entered: now, floor }
    }

    /// Enters a stage; what it sends is due at once.
    pub fn enter(&mut self, now: Time, stage: Stage) {
        let go = self.stage == Stage::Recording && stage == Stage::Running;
        self.stage = stage;
        self.entered = now;
        self.floor = (Time::default(), Time::default());
        for member in &mut self.members {
            if stage != Stage::Recording {
                (member.sent, member.tries) = (None, 0);
            }
            if go {
                member.confirmed = now;
            }
        }
    }

    /// Takes in that time has passed: stages have their limits, and leases end.
    pub fn expire(&mut self, now: Time) {
        let spent = now.since(self.entered);
        let late = match self.stage {
            Stage::Preparing => spent >= PREPARE_WITHIN,
            Stage::Recording => spent >= RECORD_WITHIN,
            Stage::Running => self.is_starting() && spent >= START_WITHIN,
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
            if !member.is_over() && member.until + SLACK <= now {
                member.set_phase(Phase::Gone);
            }
        }
    }

    /// Returns a part.
    pub fn member(&mut self, part: Part) -> Option<&mut Member> {
        let index = self.members.binary_search_by_key(&part, |member| member.part).ok()?;
        self.members.get_mut(index)
    }

    /// Returns whether all parts are in a phase that fits.
    pub fn all(&self, fits: impl Fn(Phase) -> bool) -> bool {
        self.members.iter().all(|member| member.phase.is_some_and(&fits))
    }

    /// Returns the time at which all parts that are not over are known to have run.
    pub fn floor(&self) -> Time {
        let live = self.members.iter().filter(|member| !member.is_over());
        live.map(|member| member.confirmed).min().unwrap_or(self.entered)
    }

    /// Returns [`Gang::floor`], worked out once for each time.
    pub fn floor_at(&mut self, now: Time) -> Time {
        if self.floor.0 != now {
            self.floor = (now, self.floor());
        }
        self.floor.1
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
            confirmed: now,
            until: now,
            reborn: false,
            sent: None,
            tries: 0,
        }
    }

    /// Returns whether the part does not run and will not run again.
    pub fn is_over(&self) -> bool {
        self.phase.is_some_and(Phase::is_over)
    }

    /// Returns whether the attempt cannot go on because of this part.
    fn is_broken(&self) -> bool {
        let broken = |phase| {
            matches!(phase, Phase::Failed | Phase::Gone | Phase::Stopping | Phase::Refused(_))
        };
        self.phase.is_some_and(broken)
    }

    /// Takes in a new state; what follows from it is due at once.
    pub fn set_phase(&mut self, phase: Phase) {
        let waits = matches!(phase, Phase::Held | Phase::Starting | Phase::Stopping);
        let sent = if waits { self.sent } else { None };
        (self.phase, self.sent, self.tries) = (Some(phase), sent, 0);
    }

    /// Returns whether a command is to be sent, the first time or again.
    pub fn is_due(&self, now: Time, stage: Stage) -> bool {
        let pause = match self.phase {
            Some(Phase::Held) if self.tries == 0 => RESEND_MOST,
            _ if stage == Stage::Stopping => {
                RESEND_MOST.min(RESEND_AFTER * (1 << self.tries.saturating_sub(1).min(3)))
            }
            _ => RESEND_AFTER,
        };
        !self.is_over() && self.sent.is_none_or(|sent| now.since(sent) >= pause)
    }

    /// Returns the order that moves the part on.
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

    /// Notes that an order is sent; `end` is the end of the lease that it may grant.
    pub fn sending(&mut self, now: Time, order: &Order, end: Time) {
        let refresh = matches!(order, Order::Prepare { .. }) && self.phase.is_some();
        let tries = if refresh { 0 } else { self.tries + 1 };
        (self.sent, self.tries) = (Some(now), tries);
        match order {
            Order::Prepare { hold, .. } => self.until = self.until.max(now + *hold),
            Order::Go { .. } | Order::Renew { .. } => self.until = self.until.max(end),
            Order::Stop => {}
        }
    }
}
