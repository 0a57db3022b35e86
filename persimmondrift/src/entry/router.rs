//! Admission, target choice and retry budgets for the entry's request threads. Each has its own
//! lock, so that no request waits for the planner.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::limit::Limit;
use crate::member::{Load, Location};
use crate::place::Class;
use crate::retry::Budget;
use crate::route::{Choice, Error, Index, Key, TargetInfo, Verdict};
use crate::unit::{Bytes, Node, Service, Time};

/// Admission limit, target index and retry budgets of an entry.
#[derive(Debug)]
pub struct Router {
    index: Mutex<Index>,
    budgets: Mutex<HashMap<Service, Budget>>,
    limit: Mutex<Limit>,
}

/// A request counted as in flight until this is dropped.
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
    /// Creates the router of an entry at a place, with a bound on the requests in flight.
    pub fn new(place: Location, max_in_flight: usize) -> Self {
        Self {
            index: Mutex::new(Index::new(place)),
            budgets: Mutex::default(),
            limit: Mutex::new(Limit::new(max_in_flight)),
        }
    }

    /// Admits a request, unless the limit for its class is reached.
    pub fn try_admit(&self, class: Class) -> Option<Permit<'_>> {
        let admitted = lock(&self.limit).acquire(class);
        // Built only after the lock is released, because dropping a permit takes the lock.
        admitted.then(|| Permit { router: self, class })
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        lock(&self.limit).in_flight()
    }

    /// Adds or updates a target.
    pub fn upsert_target(&self, now: Time, info: TargetInfo) {
        lock(&self.index).upsert(now, info);
    }

    /// Removes the target of a node that was lost or has left.
    pub fn remove_target(&self, node: &Node) {
        lock(&self.index).remove_node(node);
    }

    /// Starts probing targets whose ejection has expired.
    pub fn tick(&self, now: Time) {
        lock(&self.index).tick(now);
    }

    /// Chooses a target of a service for a request of this size, without the excluded ones.
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

    /// Records the outcome of a request at a target, and the load that its agent reported.
    pub fn record_outcome(&self, now: Time, key: Key, verdict: Verdict, load: Option<Load>) {
        lock(&self.index).record_outcome(now, key, verdict, load);
    }

    /// Credits the retry budget of a service with a first try.
    pub fn record_first_try(&self, service: &Service) {
        let mut budgets = lock(&self.budgets);
        match budgets.get_mut(service) {
            Some(budget) => budget.earn(),
            None => drop(budgets.insert(service.clone(), Budget::default())),
        }
    }

    /// Takes a retry from the budget of a service. Returns false if there is none left.
    pub fn try_spend_retry(&self, service: &Service) -> bool {
        lock(&self.budgets).get_mut(service).is_some_and(Budget::spend)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
