//! Requests that wait for a slot: by class, and within a class by deadline.
//!
//! Classes share the slots by stride scheduling. Each start of a request moves its class ahead
//! by its stride, and the class that is furthest behind is next. So an urgent request goes
//! before others, and a class that waits always gets its share.

use std::collections::BTreeSet;

use crate::place::Class;
use crate::unit::{Request, Time};

/// Strides of the classes: the higher, the smaller the share.
pub const STRIDES: [u64; 3] = [1, 4, 16];
/// Most requests that wait, by class.
pub const MAX_WAITING: [usize; 3] = [64, 64, 32];
/// All classes, the most urgent one first.
pub const CLASSES: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Batch];

/// The requests that wait.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: [BTreeSet<(Time, Request)>; 3],
    /// How far each class has got.
    passes: [u64; 3],
    /// How far the class that was last served has got.
    pass: u64,
}

impl Queue {
    /// Adds a request. Returns false if its class is full.
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

    /// Removes a request.
    pub fn remove(&mut self, class: Class, deadline: Time, request: Request) {
        self.waiting[class as usize].remove(&(deadline, request));
    }

    /// Takes the next request, of one of the classes that `allowed` names.
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

    /// Takes a request whose deadline has passed.
    pub fn pop_expired(&mut self, now: Time) -> Option<Request> {
        for waiting in &mut self.waiting {
            if waiting.first().is_some_and(|(deadline, _)| *deadline <= now) {
                return waiting.pop_first().map(|(_, request)| request);
            }
        }
        None
    }

    /// Returns the number of requests of a class that wait.
    #[must_use]
    pub fn len_of(&self, class: Class) -> usize {
        self.waiting[class as usize].len()
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.iter().map(BTreeSet::len).sum()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(BTreeSet::is_empty)
    }

    /// Returns the requests of each class that start before a new one of `class` does.
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
