//! Weights of the planner, as settings carry them.

use serde::Deserialize;

use crate::unit::Millis;

/// How the planner weighs completion time against fragmentation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Exponent of a job's accelerators in the order: above 0 small jobs go first, below 0
    /// large ones.
    pub size_exponent: f64,
    /// Exponent of a job's run time in the order: the higher, the earlier short jobs go.
    pub run_exponent: f64,
    /// Weight of interactive jobs; batch jobs have 1.
    pub interactive_weight: f64,
    /// Weight of a workspace's use beyond its share.
    pub share_weight: f64,
    /// Wait after which a job that does not fit gets a reservation.
    pub reserve_after: Millis,
    /// Wait in all after which a running job no longer leaves for one that is not urgent.
    pub protect_after: Millis,
    /// Reservations at one time.
    pub reservations: usize,
    /// Run time that each evicted accelerator is taken to lose.
    pub move_cost: Millis,
    /// Factor by which the wait of an aged job that is saved must exceed what the evicted lose.
    pub move_gain: f64,
    /// The same for a short job that takes the place of long ones.
    pub displace_gain: f64,
    /// Factor by which evicted jobs must outlast the job that takes their place.
    pub outlast: f64,
    /// Time that a job runs before it may be evicted for a job that is not urgent.
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

    /// Returns the weights for little fragmentation and short waits of large jobs.
    #[must_use]
    pub fn fragmentation() -> Self {
        Self { reservations: 3, move_gain: 5.0, settle: Millis(60_000), ..Self::completion() }
    }
}
