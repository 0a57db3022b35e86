//! The decisions on requests that the threads of an entry share, each under its own lock, so
//! that no request waits for the planner.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::limit::Limit;
use crate::member::{Load, Location};
use crate::place::Class;
use crate::retry::Budget;
use crate::route::{Choice, Error, Index, Key, TargetInfo, Verdict};
use crate::unit::{Bytes, Node, Service, Time};

/// Decides on requests.
#[derive(Debug)]
pub struct Router {
    index: Mutex<Index>,
    budgets: Mutex<HashMap<Service, Budget>>,
    limit: Mutex<Limit>,
}

/// The place of a request among those in flight. It is given back when this is dropped.
#[derive(Debug)]
pub struct Permit<'a> {
    router: &'a Router,
    class: Class,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        lock(&self.router.limit).release(self.class);
    }
}

impl Router {
    /// Creates the router of an entry with so many requests in flight at most.
    pub fn new(place: Location, max_in_flight: usize) -> Self {
        Self {
            index: Mutex::new(Index::new(place)),
            budgets: Mutex::default(),
            limit: Mutex::new(Limit::new(max_in_flight)),
        }
    }

    /// Takes a place for a request, if there is one.
    pub fn try_admit(&self, class: Class) -> Option<Permit<'_>> {
        let admitted = lock(&self.limit).acquire(class);
        // Made only now: dropping one takes the lock.
        admitted.then(|| Permit { router: self, class })
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> usize {
        lock(&self.limit).in_flight()
    }

    /// Takes in what is known of a target.
    pub fn upsert_target(&self, now: Time, info: TargetInfo) {
        lock(&self.index).upsert(now, info);
    }

    /// Takes in that a target is gone.
    pub fn remove_target(&self, node: &Node) {
        lock(&self.index).remove_node(node);
    }

    /// Lets ejected targets be probed.
    pub fn tick(&self, now: Time) {
        lock(&self.index).tick(now);
    }

    /// Chooses a target.
    pub fn choose(
        &self,
        now: Time,
        service: &Service,
        size: Bytes,
        excluded: &[Key],
        random: &mut fastrand::Rng,
    ) -> Result<Choice, Error> {
        lock(&self.index).choose(now, service, size, excluded, random)
    }

    /// Takes in that a request at a target is over.
    pub fn record_outcome(&self, now: Time, key: Key, verdict: Verdict, load: Option<Load>) {
        lock(&self.index).record_outcome(now, key, verdict, load);
    }

    /// Counts a first try of a service's requests.
    pub fn record_first_try(&self, service: &Service) {
        let mut budgets = lock(&self.budgets);
        match budgets.get_mut(service) {
            Some(budget) => budget.earn(),
            None => drop(budgets.insert(service.clone(), Budget::default())),
        }
    }

    /// Spends a retry of a service's requests. Returns whether there was one left.
    pub fn try_spend_retry(&self, service: &Service) -> bool {
        lock(&self.budgets).get_mut(service).is_some_and(Budget::spend)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
