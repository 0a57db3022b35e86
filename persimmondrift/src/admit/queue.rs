//! The queue of requests that wait for a slot, ordered by class and within a class by deadline.
//!
//! Classes share the slots by stride scheduling: each started request advances the pass of its
//! class by the stride of the class, and the class with the lowest pass is served next. Urgent
//! requests therefore go first, and no waiting class starves.

use std::collections::BTreeSet;

use crate::place::Class;
use crate::unit::{Request, Time};

/// Stride of each class; a higher stride gives a smaller share of the slots.
pub const STRIDES: [u64; 3] = [1, 4, 16];
/// Largest number of queued requests of each class.
pub const MAX_WAITING: [usize; 3] = [64, 64, 32];
/// All classes, the most urgent one first.
pub const CLASSES: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Batch];

/// The queued requests.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: [BTreeSet<(Time, Request)>; 3],
    /// The pass of each class, in strides.
    passes: [u64; 3],
    /// The pass of the class that was served last; a class that was empty starts no lower.
    pass: u64,
}

impl Queue {
    /// Queues a request. Returns false if the queue of its class is full.
    pub fn push(&mut self, class: Class, deadline: Time, request: Request) -> bool {
        let index = class as usize;
        if self.waiting[index].len() >= MAX_WAITING[index] {
            return false;
        }
        if self.waiting[index].is_empty() {
            self.passes[index] = self.passes[index].max(self.pass);
        }
        self.waiting[index].insert((deadline, request))
    }

    /// Removes a queued request.
    pub fn remove(&mut self, class: Class, deadline: Time, request: Request) {
        self.waiting[class as usize].remove(&(deadline, request));
    }

    /// Removes and returns the next request among the classes for which `allowed` is true.
    pub fn pop(&mut self, allowed: impl Fn(Class) -> bool) -> Option<(Class, Request)> {
        let open = |class: &Class| !self.waiting[*class as usize].is_empty() && allowed(*class);
        let candidates = CLASSES.into_iter().filter(open);
        let class = candidates.min_by_key(|class| self.passes[*class as usize])?;
        let index = class as usize;
        let (_, request) = self.waiting[index].pop_first()?;
        self.pass = self.passes[index];
        self.passes[index] += STRIDES[index];
        Some((class, request))
    }

    /// Removes and returns a request whose deadline has passed.
    pub fn pop_expired(&mut self, now: Time) -> Option<Request> {
        for waiting in &mut self.waiting {
            if waiting.first().is_some_and(|(deadline, _)| *deadline <= now) {
                return waiting.pop_first().map(|(_, request)| request);
            }
        }
        None
    }

    /// Returns the number of queued requests of a class.
    #[must_use]
    pub fn len_of(&self, class: Class) -> usize {
        self.waiting[class as usize].len()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.iter().map(BTreeSet::len).sum()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(BTreeSet::is_empty)
    }

    /// Returns how many queued requests of each class are expected to start before a new request
    /// of `class`.
    #[must_use]
    pub fn ahead_of(&self, class: Class) -> [usize; 3] {
        let own = self.len_of(class);
        let stride = STRIDES[class as usize];
        std::array::from_fn(|index| {
            if index == class as usize {
                return own;
            }
            let share = stride / STRIDES[index].min(stride);
            let share = usize::try_from(share).unwrap_or(usize::MAX);
            self.waiting[index].len().min((own + 1).saturating_mul(share))
        })
    }
}
