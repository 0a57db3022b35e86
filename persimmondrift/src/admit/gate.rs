//! The admission gate of one target: concurrency limits, queue, and the history that prevents a
//! request from running twice.

use std::collections::VecDeque;
use std::time::Duration;

use super::memory::{History, MAX_ADMIT_AHEAD, RequestState};
use super::queue::{CLASSES, Queue};
use super::{Cause, Effect, Ending, Limit, Offer, Outcome, UnknownCause};
use crate::place::Class;
use crate::unit::{Millis, Request, Time};

/// Time for which the connection of an abandoned request counts as in use, because the target may
/// still work on the request.
pub const LINGER: Duration = Duration::from_secs(5);
/// Number of slots from which one slot is reserved for requests other than batch.
const RESERVE_MIN_SLOTS: u32 = 4;
/// Divisor of the weight of a new measurement in the moving mean of the service time.
const MEAN_DIVISOR: u64 = 16;

/// The admission gate of one target.
#[derive(Debug)]
pub struct Gate {
    limit: Limit,
    running: u32,
    running_batch: u32,
    /// Times at which the connections of abandoned requests count as free again.
    abandoned: VecDeque<Time>,
    leaving: bool,
    queue: Queue,
    history: History,
    /// Mean service time of each class in microseconds; 0 before the first measurement.
    mean_service_us: [u64; 3],
}

