//! The memory that requests and responses hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of bytes that the requests and responses of several servers hold together.
#[derive(Debug, Clone, Default)]
pub struct Budget(Arc<AtomicUsize>);

/// The bytes that are held, and up to how many a server may add its own.
#[derive(Debug)]
pub(super) struct Held {
    budget: Budget,
    limit: usize,
}

/// A part of the [`Budget`], returned when it is dropped.
#[derive(Debug)]
pub(super) struct Charge {
    held: Arc<Held>,
    bytes: usize,
}

impl Held {
    pub(super) fn new(budget: Budget, limit: usize) -> Self {
        Self { budget, limit }
    }
}

impl Charge {
    pub(super) fn new(held: &Arc<Held>) -> Self {
        Self { held: Arc::clone(held), bytes: 0 }
    }

    /// Adds bytes and returns whether they are within the limit.
    pub(super) fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let before = self.held.budget.0.fetch_add(bytes, Ordering::Relaxed);
        before.saturating_add(bytes) <= self.held.limit
    }

    /// Returns whether all bytes that are held now are within the limit.
    pub(super) fn fits(&self) -> bool {
        self.held.budget.0.load(Ordering::Relaxed) <= self.held.limit
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.held.budget.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
