//! Weights of the planner, as read from the settings.

use serde::Deserialize;

use crate::unit::Millis;

/// How the planner weighs completion time against fragmentation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Exponent of a job's accelerators in its rank: above 0 small jobs come first, below 0 large
    /// ones.
    pub size_exponent: f64,
    /// Exponent of a job's run time in its rank: the higher, the earlier short jobs come.
    pub run_exponent: f64,
    /// Factor on the rank of interactive jobs; batch jobs have 1.
    pub interactive_weight: f64,
    /// How strongly a workspace's use, relative to its share, lowers the rank of its jobs.
    pub share_weight: f64,
    /// Time after its submission at which a large job that does not fit gets a reservation.
    pub reserve_after: Millis,
    /// Total wait after which a running job is no longer evicted for a shorter one.
    pub protect_after: Millis,
    /// Most reservations at one time; the planner makes at most 8.
    pub reservations: usize,
    /// Run time that an eviction is assumed to waste on each accelerator.
    pub move_cost: Millis,
    /// Factor by which the accelerator seconds that an eviction saves an aged job from waiting must
    /// exceed those that it wastes.
    pub move_gain: f64,
    /// Factor by which the wait that an eviction saves a short job must exceed the total delay of
    /// the evicted jobs.
    pub displace_gain: f64,
    /// Factor by which the remaining run time of evicted jobs must exceed that of a short job that
    /// takes their place.
    pub outlast: f64,
    /// Time that a job must have run, and must be expected to run on, to be evicted for a job that
    /// is not urgent.
    pub settle: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self::completion()
    }
}

impl Policy {
    /// Returns the weights for short completion times.
    #[must_use]
    pub fn completion() -> Self {
        Self {
            size_exponent: 0.5,
            run_exponent: 1.0,
            interactive_weight: 4.0,
            share_weight: 0.5,
            reserve_after: Millis(600_000),
            protect_after: Millis(900_000),
            reservations: 1,
            move_cost: Millis(20_000),
            move_gain: 10.0,
            displace_gain: 5.0,
            outlast: 2.0,
            settle: Millis(180_000),
        }
    }

    /// Returns the weights for low fragmentation and short waits of large jobs.
    #[must_use]
    pub fn fragmentation() -> Self {
        Self { reservations: 3, move_gain: 5.0, settle: Millis(60_000), ..Self::completion() }
    }
}