impl Gate {
    /// Creates a gate with the limits of a target.
    #[must_use]
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            running: 0,
            running_batch: 0,
            abandoned: VecDeque::new(),
            leaving: false,
            queue: Queue::default(),
            history: History::default(),
            mean_service_us: [0; 3],
        }
    }

    /// Sets whether new requests are refused. Queued requests are refused at the next tick.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Decides whether a request runs now, waits in the queue, or is refused.
    pub fn offer(&mut self, now: Time, offer: Offer) -> Effect {
        let request = offer.request;
        match self.history.get(request) {
            Some(RequestState::Refused) => {
                return Effect::Reply(request, Outcome::NotRun(Cause::Cancelled));
            }
            Some(_) => return Effect::Reply(request, Outcome::Unknown(UnknownCause::Repeated)),
            None => {}
        }
        if !self.history.proves_absent(now, offer.admit_by) {
            return Effect::Reply(request, Outcome::Unknown(UnknownCause::Late));
        }
        if offer.admit_by <= now || offer.admit_by > now + MAX_ADMIT_AHEAD {
            return self.refuse(now, request, offer.admit_by, Cause::Expired);
        }
        if self.leaving {
            return self.refuse(now, request, offer.admit_by, Cause::Leaving);
        }
        self.free_abandoned(now);
        if self.queue.is_empty() && self.has_room(offer.class) {
            self.start(now, request, offer.class);
            return Effect::Run(request);
        }
        if self.expected_end(offer.class) > Duration::from(offer.budget) {
            return self.refuse(now, request, offer.admit_by, Cause::Overloaded);
        }
        let deadline = self.latest_start(now, offer);
        if !self.queue.push(offer.class, deadline, request) {
            return self.refuse(now, request, offer.admit_by, Cause::QueueFull);
        }
        self.history.set(request, RequestState::Waiting(offer.class, deadline));
        // Batch requests may be queued while the reserved slot is free; others may take it.
        if offer.class != Class::Batch && self.has_room(offer.class) {
            self.queue.remove(offer.class, deadline, request);
            self.start(now, request, offer.class);
            return Effect::Run(request);
        }
        Effect::Wait(request)
    }

    /// Records the end of a running request and admits the next requests.
    pub fn finish(&mut self, now: Time, request: Request, ending: Ending) -> Vec<Effect> {
        if let Some(RequestState::Running(class, began)) = self.history.get(request) {
            self.running -= 1;
            self.running_batch -= u32::from(class == Class::Batch);
            self.history.end(now, request, RequestState::Ended, now + MAX_ADMIT_AHEAD);
            match ending {
                Ending::Whole => self.measure(class, now.since(began)),
                Ending::Abandoned => self.abandoned.push_back(now + LINGER),
            }
        }
        self.admit(now)
    }

    /// Cancels a request. Returns whether it is proven that the request has not run and will not
    /// run, and the reply to the queued call if there is one.
    pub fn cancel(&mut self, now: Time, request: Request, admit_by: Time) -> (bool, Vec<Effect>) {
        match self.history.get(request) {
            None if self.history.proves_absent(now, admit_by) => {
                self.history.end(now, request, RequestState::Refused, admit_by);
                (true, Vec::new())
            }
            Some(RequestState::Waiting(class, deadline)) => {
                self.queue.remove(class, deadline, request);
                (true, vec![self.refuse(now, request, now + MAX_ADMIT_AHEAD, Cause::Cancelled)])
            }
            Some(RequestState::Refused) => (true, Vec::new()),
            None | Some(RequestState::Running(..) | RequestState::Ended) => (false, Vec::new()),
        }
    }

    /// Evicts old history, refuses queued requests that are past their deadline or whose target is
    /// leaving, and admits others.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        self.history.evict(now);
        let mut effects = self.admit(now);
        while self.leaving
            && let Some((_, request)) = self.queue.pop(|_| true)
        {
            effects.push(self.refuse(now, request, now + MAX_ADMIT_AHEAD, Cause::Leaving));
        }
        effects
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests in the history.
    #[must_use]
    pub fn tracked(&self) -> usize {
        self.history.len()
    }

    /// Returns the expected time until a new request of a class would start; 0 if it would start
    /// at once.
    #[must_use]
    pub fn wait(&self, class: Class) -> Millis {
        if self.queue.is_empty() && self.has_room(class) {
            return Millis(0);
        }
        Millis(u64::try_from(self.expected_start(class).as_millis()).unwrap_or(u64::MAX))
    }

    fn has_room(&self, class: Class) -> bool {
        let abandoned = u32::try_from(self.abandoned.len()).unwrap_or(u32::MAX);
        let connected = self.running.saturating_add(abandoned);
        let reserve = u32::from(self.limit.slots.0 >= RESERVE_MIN_SLOTS);
        self.running < self.limit.slots.0
            && connected < self.limit.connections.0
            && (class != Class::Batch || self.running_batch + reserve < self.limit.slots.0)
    }

    /// Returns the expected time until a new request of a class would start if it were queued.
    fn expected_start(&self, class: Class) -> Duration {
        let ahead = self.queue.ahead_of(class);
        let mut work = self.mean_service_us[class as usize];
        for class in CLASSES {
            let count = u64::try_from(ahead[class as usize]).unwrap_or(u64::MAX);
            work = work.saturating_add(count.saturating_mul(self.mean_service_us[class as usize]));
        }
        Duration::from_micros(work / u64::from(self.limit.slots.0.max(1)))
    }

    /// Returns the latest start from which a request is expected to end within its budget.
    fn latest_start(&self, now: Time, offer: Offer) -> Time {
        let mean = Duration::from_micros(self.mean_service_us[offer.class as usize]);
        now + Duration::from(offer.budget).saturating_sub(mean)
    }

    /// Returns the expected time until a new request of a class would end if it were queued.
    fn expected_end(&self, class: Class) -> Duration {
        self.expected_start(class) + Duration::from_micros(self.mean_service_us[class as usize])
    }

    fn measure(&mut self, class: Class, took: Duration) {
        let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        let mean = &mut self.mean_service_us[class as usize];
        *mean = if *mean == 0 { took } else { *mean - *mean / MEAN_DIVISOR + took / MEAN_DIVISOR };
    }

    fn start(&mut self, now: Time, request: Request, class: Class) {
        self.running += 1;
        self.running_batch += u32::from(class == Class::Batch);
        self.history.set(request, RequestState::Running(class, now));
    }

    fn free_abandoned(&mut self, now: Time) {
        while self.abandoned.front().is_some_and(|until| *until <= now) {
            self.abandoned.pop_front();
        }
    }

    fn admit(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(request) = self.queue.pop_expired(now) {
            effects.push(self.refuse(now, request, now + MAX_ADMIT_AHEAD, Cause::Expired));
        }
        if self.leaving {
            return effects;
        }
        self.free_abandoned(now);
        let mut open = CLASSES.map(|class| self.has_room(class));
        while let Some((class, request)) = self.queue.pop(|class| open[class as usize]) {
            self.start(now, request, class);
            effects.push(Effect::Run(request));
            open = CLASSES.map(|class| self.has_room(class));
        }
        effects
    }

    fn refuse(&mut self, now: Time, request: Request, admit_by: Time, cause: Cause) -> Effect {
        self.history.end(now, request, RequestState::Refused, admit_by);
        Effect::Reply(request, Outcome::NotRun(cause))
    }
}
